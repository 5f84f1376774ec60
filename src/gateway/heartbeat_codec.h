// Heartbeats as bytes.
#pragma once

#include "base/result.h"
#include "gateway/fleet_view.h"

#include <string>
#include <string_view>

namespace sapphirepass {

struct HeartbeatError {
    std::string message_;

    auto operator<=>(const HeartbeatError&) const = default;
};

auto encodeHeartbeat(const MemberReport& report) -> std::string;
auto decodeHeartbeat(std::string_view bytes) -> Result<MemberReport, HeartbeatError>;

} // namespace sapphirepass
