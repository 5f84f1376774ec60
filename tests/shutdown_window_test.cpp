// When an instance that shuts down answers, and how much time an attempt gets.
#include "gateway/requests/shutdown_window.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

class FixedClock final : public Clock {
public:
    auto now() const -> MonotonicTime override { return now_; }
    auto wallNow() const -> WallTime override { return {}; }

    MonotonicTime now_ { 100s };
};

}

TEST_CASE("no step of a shutdown is due after the grace time, however short that is", "[shutdown]")
{
    rc::prop("the steps follow each other", [](std::uint16_t graceMs) {
        const MonotonicTime start { 100s };
        const auto times = shutdownTimes(start, 1ms * graceMs);
        RC_ASSERT(start <= times.refuseUnsentAt_);
        RC_ASSERT(times.refuseUnsentAt_ <= times.giveUpAt_);
        RC_ASSERT(times.giveUpAt_ <= times.endsAt_);
        RC_ASSERT(times.endsAt_ <= start + 1ms * graceMs);
    });
}

// The response of an upstream that stops at its deadline arrived when the process had ended.
TEST_CASE("a response that comes within the time that an upstream gets is passed on before requests are given up", "[shutdown]")
{
    FixedClock clock;
    ShutdownWindow window(clock);
    const auto times = shutdownTimes(clock.now(), 6s);
    CHECK(window.bound(1h) == 1h);
    window.begin(times.endsAt_);
    CHECK(clock.now() + window.bound(1h) < times.giveUpAt_);
    CHECK(clock.now() + window.bound(1h) > times.refuseUnsentAt_);
    CHECK(times.giveUpAt_ < times.endsAt_);
    clock.now_ = times.endsAt_;
    CHECK(window.bound(1h) == Duration::zero());
    CHECK_FALSE(window.mayFinish(0ms));
}
