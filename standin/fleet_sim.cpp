#include "standin/fleet_sim.h"

#include "fleet/fleet_codec.h"

#include <fmt/format.h>

namespace sapphirepass::standin {

namespace {
    using namespace std::chrono_literals;

    constexpr auto tickPeriod = 100ms;
    constexpr auto longestWatch = 3s;
    constexpr auto retryPause = 500ms;

    auto nodeName(std::size_t node) -> std::string { return fmt::format("e{:04}", node); }
}

FleetSim::FleetSim(SimOptions options)
    : options_(std::move(options))
    , random_(options_.seed_)
    , nodes_(options_.nodes_)
{
    std::vector<Member> members;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const auto region = i % options_.regions_;
        const auto domain = i / options_.regions_ % options_.domainsPerRegion_;
        const SocketAddress address { "127.0.0.1", static_cast<std::uint16_t>(10'000 + i) };
        nodes_[i].self_ = { { nodeName(i), 1 }, fmt::format("r{}", region), fmt::format("r{}-{}", region, domain), address, address };
        byName_[nodeName(i)] = i;
        members.push_back(nodes_[i].self_);
    }
    list_ = std::make_shared<const MemberList>(std::move(members));
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        startNode(i);
        at(clock_.now() + std::uniform_int_distribution<std::int64_t>(0, 100'000)(random_) * 1us, [this, i] { tick(i); });
    }
}

auto FleetSim::startNode(std::size_t node) -> void
{
    auto& started = nodes_[node];
    started.state_ = std::make_unique<ConfigState>();
    started.core_ = std::make_unique<FleetCore>(started.self_, *started.state_, clock_, options_.fleet_, options_.seed_ * 100'003 + node + started.self_.id_.incarnation_);
    started.core_->setPlatformList(list_);
    started.watch_.reset();
    started.seen_ = 0;
}

auto FleetSim::restart(std::size_t node) -> void
{
    auto& restarted = nodes_[node];
    ++restarted.self_.id_.incarnation_;
    ++restarted.run_;
    restarted.dead_ = false;
    restarted.paused_ = false;
    restarted.held_.clear();
    startNode(node);
}

auto FleetSim::at(MonotonicTime time, std::function<void()> action) -> void
{
    events_.push({ time, order_++, std::move(action) });
}

auto FleetSim::run(std::chrono::milliseconds time) -> void
{
    const auto end = clock_.now() + time;
    while (!events_.empty() && events_.top().at_ <= end) {
        const auto event = events_.top();
        events_.pop();
        clock_.advance(event.at_ - clock_.now());
        event.action_();
    }
    clock_.advance(end - clock_.now());
}

auto FleetSim::runUntil(const std::function<bool()>& condition, std::chrono::milliseconds longest) -> bool
{
    const auto end = clock_.now() + longest;
    while (!condition() && clock_.now() < end)
        run(50ms);
    return condition();
}

auto FleetSim::commit(const std::string& text, std::size_t at) -> Revision
{
    const auto revision = ++head_.revision_;
    head_.entries_.push_back({ revision, fmt::format("c{}", revision), "tester", "127.0.0.1", "2026-12-03T00:00:00.000Z", text });
    committed_[revision] = clock_.now();
    act(at, [this, at] { (void)nodes_[at].state_->apply(head_); });
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].watch_)
            this->at(clock_.now() + delay(0, i), [this, i] { answerWatch(i, true); });
    }
    return revision;
}

auto FleetSim::tick(std::size_t node) -> void
{
    at(clock_.now() + tickPeriod, [this, node] { tick(node); });
    auto& ticking = nodes_[node];
    if (ticking.dead_ || ticking.paused_)
        return;
    watchStore(node);
    act(node, [&ticking] { ticking.core_->tick(); });
}

auto FleetSim::watchStore(std::size_t node) -> void
{
    auto& watching = nodes_[node];
    if (watching.watch_ || clock_.now() < watching.nextWatch_ || !watching.core_->shouldWatchStore())
        return;
    ++storeCalls_;
    if (!reachesStore(node)) {
        watching.nextWatch_ = clock_.now() + retryPause;
        return;
    }
    watching.watch_ = clock_.now();
    const auto opened = clock_.now();
    const auto wait = watching.seen_ < head_.revision_ ? Duration(0) : Duration(longestWatch);
    at(clock_.now() + wait + 2 * delay(0, node), [this, node, opened] {
        if (nodes_[node].watch_ == opened)
            answerWatch(node, nodes_[node].seen_ < head_.revision_);
    });
}

auto FleetSim::answerWatch(std::size_t node, bool withHead) -> void
{
    auto& watching = nodes_[node];
    if (!watching.watch_)
        return;
    const auto opened = *std::exchange(watching.watch_, std::nullopt);
    if (!reachesStore(node)) {
        watching.nextWatch_ = clock_.now() + retryPause;
        return;
    }
    act(node, [this, &watching, opened, withHead] {
        if (!withHead)
            watching.core_->storeAnswered(opened);
        else if (watching.core_->storeAnswered(opened, head_))
            watching.seen_ = head_.revision_;
        else
            watching.nextWatch_ = clock_.now() + retryPause;
    });
}

// Runs something on a node, unless it is dead; if it is paused, when it resumes.
auto FleetSim::act(std::size_t node, const std::function<void()>& action) -> void
{
    auto& acting = nodes_[node];
    if (acting.dead_)
        return;
    if (acting.paused_) {
        acting.held_.push_back(action);
        return;
    }
    action();
    const auto revision = acting.state_->snapshot()->revision();
    for (auto reached = revision; reached > 0 && !acting.reached_.contains(reached); --reached)
        acting.reached_[reached] = clock_.now();
    flush(node);
}

auto FleetSim::resume(std::size_t node) -> void
{
    nodes_[node].paused_ = false;
    for (const auto& action : std::exchange(nodes_[node].held_, {}))
        act(node, action);
}

auto FleetSim::flush(std::size_t node) -> void
{
    for (const auto& sent : nodes_[node].core_->takeOutbound()) {
        auto& traffic = nodes_[node].traffic_;
        ++traffic.messages_;
        const auto encoded = encodeFleetMessage(sent.message_);
        traffic.bytes_ += envelopeBytes + static_cast<std::int64_t>(encoded.payload_.size());
        if (!chance(options_.lost_))
            deliver(node, sent.to_, encoded);
        if (chance(options_.doubled_))
            deliver(node, sent.to_, encoded);
    }
}

auto FleetSim::deliver(std::size_t from, const std::string& name, const PeerMessage& message) -> void
{
    const auto found = byName_.find(name);
    if (found == byName_.end())
        return;
    const auto to = found->second;
    const auto run = nodes_[to].run_;
    const auto id = nodes_[from].self_.id_;
    at(clock_.now() + delay(from, to), [this, from, to, run, id, message] {
        if (nodes_[to].run_ == run && !isCut(from, to))
            act(to, [this, to, id, message] { nodes_[to].core_->receive(id, valueOf(decodeFleetMessage(message))); });
    });
}

auto FleetSim::delay(std::size_t from, std::size_t to) -> Duration
{
    const Duration jitter = std::uniform_int_distribution<std::int64_t>(0, options_.jitter_.count())(random_) * 1us;
    if (nodes_[from].self_.region_ != nodes_[to].self_.region_)
        return options_.betweenRegions_ + jitter;
    return (nodes_[from].self_.domain_ == nodes_[to].self_.domain_ ? options_.withinDomain_ : options_.betweenDomains_) + jitter;
}

auto FleetSim::setRegionCut(std::size_t region, bool cut) -> void
{
    if (cut)
        cutRegions_.insert(region);
    else
        cutRegions_.erase(region);
}

auto FleetSim::isCut(std::size_t a, std::size_t b) const -> bool
{
    return regionOf(a) != regionOf(b) && (cutRegions_.contains(regionOf(a)) || cutRegions_.contains(regionOf(b)));
}

auto FleetSim::reachesStore(std::size_t node) const -> bool
{
    const bool far = regionOf(node) != 0 && (cutRegions_.contains(regionOf(node)) || cutRegions_.contains(0));
    return !storeDown_ && !nodes_[node].storeCut_ && !far;
}

auto FleetSim::chance(int percent) -> bool
{
    return percent > 0 && std::uniform_int_distribution(0, 99)(random_) < percent;
}

auto FleetSim::countAt(Revision revision) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [revision](const Node& node) { return !node.dead_ && node.state_->snapshot()->revision() >= revision; }));
}

auto FleetSim::living() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const Node& node) { return !node.dead_; }));
}

auto FleetSim::delaysOf(Revision revision) const -> std::vector<Duration>
{
    std::vector<Duration> delays;
    for (const auto& node : nodes_) {
        const auto reached = node.reached_.find(revision);
        if (reached != node.reached_.end())
            delays.push_back(reached->second - committed_.at(revision));
    }
    return delays;
}

auto FleetSim::clearTraffic() -> void
{
    for (auto& node : nodes_)
        node.traffic_ = {};
    storeCalls_ = 0;
}

auto FleetSim::watchingNodes() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(nodes_.begin(), nodes_.end(), [](const Node& node) { return !node.dead_ && node.watch_.has_value(); }));
}

} // namespace sapphirepass::standin
