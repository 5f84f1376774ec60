// An upstream process as registered in discovery.
#pragma once

#include "base/clock.h"
#include "base/field.h"
#include "base/socket_address.h"
#include "gateway/hashing.h"

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

// Identifies a start of an upstream among those of a deployment in few bytes. The start time is part of the hash, so that
// a restart under the same id has another key.
using UpstreamKey = std::uint32_t;

inline auto upstreamKey(const UpstreamEntry& entry) -> UpstreamKey
{
    return static_cast<UpstreamKey>(stableHash(entry.id_, static_cast<std::uint64_t>(entry.startTimeMs_)));
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

// Bounds of the figures of a load, whether an upstream or a peer names them.
constexpr Bounds loadCountBounds { 0, 1'000'000 };
// In percent. Beyond a hundred times the usual duration the upstream does not work at all.
constexpr Bounds slowdownPercentBounds { 1, 10'000 };
constexpr double percentPerUnit = 100;

inline auto isValid(const ReportedLoad& load) -> bool
{
    const auto isCount = [](int figure) { return figure >= loadCountBounds.min_ && figure <= loadCountBounds.max_; };
    const double percent = load.slowdown_.value_or(1) * percentPerUnit;
    return isCount(load.running_) && isCount(load.waiting_) && isCount(load.slots_) && percent >= static_cast<double>(slowdownPercentBounds.min_) && percent <= static_cast<double>(slowdownPercentBounds.max_);
}

} // namespace sapphirepass
