#include "gateway/limits/room_use.h"

#include <algorithm>

namespace sapphirepass {

auto offeredTotal(const RoomUse& use) -> std::uint64_t
{
    std::uint64_t total = 0;
    for (const auto& count : use.priorities_)
        total += count.offered_;
    return total;
}

auto isValid(const RoomUse& use) -> bool
{
    const auto isCountValid = [](const auto& count) { return count.offered_ <= maxRoomCount && count.admitted_ <= count.offered_; };
    const auto isWorkspaceValid = [total = offeredTotal(use)](const auto& workspace) { return workspace.priority_ < roomPriorities && workspace.offered_ <= total; };
    return !use.service_.empty() && use.workspaces_.size() <= maxRoomWorkspaces
        && std::all_of(use.priorities_.begin(), use.priorities_.end(), isCountValid)
        && std::all_of(use.workspaces_.begin(), use.workspaces_.end(), isWorkspaceValid);
}

} // namespace sapphirepass
