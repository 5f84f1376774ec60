#include "gateway/region_shares.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Part of a region's traffic that may move in a second: the users allow 0.15 in two seconds, all causes together.
    constexpr double movePerSecond = 0.04;
    // Shares are worked out anew after this time: room changes seldom, and counting it costs for each upstream.
    constexpr Duration shareAge = 50ms;
    // The share of spilled requests may grow by this in a second, from a first step up.
    constexpr double spillPerSecond = 0.02;
    constexpr double firstSpill = 0.03;
    constexpr double mostSpill = 0.5;
    // Time constant of the measured share of spills.
    constexpr double spillMemory = 2.0;

    auto shareOf(const std::vector<RegionShare>& shares, const std::string& region) -> double
    {
        const auto found = std::find_if(shares.begin(), shares.end(), [&region](const auto& share) { return share.region_ == region; });
        return found == shares.end() ? 0 : found->share_;
    }

    // Regions that have lost all room are left at once.
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

auto targetShares(const std::string& ownRegion, const std::vector<RegionRoom>& room) -> std::vector<RegionShare>
{
    double total = 0;
    double own = 0;
    for (const auto& region : room) {
        total += region.slots_;
        own += region.region_ == ownRegion ? region.slots_ : 0;
    }
    if (total <= 0)
        return {};
    const double even = total / static_cast<double>(room.size());
    const double kept = std::min(1.0, own / even);
    double spare = 0;
    for (const auto& region : room)
        spare += region.region_ == ownRegion ? 0 : std::max(0.0, region.slots_ - even);
    std::vector<RegionShare> shares { { ownRegion, kept } };
    for (const auto& region : room) {
        if (region.region_ == ownRegion)
            continue;
        const double part = spare > 0 ? std::max(0.0, region.slots_ - even) / spare : 0;
        shares.push_back({ region.region_, (1 - kept) * part });
    }
    return shares;
}

auto RegionShares::current(const std::string& service, const std::string& ownRegion, const std::function<std::vector<RegionRoom>()>& room) -> const std::vector<RegionShare>&
{
    const auto now = clock_.now();
    auto& state = states_[service];
    if (!state.shares_.empty() && now - state.movedAt_ < shareAge)
        return state.shares_;
    const auto target = targetShares(ownRegion, room());
    if (state.shares_.empty())
        state.shares_ = target;
    else if (!target.empty())
        state.shares_ = moveTowards(state.shares_, target, inSeconds(now - state.movedAt_) * movePerSecond);
    state.movedAt_ = now;
    return state.shares_;
}

auto SpillGate::fade() -> void
{
    const auto now = clock_.now();
    const double elapsed = at_ == MonotonicTime {} ? 0 : inSeconds(now - at_);
    const double fading = std::exp(-elapsed / spillMemory);
    requests_ *= fading;
    spills_ *= fading;
    at_ = now;
    const double share = requests_ > 0 ? spills_ / requests_ : 0;
    // Follows the share down at once, and up at its pace while requests want to spill.
    cap_ = std::clamp(std::min(cap_ + elapsed * spillPerSecond, share + firstSpill), firstSpill, mostSpill);
}

auto SpillGate::noteRequest() -> void
{
    fade();
    requests_ += 1;
}

auto SpillGate::takeSpill() -> bool
{
    fade();
    if (spills_ + 1 > cap_ * requests_ + 1)
        return false;
    spills_ += 1;
    return true;
}

} // namespace sapphirepass
