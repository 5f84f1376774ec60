#include "fleet/instance_list.h"

namespace sapphirepass {

namespace {
    constexpr std::chrono::seconds refreshInterval { 5 };
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
        wake_.wait_for(lock, refreshInterval, [this] { return stopping_; });
    }
}

} // namespace sapphirepass
