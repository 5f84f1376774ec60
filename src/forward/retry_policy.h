// Decides whether a failed request is retried on another upstream.
#pragma once

#include "base/clock.h"
#include "base/request_type.h"
#include "steering/steering.h"

#include <mutex>

namespace sapphirepass {

// A request whose latest attempt has failed.
struct FailedAttempt {
    CallOutcome outcome_ = CallOutcome::Lost;
    Repeatability repeatability_ = Repeatability::Once;
    // Whether its body is still available.
    bool resendable_ = false;
    // Attempts that may have run, as their outcome is unknown.
    int lost_ = 0;
    // Attempts that are known not to have run.
    int notRun_ = 0;
    // Time left until the deadline.
    Duration remaining_ { 0 };

    auto operator<=>(const FailedAttempt&) const = default;
};

// Whether another attempt is safe and can still succeed. The caller checks the retry budget afterwards.
auto mayRetry(const FailedAttempt& attempt) -> bool;
// The deadline for the upstream: shorter than the remaining time, to leave time for the response to travel back.
auto hopDeadline(std::chrono::milliseconds remaining) -> std::chrono::milliseconds;

// Limits retries to a share of this instance's requests, which limits the whole fleet's retries to the same share.
// Thread-safe.
class RetryBudget {
public:
    // share: retries per request in the long run; burst: retries that may follow each other at once.
    RetryBudget(double share, double burst);

    auto recordRequest() -> void;
    auto tryConsume() -> bool;

private:
    std::mutex mutex_;
    double share_;
    double burst_;
    double tokens_;
};

} // namespace sapphirepass
