// Decides whether a request can still be answered before an instance that is shutting down ends.
#pragma once

#include "base/clock.h"

#include <optional>

namespace sapphirepass {

// When the steps of a shutdown are due.
struct ShutdownTimes {
    // Takes no further requests; refuses those that were not sent to an upstream.
    MonotonicTime refuseUnsentAt_ {};
    // Gives requests whose responses are still awaited their final answer.
    MonotonicTime giveUpAt_ {};
    MonotonicTime endsAt_ {};

    auto operator<=>(const ShutdownTimes&) const = default;
};

// The process is killed once the grace time is over.
auto shutdownTimes(MonotonicTime requestedAt, Duration grace) -> ShutdownTimes;

class ShutdownWindow {
public:
    explicit ShutdownWindow(const Clock& clock)
        : clock_(clock)
    {
    }

    // A shutdown has begun; the process ends then.
    auto begin(MonotonicTime endsAt) -> void { endsAt_ = endsAt; }
    // Whether the response to a request that is sent now and runs this long still reaches the caller.
    auto mayFinish(Duration expected) const -> bool;
    // The part of a request's time that an upstream or a peer may use.
    auto bound(Duration timeLeft) const -> Duration;

private:
    // Time left for a response to arrive here; unlimited without a shutdown.
    auto responseTime() const -> Duration;

    const Clock& clock_;
    std::optional<MonotonicTime> endsAt_;
};

} // namespace sapphirepass
