// Callers that send requests at scheduled times, whether or not earlier ones have been answered.
#pragma once

#include "bench/load/experiment.h"
#include "bench/load/record_type.h"

#include <functional>

namespace sapphirepass::load {

// Now on the machine's steady clock.
auto steadyNow() -> Instant;

struct ScheduledCall {
    // From the start of the experiment.
    std::chrono::microseconds at_ { 0 };
    std::size_t workspace_ = 0;
    bool write_ = false;

    auto operator<=>(const ScheduledCall&) const = default;
};

// All calls in the order of time; the same seed gives the same schedule.
auto scheduleCalls(const Experiment& experiment) -> std::vector<ScheduledCall>;

// Sends the schedule and returns once every call has ended. Progress gets the number of calls begun.
auto runCalls(const Experiment& experiment, const Addresses& addresses, Instant start, const std::function<void(std::size_t, std::size_t)>& progress) -> std::vector<CallRecord>;

} // namespace sapphirepass::load
