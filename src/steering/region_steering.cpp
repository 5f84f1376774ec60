#include "steering/region_steering.h"

#include "base/event_log.h"
#include "base/texts.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Asking again before a slot has become free is of no use.
    constexpr std::chrono::milliseconds overloadRetryAfter { 1'000 };
    // A region above this is full; below, waiting for one of its slots is faster than going elsewhere.
    constexpr double fullRegion = 0.8;
    // A move is held back unless this part of its target's upstreams is warm and takes work.
    constexpr double readyTarget = 0.5;
    // A region above this has nothing to spare for others.
    constexpr double sparingRegion = 0.5;

    auto regionOf(const Snapshot& snapshot, const Upstream& upstream) -> std::string
    {
        const auto* domain = snapshot.find<FailureDomain>(upstream.domain_);
        return domain == nullptr ? std::string() : domain->region_;
    }

    auto load(const Upstream& upstream, const UpstreamRecord& record) -> double
    {
        return static_cast<double>(record.running()) / static_cast<double>(upstream.slots_);
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

auto RegionSteering::acquire(const SteerRequest& request, Handler handler) -> void
{
    handler(choose(request));
}

auto RegionSteering::release(const Assignment& assignment, CallOutcome outcome) -> void
{
    if (!assignment.budgetRegion_.empty())
        budgets_.releaseSlots({ BudgetKind::RegionSlots, assignment.budgetRegion_ }, 1);
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    auto& record = records_[assignment.upstream_.name_];
    if (snapshot_ != nullptr && (outcome == CallOutcome::Answered || outcome == CallOutcome::Shed))
        shedRates_[{ assignment.upstream_.service_, regionOf(*snapshot_, assignment.upstream_) }].note(outcome == CallOutcome::Shed, now);
    if (record.release(outcome, now, mayEject(assignment.upstream_, now)))
        logEvent(EventId::UpstreamEjected, "upstream={}", assignment.upstream_.name_);
}

// Upstreams that appear after this instance's first configuration have just been started.
auto RegionSteering::follow(const Snapshot& snapshot, MonotonicTime now) -> void
{
    const bool first = snapshot_ == nullptr;
    snapshot.table<Upstream>().forEach([&](const Upstream& upstream) {
        records_.try_emplace(upstream.name_, first ? std::nullopt : std::optional(now));
    });
    std::erase_if(records_, [&](const auto& entry) { return entry.second.running() == 0 && snapshot.find<Upstream>(entry.first) == nullptr; });
}

auto RegionSteering::candidates(const SteerRequest& request, MonotonicTime now) -> Regions
{
    Regions regions;
    request.snapshot_->table<Upstream>().forEach([&](const Upstream& upstream) {
        if (upstream.service_ != request.service_ || upstream.state_ != UpstreamState::Active || request.tried_.contains(upstream.name_))
            return;
        auto& record = records_[upstream.name_];
        const bool usable = !record.isEjected(now) && !record.isPaused(now) && record.running() < record.allowed(upstream, now);
        if (usable)
            regions[regionOf(*request.snapshot_, upstream)].push_back({ &upstream, &record });
    });
    return regions;
}

// The slot that an own request left last is most likely free, as other instances prefer their own.
// Without one, the upstream with the least own load that last shed the longest ago.
auto RegionSteering::chooseIn(const Candidates& candidates, MonotonicTime now) -> Candidate
{
    const Candidate* freed = nullptr;
    for (const auto& candidate : candidates) {
        const auto at = candidate.record_->freedAt(now);
        if (at && (freed == nullptr || *at > *freed->record_->freedAt(now)))
            freed = &candidate;
    }
    if (freed != nullptr)
        return *freed;
    // Ties are broken at random: instances must not all probe in the same order.
    std::size_t ties = 0;
    const Candidate* best = nullptr;
    const auto rank = [](const Candidate& candidate) { return std::pair(load(*candidate.upstream_, *candidate.record_), candidate.record_->pausedUntil()); };
    for (const auto& candidate : candidates) {
        if (best != nullptr && rank(*best) < rank(candidate))
            continue;
        ties = best != nullptr && rank(*best) == rank(candidate) ? ties + 1 : 1;
        if (std::uniform_int_distribution<std::size_t>(1, ties)(random_) == 1)
            best = &candidate;
    }
    return *best;
}

auto RegionSteering::take(const SteerRequest& request, const std::string& region, const Candidates& candidates, MonotonicTime now) -> std::optional<Assignment>
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
    const auto chosen = chooseIn(candidates, now);
    chosen.record_->take();
    return Assignment { *chosen.upstream_, limited ? region : std::string() };
}

auto RegionSteering::choose(const SteerRequest& request) -> Result<Assignment, Refusal>
{
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    if (snapshot_ != request.snapshot_) {
        follow(*request.snapshot_, now);
        moves_.follow(*request.snapshot_, now);
        snapshot_ = request.snapshot_;
    }
    auto regions = candidates(request, now);
    if (auto moved = tryMove(request, regions, now))
        return *moved;
    if (const auto local = regions.find(region_); local != regions.end()) {
        if (auto assignment = take(request, region_, local->second, now))
            return *assignment;
        regions.erase(local);
    }
    if (!maySpill(request, now))
        return Refusal { RefusalKind::Overloaded, std::string(texts::noUpstream), Executed::No, overloadRetryAfter };
    std::erase_if(regions, [&](const auto& entry) { return shedRates_[{ request.service_, entry.first }].at(now) > sparingRegion; });
    // Remote regions take turns at random, so that instances do not all spill to the same one.
    std::vector<std::string> names;
    for (const auto& [name, rows] : regions)
        names.push_back(name);
    std::shuffle(names.begin(), names.end(), random_);
    for (const auto& name : names) {
        if (auto assignment = take(request, name, regions[name], now))
            return *assignment;
    }
    return Refusal { RefusalKind::Overloaded, std::string(texts::noUpstream), Executed::No, overloadRetryAfter };
}

// A request moves at most once and only at its first attempt, so that retries do not count against the cap.
auto RegionSteering::tryMove(const SteerRequest& request, const Regions& regions, MonotonicTime now) -> std::optional<Assignment>
{
    if (!request.tried_.empty())
        return std::nullopt;
    const auto* move = moves_.nextDue(*request.snapshot_, request.service_, now);
    if (move == nullptr)
        return std::nullopt;
    const auto target = regions.find(move->to_);
    if (isShort(request, move->to_, now)) {
        moves_.noteHeld(*move, MoveHold::TargetShort);
        return std::nullopt;
    }
    if (target == regions.end()) {
        moves_.noteHeld(*move, MoveHold::NoRoom);
        return std::nullopt;
    }
    if (!moves_.trySpendCap(*move))
        return std::nullopt;
    auto assignment = take(request, move->to_, target->second, now);
    if (assignment)
        moves_.noteMoved(*move);
    else
        moves_.noteHeld(*move, MoveHold::NoRoom);
    return assignment;
}

// Whether too few of a region's upstreams are warm and take work, or the region sheds.
auto RegionSteering::isShort(const SteerRequest& request, const std::string& region, MonotonicTime now) -> bool
{
    int all = 0;
    int ready = 0;
    request.snapshot_->table<Upstream>().forEach([&](const Upstream& upstream) {
        if (upstream.service_ != request.service_ || upstream.state_ != UpstreamState::Active || regionOf(*request.snapshot_, upstream) != region)
            return;
        const auto& record = records_[upstream.name_];
        ++all;
        ready += record.isCold(upstream, now) || record.isEjected(now) || record.isOnTrial() || record.isPaused(now) ? 0 : 1;
    });
    return ready < readyTarget * all || shedRates_[{ request.service_, region }].at(now) > sparingRegion;
}

auto RegionSteering::moveProgress(const Snapshot& snapshot) const -> std::vector<MoveProgress>
{
    const std::lock_guard lock(mutex_);
    return moves_.progress(snapshot, clock_.now());
}

// Local upstreams that only pause will soon have a slot again, unless nearly all calls are shed.
auto RegionSteering::maySpill(const SteerRequest& request, MonotonicTime now) -> bool
{
    bool soon = false;
    request.snapshot_->table<Upstream>().forEach([&](const Upstream& upstream) {
        const bool local = upstream.service_ == request.service_ && upstream.state_ == UpstreamState::Active && regionOf(*request.snapshot_, upstream) == region_;
        soon = soon || (local && !records_[upstream.name_].isEjected(now));
    });
    return !soon || shedRates_[{ request.service_, region_ }].at(now) > fullRegion;
}

// At most half of a service's active upstreams are ejected at once, whatever their outcomes look like.
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
