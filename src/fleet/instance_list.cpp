#include "fleet/instance_list.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    constexpr std::chrono::milliseconds refreshInterval { 5'000 };
    // Used while the platform lists no instance, as when a fleet is being set up.
    constexpr std::chrono::milliseconds emptyListInterval { 500 };
    // The interval grows with the fleet, so that all instances together make at most 20 calls per second.
    constexpr std::chrono::milliseconds intervalPerInstance { 50 };
}

InstanceList::InstanceList(ObjectStore& store)
    : store_(store)
{
}

InstanceList::~InstanceList()
{
    stop();
}

auto InstanceList::start() -> void
{
    thread_ = std::thread([this] { run(); });
}

auto InstanceList::stop() -> void
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

auto InstanceList::refresh() -> bool
{
    auto listed = store_.instances();
    if (!isOk(listed))
        return false;
    const std::lock_guard lock(mutex_);
    instances_ = valueOf(std::move(listed));
    return true;
}

auto InstanceList::instances() const -> std::vector<PlatformInstance>
{
    const std::lock_guard lock(mutex_);
    return instances_;
}

auto InstanceList::run() -> void
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        refresh();
        lock.lock();
        const auto interval = instances_.empty() ? emptyListInterval : std::max(refreshInterval, static_cast<std::int64_t>(instances_.size()) * intervalPerInstance);
        wake_.wait_for(lock, interval, [this] { return stopping_; });
    }
}

} // namespace sapphirepass
