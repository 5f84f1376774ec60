// Which part of a region's requests runs in which region.
#pragma once

#include "base/clock.h"

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sapphirepass {

// Slots of one service in one region that requests from anywhere may use.
struct RegionRoom {
    std::string region_;
    double slots_ = 0;

    auto operator<=>(const RegionRoom&) const = default;
};

struct RegionShare {
    std::string region_;
    double share_ = 0;

    auto operator<=>(const RegionShare&) const = default;
};

// The caller's own region takes what its part of the room allows, the others the rest by what they have to spare.
// Every region is taken to ask for the same: demand itself moves too fast to follow.
auto targetShares(const std::string& ownRegion, const std::vector<RegionRoom>& room) -> std::vector<RegionShare>;

// Answers the load of regions with uneven room: moves traffic between regions no faster than a steady pace.
class RegionShares {
public:
    explicit RegionShares(const Clock& clock)
        : clock_(clock)
    {
    }

    // Shares of one service as of now, the own region first. The first call starts at the target. Room is asked for
    // now and then, not for each request.
    auto current(const std::string& service, const std::string& ownRegion, const std::function<std::vector<RegionRoom>()>& room) -> const std::vector<RegionShare>&;

private:
    struct State {
        std::vector<RegionShare> shares_;
        MonotonicTime movedAt_ {};
    };

    const Clock& clock_;
    std::map<std::string, State> states_;
};

// Answers bursts: lets requests spill to another region, but only slowly more of them.
class SpillGate {
public:
    explicit SpillGate(const Clock& clock)
        : clock_(clock)
    {
    }

    auto noteRequest() -> void;
    // Counts a spill if one more is within the pace.
    auto takeSpill() -> bool;

private:
    auto fade() -> void;

    const Clock& clock_;
    double requests_ = 0;
    double spills_ = 0;
    double cap_ = 0;
    MonotonicTime at_ {};
};

} // namespace sapphirepass
