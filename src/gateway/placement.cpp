#include "gateway/placement.h"

#include "gateway/hashing.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Upstreams that share the requests of an object, in the region of its callers and elsewhere. Few, so that it stays
    // warm on each: work on a cold upstream takes several times as long, and requests that spill further turn a full
    // service into an overloaded one.
    constexpr std::size_t farOwners = 1;
    // An object gets another owner when its requests would take more than this part of the slots of those it has.
    constexpr double ownerUse = 0.8;
    // Part of all slots that is in use on a busy day.
    constexpr double usualUse = 0.8;
    // Warm work, in parts of the route's latency target: targets are set so that warm work meets them.
    constexpr double warmPart = 0.5;
    // A stated load says little after the time of a few requests.
    constexpr Duration loadAge = 800ms;
    // Instances that send to a cold upstream: few, so that each may send at a useful pace.
    constexpr std::size_t coldSenders = 3;
    // Part of what a cold upstream bears that is used; the rest covers requests that bunch up on the way.
    constexpr double coldPart = 0.8;
    // Work on a cold object takes about three times as long: what the first run elsewhere would cost, in usual works.
    constexpr int warmUpWorks = 2;
    // In an outage of discovery: an answer that takes longer than this many usual works may come from a cold upstream.
    // Warm ones with a short queue and the first run of an object stay near it.
    constexpr int stalledWorks = 2;
    // Part of the longest wait up to which no request is refused.
    constexpr double surelyTaken = 0.25;
    // An upstream that fails or sheds more than this share of its attempts is used last.
    constexpr double failingShare = 0.5;
}

namespace {
    // A number from 0 to 1 that differs between requests.
    auto unitOf(std::uint64_t number) -> double { return static_cast<double>(number >> 11U) / static_cast<double>(1ULL << 53U); }

    auto partIn(const std::map<std::string, double>& parts, const std::string& region) -> double
    {
        const auto found = parts.find(region);
        return found == parts.end() ? 0 : found->second;
    }
}

Placer::Placer(const Clock& clock, const UpstreamSet& upstreams, const FleetView& fleet, std::string ownRegion)
    : clock_(clock)
    , upstreams_(upstreams)
    , fleet_(fleet)
    , ownRegion_(std::move(ownRegion))
    , shares_(clock)
    , demand_(clock)
    , spills_(clock)
{
}

auto Placer::mayUse(const Upstream& upstream, const PlacementQuery& query) const -> bool
{
    if (!upstreams_.isEligible(upstream))
        return false;
    const auto* homes = query.homes_;
    if (homes != nullptr && !homes->empty() && std::find(homes->begin(), homes->end(), upstream.region_) == homes->end())
        return false;
    if (std::find(query.tried_.begin(), query.tried_.end(), upstream.entry_.id_) != query.tried_.end())
        return false;
    return bearsCold(upstream, query) && !isStalled(upstream, query);
}

// A few instances share what a cold upstream bears, each at an even pace.
auto Placer::bearsCold(const Upstream& upstream, const PlacementQuery& query) const -> bool
{
    const auto now = clock_.now();
    if (now >= upstream.coldUntil_ || query.coldPerSecond_ <= 0)
        return true;
    return fleet_.coldSenderCount(upstream.entry_.id_, coldSenders).has_value() && now >= upstream.nextColdSend_;
}

// Answers the load of upstreams that become cold while discovery is away: a health request waits behind their queue for
// longer than they bear their usual load, but their answers stay away at once.
auto Placer::isStalled(const Upstream& upstream, const PlacementQuery& query) const -> bool
{
    if (upstream.sentAt_.empty() || query.coldPerSecond_ <= 0 || !fleet_.isSourceLost())
        return false;
    return clock_.now() - *upstream.sentAt_.begin() > query.usualWork_ * stalledWorks;
}

auto Placer::noteSent(Upstream& upstream, const PlacementQuery& query) const -> void
{
    const auto now = clock_.now();
    const auto senders = fleet_.coldSenderCount(upstream.entry_.id_, coldSenders);
    if (now >= upstream.coldUntil_ || query.coldPerSecond_ <= 0 || !senders)
        return;
    const double pace = query.coldPerSecond_ * coldPart / static_cast<double>(*senders);
    upstream.nextColdSend_ = now + fromSeconds(1 / pace);
}

// The stated load counts requests of all instances, the own ones those sent since.
auto Placer::occupied(const Upstream& upstream) const -> int
{
    const bool fresh = clock_.now() - upstream.loadAt_ <= loadAge;
    const int stated = fresh ? upstream.load_.running_ + upstream.load_.waiting_ : 0;
    return std::max(stated, upstream.inFlight_);
}

auto Placer::isSound(const Upstream& upstream) const -> bool
{
    return clock_.now() >= upstream.ejectedUntil_ && upstream.failureRate_ < failingShare;
}

// Unsound upstreams are kept for when nothing else is left.
auto Placer::candidates(const PlacementQuery& query) const -> Candidates
{
    Candidates found;
    const auto object = query.object_.value_or(query.spread_);
    for (const auto& upstream : upstreams_.ofService(query.service_)) {
        if (mayUse(*upstream, query))
            found.push_back({ upstream, rendezvousWeight(object, upstream->entry_.id_), occupied(*upstream) });
    }
    const auto unsound = std::stable_partition(found.begin(), found.end(), [this](const auto& candidate) { return isSound(*candidate.upstream_); });
    if (unsound != found.begin())
        found.erase(unsound, found.end());
    return found;
}

// Room is what is declared open, sound or not: shares must not follow each failure. What workspaces that may run
// nowhere else will take of it is left to them.
auto Placer::roomOf(const PlacementQuery& query) const -> std::vector<RegionRoom>
{
    std::map<std::string, int> slots;
    for (const auto& region : upstreams_.regions())
        slots[region] = 0;
    for (const auto& upstream : upstreams_.ofService(query.service_)) {
        if (upstreams_.isEligible(*upstream))
            slots[upstream->region_] += upstream->entry_.slots_;
    }
    double total = 0;
    for (const auto& [region, count] : slots)
        total += count;
    std::vector<RegionRoom> room;
    room.reserve(slots.size());
    for (const auto& [region, count] : slots) {
        const auto homed = query.homedParts_ == nullptr ? 0 : partIn(*query.homedParts_, region);
        room.push_back({ region, std::max(0.0, count - total * homed * usualUse) });
    }
    return room;
}

// Objects keep their place on the line of shares, so that a share that moves moves only the objects at its edge.
auto Placer::regionOf(std::uint64_t object, const PlacementQuery& query) -> std::string
{
    constexpr std::uint64_t regionSeed = 0x5ea1;
    const auto& shares = shares_.current(query.service_, ownRegion_, [this, &query] { return roomOf(query); });
    double at = unitOf(stableHash(ownRegion_, object ^ regionSeed));
    for (const auto& share : shares) {
        if (at < share.share_)
            return share.region_;
        at -= share.share_;
    }
    return ownRegion_;
}

auto Placer::ownersOf(Candidates candidates, std::size_t most) const -> Candidates
{
    const auto first = std::min(most, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first), candidates.end(), [](const auto& a, const auto& b) { return a.weight_ > b.weight_; });
    candidates.resize(first);
    return candidates;
}

// Answers a few objects that most callers ask for: one owner each would be full while others idle.
auto Placer::ownersNeeded(const PlacementQuery& query, const Candidates& near) -> std::size_t
{
    if (!query.object_)
        return 2;
    const double perSecond = demand_.recordRequest(*query.object_);
    const auto peers = static_cast<double>(fleet_.readyMembers(ownRegion_).size() + 1);
    const double work = inSeconds(query.latencyTarget_) * warmPart;
    const double slots = near.empty() ? 1 : near.front().upstream_->entry_.slots_;
    const double needed = perSecond * peers * work / (slots * ownerUse);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(needed)));
}

// Several owners are used alike, so that none fills first: each request starts at one of them.
auto Placer::firstFree(const Candidates& owners, std::uint64_t spread) const -> std::optional<Placement>
{
    for (std::size_t i = 0; i < owners.size(); ++i) {
        const auto rank = (i + spread) % owners.size();
        const auto& candidate = owners[rank];
        const int slots = candidate.upstream_->entry_.slots_;
        // Other instances send there as well: half of the slots is more than one instance's part.
        if (candidate.upstream_->inFlight_ < (slots + 1) / 2 && candidate.occupied_ < slots)
            return Placement { candidate.upstream_, static_cast<int>(rank), Duration::zero(), candidate.occupied_, owners.size() };
    }
    return std::nullopt;
}

// Instances do not see what others send at the same moment. If all of them sent up to the longest wait, they would
// together send beyond it; so the more of it is taken, the more of them refuse.
auto Placer::isRefused(Duration wait, const PlacementQuery& query) const -> bool
{
    if (wait > query.longestWait_)
        return true;
    const double taken = inSeconds(wait) / inSeconds(query.longestWait_);
    const double refused = (taken - surelyTaken) / (1 - surelyTaken);
    return unitOf(query.spread_) < refused;
}

auto Placer::leastWait(const Candidates& owners, const PlacementQuery& query) const -> PlacementResult
{
    const auto least = std::min_element(owners.begin(), owners.end(), [](const auto& a, const auto& b) {
        return a.occupied_ * b.upstream_->entry_.slots_ < b.occupied_ * a.upstream_->entry_.slots_;
    });
    const int slots = least->upstream_->entry_.slots_;
    const int ahead = std::max(0, least->occupied_ + 1 - slots);
    const auto wait = query.usualWork_ * ahead / slots;
    if (isRefused(wait, query))
        return PlacementRefusal::Full;
    return Placement { least->upstream_, static_cast<int>(least - owners.begin()), wait, least->occupied_, owners.size() };
}

// The owners in the object's region come first, also after a short wait; those elsewhere take what spills, at a steady
// pace.
auto Placer::place(const PlacementQuery& query) -> PlacementResult
{
    auto found = candidates(query);
    if (found.empty())
        return PlacementRefusal::NoUpstream;
    spills_.noteRequest();
    const auto region = regionOf(query.object_.value_or(query.spread_), query);
    const auto elsewhere = std::stable_partition(found.begin(), found.end(), [&region](const auto& candidate) { return candidate.upstream_->region_ == region; });
    const Candidates nearby(found.begin(), elsewhere);
    const auto near = ownersOf(nearby, ownersNeeded(query, nearby));
    const auto far = ownersOf(Candidates(elsewhere, found.end()), std::max(farOwners, near.empty() ? ownersNeeded(query, found) : 1));
    if (near.empty()) {
        const auto free = firstFree(far, query.spread_);
        return free ? PlacementResult(*free) : leastWait(far, query);
    }
    if (const auto free = firstFree(near, query.spread_))
        return *free;
    auto waiting = leastWait(near, query);
    const auto* nearest = std::get_if<Placement>(&waiting);
    if (nearest != nullptr && nearest->expectedWait_ <= query.usualWork_ * warmUpWorks)
        return waiting;
    const auto free = firstFree(far, query.spread_);
    if (free && spills_.takeSpill())
        return *free;
    return waiting;
}

} // namespace sapphirepass
