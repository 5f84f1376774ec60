#include "entry/http_entry_daemon.h"

#include "base/event_log.h"
#include "base/random.h"
#include "steering/move_progress.h"
#include "store/command_trail.h"

#include <algorithm>
#include <functional>
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

    // A withdrawal that the log refuses, such as of a key that is retired, is settled as well.
    auto makeDurable(CommandService& commands, const Withdrawal& withdrawal) -> bool
    {
        const auto result = commands.submit({ "withdraw key " + withdrawal.key_, withdrawal.id_, withdrawal.who_, withdrawal.from_, CommandMode::Real, std::nullopt });
        return isOk(result) || (errorOf(result).kind_ != CommandErrorKind::NotAccepted && errorOf(result).kind_ != CommandErrorKind::OutcomeUnknown);
    }
}

HttpEntryDaemon::HttpEntryDaemon(const EntrySettings& settings)
    : settings_(settings)
    , self_(ownMember(settings))
    , platform_(settings.store_, settings.storeTimeout_)
    , store_(platform_, metrics_)
    , follower_(store_, config_)
    , instances_(store_)
    , commands_(store_, config_, clock_)
    , fleet_(self_, config_, clock_, metrics_, fleetOptions(settings),
          { [this] { return instances_.instances(); }, [this](const Withdrawal& withdrawal) { return makeDurable(commands_, withdrawal); } })
    , peers_(
          self_.id_, settings.peer_, [this](const std::string& name) { return fleet_.resolve(name); }, metrics_)
    , budgets_(clock_, self_.id_, peers_, store_, config_, metrics_)
    , admitter_(budgets_)
    , links_(budgets_)
    , steering_(settings.region_, clock_, budgets_, links_, randomNumber())
    , queued_(steering_, clock_, queuePolicy(settings))
    , once_(clock_, TicketIssuer(self_.id_, randomHex(ticketSecretBytes)), onceBounds, [this](const std::string& name) { return isListed(name); })
    , pipeline_({ clock_, config_, admitter_, queued_, metrics_, inFlight_, static_cast<std::size_t>(settings.maxHeaderBytes_), settings.region_, &links_ })
    , operators_(commands_, config_)
    , server_(settings_, config_, instances_, pipeline_, operators_, metrics_, inFlight_)
{
    connectParts();
}

auto HttpEntryDaemon::connectParts() -> void
{
    fleet_.attach(peers_);
    follower_.setObserver(&fleet_);
    pipeline_.setGate(&fleet_);
    pipeline_.setOnce(&once_);
    operators_.setFleet(&fleet_);
    operators_.addSource(std::make_unique<MoveProgressSource>(steering_, config_, settings_.name_));
    operators_.addSource(std::make_unique<CommandTrail>(store_));
    operators_.addSource(std::make_unique<InstanceRows>(fleet_));
    server_.setFleet(&fleet_);
    server_.setOnce(&once_);
}

auto HttpEntryDaemon::isListed(const std::string& instance) const -> bool
{
    const auto listed = instances_.instances();
    return std::any_of(listed.begin(), listed.end(), [&instance](const PlatformInstance& row) { return row.name_ == instance; });
}

auto HttpEntryDaemon::start() -> bool
{
    follower_.start();
    queued_.start();
    instances_.start();
    if (!startListening(settings_.peer_, [this] { peers_.start(); }) || !startListening(settings_.http_, [this] { server_.open(); }))
        return false;
    fleet_.start();
    budgets_.start();
    return true;
}

auto HttpEntryDaemon::announceLeaving() -> void
{
    server_.announceLeaving();
    fleet_.announceLeaving();
    pipeline_.refuseNew();
}

auto HttpEntryDaemon::stop() -> void
{
    server_.close();
    budgets_.leave(shareHandOver);
    budgets_.stop();
    fleet_.stop();
    peers_.stop();
    follower_.stop();
    instances_.stop();
    queued_.stop();
}

} // namespace sapphirepass
