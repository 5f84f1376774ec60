#include "entry/run_entry.h"

#include "base/event_log.h"
#include "base/random.h"
#include "entry/http_entry_server.h"
#include "fleet/capnp_peer_link.h"
#include "steering/fixed_share_budgets.h"
#include "steering/queued_steering.h"
#include "steering/region_steering.h"
#include "store/command_trail.h"
#include "store/config_follower.h"
#include "store/http_object_store.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <future>
#include <pplx/threadpool.h>

namespace sapphirepass {

namespace {
    // One workspace may take half of the waiting room.
    auto queuePolicy(const EntrySettings& settings) -> QueuePolicy
    {
        const auto total = static_cast<std::size_t>(settings.queueLength_);
        return { { total, (total + 1) / 2 }, settings.queueWait_ };
    }

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

    auto findPeerAddress(const std::vector<PlatformInstance>& instances, const std::string& name) -> std::optional<SocketAddress>
    {
        const auto found = std::find_if(instances.begin(), instances.end(), [&name](const auto& instance) { return instance.name_ == name; });
        return found == instances.end() ? std::nullopt : std::optional(found->peer_);
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
    HttpObjectStore store(settings.store_, settings.storeTimeout_);
    ConfigFollower follower(store, config);
    InstanceList instances(store);
    const InstanceId self { settings.name_, randomNumber() };
    CapnpPeerLink peers(
        self, settings.peer_, [&instances](const std::string& name) { return findPeerAddress(instances.instances(), name); }, metrics);
    CommandService commands(store, config, clock);
    EqualSplitAdmitter admitter(clock, settings.maxInstances_);
    FixedShareBudgets budgets(clock, config, settings.maxInstances_);
    LinkMeter links(budgets);
    RegionSteering steering(settings.region_, clock, budgets, links, randomNumber());
    QueuedSteering queued(steering, clock, queuePolicy(settings));
    HttpRequestPipeline pipeline({ clock, config, admitter, queued, metrics, inFlight, static_cast<std::size_t>(settings.maxHeaderBytes_), settings.region_, &links });
    HttpOperatorApi operators(commands, config);
    operators.addSource(std::make_unique<CommandTrail>(store));
    HttpEntryServer server(settings, config, instances, pipeline, operators, metrics, inFlight);

    follower.start();
    queued.start();
    instances.start();
    if (!startListening(settings.peer_, [&peers] { peers.start(); }) || !startListening(settings.http_, [&server] { server.open(); }))
        return 1;
    logEvent(EventId::EntryStarted, "instance={} address={}", settings.name_, formatSocketAddress(settings.http_));
    const int signal = waitForSignal(signals);
    logEvent(EventId::EntryDraining, "signal={} in_flight={}", signal, inFlight.count());
    server.announceLeaving();
    pipeline.refuseNew();
    const bool finished = drain(inFlight, signals);
    const auto cut = inFlight.count();
    server.close();
    peers.stop();
    follower.stop();
    instances.stop();
    queued.stop();
    logEvent(EventId::EntryStopped, "requests_cut={}", cut);
    return finished ? 0 : 1;
}

} // namespace sapphirepass
