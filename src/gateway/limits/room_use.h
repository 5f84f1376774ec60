// Requests that instances offer to services and admit, as one instance tells another in its heartbeats.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphirepass {

// Priorities that admission tells apart; lower ones count as the lowest of these.
constexpr std::size_t roomPriorities = 4;
// Bounds on the size of heartbeats.
constexpr std::size_t maxRoomServices = 4;
constexpr std::size_t maxRoomWorkspaces = 8;
// An instance handles far fewer requests between two heartbeats, so larger counts are errors.
constexpr std::uint32_t maxRoomCount = 100'000;

struct RoomCount {
    std::uint32_t offered_ = 0;
    std::uint32_t admitted_ = 0;

    auto operator<=>(const RoomCount&) const = default;
};

struct WorkspaceUse {
    // Hash of the name.
    std::uint64_t workspace_ = 0;
    std::uint8_t priority_ = 0;
    std::uint32_t offered_ = 0;

    auto operator<=>(const WorkspaceUse&) const = default;
};

// Requests for a service since the last heartbeat.
struct RoomUse {
    std::string service_;
    std::array<RoomCount, roomPriorities> priorities_ {};
    // The largest and a sample of the others; each count stands for those left out as well.
    std::vector<WorkspaceUse> workspaces_;

    auto operator<=>(const RoomUse&) const = default;
};

auto offeredTotal(const RoomUse& use) -> std::uint64_t;
auto isValid(const RoomUse& use) -> bool;

} // namespace sapphirepass
