#include "forward/retry_policy.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // A request that broke two connections may be what breaks them.
    constexpr int mostLost = 2;
    // Full upstreams answer within a round trip; the steering paces how often each is asked.
    constexpr int mostNotRun = 32;
    constexpr std::chrono::milliseconds answerTravel { 2 };
}

auto mayRetry(const FailedAttempt& attempt) -> bool
{
    if (!attempt.resendable_ || attempt.remaining_ <= Duration { 0 })
        return false;
    switch (attempt.outcome_) {
    case CallOutcome::Shed:
    case CallOutcome::NotSent:
        return attempt.notRun_ < mostNotRun;
    case CallOutcome::Lost:
        return attempt.repeatability_ == Repeatability::Idempotent && attempt.lost_ < mostLost;
    case CallOutcome::Answered:
    case CallOutcome::TimedOut:
        return false;
    }
    return false;
}

auto hopDeadline(std::chrono::milliseconds remaining) -> std::chrono::milliseconds
{
    return std::max(remaining - answerTravel, std::chrono::milliseconds { 1 });
}

RetryBudget::RetryBudget(double share, double burst)
    : share_(share)
    , burst_(burst)
    , tokens_(burst)
{
}

auto RetryBudget::recordRequest() -> void
{
    const std::lock_guard lock(mutex_);
    tokens_ = std::min(burst_, tokens_ + share_);
}

auto RetryBudget::tryConsume() -> bool
{
    const std::lock_guard lock(mutex_);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace sapphirepass
