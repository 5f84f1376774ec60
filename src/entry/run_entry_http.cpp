#include "entry/run_entry.h"

#include "admission/escrow_budgets.h"
#include "base/event_log.h"
#include "base/random.h"
#include "entry/http_entry_server.h"
#include "fleet/capnp_peer_link.h"
#include "fleet/fleet_node.h"
#include "steering/move_progress.h"
#include "steering/queued_steering.h"
#include "steering/region_steering.h"
#include "store/command_trail.h"
#include "store/config_follower.h"
#include "store/counting_store.h"
#include "store/http_object_store.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <future>
#include <pplx/threadpool.h>
#include <sstream>

namespace sapphirepass {

namespace {
    // One workspace may take half of the waiting room.
    auto queuePolicy(const EntrySettings& settings) -> QueuePolicy
    {
        const auto total = static_cast<std::size_t>(settings.queueLength_);
        return { { total, (total + 1) / 2 }, settings.queueWait_ };
    }

    constexpr std::size_t ticketSecretBytes = 32;
    // Outcomes of requests that may run only once; with their answers about 64 MB at most.
    constexpr OnceBounds onceBounds { 100'000, 32 * 1024 * 1024 };
    // Longest time that a planned stop takes to hand shares of limits to other instances.
    constexpr std::chrono::milliseconds shareHandOver { 2'000 };

    using SignalSet = boost::asio::signal_set;

    // Blocks until the next SIGINT or SIGTERM.
    auto waitForSignal(SignalSet& signals) -> int
    {
        std::promise<int> received;
        signals.async_wait([&received](const boost::system::error_code&, int signal) { received.set_value(signal); });
        return received.get_future().get();
    }

    auto startListening(const SocketAddress& address, const std::function<void()>& start) -> bool
    {
        try {
            start();
            return true;
        } catch (const std::exception& error) {
            logEvent(EventId::ListenFailed, "address={} message=\"{}\"", formatSocketAddress(address), error.what());
            return false;
        }
    }

    auto ownMember(const EntrySettings& settings) -> Member
    {
        Member member;
        member.id_ = { settings.name_, randomNumber() };
        member.region_ = settings.region_;
        member.domain_ = settings.domain_;
        member.http_ = settings.http_;
        member.peer_ = settings.peer_;
        return member;
    }

    auto fleetOptions(const EntrySettings& settings) -> FleetOptions
    {
        FleetOptions options;
        std::istringstream seeds(settings.seeds_);
        for (std::string seed; std::getline(seeds, seed, ',');)
            options.seeds_.push_back("@" + seed);
        return options;
    }

    auto isListed(const std::vector<PlatformInstance>& instances, const std::string& name) -> bool
    {
        return std::any_of(instances.begin(), instances.end(), [&name](const PlatformInstance& instance) { return instance.name_ == name; });
    }

    // A withdrawal that the log refuses, such as of a key that is retired, is settled as well.
    auto makeDurable(CommandService& commands, const Withdrawal& withdrawal) -> bool
    {
        const auto result = commands.submit({ "withdraw key " + withdrawal.key_, withdrawal.id_, withdrawal.who_, withdrawal.from_, CommandMode::Real, std::nullopt });
        return isOk(result) || (errorOf(result).kind_ != CommandErrorKind::NotAccepted && errorOf(result).kind_ != CommandErrorKind::OutcomeUnknown);
    }

    // Waits for the last request; a second signal ends the wait. Returns whether nothing was cut.
    auto drain(InFlight& inFlight, SignalSet& signals) -> bool
    {
        signals.async_wait([&inFlight](const boost::system::error_code& cancelled, int) {
            if (!cancelled)
                inFlight.interrupt();
        });
        const bool finished = inFlight.waitForNone();
        signals.cancel();
        return finished;
    }
}

auto runEntry(const EntrySettings& settings) -> int
{
    setLogLevel(settings.logLevel_);
    std::signal(SIGPIPE, SIG_IGN);
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(settings.threads_));
    SignalSet signals(crossplat::threadpool::shared_instance().service(), SIGINT, SIGTERM);

    const SystemClock clock;
    Metrics metrics;
    InFlight inFlight;
    ConfigState config;
    HttpObjectStore platform(settings.store_, settings.storeTimeout_);
    CountingStore store(platform, metrics);
    ConfigFollower follower(store, config);
    InstanceList instances(store);
    CommandService commands(store, config, clock);
    const auto self = ownMember(settings);
    FleetNode fleet(self, config, clock, metrics, fleetOptions(settings),
        { [&instances] { return instances.instances(); }, [&commands](const Withdrawal& withdrawal) { return makeDurable(commands, withdrawal); } });
    CapnpPeerLink peers(
        self.id_, settings.peer_, [&fleet](const std::string& name) { return fleet.resolve(name); }, metrics);
    fleet.attach(peers);
    follower.setObserver(&fleet);
    EscrowBudgets budgets(clock, self.id_, peers, store, config, metrics);
    EscrowAdmitter admitter(budgets);
    LinkMeter links(budgets);
    RegionSteering steering(settings.region_, clock, budgets, links, randomNumber());
    QueuedSteering queued(steering, clock, queuePolicy(settings));
    HttpRequestPipeline pipeline({ clock, config, admitter, queued, metrics, inFlight, static_cast<std::size_t>(settings.maxHeaderBytes_), settings.region_, &links });
    HttpOperatorApi operators(commands, config);
    operators.addSource(std::make_unique<MoveProgressSource>(steering, config, settings.name_));
    operators.addSource(std::make_unique<CommandTrail>(store));
    HttpEntryServer server(settings, config, instances, pipeline, operators, metrics, inFlight);

    OnceGate once(clock, TicketOffice(self.id_, randomHex(ticketSecretBytes)), onceBounds,
        [&instances](const std::string& name) { return isListed(instances.instances(), name); });
    pipeline.setOnce(&once);
    server.setOnce(&once);
    pipeline.setGate(&fleet);
    operators.setFleet(&fleet);
    operators.addSource(std::make_unique<InstanceRows>(fleet));
    server.setFleet(&fleet);

    follower.start();
    queued.start();
    instances.start();
    if (!startListening(settings.peer_, [&peers] { peers.start(); }) || !startListening(settings.http_, [&server] { server.open(); }))
        return 1;
    fleet.start();
    budgets.start();
    logEvent(EventId::EntryStarted, "instance={} address={}", settings.name_, formatSocketAddress(settings.http_));
    const int signal = waitForSignal(signals);
    logEvent(EventId::EntryDraining, "signal={} in_flight={}", signal, inFlight.count());
    server.announceLeaving();
    fleet.announceLeaving();
    pipeline.refuseNew();
    const bool finished = drain(inFlight, signals);
    const auto cut = inFlight.count();
    server.close();
    budgets.leave(shareHandOver);
    budgets.stop();
    fleet.stop();
    peers.stop();
    follower.stop();
    instances.stop();
    queued.stop();
    logEvent(EventId::EntryStopped, "requests_cut={}", cut);
    return finished ? 0 : 1;
}

} // namespace sapphirepass
