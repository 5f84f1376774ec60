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

// Requests per second that callers in a region offer to a service.
struct RegionLoad {
    std::string region_;
    double perSecond_ = 0;

    auto operator<=>(const RegionLoad&) const = default;
};

struct RegionShare {
    std::string region_;
    double share_ = 0;

    auto operator<=>(const RegionShare&) const = default;
};

// The callers' own region takes what its slots carry at the utilization of all regions; the rest is split over the other
// regions in proportion to their spare capacity. Regions without known demand are assumed to have the mean of the
// others; without any demands, all regions are assumed to have the same.
auto targetShares(const std::string& ownRegion, const std::vector<RegionCapacity>& capacities, const std::vector<RegionLoad>& demands = {}) -> std::vector<RegionShare>;

// What the target shares of a service were computed from, and the result.
struct RegionTarget {
    std::vector<RegionShare> shares_;
    std::vector<RegionCapacity> capacities_;
    std::vector<RegionLoad> demands_;

    auto operator<=>(const RegionTarget&) const = default;
};

class RegionTargetListener {
public:
    virtual ~RegionTargetListener() = default;
    // The target shares of a service that follows demand have changed.
    virtual auto onRegionTarget(const std::string& service, const RegionTarget& target) -> void = 0;
};

// Balances regions of unequal capacity, moving traffic between regions at a limited rate.
class RegionShares {
public:
    explicit RegionShares(const Clock& clock)
        : clock_(clock)
    {
    }

    // The current shares of a service, own region first. The first call returns the target shares. The capacities are
    // requested at intervals, not for each request, and so are the demands. Without demands, shares depend on capacities only.
    auto current(const std::string& service, const std::string& ownRegion, const std::function<std::vector<RegionCapacity>()>& capacities, const std::function<std::vector<RegionLoad>()>& demands = {}) -> const std::vector<RegionShare>&;
    // The listener must outlive this.
    auto setListener(RegionTargetListener& listener) -> void { listener_ = &listener; }
    // The current shares by service.
    auto all() const -> std::map<std::string, std::vector<RegionShare>>;

private:
    struct State {
        std::vector<RegionShare> shares_;
        // The target that is being moved to, if it follows demand.
        std::vector<RegionShare> target_;
        // Last change of the own region's share of the target.
        double lastStep_ = 0;
        MonotonicTime movedAt_ {};
    };

    // The target to move to: the last one unless the new one differs by enough.
    auto demandTarget(const std::string& service, State& state, RegionTarget target) -> const std::vector<RegionShare>&;

    const Clock& clock_;
    RegionTargetListener* listener_ = nullptr;
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
