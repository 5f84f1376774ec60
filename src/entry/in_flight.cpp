#include "entry/in_flight.h"

namespace sapphirepass {

auto InFlight::enter() -> Token
{
    const std::lock_guard lock(mutex_);
    ++count_;
    ++entered_;
    return Token(this, [](InFlight* owner) {
        const std::lock_guard lock(owner->mutex_);
        --owner->count_;
        owner->changed_.notify_all();
    });
}

auto InFlight::count() const -> std::int64_t
{
    const std::lock_guard lock(mutex_);
    return count_;
}

auto InFlight::waitForQuiet(std::chrono::milliseconds quiet, std::chrono::milliseconds longest) -> void
{
    std::unique_lock lock(mutex_);
    for (auto waited = std::chrono::milliseconds { 0 }; waited < longest && !interrupted_; waited += quiet) {
        const auto before = entered_;
        changed_.wait_for(lock, quiet, [this] { return interrupted_; });
        if (entered_ == before)
            return;
    }
}

auto InFlight::waitForNone() -> bool
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return count_ == 0 || interrupted_; });
    return count_ == 0;
}

auto InFlight::interrupt() -> void
{
    const std::lock_guard lock(mutex_);
    interrupted_ = true;
    changed_.notify_all();
}

} // namespace sapphirepass
