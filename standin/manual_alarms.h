// Alarms that ring when a test advances its clock.
#pragma once

#include "gateway/requests/timer_service.h"

#include <map>

namespace sapphirepass::standin {

class ManualAlarms final : public TimerService {
public:
    explicit ManualAlarms(ManualClock& clock)
        : clock_(clock)
    {
    }

    auto after(Duration wait, std::function<void()> action) -> std::unique_ptr<PendingTimer> override
    {
        const auto number = ++last_;
        pending_[number] = { clock_.now() + wait, std::move(action) };
        return std::make_unique<Pending>(*this, number);
    }

    auto advance(Duration step) -> void
    {
        clock_.advance(step);
        for (auto due = nextDue(); due != pending_.end(); due = nextDue()) {
            const auto action = std::move(due->second.action_);
            pending_.erase(due);
            action();
        }
    }

    auto pending() const -> std::size_t { return pending_.size(); }

private:
    struct Entry {
        MonotonicTime at_;
        std::function<void()> action_;
    };
    using Entries = std::map<std::uint64_t, Entry>;

    class Pending final : public PendingTimer {
    public:
        Pending(ManualAlarms& alarms, std::uint64_t number)
            : alarms_(alarms)
            , number_(number)
        {
        }
        ~Pending() override { alarms_.pending_.erase(number_); }
        Pending(const Pending&) = delete;
        auto operator=(const Pending&) -> Pending& = delete;

    private:
        ManualAlarms& alarms_;
        std::uint64_t number_;
    };

    auto nextDue() -> Entries::iterator
    {
        auto found = pending_.begin();
        while (found != pending_.end() && found->second.at_ > clock_.now())
            ++found;
        return found;
    }

    ManualClock& clock_;
    Entries pending_;
    std::uint64_t last_ = 0;
};

} // namespace sapphirepass::standin
