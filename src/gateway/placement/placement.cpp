#include "gateway/placement/placement.h"

#include "gateway/hashing.h"
#include "gateway/placement/end_spread.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Owners of an object outside the region that runs it. Kept low so that the object stays warm on each owner:
    // requests for an object that is not warm take several times as long, and spilling them further overloads a service
    // that is merely full.
    constexpr std::size_t maxRemoteOwners = 1;
    // An object gets another owner when its requests would use more than this fraction of its owners' slots.
    constexpr double maxOwnerUtilization = 0.8;
    // Fraction of all slots in use on a busy day.
    constexpr double busyUtilization = 0.8;
    // Processing time on a warm upstream as a fraction of the route's latency target: targets are set so that warm
    // upstreams meet them.
    constexpr double warmTimeFraction = 0.5;
    // A load report is outdated after the duration of a few requests.
    constexpr Duration maxLoadAge = 800ms;
    // Number of instances that send to a cold upstream. Kept low so that each has a useful share of its request rate.
    constexpr std::size_t maxColdSenders = 3;
    // Fraction of a cold upstream's request rate that is used; the rest covers requests that bunch up in transit.
    constexpr double coldRateFraction = 0.8;
    // Extra time of the first request for an object on another upstream, in typical response times: requests for an
    // object that is not warm take about three times as long.
    constexpr int warmUpFactor = 2;
    // During a discovery outage, an upstream whose response takes longer than this many typical response times may be
    // cold. A warm upstream with a short queue, or one that sees an object for the first time, stays near this limit.
    constexpr int stalledFactor = 2;
    // Fraction of the maximum queue wait below which no request is shed.
    constexpr double sheddingStart = 0.25;
    // Gain for which a request leaves the region that its object belongs to, where it finds the object warm less often.
    constexpr Duration minSpillGain = 100ms;
    // An upstream that fails or sheds more than this fraction of its attempts is only used as a last resort.
    constexpr double maxFailureRate = 0.5;
}

namespace {
    // Maps a hash to the range [0, 1).
    auto toUnitInterval(std::uint64_t number) -> double { return static_cast<double>(number >> 11U) / static_cast<double>(1ULL << 53U); }

    auto contains(const std::vector<std::string>& ids, const std::string& id) -> bool
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    auto shareIn(const std::map<std::string, double>& sharesByRegion, const std::string& region) -> double
    {
        const auto found = sharesByRegion.find(region);
        return found == sharesByRegion.end() ? 0 : found->second;
    }
}

Placer::Placer(const Clock& clock, const UpstreamSet& upstreams, const FleetView& fleet, std::string ownRegion, std::string ownDomain, const EndEstimator* estimator)
    : clock_(clock)
    , upstreams_(upstreams)
    , fleet_(fleet)
    , ownRegion_(std::move(ownRegion))
    , ownDomain_(std::move(ownDomain))
    , estimator_(estimator)
    , regionShares_(clock)
    , objectDemand_(clock)
    , spillLimiter_(clock)
{
}

auto Placer::followDemand(RegionDemand& demand, RegionTargetListener& listener) -> void
{
    regionDemand_ = &demand;
    regionShares_.setListener(listener);
}

auto exclusionName(Exclusion exclusion) -> std::string_view
{
    switch (exclusion) {
    case Exclusion::Ineligible:
        return "ineligible";
    case Exclusion::NotHome:
        return "not-home";
    case Exclusion::Paused:
        return "paused";
    case Exclusion::Tried:
        return "tried";
    case Exclusion::Limited:
        return "limited";
    case Exclusion::Cold:
        return "cold";
    case Exclusion::Stalled:
        return "stalled";
    case Exclusion::Unreachable:
        return "unreachable";
    case Exclusion::BodyLimit:
        return "body-limit";
    }
    return "";
}

auto Placer::isHome(const Upstream& upstream, const PlacementQuery& query) const -> bool
{
    const auto* homeRegions = query.homeRegions_;
    return homeRegions == nullptr || homeRegions->empty() || std::find(homeRegions->begin(), homeRegions->end(), upstream.region_) != homeRegions->end();
}

auto Placer::shortestPause(const PlacementQuery& query) const -> std::optional<Duration>
{
    std::optional<Duration> shortest;
    for (const auto& upstream : upstreams_.ofService(query.service_)) {
        const auto left = upstreams_.pauseLeft(*upstream);
        if (left > Duration::zero() && isHome(*upstream, query) && upstreams_.isEligible(*upstream))
            shortest = std::min(left, shortest.value_or(left));
    }
    return shortest;
}

auto Placer::exclusionOf(const Upstream& upstream, const PlacementQuery& query) const -> std::optional<Exclusion>
{
    if (!upstreams_.isEligible(upstream))
        return Exclusion::Ineligible;
    if (!isHome(upstream, query))
        return Exclusion::NotHome;
    if (query.unreachableRegions_.contains(upstream.region_))
        return Exclusion::Unreachable;
    if (upstreams_.pauseLeft(upstream) > Duration::zero())
        return Exclusion::Paused;
    if (contains(query.tried_, upstream.entry_.id_))
        return Exclusion::Tried;
    if (contains(query.limited_, upstream.entry_.id_) || (query.skipsLimited_ && upstream.notices_->limit_.perSecond_))
        return Exclusion::Limited;
    if (!isWithinColdRate(upstream, query))
        return Exclusion::Cold;
    if (isStalled(upstream, query))
        return Exclusion::Stalled;
    if (query.bodyLimiter_ != nullptr && !query.bodyLimiter_->mayTakeBody(upstream, query.bodyBytes_))
        return Exclusion::BodyLimit;
    return std::nullopt;
}

auto Placer::countExclusions(const PlacementQuery& query) const -> std::map<Exclusion, int>
{
    std::map<Exclusion, int> counts;
    for (const auto& upstream : upstreams_.ofService(query.service_)) {
        if (const auto exclusion = exclusionOf(*upstream, query))
            ++counts[*exclusion];
    }
    return counts;
}

// A few instances share the request rate of a cold upstream; each spaces its requests evenly.
auto Placer::isWithinColdRate(const Upstream& upstream, const PlacementQuery& query) const -> bool
{
    const auto now = clock_.now();
    if (now >= upstream.coldUntil_ || query.coldPerSecond_ <= 0)
        return true;
    return fleet_.coldSenderCount(upstream.entry_.id_, maxColdSenders).has_value() && now >= upstream.nextColdSend_;
}

// Protects upstreams that become cold during a discovery outage. A health request waits in the upstream's queue for
// longer than the upstream survives its usual load, but overdue responses are noticed at once.
auto Placer::isStalled(const Upstream& upstream, const PlacementQuery& query) const -> bool
{
    if (upstream.sentAt_.empty() || query.coldPerSecond_ <= 0 || !(fleet_.isOwnSourceLost() || fleet_.isSourceLost()))
        return false;
    return clock_.now() - *upstream.sentAt_.begin() > query.typicalResponseTime_ * stalledFactor;
}

auto Placer::recordColdSend(Upstream& upstream, const PlacementQuery& query) const -> void
{
    const auto now = clock_.now();
    const auto senders = fleet_.coldSenderCount(upstream.entry_.id_, maxColdSenders);
    if (now >= upstream.coldUntil_ || query.coldPerSecond_ <= 0 || !senders)
        return;
    const double pace = query.coldPerSecond_ * coldRateFraction / static_cast<double>(*senders);
    upstream.nextColdSend_ = now + fromSeconds(1 / pace);
}

// The reported load covers requests of all instances; inFlight_ also covers requests that this instance sent since.
auto Placer::occupied(const Upstream& upstream) const -> int
{
    const bool isFresh = clock_.now() - upstream.loadAt_ <= maxLoadAge;
    const int reported = isFresh ? upstream.load_.running_ + upstream.load_.waiting_ : 0;
    return std::max(reported, upstream.inFlight_);
}

auto Placer::isHealthy(const Upstream& upstream) const -> bool
{
    return clock_.now() >= upstream.ejectedUntil_ && upstream.failureRate_ < maxFailureRate;
}

// Unhealthy upstreams are only candidates if there are no healthy ones.
auto Placer::candidates(const PlacementQuery& query) const -> Candidates
{
    Candidates found;
    const auto object = query.object_.value_or(query.requestHash_);
    for (const auto& upstream : upstreams_.ofService(query.service_)) {
        if (mayPlaceOn(*upstream, query))
            found.push_back({ upstream, rendezvousWeight(object, upstream->entry_.id_), occupied(*upstream) });
    }
    const auto unhealthy = std::stable_partition(found.begin(), found.end(), [this](const auto& candidate) { return isHealthy(*candidate.upstream_); });
    if (unhealthy != found.begin())
        found.erase(unhealthy, found.end());
    return found;
}

// Counts the slots of all upstreams that may get work, healthy or not, so that shares do not change with each failure.
// Capacity that workspaces bound to a region are expected to use is subtracted.
auto Placer::regionCapacities(const PlacementQuery& query) const -> std::vector<RegionCapacity>
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
    std::vector<RegionCapacity> capacities;
    capacities.reserve(slots.size());
    for (const auto& [region, count] : slots) {
        const auto reserved = query.homeRegionShares_ == nullptr ? 0 : shareIn(*query.homeRegionShares_, region);
        capacities.push_back({ region, std::max(0.0, count - total * reserved * busyUtilization) });
    }
    return capacities;
}

// Maps the object to a fixed point in [0, 1) and looks up the share that covers it, so that a changed share moves only
// the objects near its boundary.
auto Placer::targetRegion(std::uint64_t object, const PlacementQuery& query) -> std::string
{
    constexpr std::uint64_t regionHashSeed = 0x5ea1;
    const auto capacities = [this, &query] { return regionCapacities(query); };
    const auto demands = [this, &query] { return regionDemand_ == nullptr ? std::vector<RegionLoad>() : regionDemand_->ofService(query.service_); };
    const auto& shares = regionShares_.current(query.service_, ownRegion_, capacities, demands);
    double at = toUnitInterval(stableHash(ownRegion_, object ^ regionHashSeed));
    for (const auto& share : shares) {
        if (at < share.share_)
            return share.region_;
        at -= share.share_;
    }
    return ownRegion_;
}

auto Placer::firstOwners(Candidates candidates, std::size_t maxCount) const -> Candidates
{
    const auto first = std::min(maxCount, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first), candidates.end(), [](const auto& a, const auto& b) { return a.weight_ > b.weight_; });
    candidates.resize(first);
    return candidates;
}

// Spreads hot objects: with a single owner each, a few popular objects would fill their owners while other upstreams
// idle.
auto Placer::ownersNeeded(const PlacementQuery& query, const Candidates& near) -> std::size_t
{
    if (!query.object_)
        return 2;
    const double requestsPerSecond = objectDemand_.recordRequest(*query.object_);
    const auto peers = static_cast<double>(fleet_.connectedMembers(ownRegion_).size() + 1);
    const double warmResponseTime = inSeconds(query.latencyTarget_) * warmTimeFraction;
    const double slots = near.empty() ? 1 : near.front().upstream_->entry_.slots_;
    const double needed = requestsPerSecond * peers * warmResponseTime / (slots * maxOwnerUtilization);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(needed)));
}

// Each request starts at a different owner, so that the owners fill evenly.
auto Placer::firstWithFreeSlot(const Candidates& owners, std::uint64_t spread) const -> std::optional<Placement>
{
    for (std::size_t i = 0; i < owners.size(); ++i) {
        const auto rank = (i + spread) % owners.size();
        const auto& candidate = owners[rank];
        const int slots = candidate.upstream_->entry_.slots_;
        // Other instances send to it as well; half of the slots is more than the share of one instance.
        if (candidate.upstream_->inFlight_ < (slots + 1) / 2 && candidate.occupied_ < slots)
            return Placement { candidate.upstream_, static_cast<int>(rank), Duration::zero(), candidate.occupied_, owners.size() };
    }
    return std::nullopt;
}

// Load shedding. Instances do not see what others send at the same moment: if each sent up to the maximum queue wait,
// together they would exceed it. The probability of shedding therefore rises with the expected wait.
auto Placer::shouldShed(Duration wait, const PlacementQuery& query) const -> bool
{
    if (wait > query.maxQueueWait_)
        return true;
    const double waitFraction = inSeconds(wait) / inSeconds(query.maxQueueWait_);
    const double shedProbability = (waitFraction - sheddingStart) / (1 - sheddingStart);
    return toUnitInterval(query.requestHash_) < shedProbability;
}

auto Placer::placeOnLeastLoaded(const Candidates& owners, const PlacementQuery& query) const -> PlacementResult
{
    const auto least = std::min_element(owners.begin(), owners.end(), [](const auto& a, const auto& b) {
        return a.occupied_ * b.upstream_->entry_.slots_ < b.occupied_ * a.upstream_->entry_.slots_;
    });
    const int slots = least->upstream_->entry_.slots_;
    const int ahead = std::max(0, least->occupied_ + 1 - slots);
    const auto wait = query.typicalResponseTime_ * ahead / slots;
    if (shouldShed(wait, query))
        return PlacementRefusal::Full;
    return Placement { least->upstream_, static_cast<int>(least - owners.begin()), wait, least->occupied_, owners.size() };
}

auto Placer::addNearOwner(Candidates& owners, const Candidates& candidates) const -> void
{
    if (std::any_of(owners.begin(), owners.end(), [this](const auto& owner) { return isNear(*owner.upstream_); }))
        return;
    const Candidate* first = nullptr;
    for (const auto& candidate : candidates) {
        if (isNear(*candidate.upstream_) && (first == nullptr || candidate.weight_ > first->weight_))
            first = &candidate;
    }
    if (first != nullptr)
        owners.push_back(*first);
}

auto Placer::estimateOwners(const PlacementQuery& query, const Candidates& owners) const -> std::vector<EndCandidate>
{
    const auto endQuery = query.endQuery();
    const auto warmRun = estimator_->runTimes(endQuery).warm_;
    std::vector<EndCandidate> estimated;
    estimated.reserve(owners.size());
    const auto bytes = estimator_->expectedBytes(query.route_);
    for (const auto& owner : owners) {
        const bool near = isNear(*owner.upstream_);
        const bool hasConnection = connections_ == nullptr || connections_->hasIdleConnection(owner.upstream_);
        estimated.push_back({ estimator_->estimate(*owner.upstream_, endQuery), warmRun, static_cast<int>(estimated.size()), near, bytes, hasConnection });
    }
    return estimated;
}

// The owners of the object in its region, and one in another region at a limited rate. A request is refused if it would still wait
// for a slot when it has to be running.
auto Placer::placeByExpectedEnd(const PlacementQuery& query, const Candidates& near, const Candidates& far) -> PlacementResult
{
    const auto& home = near.empty() ? far : near;
    const auto warmRun = estimator_->runTimes(query.endQuery()).warm_;
    const auto rate = query.object_ ? estimator_->regionRate(*query.object_) : 0;
    const int slots = home.front().upstream_->entry_.slots_;
    auto owners = firstOwners(home, ownersForDemand(rate, warmRun, slots));
    if (needsNearOwner(estimator_->expectedBytes(query.route_)))
        addNearOwner(owners, home);
    const auto estimates = estimateOwners(query, owners);
    const auto earliest = chooseByExpectedEnd(estimates).value_or(0);
    const bool isRunLearned = estimator_->isRunLearned(query.route_);
    const auto placed = [isRunLearned](const Candidate& owner, const EndCandidate& end, std::size_t ownerCount) {
        return Placement { owner.upstream_, end.rank_, end.estimate_.wait_, static_cast<int>(std::lround(end.estimate_.occupied_)), ownerCount, true, end.estimate_.run_, isRunLearned };
    };
    if (!near.empty() && !far.empty()) {
        const auto other = firstOwners(far, maxRemoteOwners);
        const auto otherEnd = estimateOwners(query, other).front();
        if (comparedEnd(otherEnd) + minSpillGain < comparedEnd(estimates[earliest]) && spillLimiter_.takeSpill())
            return placed(other.front(), otherEnd, owners.size() + 1);
    }
    if (estimates[earliest].estimate_.wait_ > query.maxQueueWait_)
        return PlacementRefusal::Full;
    const auto addedWait = fromSeconds(inSeconds(expectedAddedWait(rate, warmRun, slots)) * utilizationOf(estimates, slots));
    const auto drawn = chooseBySpread(estimates, addedWait, toUnitInterval(stableHash("spread", query.requestHash_))).value_or(earliest);
    // The spread must not make a request wait for longer than it can.
    const auto chosen = estimates[drawn].estimate_.wait_ > query.maxQueueWait_ ? earliest : drawn;
    return placed(owners[chosen], estimates[chosen], owners.size());
}

// Prefers owners in the object's region, even after a short wait. Owners in other regions take requests that spill
// over, at a limited rate.
auto Placer::place(const PlacementQuery& query) -> PlacementResult
{
    auto found = candidates(query);
    if (found.empty())
        return PlacementRefusal::NoUpstream;
    spillLimiter_.countRequest();
    const auto region = targetRegion(query.object_.value_or(query.requestHash_), query);
    const auto elsewhere = std::stable_partition(found.begin(), found.end(), [&region](const auto& candidate) { return candidate.upstream_->region_ == region; });
    const Candidates nearby(found.begin(), elsewhere);
    if (usesEstimates(query.service_))
        return placeByExpectedEnd(query, nearby, Candidates(elsewhere, found.end()));
    const auto near = firstOwners(nearby, ownersNeeded(query, nearby));
    const auto far = firstOwners(Candidates(elsewhere, found.end()), std::max(maxRemoteOwners, near.empty() ? ownersNeeded(query, found) : 1));
    if (near.empty()) {
        const auto free = firstWithFreeSlot(far, query.requestHash_);
        return free ? PlacementResult(*free) : placeOnLeastLoaded(far, query);
    }
    if (const auto free = firstWithFreeSlot(near, query.requestHash_))
        return *free;
    auto waiting = placeOnLeastLoaded(near, query);
    const auto* nearest = std::get_if<Placement>(&waiting);
    if (nearest != nullptr && nearest->expectedWait_ <= query.typicalResponseTime_ * warmUpFactor)
        return waiting;
    const auto free = firstWithFreeSlot(far, query.requestHash_);
    if (free && spillLimiter_.takeSpill())
        return *free;
    return waiting;
}

} // namespace sapphirepass
