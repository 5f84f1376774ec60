#include "entry/in_flight.h"

namespace sapphirepass {

auto InFlight::enter() -> Token
{
    const std::lock_guard lock(mutex_);
    ++count_;
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
