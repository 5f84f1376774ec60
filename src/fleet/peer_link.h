// Transport for messages between the system's own instances. Messages may be lost, duplicated, delayed or
// reordered; the protocols built on it must tolerate that.
#pragma once

#include "fleet/instance_id.h"

#include <compare>
#include <functional>
#include <string>

namespace sapphirepass {

// Protocol that a message belongs to. The numbers are sent on the wire and must never be reused.
enum class PeerTopic : std::uint16_t {
    Membership = 1,
    Relay = 2,
    Withdrawal = 3,
    Budget = 4,
    Ticket = 5,
    Steering = 6,
};

struct PeerMessage {
    PeerTopic topic_ = PeerTopic::Membership;
    // Cap'n Proto message in the schema of the topic, see src/wire.
    std::string payload_;

    auto operator<=>(const PeerMessage&) const = default;
};

// Thread-safe. Handlers run on a thread of the link, one at a time for each instance, and must not block.
class PeerLink {
public:
    using Handler = std::function<void(const InstanceId& from, const std::string& payload)>;

    virtual ~PeerLink() = default;
    // Queues the message and returns; undeliverable messages are dropped.
    virtual auto send(const std::string& instance, const PeerMessage& message) -> void = 0;
    // Registers the handler of a topic. Must be called before the first message arrives.
    virtual auto onReceive(PeerTopic topic, Handler handler) -> void = 0;
};

} // namespace sapphirepass
