// Shares of a region's requests that run in each region.
#pragma once

#include "base/clock.h"

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sapphirepass {

// Slots of a service in a region that requests from any region may use.
struct RegionCapacity {
    std::string region_;
    double slots_ = 0;

    auto operator<=>(const RegionCapacity&) const = default;
};

struct RegionShare {
    std::string region_;
    double share_ = 0;

    auto operator<=>(const RegionShare&) const = default;
};

// The callers' own region takes what its capacity allows; the rest is split over the other regions in proportion to
// their spare capacity. Every region is assumed to have the same demand, as actual demand changes too fast to follow.
auto targetShares(const std::string& ownRegion, const std::vector<RegionCapacity>& capacities) -> std::vector<RegionShare>;

// Balances regions of unequal capacity, moving traffic between regions at a limited rate.
class RegionShares {
public:
    explicit RegionShares(const Clock& clock)
        : clock_(clock)
    {
    }

    // The current shares of a service, own region first. The first call returns the target shares. The capacities are
    // requested at intervals, not for each request.
    auto current(const std::string& service, const std::string& ownRegion, const std::function<std::vector<RegionCapacity>()>& capacities) -> const std::vector<RegionShare>&;

private:
    struct State {
        std::vector<RegionShare> shares_;
        MonotonicTime movedAt_ {};
    };

    const Clock& clock_;
    std::map<std::string, State> states_;
};

// Absorbs bursts by letting requests spill over to another region; the share that may spill grows at a limited rate.
class SpillLimiter {
public:
    explicit SpillLimiter(const Clock& clock)
        : clock_(clock)
    {
    }

    auto countRequest() -> void;
    // Counts a spill and returns true if one more is allowed.
    auto takeSpill() -> bool;

private:
    auto decay() -> void;

    const Clock& clock_;
    double requests_ = 0;
    double spilled_ = 0;
    double maxSpillShare_ = 0;
    MonotonicTime decayedAt_ {};
};

} // namespace sapphirepass
