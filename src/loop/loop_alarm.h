// Alarms on the event loop.
#pragma once

#include "gateway/alarm.h"
#include "loop/net_type.h"

namespace sapphirepass {

class LoopAlarmClock final : public AlarmClock {
public:
    explicit LoopAlarmClock(asio::io_context& loop)
        : loop_(loop)
    {
    }

    auto after(Duration wait, std::function<void()> action) -> std::unique_ptr<Alarm> override;

private:
    asio::io_context& loop_;
};

} // namespace sapphirepass
