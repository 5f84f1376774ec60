// Upstream choice from own outcomes: what it must never do, whatever it is told.
#include "config/command_func.h"
#include "language/command_parser.h"
#include "steering/fixed_share_budgets.h"
#include "steering/region_steering.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t instances = 2;

struct World {
    explicit World(const std::string& text)
    {
        apply(text);
    }

    auto apply(const std::string& text) -> void
    {
        config_.apply({ config_.snapshot()->revision() + 1, { { config_.snapshot()->revision() + 1, "id", "op", "", "", text } } });
    }

    auto acquire(std::set<std::string> tried = {}, std::int64_t bytes = 0) -> std::optional<Assignment>
    {
        std::optional<Assignment> assignment;
        steering_.acquire({ config_.snapshot(), "core", "w", Repeatability::Idempotent, {}, std::move(tried), bytes }, [&](const auto& result) {
            if (isOk(result))
                assignment = valueOf(result);
        });
        return assignment;
    }

    // Runs one request to that outcome; the upstream's name, or empty if there was none.
    auto call(CallOutcome outcome) -> std::string
    {
        const auto assignment = acquire();
        if (!assignment)
            return {};
        steering_.release(*assignment, outcome);
        return assignment->upstream_.name_;
    }

    ManualClock clock_;
    ConfigState config_;
    FixedShareBudgets budgets_ { clock_, config_, instances };
    LinkMeter links_ { budgets_ };
    RegionSteering steering_ { "here", clock_, budgets_, links_, 20261203 };
};

const std::string regions = "declare region here; declare domain h region here; declare region there limit 4; declare domain t region there;"
                            "declare link wire from here to there megabits 1;";

auto upstream(const std::string& name, const std::string& domain, int slots) -> std::string
{
    return fmt::format("declare upstream {} service core domain {} address 127.0.0.1:9000 slots {} cold-start 10s;", name, domain, slots);
}

}

TEST_CASE("local slots go first and remote ones keep to the region's share", "[steering]")
{
    World world(regions + upstream("a", "h", 2) + upstream("b", "t", 3) + upstream("c", "t", 3));
    CHECK(world.acquire()->upstream_.name_ == "a");
    CHECK(world.acquire()->upstream_.name_ == "a");
    // No slot now, but the own upstream will have one soon.
    CHECK_FALSE(world.acquire());
    world.apply("change upstream a state draining");
    const auto first = world.acquire();
    const auto second = world.acquire();
    REQUIRE((first && second));
    CHECK(first->budgetRegion_ == "there");
    // Half of the region's 4.
    CHECK_FALSE(world.acquire());
    world.steering_.release(*first, CallOutcome::Answered);
    CHECK(world.acquire());
}

TEST_CASE("bytes in both directions of a link bound the spill", "[steering]")
{
    const auto [requestBytes, answerBytes] = GENERATE(table<std::int64_t, std::int64_t>({ { 60'000, 0 }, { 0, 1'000'000 } }));
    CAPTURE(requestBytes, answerBytes);
    // 1 Mbit/s is 125,000 bytes, half of them for this instance.
    World world(regions + upstream("b", "t", 9));
    REQUIRE(world.acquire({}, requestBytes));
    world.links_.recordResponse(*world.config_.snapshot(), { "core", "here", "there" }, answerBytes);
    CHECK_FALSE(world.acquire({}, requestBytes));
}

TEST_CASE("an upstream that drains gets no work once the revision is in force", "[steering]")
{
    World world(regions + upstream("a", "h", 4) + upstream("b", "h", 4));
    world.apply("change upstream a state draining");
    for (int i = 0; i < 4; ++i)
        CHECK(world.acquire()->upstream_.name_ == "b");
}

TEST_CASE("an upstream that sheds everything is asked ever more rarely", "[steering]")
{
    World world(regions + upstream("a", "h", 4) + upstream("b", "h", 4));
    int asked = 0;
    for (int i = 0; i < 10'000; ++i) {
        world.clock_.advance(1ms);
        const auto assignment = world.acquire();
        REQUIRE(assignment);
        const bool drains = assignment->upstream_.name_ == "a";
        asked += drains ? 1 : 0;
        world.steering_.release(*assignment, drains ? CallOutcome::Shed : CallOutcome::Answered);
    }
    CHECK(asked < 60);
}

TEST_CASE("ejection leaves at least half of a service's upstreams in use", "[steering]")
{
    rc::prop("any outcomes", [] {
        std::string text = regions;
        const auto count = *rc::gen::inRange(1, 7);
        for (int i = 0; i < count; ++i)
            text += upstream(fmt::format("u{}", i), "h", 2);
        World world(text);
        for (int i = 0; i < 200; ++i) {
            world.call(*rc::gen::element(CallOutcome::Lost, CallOutcome::NotSent, CallOutcome::Lost, CallOutcome::TimedOut));
            world.clock_.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 50)));
        }
        std::set<std::string> usable;
        while (const auto assignment = world.acquire())
            usable.insert(assignment->upstream_.name_);
        RC_ASSERT(2 * usable.size() >= static_cast<std::size_t>(count));
    });
}

TEST_CASE("an ejected upstream comes back by one trial at a time, then warms up", "[steering]")
{
    World world(regions + upstream("a", "h", 4) + upstream("b", "h", 4));
    std::string ejected;
    for (int i = 0; i < 20 && ejected.empty(); ++i) {
        const auto assignment = world.acquire();
        const bool failing = assignment->upstream_.name_ == "a";
        world.steering_.release(*assignment, failing ? CallOutcome::NotSent : CallOutcome::TimedOut);
        ejected = failing ? "a" : "";
    }
    REQUIRE(ejected == "a");
    CHECK(world.acquire({ "b" }) == std::nullopt);
    world.clock_.advance(trust::firstEjection);
    const auto trial = world.acquire({ "b" });
    REQUIRE(trial);
    CHECK_FALSE(world.acquire({ "b" }));
    world.steering_.release(*trial, CallOutcome::Answered);
    // Half of its cold start: half of its slots.
    world.clock_.advance(5s);
    CHECK(world.acquire({ "b" }));
    CHECK(world.acquire({ "b" }));
    CHECK_FALSE(world.acquire({ "b" }));
}

TEST_CASE("requests that ran out of time eject nobody", "[steering]")
{
    World world(regions + upstream("a", "h", 1) + upstream("b", "h", 1));
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(world.call(CallOutcome::TimedOut).empty());
}

TEST_CASE("a shed rate fades without calls", "[steering]")
{
    ManualClock clock;
    ShedRate rate;
    for (int i = 0; i < 1'000; ++i)
        rate.note(true, clock.now());
    CHECK(rate.at(clock.now()) > 0.9);
    clock.advance(10s);
    CHECK(rate.at(clock.now()) < 0.1);
}
