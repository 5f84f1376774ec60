// What an instance that shuts down may still send: only what is answered before its process ends.
#pragma once

#include "base/clock.h"

#include <optional>

namespace sapphirepass {

class ShutdownWindow {
public:
    explicit ShutdownWindow(const Clock& clock)
        : clock_(clock)
    {
    }

    // A shutdown has begun; the process ends then.
    auto begin(MonotonicTime endsAt) -> void { endsAt_ = endsAt; }
    // Whether the response to what is sent now, and takes so long, still reaches the caller.
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
