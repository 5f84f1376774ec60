// The platform's object API in memory, with switchable faults. Unit tests use it directly, the stand-in store serves it.
#pragma once

#include "store/object_store.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace sapphirepass::standin {

struct StoreFaults {
    // Every call is refused.
    bool outage_ = false;
    // Each call takes this much longer.
    std::chrono::milliseconds slowness_ { 0 };
    // The next writes take effect, but their answers are lost.
    int lostAnswers_ = 0;

    auto operator<=>(const StoreFaults&) const = default;
};

struct StoreCalls {
    std::int64_t reads_ = 0;
    std::int64_t writes_ = 0;
    std::int64_t watches_ = 0;
    std::int64_t lists_ = 0;

    auto operator<=>(const StoreCalls&) const = default;
};

// Thread-safe.
class MemoryStore final : public ObjectStore {
public:
    auto read(const std::string& name) -> Result<StoredObject, StoreError> override;
    auto write(const std::string& name, const std::string& value, ObjectVersion expected) -> Result<ObjectVersion, StoreError> override;
    auto remove(const std::string& name, ObjectVersion expected) -> Result<Done, StoreError> override;
    auto watch(const std::string& name, ObjectVersion after, std::chrono::milliseconds longest) -> Result<std::optional<StoredObject>, StoreError> override;
    auto list(const std::string& prefix) -> Result<std::vector<std::string>, StoreError> override;
    auto instances() -> Result<std::vector<PlatformInstance>, StoreError> override;

    auto setFaults(const StoreFaults& faults) -> void;
    auto faults() const -> StoreFaults;
    auto calls() const -> StoreCalls;
    auto setInstances(std::vector<PlatformInstance> instances) -> void;

private:
    auto refused() const -> bool { return faults_.outage_; }
    // Whether the answer to a write that has just taken effect is lost.
    auto losesAnswer() -> bool;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, StoredObject> objects_;
    std::vector<PlatformInstance> instances_;
    ObjectVersion lastVersion_ = absentVersion;
    StoreFaults faults_;
    StoreCalls calls_;
};

} // namespace sapphirepass::standin
