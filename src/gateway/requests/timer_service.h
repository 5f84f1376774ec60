// Timers for code that must not depend on the event loop.
#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

namespace sapphirepass {

// Destroying a pending timer cancels it.
class PendingTimer {
public:
    virtual ~PendingTimer() = default;
};

class TimerService {
public:
    virtual ~TimerService() = default;
    virtual auto after(Duration delay, std::function<void()> action) -> std::unique_ptr<PendingTimer> = 0;
};

} // namespace sapphirepass
