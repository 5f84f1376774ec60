// How long the client waits until a change is in force everywhere, on a clock that moves only when the client pauses.
#include "operator/in_force_wait.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

// Confirms on one instance more at each question.
class SlowFleet final : public InForceQuestion {
public:
    SlowFleet(std::int64_t total, std::int64_t failsAt)
        : total_(total)
        , failsAt_(failsAt)
    {
    }
    auto ask() -> std::optional<InForceCount> override
    {
        if (++asked_ == failsAt_)
            return std::nullopt;
        return InForceCount { std::min(asked_, total_), total_, true, {} };
    }

    std::int64_t asked_ = 0;

private:
    std::int64_t total_;
    std::int64_t failsAt_;
};

class AdvancingSleeper final : public Sleeper {
public:
    explicit AdvancingSleeper(ManualClock& clock)
        : clock_(clock)
    {
    }
    auto sleepFor(Duration length) -> void override { clock_.advance(length); }

private:
    ManualClock& clock_;
};

struct WaitFixture {
    ManualClock clock_;
    AdvancingSleeper sleeper_ { clock_ };
    MonotonicTime start_ = clock_.now();
};

}

TEST_CASE("the client waits until all have confirmed, and no longer", "[in-force]")
{
    WaitFixture fixture;
    SlowFleet fleet(5, 0);
    const auto count = waitInForce(fleet, fixture.clock_, fixture.sleeper_, 5s);
    REQUIRE(count);
    CHECK(count->confirmed_ == 5);
    CHECK(fleet.asked_ == 5);
    CHECK(fixture.clock_.now() - fixture.start_ == 400ms);
}

TEST_CASE("the client tells what it knows when its time is over", "[in-force]")
{
    WaitFixture fixture;
    SlowFleet fleet(1'000, 0);
    const auto longest = GENERATE(Duration(0s), Duration(30ms), Duration(1s));
    const auto count = waitInForce(fleet, fixture.clock_, fixture.sleeper_, longest);
    REQUIRE(count);
    CHECK(count->confirmed_ < count->total_);
    CHECK(fixture.clock_.now() - fixture.start_ == longest);
}

TEST_CASE("the client does not wait for an instance that cannot tell", "[in-force]")
{
    WaitFixture fixture;
    SlowFleet fleet(1'000, 3);
    CHECK_FALSE(waitInForce(fleet, fixture.clock_, fixture.sleeper_, 5s));
    CHECK(fleet.asked_ == 3);
}
