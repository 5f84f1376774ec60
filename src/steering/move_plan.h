// Decides which requests a planned move carries to its target region.
#pragma once

#include "admission/budget.h"
#include "base/clock.h"
#include "config/snapshot.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sapphirepass {

enum class MoveHold {
    None,
    // Not running: planned or paused.
    NotRunning,
    // The ramp has not reached the declared share yet.
    Ramping,
    // This instance's part of the cap is used up for now.
    Cap,
    // Too many upstreams of the target are cold, ejected or pausing.
    TargetShort,
    // The target's slots or the link have no room.
    NoRoom,
};

auto moveHoldName(MoveHold hold) -> std::string_view;

// One instance's part in a move.
struct MoveProgress {
    std::string name_;
    MoveState state_ = MoveState::Planned;
    // Percent of the source's requests that the ramp asks for now.
    double wantedShare_ = 0;
    // Requests of the source region that this instance has seen, and those of them that it moved.
    std::int64_t seen_ = 0;
    std::int64_t moved_ = 0;
    std::int64_t held_ = 0;
    // Why the latest request that was due was not moved; Ramping or None if none was held back.
    MoveHold hold_ = MoveHold::None;

    auto operator<=>(const MoveProgress&) const = default;
};

// Requests are due evenly, not at random, so that the share is exact to one request. Requests that are held
// back stay in their region and are not made up for later. Not thread-safe.
class MovePlan {
public:
    MovePlan(std::string region, Budgets& budgets)
        : region_(std::move(region))
        , budgets_(budgets)
    {
    }

    // Starts ramps, ends those of moves that are gone, and keeps the others'.
    auto follow(const Snapshot& snapshot, MonotonicTime now) -> void;
    // The move that carries the next request of the service; null if it stays.
    auto nextDue(const Snapshot& snapshot, const std::string& service, MonotonicTime now) -> const Move*;
    // Spends one of the move's cap; false, with the reason kept, if there is none.
    auto trySpendCap(const Move& move) -> bool;
    auto noteMoved(const Move& move) -> void;
    auto noteHeld(const Move& move, MoveHold hold) -> void;
    auto progress(const Snapshot& snapshot, MonotonicTime now) const -> std::vector<MoveProgress>;

private:
    struct Running {
        // Time spent running before the latest start; a pause does not count.
        Duration ranBefore_ { 0 };
        std::optional<MonotonicTime> since_;
        // Requests due so far, whole ones taken off.
        double due_ = 0;
        std::int64_t seen_ = 0;
        std::int64_t moved_ = 0;
        std::int64_t held_ = 0;
        MoveHold hold_ = MoveHold::None;
    };

    static auto wantedShare(const Move& move, const Running& running, MonotonicTime now) -> double;

    std::string region_;
    Budgets& budgets_;
    std::map<std::string, Running> running_;
};

} // namespace sapphirepass
