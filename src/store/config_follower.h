// Keeps the configuration in force up to date by a watch on the log's head object.
#pragma once

#include "config/config_state.h"
#include "store/object_store.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace sapphirepass {

class ConfigFollower {
public:
    ConfigFollower(ObjectStore& store, ConfigState& state);
    ~ConfigFollower();
    ConfigFollower(const ConfigFollower&) = delete;
    auto operator=(const ConfigFollower&) -> ConfigFollower& = delete;

    // Starts following on a thread of its own.
    auto start() -> void;
    auto stop() -> void;
    // One watch call and what follows from it; false if the store did not answer.
    auto followOnce(std::chrono::milliseconds longestWatch) -> bool;
    auto isStoreReachable() const -> bool { return reachable_; }

private:
    auto run() -> void;

    ObjectStore& store_;
    ConfigState& state_;
    ObjectVersion version_ = absentVersion;
    std::atomic<bool> reachable_ { true };
    std::atomic<bool> stopping_ { false };
    std::mutex mutex_;
    std::condition_variable wake_;
    std::thread thread_;
};

} // namespace sapphirepass
