// Whether a request is tried on another upstream. Pure.
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
    // Whether its body is still there to be sent again.
    bool resendable_ = false;
    // Attempts that may have run.
    int lost_ = 0;
    // Attempts that certainly did not run.
    int notRun_ = 0;
    // Until its deadline.
    Duration remaining_ { 0 };

    auto operator<=>(const FailedAttempt&) const = default;
};

// Whether another attempt can do no harm and still makes sense. The retry budget is asked after that.
auto mayRetry(const FailedAttempt& attempt) -> bool;
// What an upstream gets of a request's remaining time: less than this instance has, as the answer has to travel.
auto hopDeadline(std::chrono::milliseconds remaining) -> std::chrono::milliseconds;

// Bounds retries to a share of this instance's requests; the fleet's total is bounded by the same share.
// Thread-safe.
class RetryBudget {
public:
    // share: retries for each request in the long run; burst: retries at once.
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
