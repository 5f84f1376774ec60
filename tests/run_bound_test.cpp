// How long a run is taken to last when an instance that shuts down decides whether to send a request.
#include "gateway/requests/run_bound.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr Duration target = 300ms;

auto knowing(int count, Duration run) -> DecayingRunQuantiles
{
    DecayingRunQuantiles runs;
    for (int i = 0; i < count; ++i)
        runs.record("r", run);
    return runs;
}

}

// Issue 50: with 0.56 s left, requests of 1.0 s were sent, as the latency target stood for a run that nothing was known of.
TEST_CASE("a run of which nothing is known is taken to exceed its latency target, more so if it may not be repeated", "[shutdown][run-bound]")
{
    const DecayingRunQuantiles none;
    CHECK(runBound(none, "r", RepeatRule::Once, target) > 560ms);
    CHECK(runBound(none, "r", RepeatRule::Idempotent, target) > 560ms);
    CHECK(runBound(none, "r", RepeatRule::Once, target) > runBound(none, "r", RepeatRule::Idempotent, target));
    // Sent with this much time left, what ends in half a second is served.
    CHECK(runBound(none, "r", RepeatRule::Once, target) < 960ms);
    CHECK(runBound(knowing(200, 2s), "other", RepeatRule::Once, target) == runBound(none, "other", RepeatRule::Once, target));
}

// The mean of few runs stood for the longest.
TEST_CASE("of few runs the longest counts, and a multiple of it up to that of the latency target", "[shutdown][run-bound]")
{
    DecayingRunQuantiles runs = knowing(8, 20ms);
    runs.record("r", 1s);
    CHECK(runBound(runs, "r", RepeatRule::Once, target) >= 1s);
    CHECK(runBound(runs, "r", RepeatRule::Once, target) <= 1'050ms);
    CHECK(runBound(runs, "r", RepeatRule::Idempotent, target) >= 1s);
    // A route of short runs is served for longer than one of which nothing is known.
    const auto shortRuns = knowing(3, 50ms);
    CHECK(runBound(shortRuns, "r", RepeatRule::Once, target) > 105ms);
    CHECK(runBound(shortRuns, "r", RepeatRule::Once, target) < 200ms);
}

TEST_CASE("of many runs, fewer are taken to last longer if they may not be repeated", "[shutdown][run-bound]")
{
    auto runs = knowing(970, 100ms);
    for (int i = 0; i < 28; ++i)
        runs.record("r", 400ms);
    runs.record("r", 20s);
    CHECK(runBound(runs, "r", RepeatRule::Idempotent, target) <= 105ms);
    CHECK(runBound(runs, "r", RepeatRule::Once, target) >= 400ms);
    CHECK(runBound(runs, "r", RepeatRule::Once, target) <= 420ms);
}

TEST_CASE("a run that may not be repeated is never taken to be shorter than one that may", "[shutdown][run-bound]")
{
    rc::prop("for any runs and latency target", [](const std::vector<std::uint16_t>& times, std::uint16_t targetMs) {
        DecayingRunQuantiles runs;
        for (const auto ms : times)
            runs.record("r", 1ms * ms);
        RC_ASSERT(runBound(runs, "r", RepeatRule::Once, 1ms * targetMs) >= runBound(runs, "r", RepeatRule::Idempotent, 1ms * targetMs));
    });
}
