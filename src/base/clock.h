// Clocks. Code that makes decisions takes a Clock and never reads the system time directly.
#pragma once

#include <chrono>

namespace sapphirepass {

using Duration = std::chrono::nanoseconds;
// Time since boot of the instance, including time spent suspended.
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Calendar time in UTC; for display only, never for decisions.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

inline auto inSeconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }
inline auto fromSeconds(double seconds) -> Duration { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)); }

class Clock {
public:
    virtual ~Clock() = default;
    virtual auto now() const -> MonotonicTime = 0;
    virtual auto wallNow() const -> WallTime = 0;
};

// Uses CLOCK_BOOTTIME, so that leases expire while an instance is suspended.
class SystemClock final : public Clock {
public:
    auto now() const -> MonotonicTime override;
    auto wallNow() const -> WallTime override;
};

// Blocks the calling thread. Only for command-line clients; daemons never block this way.
class Sleeper {
public:
    virtual ~Sleeper() = default;
    virtual auto sleepFor(Duration length) -> void = 0;
};

class SystemSleeper final : public Sleeper {
public:
    auto sleepFor(Duration length) -> void override;
};

// A clock that advances only on request; for tests and experiments.
class ManualClock final : public Clock {
public:
    auto now() const -> MonotonicTime override { return now_; }
    auto wallNow() const -> WallTime override { return wall_; }
    auto advance(Duration step) -> void;

private:
    MonotonicTime now_ { std::chrono::hours(1) };
    WallTime wall_ { std::chrono::seconds(1'800'000'000) };
};

} // namespace sapphirepass
