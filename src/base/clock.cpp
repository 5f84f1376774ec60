#include "base/clock.h"

#include <ctime>
#include <thread>

namespace sapphirepass {

auto SystemClock::now() const -> MonotonicTime
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return MonotonicTime { std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec) };
}

auto SystemClock::wallNow() const -> WallTime
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

auto SystemSleeper::sleepFor(Duration length) -> void
{
    std::this_thread::sleep_for(length);
}

auto ManualClock::advance(Duration step) -> void
{
    now_ += step;
    wall_ += std::chrono::duration_cast<std::chrono::milliseconds>(step);
}

} // namespace sapphirepass
