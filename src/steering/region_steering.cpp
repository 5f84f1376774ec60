#include "steering/region_steering.h"

#include "base/event_log.h"
#include "base/texts.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // A retry is of no use before a slot has become free.
    constexpr std::chrono::milliseconds overloadRetryAfter { 1'000 };
    // Shed rate above which the local region counts as full. Below it, waiting for a local slot is faster than a remote call.
    constexpr double spillThreshold = 0.8;
    // A move is held back unless at least this fraction of its target's upstreams is warm and accepts requests.
    constexpr double minReadyFraction = 0.5;
    // Regions with a higher shed rate have no spare capacity for requests of other regions.
    constexpr double maxRemoteShedRate = 0.5;

    auto regionOf(const Snapshot& snapshot, const Upstream& upstream) -> std::string
    {
        const auto* domain = snapshot.find<FailureDomain>(upstream.domain_);
        return domain == nullptr ? std::string() : domain->region_;
    }

    auto utilization(const Upstream& upstream, const UpstreamRecord& record) -> double
    {
        return static_cast<double>(record.inFlight()) / static_cast<double>(upstream.slots_);
    }
}

RegionSteering::RegionSteering(std::string region, const Clock& clock, Budgets& budgets, LinkMeter& links, std::uint64_t seed)
    : region_(region)
    , clock_(clock)
    , budgets_(budgets)
    , links_(links)
    , random_(seed)
    , moves_(std::move(region), budgets)
{
}

auto RegionSteering::acquire(const SteeringRequest& request, Handler handler) -> void
{
    handler(choose(request));
}

auto RegionSteering::release(const Assignment& assignment, CallOutcome outcome) -> void
{
    if (!assignment.chargedRegion_.empty())
        budgets_.releaseSlots({ BudgetKind::RegionSlots, assignment.chargedRegion_ }, 1);
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    auto& record = records_[assignment.upstream_.name_];
    if (snapshot_ != nullptr && (outcome == CallOutcome::Answered || outcome == CallOutcome::Shed))
        shedRates_[{ assignment.upstream_.service_, regionOf(*snapshot_, assignment.upstream_) }].recordCall(outcome == CallOutcome::Shed, now);
    if (record.release(outcome, now, mayEject(assignment.upstream_, now)))
        logEvent(EventId::UpstreamEjected, "upstream={}", assignment.upstream_.name_);
}

// Upstreams that are not in this instance's first configuration are taken as just started, so they begin cold.
auto RegionSteering::applySnapshot(const Snapshot& snapshot, MonotonicTime now) -> void
{
    const bool first = snapshot_ == nullptr;
    snapshot.table<Upstream>().forEach([&](const Upstream& upstream) {
        records_.try_emplace(upstream.name_, first ? std::nullopt : std::optional(now));
    });
    std::erase_if(records_, [&](const auto& entry) { return entry.second.inFlight() == 0 && snapshot.find<Upstream>(entry.first) == nullptr; });
}

auto RegionSteering::findCandidates(const SteeringRequest& request, MonotonicTime now) -> CandidatesByRegion
{
    CandidatesByRegion regions;
    request.snapshot_->table<Upstream>().forEach([&](const Upstream& upstream) {
        if (upstream.service_ != request.service_ || upstream.state_ != UpstreamState::Active || request.tried_.contains(upstream.name_))
            return;
        auto& record = records_[upstream.name_];
        const bool usable = !record.isEjected(now) && !record.isBackingOff(now) && record.inFlight() < record.maxInFlight(upstream, now);
        if (usable)
            regions[regionOf(*request.snapshot_, upstream)].push_back({ &upstream, &record });
    });
    return regions;
}

// Prefers the upstream with the slot that this instance released last: it is most likely still free, as other instances
// prefer the slots that they released. Otherwise takes the lowest utilization by this instance, then the earliest end of
// backoff.
auto RegionSteering::chooseUpstream(const Candidates& candidates, MonotonicTime now) -> Candidate
{
    const Candidate* freed = nullptr;
    for (const auto& candidate : candidates) {
        const auto at = candidate.record_->freedAt(now);
        if (at && (freed == nullptr || *at > *freed->record_->freedAt(now)))
            freed = &candidate;
    }
    if (freed != nullptr)
        return *freed;
    // Ties are broken at random, so that instances do not all try upstreams in the same order.
    std::size_t ties = 0;
    const Candidate* best = nullptr;
    const auto rank = [](const Candidate& candidate) { return std::pair(utilization(*candidate.upstream_, *candidate.record_), candidate.record_->backoffUntil()); };
    for (const auto& candidate : candidates) {
        if (best != nullptr && rank(*best) < rank(candidate))
            continue;
        ties = best != nullptr && rank(*best) == rank(candidate) ? ties + 1 : 1;
        if (std::uniform_int_distribution<std::size_t>(1, ties)(random_) == 1)
            best = &candidate;
    }
    return *best;
}

auto RegionSteering::tryAssign(const SteeringRequest& request, const std::string& region, const Candidates& candidates, MonotonicTime now) -> std::optional<Assignment>
{
    const auto* declared = request.snapshot_->find<Region>(region);
    const bool limited = declared != nullptr && declared->limit_ > 0;
    const BudgetId slots { BudgetKind::RegionSlots, region };
    if (limited && !budgets_.trySpend(slots, 1))
        return std::nullopt;
    if (region != region_ && !links_.tryReserve(*request.snapshot_, { request.service_, region_, region }, request.bodyBytes_)) {
        if (limited)
            budgets_.releaseSlots(slots, 1);
        return std::nullopt;
    }
    const auto chosen = chooseUpstream(candidates, now);
    chosen.record_->occupySlot();
    return Assignment { *chosen.upstream_, limited ? region : std::string() };
}

auto RegionSteering::choose(const SteeringRequest& request) -> Result<Assignment, Refusal>
{
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    if (snapshot_ != request.snapshot_) {
        applySnapshot(*request.snapshot_, now);
        moves_.applySnapshot(*request.snapshot_, now);
        snapshot_ = request.snapshot_;
    }
    auto regions = findCandidates(request, now);
    if (auto moved = tryMove(request, regions, now))
        return *moved;
    if (const auto local = regions.find(region_); local != regions.end()) {
        if (auto assignment = tryAssign(request, region_, local->second, now))
            return *assignment;
        regions.erase(local);
    }
    if (!maySpill(request, now))
        return Refusal { RefusalKind::Overloaded, std::string(texts::noUpstream), Executed::No, overloadRetryAfter };
    std::erase_if(regions, [&](const auto& entry) { return shedRates_[{ request.service_, entry.first }].at(now) > maxRemoteShedRate; });
    // In random order, so that instances do not all spill to the same region.
    std::vector<std::string> names;
    for (const auto& [name, rows] : regions)
        names.push_back(name);
    std::shuffle(names.begin(), names.end(), random_);
    for (const auto& name : names) {
        if (auto assignment = tryAssign(request, name, regions[name], now))
            return *assignment;
    }
    return Refusal { RefusalKind::Overloaded, std::string(texts::noUpstream), Executed::No, overloadRetryAfter };
}

// Only the first attempt of a request can be moved, so that retries do not count against the cap.
auto RegionSteering::tryMove(const SteeringRequest& request, const CandidatesByRegion& regions, MonotonicTime now) -> std::optional<Assignment>
{
    if (!request.tried_.empty())
        return std::nullopt;
    const auto* move = moves_.selectDueMove(*request.snapshot_, request.service_, now);
    if (move == nullptr)
        return std::nullopt;
    const auto target = regions.find(move->to_);
    if (lacksCapacity(request, move->to_, now)) {
        moves_.recordHeld(*move, HoldReason::TargetShort);
        return std::nullopt;
    }
    if (target == regions.end()) {
        moves_.recordHeld(*move, HoldReason::NoRoom);
        return std::nullopt;
    }
    if (!moves_.trySpendCap(*move))
        return std::nullopt;
    auto assignment = tryAssign(request, move->to_, target->second, now);
    if (assignment)
        moves_.recordMoved(*move);
    else
        moves_.recordHeld(*move, HoldReason::NoRoom);
    return assignment;
}

// Whether too few upstreams of the region are warm and accept requests, or the region sheds too many calls.
auto RegionSteering::lacksCapacity(const SteeringRequest& request, const std::string& region, MonotonicTime now) -> bool
{
    int all = 0;
    int ready = 0;
    request.snapshot_->table<Upstream>().forEach([&](const Upstream& upstream) {
        if (upstream.service_ != request.service_ || upstream.state_ != UpstreamState::Active || regionOf(*request.snapshot_, upstream) != region)
            return;
        const auto& record = records_[upstream.name_];
        ++all;
        ready += record.isCold(upstream, now) || record.isEjected(now) || record.needsProbe() || record.isBackingOff(now) ? 0 : 1;
    });
    return ready < minReadyFraction * all || shedRates_[{ request.service_, region }].at(now) > maxRemoteShedRate;
}

auto RegionSteering::moveProgress(const Snapshot& snapshot) const -> std::vector<MoveProgress>
{
    const std::lock_guard lock(mutex_);
    return moves_.progress(snapshot, clock_.now());
}

// Whether a request may go to a remote region. Local upstreams that are not ejected will soon have a free slot, unless
// nearly all local calls are shed.
auto RegionSteering::maySpill(const SteeringRequest& request, MonotonicTime now) -> bool
{
    bool localAvailable = false;
    request.snapshot_->table<Upstream>().forEach([&](const Upstream& upstream) {
        const bool local = upstream.service_ == request.service_ && upstream.state_ == UpstreamState::Active && regionOf(*request.snapshot_, upstream) == region_;
        localAvailable = localAvailable || (local && !records_[upstream.name_].isEjected(now));
    });
    return !localAvailable || shedRates_[{ request.service_, region_ }].at(now) > spillThreshold;
}

// At most half of a service's active upstreams are ejected at the same time, whatever the outcomes of their calls.
auto RegionSteering::mayEject(const Upstream& upstream, MonotonicTime now) const -> bool
{
    if (snapshot_ == nullptr)
        return false;
    std::size_t active = 0;
    std::size_t ejected = 0;
    snapshot_->table<Upstream>().forEach([&](const Upstream& other) {
        if (other.service_ != upstream.service_ || other.state_ != UpstreamState::Active)
            return;
        const auto record = records_.find(other.name_);
        ++active;
        ejected += record != records_.end() && record->second.isEjected(now) ? 1 : 0;
    });
    return 2 * (ejected + 1) <= active;
}

} // namespace sapphirepass
