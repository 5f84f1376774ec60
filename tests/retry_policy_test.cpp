// Which failed attempts are retried, and the limit of retries.
#include "forward/retry_policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

TEST_CASE("a request is retried only if it was not executed or may be repeated", "[retry]")
{
    constexpr auto once = Repeatability::Once;
    constexpr auto idempotent = Repeatability::Idempotent;
    const auto [attempt, retried] = GENERATE(table<FailedAttempt, bool>({
        { { CallOutcome::Shed, once, true, 0, 1, 1s }, true },
        { { CallOutcome::NotSent, once, true, 0, 1, 1s }, true },
        { { CallOutcome::Lost, once, true, 1, 0, 1s }, false },
        { { CallOutcome::Lost, idempotent, true, 1, 0, 1s }, true },
        { { CallOutcome::Lost, idempotent, true, 2, 0, 1s }, false },
        { { CallOutcome::Shed, idempotent, false, 0, 1, 1s }, false },
        { { CallOutcome::Shed, idempotent, true, 0, 32, 1s }, false },
        { { CallOutcome::Shed, idempotent, true, 0, 1, 0s }, false },
        { { CallOutcome::TimedOut, idempotent, true, 0, 0, 1s }, false },
        { { CallOutcome::Answered, idempotent, true, 0, 0, 1s }, false },
    }));
    CAPTURE(static_cast<int>(attempt.outcome_), attempt.lost_, attempt.notRun_);
    CHECK(mayRetry(attempt) == retried);
}

TEST_CASE("retries stay within the retry budget", "[retry]")
{
    rc::prop("any order of requests and retries", [](const std::vector<bool>& retries) {
        constexpr double share = 0.2;
        constexpr double burst = 3;
        RetryBudget budget(share, burst);
        double requests = 0;
        double taken = 0;
        for (const bool retry : retries) {
            if (retry)
                taken += budget.tryConsume() ? 1 : 0;
            else
                budget.recordRequest();
            requests += retry ? 0 : 1;
            RC_ASSERT(taken <= burst + share * requests + 1e-6);
        }
    });
}

TEST_CASE("the upstream's deadline is shorter than the remaining time", "[retry]")
{
    CHECK(hopDeadline(100ms) == 98ms);
    CHECK(hopDeadline(1ms) == 1ms);
}
