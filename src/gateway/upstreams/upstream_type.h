// An upstream process as registered in discovery.
#pragma once

#include "base/clock.h"
#include "base/socket_address.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sapphirepass {

enum class UpstreamState { Ready,
    Draining };

struct UpstreamEntry {
    std::string id_;
    // Wall-clock start time in milliseconds; distinguishes restarts under the same id.
    std::int64_t startTimeMs_ = 0;
    std::string service_;
    SocketAddress address_;
    std::string domain_;
    int slots_ = 1;
    UpstreamState state_ = UpstreamState::Ready;
    // How much longer the upstream stays cold, counted from when the entry is received.
    Duration coldLeft_ {};
    // Raised by the upstream with each report under the same start.
    std::int64_t sequence_ = 0;

    auto operator<=>(const UpstreamEntry&) const = default;
};

// Whether both entries describe the same process.
inline auto isSameStart(const UpstreamEntry& a, const UpstreamEntry& b) -> bool
{
    return a.id_ == b.id_ && a.startTimeMs_ == b.startTimeMs_ && a.address_ == b.address_ && a.service_ == b.service_;
}

// Load that an upstream reported in the header of a response.
struct ReportedLoad {
    int running_ = 0;
    int waiting_ = 0;
    int slots_ = 0;
    // How long work takes on the upstream's machine now, as a multiple of the usual time; empty if the upstream does not say.
    std::optional<double> slowdown_ {};

    auto operator<=>(const ReportedLoad&) const = default;
};

} // namespace sapphirepass
