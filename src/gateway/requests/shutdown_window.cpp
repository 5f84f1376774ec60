#include "gateway/requests/shutdown_window.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // For a response to be passed on to its caller.
    constexpr Duration passOnTime = 20ms;
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
