#include "standin/memory_store.h"

namespace sapphirepass::standin {

namespace {
    auto outageError() -> StoreError { return { StoreErrorKind::Unreachable, "the store refuses calls" }; }
    auto lostError() -> StoreError { return { StoreErrorKind::AnswerLost, "the answer was lost" }; }
    auto conflictError() -> StoreError { return { StoreErrorKind::Conflict, "the object is at another version" }; }
    auto notFoundError() -> StoreError { return { StoreErrorKind::NotFound, "no such object" }; }
}

auto MemoryStore::losesAnswer() -> bool
{
    if (faults_.lostAnswers_ == 0)
        return false;
    --faults_.lostAnswers_;
    return true;
}

auto MemoryStore::read(const std::string& name) -> Result<StoredObject, StoreError>
{
    const std::lock_guard lock(mutex_);
    ++calls_.reads_;
    if (refused())
        return outageError();
    const auto found = objects_.find(name);
    if (found == objects_.end())
        return notFoundError();
    return found->second;
}

auto MemoryStore::write(const std::string& name, const std::string& value, ObjectVersion expected) -> Result<ObjectVersion, StoreError>
{
    const std::lock_guard lock(mutex_);
    ++calls_.writes_;
    if (refused())
        return outageError();
    if (value.size() > maxObjectBytes)
        return StoreError { StoreErrorKind::TooLarge, "the value is too large" };
    const auto found = objects_.find(name);
    const auto current = found == objects_.end() ? absentVersion : found->second.version_;
    if (current != expected)
        return conflictError();
    objects_[name] = { name, ++lastVersion_, value };
    changed_.notify_all();
    if (losesAnswer())
        return lostError();
    return lastVersion_;
}

auto MemoryStore::remove(const std::string& name, ObjectVersion expected) -> Result<Done, StoreError>
{
    const std::lock_guard lock(mutex_);
    ++calls_.writes_;
    if (refused())
        return outageError();
    const auto found = objects_.find(name);
    if (found == objects_.end() || found->second.version_ != expected)
        return conflictError();
    objects_.erase(found);
    changed_.notify_all();
    if (losesAnswer())
        return lostError();
    return Done {};
}

auto MemoryStore::watch(const std::string& name, ObjectVersion after, std::chrono::milliseconds longest) -> Result<std::optional<StoredObject>, StoreError>
{
    std::unique_lock lock(mutex_);
    ++calls_.watches_;
    const auto isNewer = [&] {
        const auto found = objects_.find(name);
        return found != objects_.end() && found->second.version_ > after;
    };
    changed_.wait_for(lock, longest, [&] { return refused() || isNewer(); });
    if (refused())
        return outageError();
    if (!isNewer())
        return std::optional<StoredObject> {};
    return std::optional { objects_.at(name) };
}

auto MemoryStore::list(const std::string& prefix) -> Result<std::vector<std::string>, StoreError>
{
    const std::lock_guard lock(mutex_);
    ++calls_.lists_;
    if (refused())
        return outageError();
    std::vector<std::string> names;
    for (auto it = objects_.lower_bound(prefix); it != objects_.end() && it->first.starts_with(prefix); ++it)
        names.push_back(it->first);
    return names;
}

auto MemoryStore::instances() -> Result<std::vector<PlatformInstance>, StoreError>
{
    const std::lock_guard lock(mutex_);
    ++calls_.lists_;
    if (refused())
        return outageError();
    return instances_;
}

auto MemoryStore::setFaults(const StoreFaults& faults) -> void
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    changed_.notify_all();
}

auto MemoryStore::faults() const -> StoreFaults
{
    const std::lock_guard lock(mutex_);
    return faults_;
}

auto MemoryStore::calls() const -> StoreCalls
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

auto MemoryStore::setInstances(std::vector<PlatformInstance> instances) -> void
{
    const std::lock_guard lock(mutex_);
    instances_ = std::move(instances);
}

} // namespace sapphirepass::standin
