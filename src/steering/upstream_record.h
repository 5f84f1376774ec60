// What one instance knows of an upstream from its own calls alone.
#pragma once

#include "base/clock.h"
#include "config/config_type.h"
#include "steering/steering.h"

#include <optional>

namespace sapphirepass {

// How long each kind of evidence counts.
namespace trust {
    // A slot that an own request has just left is most likely still free.
    inline constexpr std::chrono::milliseconds freedSlot { 200 };
    // Pause after a shed answer: this part of the time for which the upstream has shed every call.
    // A full upstream is asked again at once, a draining one ever more rarely.
    inline constexpr int pauseDivisor = 16;
    inline constexpr std::chrono::milliseconds shortestPause { 3 };
    inline constexpr std::chrono::milliseconds longestPause { 2'000 };
    // Time without work after lost connections; doubled by each ejection in a row.
    inline constexpr std::chrono::milliseconds firstEjection { 1'000 };
    inline constexpr std::chrono::milliseconds longestEjection { 30'000 };
    // Connections lost in a row that eject an upstream.
    inline constexpr int lostLimit = 3;
}

class UpstreamRecord {
public:
    // Not cold: an upstream that was there before this instance.
    UpstreamRecord() = default;
    explicit UpstreamRecord(std::optional<MonotonicTime> coldSince)
        : coldSince_(coldSince)
    {
    }

    auto running() const -> std::int64_t { return running_; }
    auto isEjected(MonotonicTime now) const -> bool { return now < ejectedUntil_; }
    // Whether its ejection has ended but no answer has shown yet that it recovered.
    auto isOnTrial() const -> bool { return ejections_ > 0; }
    auto isPaused(MonotonicTime now) const -> bool { return now < pausedUntil_; }
    // When the latest pause ends; far in the past if there was none.
    auto pausedUntil() const -> MonotonicTime { return pausedUntil_; }
    auto isCold(const Upstream& upstream, MonotonicTime now) const -> bool;
    // Requests that this instance may run there at once; rises during the cold start and is 1 on trial.
    auto allowed(const Upstream& upstream, MonotonicTime now) const -> std::int64_t;
    // When an own request last left a slot that this instance has not taken again; nothing if too long ago.
    auto freedAt(MonotonicTime now) const -> std::optional<MonotonicTime>;

    auto take() -> void;
    // mayEject: whether one more upstream may be ejected. Returns whether this one now is.
    auto release(CallOutcome outcome, MonotonicTime now, bool mayEject) -> bool;

private:
    auto fail(int strikes, MonotonicTime now, bool mayEject) -> bool;

    std::int64_t running_ = 0;
    std::int64_t freed_ = 0;
    MonotonicTime freedAt_;
    // The first of the shed answers in a row.
    std::optional<MonotonicTime> shedSince_;
    MonotonicTime pausedUntil_;
    int lost_ = 0;
    int ejections_ = 0;
    MonotonicTime ejectedUntil_;
    std::optional<MonotonicTime> coldSince_;
};

} // namespace sapphirepass
