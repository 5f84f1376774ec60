#include "fleet/instance_list.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    constexpr std::chrono::milliseconds refreshInterval { 5'000 };
    // While the platform lists nobody, as when a fleet is being set up.
    constexpr std::chrono::milliseconds emptyInterval { 500 };
    // The whole fleet makes at most twenty calls a second.
    constexpr std::chrono::milliseconds intervalShare { 50 };
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
        const auto interval = instances_.empty() ? emptyInterval : std::max(refreshInterval, static_cast<std::int64_t>(instances_.size()) * intervalShare);
        wake_.wait_for(lock, interval, [this] { return stopping_; });
    }
}

} // namespace sapphirepass
