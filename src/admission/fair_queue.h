// Waiting requests of several workspaces, served in weighted fair order. Pure: no threads, no clock of its own.
#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirepass {

struct QueueEntry {
    std::uint64_t id_ = 0;
    std::string workspace_;
    // Share of service relative to the other workspaces; at least 1.
    std::int64_t weight_ = 1;
    MonotonicTime arrival_;
    // The entry leaves the queue unserved at this time.
    MonotonicTime expiry_;

    auto operator<=>(const QueueEntry&) const = default;
};

struct QueueBounds {
    std::size_t total_ = 0;
    std::size_t perWorkspace_ = 0;

    auto operator<=>(const QueueBounds&) const = default;
};

enum class QueueErrorKind {
    // The workspace has as many requests waiting as it may.
    WorkspaceFull,
    // The queue is full, and the workspace is not below its part of it.
    QueueFull,
    // The entry would expire before its turn, as far as the wait of the workspace's first entry tells.
    TooSlow,
};

class FairQueue {
public:
    explicit FairQueue(const QueueBounds& bounds);

    // Adds an entry behind those of its workspace. A full queue makes room for a workspace that holds
    // less than its part: the returned entry was dropped from the workspace that holds most.
    auto push(const QueueEntry& entry) -> Result<std::optional<QueueEntry>, QueueErrorKind>;
    // Puts a popped entry back, to be the next of its workspace.
    auto putBack(const QueueEntry& entry) -> void;
    // The entry whose turn it is; nothing if none waits.
    auto pop() -> std::optional<QueueEntry>;
    // Time that a new entry of the workspace would wait, estimated from what its first entry has waited so far.
    auto expectedWait(const std::string& workspace, MonotonicTime now) const -> Duration;
    // Takes out all entries whose time has come.
    auto removeExpired(MonotonicTime now) -> std::vector<QueueEntry>;
    auto size() const -> std::size_t { return size_; }

private:
    struct Flow {
        std::deque<QueueEntry> entries_;
        // Virtual time at which the workspace's next entry starts.
        std::int64_t start_ = 0;
    };

    auto longestFlow() -> Flow&;

    QueueBounds bounds_;
    std::map<std::string, Flow> flows_;
    std::int64_t virtualTime_ = 0;
    std::size_t size_ = 0;
};

} // namespace sapphirepass
