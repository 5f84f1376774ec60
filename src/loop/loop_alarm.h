// Alarms on the event loop.
#pragma once

#include "gateway/requests/timer_service.h"
#include "loop/net_type.h"

namespace sapphirepass {

class LoopAlarmClock final : public TimerService {
public:
    explicit LoopAlarmClock(asio::io_context& loop)
        : loop_(loop)
    {
    }

    auto after(Duration wait, std::function<void()> action) -> std::unique_ptr<PendingTimer> override;

private:
    asio::io_context& loop_;
};

} // namespace sapphirepass
