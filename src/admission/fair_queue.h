// Weighted fair queue of waiting requests, with one flow per workspace. Pure: has no threads and no clock.
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
    // Weight of the workspace relative to the others; at least 1.
    std::int64_t weight_ = 1;
    MonotonicTime arrival_;
    // Time at which the entry leaves the queue unserved.
    MonotonicTime expiry_;

    auto operator<=>(const QueueEntry&) const = default;
};

struct QueueBounds {
    std::size_t total_ = 0;
    std::size_t perWorkspace_ = 0;

    auto operator<=>(const QueueBounds&) const = default;
};

enum class QueueErrorKind {
    // The workspace has reached its limit of waiting requests.
    WorkspaceFull,
    // The queue is full, and no other workspace has at least two more entries than this one.
    QueueFull,
    // The entry would expire before its turn, estimated from the wait of the workspace's first entry.
    WouldExpire,
};

class FairQueue {
public:
    explicit FairQueue(const QueueBounds& bounds);

    // Appends an entry to the flow of its workspace. If the queue is full and another workspace has at least two more
    // entries, the newest entry of the workspace with the most entries is dropped and returned.
    auto push(const QueueEntry& entry) -> Result<std::optional<QueueEntry>, QueueErrorKind>;
    // Puts a popped entry back at the front of its workspace's flow.
    auto putBack(const QueueEntry& entry) -> void;
    // Removes and returns the next entry in fair order; nothing if the queue is empty.
    auto pop() -> std::optional<QueueEntry>;
    // Estimates how long a new entry of the workspace would wait, from how long its first entry has waited so far.
    auto expectedWait(const std::string& workspace, MonotonicTime now) const -> Duration;
    // Removes and returns all entries that have expired.
    auto removeExpired(MonotonicTime now) -> std::vector<QueueEntry>;
    auto size() const -> std::size_t { return size_; }

private:
    struct Flow {
        std::deque<QueueEntry> entries_;
        // Virtual start time of the workspace's next entry.
        std::int64_t start_ = 0;
    };

    auto longestFlow() -> Flow&;

    QueueBounds bounds_;
    std::map<std::string, Flow> flows_;
    std::int64_t virtualTime_ = 0;
    std::size_t size_ = 0;
};

} // namespace sapphirepass
