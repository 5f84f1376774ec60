// Selects the requests that a planned move sends to its target region.
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

enum class HoldReason {
    None,
    // The move is planned or paused.
    NotRunning,
    // The ramp has not reached the declared share yet.
    Ramping,
    // This instance's share of the cap is used up for now.
    Cap,
    // Too many upstreams of the target region are cold, ejected or backing off.
    TargetShort,
    // No slot is free in the target region, or its slot limit or the link is exhausted.
    NoRoom,
};

auto holdReasonName(HoldReason reason) -> std::string_view;

// Progress of a move on one instance.
struct MoveProgress {
    std::string name_;
    MoveState state_ = MoveState::Planned;
    // Percentage of the source region's requests to move at this point of the ramp.
    double targetShare_ = 0;
    // Requests of the source region on this instance: all, those moved, and those due to move but held back.
    std::int64_t seen_ = 0;
    std::int64_t moved_ = 0;
    std::int64_t held_ = 0;
    // Why the latest due request was held back. None, Ramping or NotRunning if it was not.
    HoldReason holdReason_ = HoldReason::None;

    auto operator<=>(const MoveProgress&) const = default;
};

// Requests become due at even intervals, not at random, so that the share is exact to one request. Requests that are
// held back are served in their own region and not compensated for later. Not thread-safe.
class MovePlan {
public:
    MovePlan(std::string region, Budgets& budgets)
        : region_(std::move(region))
        , budgets_(budgets)
    {
    }

    // Starts ramps of new moves, drops those of removed moves and continues the others.
    auto applySnapshot(const Snapshot& snapshot, MonotonicTime now) -> void;
    // Counts a request of the service and returns the move that it is due for; null if it stays in its region.
    auto selectDueMove(const Snapshot& snapshot, const std::string& service, MonotonicTime now) -> const Move*;
    // Spends one unit of the move's cap. Records the request as held back and returns false if the cap is used up.
    auto trySpendCap(const Move& move) -> bool;
    auto recordMoved(const Move& move) -> void;
    auto recordHeld(const Move& move, HoldReason reason) -> void;
    auto progress(const Snapshot& snapshot, MonotonicTime now) const -> std::vector<MoveProgress>;

private:
    struct RampState {
        // Time in state running before the latest start; pauses do not count.
        Duration elapsedBeforeStart_ { 0 };
        std::optional<MonotonicTime> startedAt_;
        // Fraction of a request that is due; 1 or more makes the next request move.
        double dueRequests_ = 0;
        std::int64_t seen_ = 0;
        std::int64_t moved_ = 0;
        std::int64_t held_ = 0;
        HoldReason holdReason_ = HoldReason::None;
    };

    static auto targetShare(const Move& move, const RampState& ramp, MonotonicTime now) -> double;

    std::string region_;
    Budgets& budgets_;
    std::map<std::string, RampState> ramps_;
};

} // namespace sapphirepass
