// Wake-ups at a time, for code that must not know the event loop.
#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

namespace sapphirepass {

// A wake-up that is pending; its end cancels it.
class PendingTimer {
public:
    virtual ~PendingTimer() = default;
};

class TimerService {
public:
    virtual ~TimerService() = default;
    virtual auto after(Duration wait, std::function<void()> action) -> std::unique_ptr<PendingTimer> = 0;
};

} // namespace sapphirepass
