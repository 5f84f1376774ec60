#include "loop/loop_alarm.h"

namespace sapphirepass {

namespace {
    class LoopAlarm final : public PendingTimer {
    public:
        LoopAlarm(asio::io_context& loop, Duration wait)
            : timer_(std::make_shared<asio::steady_timer>(loop, wait))
        {
        }
        ~LoopAlarm() override { timer_->cancel(); }
        LoopAlarm(const LoopAlarm&) = delete;
        auto operator=(const LoopAlarm&) -> LoopAlarm& = delete;

        // The action may end this alarm; the timer lives until the handler has returned.
        auto arm(std::function<void()> action) -> void
        {
            timer_->async_wait([timer = timer_, action = std::move(action)](NetError error) {
                if (!error)
                    action();
            });
        }

    private:
        std::shared_ptr<asio::steady_timer> timer_;
    };
}

auto LoopAlarmClock::after(Duration wait, std::function<void()> action) -> std::unique_ptr<PendingTimer>
{
    auto alarm = std::make_unique<LoopAlarm>(loop_, wait);
    alarm->arm(std::move(action));
    return alarm;
}

} // namespace sapphirepass
