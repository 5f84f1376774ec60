// Last list of the system's own instances received from the platform. The list lags behind the running
// processes.
#pragma once

#include "store/object_store.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace sapphirepass {

// Polls the platform in the background and keeps the last list while the platform does not respond.
// Thread-safe.
class InstanceList {
public:
    explicit InstanceList(ObjectStore& store);
    ~InstanceList();
    InstanceList(const InstanceList&) = delete;
    auto operator=(const InstanceList&) -> InstanceList& = delete;

    auto start() -> void;
    auto stop() -> void;
    // Polls once; false if the platform did not respond.
    auto refresh() -> bool;
    auto instances() const -> std::vector<PlatformInstance>;

private:
    auto run() -> void;

    ObjectStore& store_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<PlatformInstance> instances_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace sapphirepass
