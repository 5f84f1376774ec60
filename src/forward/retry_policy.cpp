#include "forward/retry_policy.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // A request that lost two connections may itself be the cause.
    constexpr int maxLostAttempts = 2;
    // Full upstreams refuse within a round trip, and the steering limits how often each one is tried.
    constexpr int maxNotRunAttempts = 32;
    constexpr std::chrono::milliseconds responseTransitTime { 2 };
}

auto mayRetry(const FailedAttempt& attempt) -> bool
{
    if (!attempt.resendable_ || attempt.remaining_ <= Duration { 0 })
        return false;
    switch (attempt.outcome_) {
    case CallOutcome::Shed:
    case CallOutcome::NotSent:
        return attempt.notRun_ < maxNotRunAttempts;
    case CallOutcome::Lost:
        return attempt.repeatability_ == Repeatability::Idempotent && attempt.lost_ < maxLostAttempts;
    case CallOutcome::Answered:
    case CallOutcome::TimedOut:
        return false;
    }
    return false;
}

auto hopDeadline(std::chrono::milliseconds remaining) -> std::chrono::milliseconds
{
    return std::max(remaining - responseTransitTime, std::chrono::milliseconds { 1 });
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
