#include "loop/loop_alarm.h"

namespace sapphirepass {

namespace {
    class LoopAlarm final : public PendingTimer {
    public:
        LoopAlarm(asio::io_context& loop, Duration wait)
            : state_(std::make_shared<State>(loop, wait))
        {
        }
        ~LoopAlarm() override
        {
            state_->isCancelled_ = true;
            state_->timer_.cancel();
        }
        LoopAlarm(const LoopAlarm&) = delete;
        auto operator=(const LoopAlarm&) -> LoopAlarm& = delete;

        // The action may end this alarm; the state lives until the handler has returned. Cancelling the timer does not stop a
        // handler that the loop has already queued.
        auto arm(std::function<void()> action) -> void
        {
            state_->timer_.async_wait([state = state_, action = std::move(action)](NetError error) {
                if (!error && !state->isCancelled_)
                    action();
            });
        }

    private:
        struct State {
            State(asio::io_context& loop, Duration wait)
                : timer_(loop, wait)
            {
            }

            asio::steady_timer timer_;
            bool isCancelled_ = false;
        };

        std::shared_ptr<State> state_;
    };
}

auto LoopAlarmClock::after(Duration wait, std::function<void()> action) -> std::unique_ptr<PendingTimer>
{
    auto alarm = std::make_unique<LoopAlarm>(loop_, wait);
    alarm->arm(std::move(action));
    return alarm;
}

} // namespace sapphirepass
