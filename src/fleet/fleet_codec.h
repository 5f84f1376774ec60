// Serialization of fleet messages in the schemas of src/wire.
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
// Returns an error for payloads that are not a valid message of the topic; never throws.
auto decodeFleetMessage(const PeerMessage& message) -> Result<FleetMessage, FleetDecodeError>;

} // namespace sapphirepass
