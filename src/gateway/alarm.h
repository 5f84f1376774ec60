// Wake-ups at a time, for code that must not know the event loop.
#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

namespace sapphirepass {

// A wake-up that is pending; its end cancels it.
class Alarm {
public:
    virtual ~Alarm() = default;
};

class AlarmClock {
public:
    virtual ~AlarmClock() = default;
    virtual auto after(Duration wait, std::function<void()> action) -> std::unique_ptr<Alarm> = 0;
};

} // namespace sapphirepass
