// What discovery says of one start of an upstream.
#pragma once

#include "base/clock.h"
#include "base/socket_address.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphirepass {

enum class UpstreamState { Ready,
    Draining };

struct UpstreamEntry {
    std::string id_;
    // Calendar milliseconds of the start: tells two starts under one id apart.
    std::int64_t startTimeMs_ = 0;
    std::string service_;
    SocketAddress address_;
    std::string domain_;
    int slots_ = 1;
    UpstreamState state_ = UpstreamState::Ready;
    // How much longer the upstream stays cold, as of the entry.
    Duration coldLeft_ {};

    auto operator<=>(const UpstreamEntry&) const = default;
};

// Load as the upstream stated it in an answer.
struct ReportedLoad {
    int running_ = 0;
    int waiting_ = 0;
    int slots_ = 0;

    auto operator<=>(const ReportedLoad&) const = default;
};

} // namespace sapphirepass
