#include "gateway/placement/region_shares.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Fraction of a region's traffic that may move per second. The requirement is at most 0.15 in two seconds from all
    // causes together.
    constexpr double maxShiftPerSecond = 0.04;
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

    // Regions that the target does not list are dropped at once.
    auto moveTowards(const std::vector<RegionShare>& from, const std::vector<RegionShare>& target, double step) -> std::vector<RegionShare>
    {
        double distance = 0;
        for (const auto& share : target)
            distance += std::max(0.0, share.share_ - shareOf(from, share.region_));
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

auto targetShares(const std::string& ownRegion, const std::vector<RegionCapacity>& capacities) -> std::vector<RegionShare>
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
    const double kept = std::min(1.0, own / even);
    double spare = 0;
    for (const auto& region : capacities)
        spare += region.region_ == ownRegion ? 0 : std::max(0.0, region.slots_ - even);
    std::vector<RegionShare> shares { { ownRegion, kept } };
    for (const auto& region : capacities) {
        if (region.region_ == ownRegion)
            continue;
        const double part = spare > 0 ? std::max(0.0, region.slots_ - even) / spare : 0;
        shares.push_back({ region.region_, (1 - kept) * part });
    }
    return shares;
}

auto RegionShares::current(const std::string& service, const std::string& ownRegion, const std::function<std::vector<RegionCapacity>()>& capacities) -> const std::vector<RegionShare>&
{
    const auto now = clock_.now();
    auto& state = states_[service];
    if (!state.shares_.empty() && now - state.movedAt_ < recomputeInterval)
        return state.shares_;
    const auto target = targetShares(ownRegion, capacities());
    if (state.shares_.empty())
        state.shares_ = target;
    else if (!target.empty())
        state.shares_ = moveTowards(state.shares_, target, inSeconds(now - state.movedAt_) * maxShiftPerSecond);
    state.movedAt_ = now;
    return state.shares_;
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
