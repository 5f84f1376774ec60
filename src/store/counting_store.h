// Passes calls on to a store and counts them by kind.
#pragma once

#include "base/metrics.h"
#include "store/object_store.h"

namespace sapphirepass {

class CountingStore final : public ObjectStore {
public:
    CountingStore(ObjectStore& store, Metrics& metrics)
        : store_(store)
        , metrics_(metrics)
    {
    }

    auto read(const std::string& name) -> Result<StoredObject, StoreError> override
    {
        return count("read"), store_.read(name);
    }
    auto write(const std::string& name, const std::string& value, ObjectVersion expected) -> Result<ObjectVersion, StoreError> override
    {
        return count("write"), store_.write(name, value, expected);
    }
    auto remove(const std::string& name, ObjectVersion expected) -> Result<Done, StoreError> override
    {
        return count("remove"), store_.remove(name, expected);
    }
    auto watch(const std::string& name, ObjectVersion after, std::chrono::milliseconds longest) -> Result<std::optional<StoredObject>, StoreError> override
    {
        return count("watch"), store_.watch(name, after, longest);
    }
    auto list(const std::string& prefix) -> Result<std::vector<std::string>, StoreError> override
    {
        return count("list"), store_.list(prefix);
    }
    auto instances() -> Result<std::vector<PlatformInstance>, StoreError> override
    {
        return count("instances"), store_.instances();
    }

private:
    auto count(const std::string& kind) -> void { metrics_.increment({ "store_calls_total", "call=\"" + kind + "\"" }); }

    ObjectStore& store_;
    Metrics& metrics_;
};

} // namespace sapphirepass
