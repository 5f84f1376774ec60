#include "gateway/requests/shutdown_window.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // For a response to be passed on to its caller.
    constexpr Duration passOnTime = 20ms;
    // Kept before the end of the grace time for the process to end by itself.
    constexpr Duration graceMargin = 20ms;
    // Before that, for final answers to reach their callers. Responses may arrive until shortly before.
    constexpr Duration finalAnswerTime = 10ms;
    // For the answers to requests that were not sent, and the last responses.
    constexpr Duration lastResponseTime = 80ms;
}

auto shutdownTimes(MonotonicTime requestedAt, Duration grace) -> ShutdownTimes
{
    const auto before = [requestedAt](MonotonicTime time, Duration by) { return std::max(requestedAt, time - by); };
    const auto endsAt = before(requestedAt + grace, graceMargin);
    return { before(endsAt, lastResponseTime), before(endsAt, finalAnswerTime), endsAt };
}

auto ShutdownWindow::responseTime() const -> Duration
{
    return endsAt_ ? *endsAt_ - clock_.now() - passOnTime : Duration::max();
}

auto ShutdownWindow::mayFinish(Duration expected) const -> bool
{
    return expected <= responseTime();
}

auto ShutdownWindow::bound(Duration timeLeft) const -> Duration
{
    return std::max(Duration::zero(), std::min(timeLeft, responseTime()));
}

} // namespace sapphirepass
