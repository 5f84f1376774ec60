// The latest list of the system's own instances that the platform gave. It lags.
#pragma once

#include "store/object_store.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace sapphirepass {

// Asks the platform regularly; keeps the last list while the platform does not answer. Thread-safe.
class InstanceList {
public:
    explicit InstanceList(ObjectStore& store);
    ~InstanceList();
    InstanceList(const InstanceList&) = delete;
    auto operator=(const InstanceList&) -> InstanceList& = delete;

    auto start() -> void;
    auto stop() -> void;
    // Asks once; false if the platform did not answer.
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
