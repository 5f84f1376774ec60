// Keeps the configuration in force up to date by a watch on the log's head object.
#pragma once

#include "base/clock.h"
#include "config/config_state.h"
#include "store/object_store.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace sapphirepass {

// Decides whether this instance watches the store, and hears what the store answers.
class StoreObserver {
public:
    virtual ~StoreObserver() = default;
    virtual auto shouldWatch() const -> bool = 0;
    // When a call starts, by the observer's clock.
    virtual auto callStarts() const -> MonotonicTime = 0;
    // The store answered the call of that start, with a head or with nothing new.
    virtual auto storeAnswered(MonotonicTime started, const std::optional<LogHead>& head) -> void = 0;
};

class ConfigFollower {
public:
    ConfigFollower(ObjectStore& store, ConfigState& state);
    ~ConfigFollower();
    ConfigFollower(const ConfigFollower&) = delete;
    auto operator=(const ConfigFollower&) -> ConfigFollower& = delete;

    // To be called before start(); without an observer the store is always watched.
    auto setObserver(StoreObserver* observer) -> void { observer_ = observer; }
    // Starts following on a thread of its own.
    auto start() -> void;
    auto stop() -> void;
    // One watch call and what follows from it; false if the store did not answer or the log cannot be followed.
    auto followOnce(std::chrono::milliseconds longestWatch) -> bool;
    auto isStoreReachable() const -> bool { return reachable_; }

private:
    auto run() -> void;
    auto pause(std::chrono::milliseconds time) -> void;

    ObjectStore& store_;
    ConfigState& state_;
    StoreObserver* observer_ = nullptr;
    ObjectVersion version_ = absentVersion;
    std::atomic<bool> reachable_ { true };
    std::atomic<bool> stopping_ { false };
    std::mutex mutex_;
    std::condition_variable wake_;
    std::thread thread_;
};

} // namespace sapphirepass
