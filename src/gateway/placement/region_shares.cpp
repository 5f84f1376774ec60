#include "gateway/placement/region_shares.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Fraction of a region's traffic that may move per second. The requirement is at most 0.15 in two seconds from all
    // causes together.
    constexpr double maxShiftPerSecond = 0.04;
    // An object's region follows from its place among the shares in a fixed order, so a share that changes also moves objects
    // between the regions after it. With shares that follow demand, this total is limited as well: with 0.02 per second by
    // spilling, at most 0.15 of the traffic moves in two seconds.
    constexpr double maxObjectShiftPerSecond = 0.05;
    // Smaller changes of a target that follows demand are ignored: demand always varies a little.
    constexpr double minTargetChange = 0.03;
    // In the other direction than the last change, twice that: noise would otherwise make shares oscillate.
    constexpr double minTargetReversal = 0.06;
    constexpr double maxStepSeconds = 0.5;
    // Capacity changes rarely, and counting it takes time for each upstream.
    constexpr Duration recomputeInterval = 50ms;
    // The share of requests that may spill starts at minSpillShare and grows at this rate.
    constexpr double spillGrowthPerSecond = 0.02;
    constexpr double minSpillShare = 0.03;
    constexpr double spillShareLimit = 0.5;
    // Time constant in seconds of the measured spill share.
    constexpr double spillTimeConstant = 2.0;

    auto shareOf(const std::vector<RegionShare>& shares, const std::string& region) -> double
    {
        const auto found = std::find_if(shares.begin(), shares.end(), [&region](const auto& share) { return share.region_ == region; });
        return found == shares.end() ? 0 : found->share_;
    }

    // Part of the traffic that has a smaller share.
    auto shareDistance(const std::vector<RegionShare>& from, const std::vector<RegionShare>& target) -> double
    {
        double distance = 0;
        for (const auto& share : target)
            distance += std::max(0.0, share.share_ - shareOf(from, share.region_));
        return distance;
    }

    // Part of the objects that change their region, as each boundary between two shares moves.
    auto objectDistance(const std::vector<RegionShare>& from, const std::vector<RegionShare>& target) -> double
    {
        double boundary = 0;
        double distance = 0;
        for (const auto& share : target) {
            boundary += share.share_ - shareOf(from, share.region_);
            distance += std::abs(boundary);
        }
        return distance;
    }

    auto haveSameRegions(const std::vector<RegionShare>& a, const std::vector<RegionShare>& b) -> bool
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto& first, const auto& second) { return first.region_ == second.region_; });
    }

    // The demand of each region of the capacities in multiples of their mean.
    auto relativeDemands(const std::vector<RegionCapacity>& capacities, const std::vector<RegionLoad>& demands) -> std::map<std::string, double>
    {
        std::map<std::string, double> relative;
        double sum = 0;
        for (const auto& region : capacities) {
            const auto found = std::find_if(demands.begin(), demands.end(), [&region](const auto& load) { return load.region_ == region.region_; });
            if (found == demands.end())
                continue;
            relative[region.region_] = found->perSecond_;
            sum += found->perSecond_;
        }
        const double mean = relative.empty() ? 0 : sum / static_cast<double>(relative.size());
        for (const auto& region : capacities) {
            auto& demand = relative.try_emplace(region.region_, mean).first->second;
            demand = mean > 0 ? demand / mean : 1;
        }
        return relative;
    }

    // Regions that the target does not list are dropped at once.
    auto moveTowards(const std::vector<RegionShare>& from, const std::vector<RegionShare>& target, double step) -> std::vector<RegionShare>
    {
        const double distance = shareDistance(from, target);
        const double part = distance <= step ? 1 : step / distance;
        std::vector<RegionShare> moved;
        double sum = 0;
        for (const auto& share : target) {
            const double before = shareOf(from, share.region_);
            moved.push_back({ share.region_, before + (share.share_ - before) * part });
            sum += moved.back().share_;
        }
        for (auto& share : moved)
            share.share_ = sum > 0 ? share.share_ / sum : 0;
        return moved;
    }
}

auto targetShares(const std::string& ownRegion, const std::vector<RegionCapacity>& capacities, const std::vector<RegionLoad>& demands) -> std::vector<RegionShare>
{
    double total = 0;
    double own = 0;
    for (const auto& region : capacities) {
        total += region.slots_;
        own += region.region_ == ownRegion ? region.slots_ : 0;
    }
    if (total <= 0)
        return {};
    const double even = total / static_cast<double>(capacities.size());
    const auto relative = relativeDemands(capacities, demands);
    // Slots that the demand of a region takes at the utilization of all regions.
    const auto needed = [&relative, even](const std::string& region) {
        const auto found = relative.find(region);
        return even * (found == relative.end() ? 1 : found->second);
    };
    const double kept = needed(ownRegion) > 0 ? std::min(1.0, own / needed(ownRegion)) : 1;
    double spare = 0;
    for (const auto& region : capacities)
        spare += region.region_ == ownRegion ? 0 : std::max(0.0, region.slots_ - needed(region.region_));
    std::vector<RegionShare> shares { { ownRegion, kept } };
    for (const auto& region : capacities) {
        if (region.region_ == ownRegion)
            continue;
        const double part = spare > 0 ? std::max(0.0, region.slots_ - needed(region.region_)) / spare : 0;
        shares.push_back({ region.region_, (1 - kept) * part });
    }
    return shares;
}

auto RegionShares::demandTarget(const std::string& service, State& state, RegionTarget target) -> const std::vector<RegionShare>&
{
    if (haveSameRegions(state.target_, target.shares_)) {
        // The own region comes first.
        const double step = target.shares_.front().share_ - state.target_.front().share_;
        const bool isReversal = step * state.lastStep_ < 0;
        if (shareDistance(state.target_, target.shares_) < (isReversal ? minTargetReversal : minTargetChange))
            return state.target_;
        if (step != 0)
            state.lastStep_ = step;
    }
    state.target_ = target.shares_;
    if (listener_ != nullptr)
        listener_->onRegionTarget(service, target);
    return state.target_;
}

auto RegionShares::current(const std::string& service, const std::string& ownRegion, const std::function<std::vector<RegionCapacity>()>& capacities, const std::function<std::vector<RegionLoad>()>& demands) -> const std::vector<RegionShare>&
{
    const auto now = clock_.now();
    auto& state = states_[service];
    if (!state.shares_.empty() && now - state.movedAt_ < recomputeInterval)
        return state.shares_;
    RegionTarget newest { {}, capacities(), demands ? demands() : std::vector<RegionLoad>() };
    newest.shares_ = targetShares(ownRegion, newest.capacities_, newest.demands_);
    double elapsed = inSeconds(now - state.movedAt_);
    double step = elapsed * maxShiftPerSecond;
    auto target = newest.shares_;
    if (newest.demands_.empty()) {
        state.target_.clear();
    } else if (!target.empty()) {
        target = demandTarget(service, state, std::move(newest));
        // After a freeze, no more than usual may move at once.
        elapsed = std::min(elapsed, maxStepSeconds);
        step = elapsed * maxShiftPerSecond;
        if (const double objects = objectDistance(state.shares_, target); objects > 0)
            step = std::min(step, elapsed * maxObjectShiftPerSecond * shareDistance(state.shares_, target) / objects);
    }
    if (state.shares_.empty())
        state.shares_ = target;
    else if (!target.empty())
        state.shares_ = moveTowards(state.shares_, target, step);
    state.movedAt_ = now;
    return state.shares_;
}

auto RegionShares::all() const -> std::map<std::string, std::vector<RegionShare>>
{
    std::map<std::string, std::vector<RegionShare>> shares;
    for (const auto& [service, state] : states_)
        shares[service] = state.shares_;
    return shares;
}

auto SpillLimiter::decay() -> void
{
    const auto now = clock_.now();
    const double elapsed = decayedAt_ == MonotonicTime {} ? 0 : inSeconds(now - decayedAt_);
    const double decayFactor = std::exp(-elapsed / spillTimeConstant);
    requests_ *= decayFactor;
    spilled_ *= decayFactor;
    decayedAt_ = now;
    const double share = requests_ > 0 ? spilled_ / requests_ : 0;
    // The limit falls with the measured share at once, and rises at a fixed rate while requests are spilling.
    maxSpillShare_ = std::clamp(std::min(maxSpillShare_ + elapsed * spillGrowthPerSecond, share + minSpillShare), minSpillShare, spillShareLimit);
}

auto SpillLimiter::countRequest() -> void
{
    decay();
    requests_ += 1;
}

auto SpillLimiter::takeSpill() -> bool
{
    decay();
    if (spilled_ + 1 > maxSpillShare_ * requests_ + 1)
        return false;
    spilled_ += 1;
    return true;
}

} // namespace sapphirepass
