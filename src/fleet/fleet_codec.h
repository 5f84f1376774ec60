// The bytes of fleet messages, by the schemas in src/wire.
#pragma once

#include "base/result.h"
#include "fleet/fleet_message.h"
#include "fleet/peer_link.h"

namespace sapphirepass {

struct FleetDecodeError {
    std::string message_;

    auto operator<=>(const FleetDecodeError&) const = default;
};

auto encodeFleetMessage(const FleetMessage& message) -> PeerMessage;
// Refuses whatever is not a message of the topic; never throws.
auto decodeFleetMessage(const PeerMessage& message) -> Result<FleetMessage, FleetDecodeError>;

} // namespace sapphirepass
