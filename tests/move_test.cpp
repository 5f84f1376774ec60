// Planned moves: the share, the cap in every window of a second, and the reasons why requests are held back.
#include "config/command_func.h"
#include "language/command_parser.h"
#include "steering/fixed_share_budgets.h"
#include "steering/move_progress.h"

#include <catch2/catch.hpp>
#include <deque>
#include <fmt/format.h>
#include <memory>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr int instances = 4;

// Instances of one region with the same configuration.
struct Fleet {
    explicit Fleet(const std::string& moves)
    {
        apply("declare region a; declare region b; declare region c; declare domain da region a; declare domain db region b; declare domain dc region c;"
              "declare upstream ua service core domain da address 127.0.0.1:9000 slots 10000;"
              "declare upstream ub service core domain db address 127.0.0.1:9001 slots 10000 cold-start 60s;"
              "declare upstream uc service core domain dc address 127.0.0.1:9002 slots 10000;"
            + moves);
        for (int i = 0; i < instances; ++i) {
            budgets_.push_back(std::make_unique<FixedShareBudgets>(clock_, config_, instances));
            links_.push_back(std::make_unique<LinkMeter>(*budgets_.back()));
            steerings_.push_back(std::make_unique<RegionSteering>("a", clock_, *budgets_.back(), *links_.back(), static_cast<std::uint64_t>(i)));
            sendRequest(i);
        }
    }

    auto apply(const std::string& text) -> void
    {
        const auto next = config_.snapshot()->revision() + 1;
        REQUIRE(isOk(config_.apply({ next, { { next, "id", "op", "", "", text } } })));
    }

    // Runs one request and returns the name of its upstream.
    auto sendRequest(int instance) -> std::string
    {
        std::string name;
        auto& steering = *steerings_[static_cast<std::size_t>(instance)];
        steering.acquire({ config_.snapshot(), "core", "w", Repeatability::Idempotent, {}, {} }, [&](const auto& result) {
            if (isOk(result)) {
                name = valueOf(result).upstream_.name_;
                steering.release(valueOf(result), CallOutcome::Answered);
            }
        });
        return name;
    }

    auto count(const std::string& upstream, int requests) -> int
    {
        int counted = 0;
        for (int i = 0; i < requests; ++i) {
            counted += sendRequest(i % instances) == upstream ? 1 : 0;
            clock_.advance(1ms);
        }
        return counted;
    }

    auto reason() -> std::string
    {
        return MoveProgressSource(*steerings_.front(), config_, "i0").rows().rows_.front().back();
    }

    ManualClock clock_;
    ConfigState config_;
    std::vector<std::unique_ptr<FixedShareBudgets>> budgets_;
    std::vector<std::unique_ptr<LinkMeter>> links_;
    std::vector<std::unique_ptr<RegionSteering>> steerings_;
};

}

TEST_CASE("the fleet moves at most the cap of requests in any one-second window", "[move]")
{
    rc::prop("any load, pauses and reversals", [] {
        const auto cap = *rc::gen::inRange(0, 60);
        Fleet fleet(fmt::format("declare move m service core from a to b share 100 cap {} ramp 1s state running", cap));
        std::deque<MonotonicTime> moved;
        for (int i = 0; i < 1'500; ++i) {
            const auto step = *rc::gen::inRange(0, 400);
            if (step == 0)
                fleet.apply("change move m state paused");
            else if (step <= 3)
                fleet.apply("change move m state running");
            fleet.clock_.advance(std::chrono::milliseconds(step / 40));
            const auto now = fleet.clock_.now();
            if (fleet.sendRequest(*rc::gen::inRange(0, instances)) == "ub")
                moved.push_back(now);
            while (!moved.empty() && now - moved.front() >= 1s)
                moved.pop_front();
            RC_ASSERT(static_cast<int>(moved.size()) <= cap);
        }
    });
}

TEST_CASE("the moved share follows the ramp exactly", "[move]")
{
    Fleet fleet("declare move m service core from a to b share 50 cap 1000000 ramp 8s state running");
    // The mean of the ramp over its first half is 12.5 percent.
    CHECK(fleet.count("ub", 4'000) == Approx(500).margin(5));
    CHECK(fleet.reason() == "ramping");
    fleet.clock_.advance(10s);
    CHECK(fleet.count("ub", 1'000) == Approx(500).margin(instances));
    CHECK(fleet.reason() == "none");
}

TEST_CASE("a paused move stops with its ramp; a retired move has no effect", "[move]")
{
    Fleet fleet("declare move m service core from a to b share 100 cap 1000000 ramp 8s state running");
    fleet.count("ub", 4'000);
    fleet.apply("change move m state paused");
    CHECK(fleet.count("ub", 4'000) == 0);
    CHECK(fleet.reason() == "not-running");
    fleet.apply("change move m state running");
    // The ramp continues from its half: from 50 to 55 percent.
    CHECK(fleet.count("ub", 400) == Approx(210).margin(instances));
    fleet.apply("retire move m");
    CHECK(fleet.count("ub", 400) == 0);
}

TEST_CASE("reversing a move returns the requests to their region", "[move]")
{
    Fleet fleet("declare move m service core from a to b share 100 cap 1000000 state running");
    CHECK(fleet.count("ub", 100) == 100);
    fleet.apply("change move m from b to a");
    CHECK(fleet.count("ub", 100) == 0);
}

TEST_CASE("overlapping moves never move more than all requests", "[move]")
{
    const auto [first, second, carriedFirst, carriedSecond] = GENERATE(table<int, int, int, int>({ { 30, 50, 300, 500 }, { 70, 60, 700, 300 }, { 100, 100, 1000, 0 } }));
    Fleet fleet(fmt::format("declare move m1 service core from a to b share {} cap 1000000 state running;"
                            "declare move m2 service core from a to c share {} cap 1000000 state running",
        first, second));
    int toB = 0;
    int toC = 0;
    for (int i = 0; i < 1'000; ++i) {
        const auto upstream = fleet.sendRequest(i % instances);
        toB += upstream == "ub" ? 1 : 0;
        toC += upstream == "uc" ? 1 : 0;
    }
    CHECK(toB == Approx(carriedFirst).margin(2 * instances));
    CHECK(toC == Approx(carriedSecond).margin(2 * instances));
}

TEST_CASE("a move is held back while its target is cold or has no capacity", "[move]")
{
    Fleet fleet("declare move m service core from a to b share 100 cap 1000000 state running");
    SECTION("cold")
    {
        fleet.apply("retire upstream ub; declare upstream ub2 service core domain db address 127.0.0.1:9001 slots 9 cold-start 60s");
        CHECK(fleet.count("ub2", 100) == 0);
        CHECK(fleet.reason() == "target-short");
        fleet.clock_.advance(60s);
        CHECK(fleet.count("ub2", 100) == 100);
    }
    SECTION("draining")
    {
        fleet.apply("change upstream ub state draining");
        CHECK(fleet.count("ua", 100) == 100);
        CHECK(fleet.reason() == "no-room");
    }
    SECTION("cap")
    {
        fleet.apply("change move m cap 8");
        // Each instance has already moved one request in this second.
        CHECK(fleet.count("ub", 100) == 8 - instances);
        fleet.clock_.advance(1s);
        CHECK(fleet.count("ub", 100) == 8);
        CHECK(fleet.reason() == "cap");
    }
}
