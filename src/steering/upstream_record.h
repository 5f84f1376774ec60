// Load and health of an upstream, derived only from this instance's own calls.
#pragma once

#include "base/clock.h"
#include "config/config_type.h"
#include "steering/steering.h"

#include <optional>

namespace sapphirepass {

// Limits of passive health checking: how long each observation counts.
namespace health {
    // A slot that a request of this instance has just released is most likely still free.
    inline constexpr std::chrono::milliseconds freedSlotLifetime { 200 };
    // Backoff after a shed call: the time for which the upstream has shed every call, divided by this.
    // A full upstream is retried almost at once, a draining one with growing delays.
    inline constexpr int backoffDivisor = 16;
    inline constexpr std::chrono::milliseconds minBackoff { 3 };
    inline constexpr std::chrono::milliseconds maxBackoff { 2'000 };
    // Ejection time after lost connections; doubled by each consecutive ejection.
    inline constexpr std::chrono::milliseconds baseEjection { 1'000 };
    inline constexpr std::chrono::milliseconds maxEjection { 30'000 };
    // Consecutive lost connections after which an upstream is ejected; a refused connection counts as this many.
    inline constexpr int lossesBeforeEjection = 3;
}

class UpstreamRecord {
public:
    // An upstream that was there before this instance; taken as warm.
    UpstreamRecord() = default;
    explicit UpstreamRecord(std::optional<MonotonicTime> coldSince)
        : coldSince_(coldSince)
    {
    }

    auto inFlight() const -> std::int64_t { return inFlight_; }
    auto isEjected(MonotonicTime now) const -> bool { return now < ejectedUntil_; }
    // Whether it has been ejected and has not answered a call since.
    auto needsProbe() const -> bool { return consecutiveEjections_ > 0; }
    auto isBackingOff(MonotonicTime now) const -> bool { return now < backoffUntil_; }
    // End of the latest backoff; far in the past if there was none.
    auto backoffUntil() const -> MonotonicTime { return backoffUntil_; }
    auto isCold(const Upstream& upstream, MonotonicTime now) const -> bool;
    // Limit of concurrent requests from this instance; rises during the cold start, 1 while probing after an ejection.
    auto maxInFlight(const Upstream& upstream, MonotonicTime now) const -> std::int64_t;
    // When a request of this instance last released a slot that this instance has not occupied again; nothing once
    // freedSlotLifetime has passed.
    auto freedAt(MonotonicTime now) const -> std::optional<MonotonicTime>;

    auto occupySlot() -> void;
    // mayEject: whether the limit of ejected upstreams allows another one. Returns whether this call ejected the upstream.
    auto release(CallOutcome outcome, MonotonicTime now, bool mayEject) -> bool;

private:
    auto recordFailure(int losses, MonotonicTime now, bool mayEject) -> bool;

    std::int64_t inFlight_ = 0;
    std::int64_t freedSlots_ = 0;
    MonotonicTime freedAt_;
    // First of the current run of consecutive shed calls.
    std::optional<MonotonicTime> shedStreakStart_;
    MonotonicTime backoffUntil_;
    int consecutiveLosses_ = 0;
    int consecutiveEjections_ = 0;
    MonotonicTime ejectedUntil_;
    std::optional<MonotonicTime> coldSince_;
};

} // namespace sapphirepass
