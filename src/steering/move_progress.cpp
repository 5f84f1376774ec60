#include "steering/move_progress.h"

#include <fmt/format.h>

namespace sapphirepass {

namespace {
    auto stateName(MoveState state) -> std::string
    {
        return state == MoveState::Planned ? "planned" : state == MoveState::Running ? "running"
                                                                                     : "paused";
    }
}

auto MoveProgressSource::rows() const -> Rows
{
    Rows result { { "move", "instance", "state", "wanted", "moved", "seen", "held", "reason" }, {} };
    for (const auto& row : steering_.moveProgress(*config_.snapshot())) {
        result.rows_.push_back({ row.name_, instance_, stateName(row.state_), fmt::format("{:.1f}", row.targetShare_), fmt::format("{}", row.moved_),
            fmt::format("{}", row.seen_), fmt::format("{}", row.held_), std::string(holdReasonName(row.holdReason_)) });
    }
    return result;
}

} // namespace sapphirepass
