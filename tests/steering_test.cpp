// RegionSteering: choice of upstreams from the outcomes of an instance's own calls.
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

struct SteeringFixture {
    explicit SteeringFixture(const std::string& text)
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

    // Runs one request with the given outcome. Returns the upstream's name, or an empty string if none was free.
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

TEST_CASE("local slots are used first, then remote slots up to this instance's share of the region's limit", "[steering]")
{
    SteeringFixture fixture(regions + upstream("a", "h", 2) + upstream("b", "t", 3) + upstream("c", "t", 3));
    CHECK(fixture.acquire()->upstream_.name_ == "a");
    CHECK(fixture.acquire()->upstream_.name_ == "a");
    // No spill: the local upstream has no free slot now, but is expected to have one soon.
    CHECK_FALSE(fixture.acquire());
    fixture.apply("change upstream a state draining");
    const auto first = fixture.acquire();
    const auto second = fixture.acquire();
    REQUIRE((first && second));
    CHECK(first->chargedRegion_ == "there");
    // This instance's share is half of the region's limit of 4.
    CHECK_FALSE(fixture.acquire());
    fixture.steering_.release(*first, CallOutcome::Answered);
    CHECK(fixture.acquire());
}

TEST_CASE("spill is limited by the bandwidth of the link in each direction", "[steering]")
{
    const auto [requestBytes, answerBytes] = GENERATE(table<std::int64_t, std::int64_t>({ { 60'000, 0 }, { 0, 1'000'000 } }));
    CAPTURE(requestBytes, answerBytes);
    // 1 Mbit/s is 125,000 bytes per second, half of them for this instance.
    SteeringFixture fixture(regions + upstream("b", "t", 9));
    REQUIRE(fixture.acquire({}, requestBytes));
    fixture.links_.recordResponse(*fixture.config_.snapshot(), { "core", "here", "there" }, answerBytes);
    CHECK_FALSE(fixture.acquire({}, requestBytes));
}

TEST_CASE("a draining upstream gets no requests once the revision is in force", "[steering]")
{
    SteeringFixture fixture(regions + upstream("a", "h", 4) + upstream("b", "h", 4));
    fixture.apply("change upstream a state draining");
    for (int i = 0; i < 4; ++i)
        CHECK(fixture.acquire()->upstream_.name_ == "b");
}

TEST_CASE("an upstream that sheds every call is retried with backoff", "[steering]")
{
    SteeringFixture fixture(regions + upstream("a", "h", 4) + upstream("b", "h", 4));
    int asked = 0;
    for (int i = 0; i < 10'000; ++i) {
        fixture.clock_.advance(1ms);
        const auto assignment = fixture.acquire();
        REQUIRE(assignment);
        const bool drains = assignment->upstream_.name_ == "a";
        asked += drains ? 1 : 0;
        fixture.steering_.release(*assignment, drains ? CallOutcome::Shed : CallOutcome::Answered);
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
        SteeringFixture fixture(text);
        for (int i = 0; i < 200; ++i) {
            fixture.call(*rc::gen::element(CallOutcome::Lost, CallOutcome::NotSent, CallOutcome::Lost, CallOutcome::TimedOut));
            fixture.clock_.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 50)));
        }
        std::set<std::string> usable;
        while (const auto assignment = fixture.acquire())
            usable.insert(assignment->upstream_.name_);
        RC_ASSERT(2 * usable.size() >= static_cast<std::size_t>(count));
    });
}

TEST_CASE("an ejected upstream returns after a single trial request and then warms up", "[steering]")
{
    SteeringFixture fixture(regions + upstream("a", "h", 4) + upstream("b", "h", 4));
    std::string ejected;
    for (int i = 0; i < 20 && ejected.empty(); ++i) {
        const auto assignment = fixture.acquire();
        const bool failing = assignment->upstream_.name_ == "a";
        fixture.steering_.release(*assignment, failing ? CallOutcome::NotSent : CallOutcome::TimedOut);
        ejected = failing ? "a" : "";
    }
    REQUIRE(ejected == "a");
    CHECK(fixture.acquire({ "b" }) == std::nullopt);
    fixture.clock_.advance(health::baseEjection);
    const auto trial = fixture.acquire({ "b" });
    REQUIRE(trial);
    CHECK_FALSE(fixture.acquire({ "b" }));
    fixture.steering_.release(*trial, CallOutcome::Answered);
    // Half of the cold start has passed, so half of the slots are usable.
    fixture.clock_.advance(5s);
    CHECK(fixture.acquire({ "b" }));
    CHECK(fixture.acquire({ "b" }));
    CHECK_FALSE(fixture.acquire({ "b" }));
}

TEST_CASE("timed-out requests do not eject upstreams", "[steering]")
{
    SteeringFixture fixture(regions + upstream("a", "h", 1) + upstream("b", "h", 1));
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(fixture.call(CallOutcome::TimedOut).empty());
}

TEST_CASE("the shed rate decays without calls", "[steering]")
{
    ManualClock clock;
    ShedRate rate;
    for (int i = 0; i < 1'000; ++i)
        rate.recordCall(true, clock.now());
    CHECK(rate.at(clock.now()) > 0.9);
    clock.advance(10s);
    CHECK(rate.at(clock.now()) < 0.1);
}
