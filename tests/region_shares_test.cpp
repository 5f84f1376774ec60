// Tests of how traffic is split over regions of unequal capacity, and how fast the split may change.
#include "gateway/placement/region_shares.h"

#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

auto shareIn(const std::vector<RegionShare>& shares, const std::string& region) -> double
{
    for (const auto& share : shares) {
        if (share.region_ == region)
            return share.share_;
    }
    return 0;
}

}

TEST_CASE("a region with enough capacity serves all of its own callers", "[region-shares]")
{
    const std::vector<RegionCapacity> capacities { { "a", 16 }, { "b", 56 }, { "c", 64 } };
    CHECK(shareIn(targetShares("b", capacities), "b") == 1);
    CHECK(shareIn(targetShares("c", capacities), "c") == 1);
    const auto small = targetShares("a", capacities);
    CHECK(shareIn(small, "a") == Approx(16 / (136 / 3.0)));
    CHECK(shareIn(small, "b") < shareIn(small, "c"));
}

TEST_CASE("shares add up to one and no region gets more than its capacity", "[region-shares]")
{
    rc::prop("any room of up to five regions", []() {
        const auto slots = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(1, 6), rc::gen::inRange(0, 100));
        std::vector<RegionCapacity> capacities;
        double total = 0;
        for (std::size_t i = 0; i < slots.size(); ++i) {
            capacities.push_back({ std::string(1, static_cast<char>('a' + i)), static_cast<double>(slots[i]) });
            total += slots[i];
        }
        if (total == 0)
            return;
        std::map<std::string, double> load;
        for (const auto& region : capacities) {
            double sum = 0;
            for (const auto& share : targetShares(region.region_, capacities)) {
                sum += share.share_;
                load[share.region_] += share.share_;
            }
            RC_ASSERT(sum > 0.999);
            RC_ASSERT(sum < 1.001);
        }
        // Every region has a demand of 1; capacities are scaled so that they sum up to the number of regions.
        for (const auto& region : capacities)
            RC_ASSERT(load[region.region_] <= region.slots_ / total * static_cast<double>(capacities.size()) + 0.001);
    });
}

// Requirement: from one window of 2 s to the next, at most 0.15 of a region's requests may move to another region.
TEST_CASE("shares change gradually when capacity changes", "[region-shares]")
{
    ManualClock clock;
    RegionShares shares(clock);
    std::vector<RegionCapacity> even { { "a", 40 }, { "b", 40 } };
    std::vector<RegionCapacity> lost { { "a", 4 }, { "b", 40 } };
    CHECK(shareIn(shares.current("core", "a", [&even] { return std::vector(even); }), "a") == 1);
    std::deque<double> history;
    for (int tick = 0; tick < 300; ++tick) {
        clock.advance(100ms);
        history.push_back(shareIn(shares.current("core", "a", [&lost] { return std::vector(lost); }), "a"));
        if (history.size() > 40)
            CHECK(history[history.size() - 40] - history.back() <= 0.17);
    }
    CHECK(history.back() == Approx(4 / 22.0));
}

TEST_CASE("in a burst the spilled share grows gradually", "[region-shares]")
{
    ManualClock clock;
    SpillLimiter limiter(clock);
    // 50 requests per second; from 5 s on, every request tries to spill.
    std::deque<std::pair<int, bool>> spills;
    const auto shareOver = [&](int from, int to) {
        double all = 0;
        double spilled = 0;
        for (const auto& [at, isSpill] : spills) {
            all += at >= from && at < to ? 1 : 0;
            spilled += at >= from && at < to && isSpill ? 1 : 0;
        }
        return all > 0 ? spilled / all : 0;
    };
    for (int at = 0; at < 20'000; at += 20) {
        clock.advance(20ms);
        limiter.countRequest();
        spills.emplace_back(at, at >= 5'000 && limiter.takeSpill());
    }
    for (int at = 0; at + 4'000 <= 20'000; at += 100)
        CHECK(shareOver(at + 2'000, at + 4'000) - shareOver(at, at + 2'000) <= 0.15);
    CHECK(shareOver(18'000, 20'000) > 0.1);
}
