// Peer links between instances in one process, with loss, duplication and reordering under a seed.
#pragma once

#include "fleet/peer_link.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

namespace sapphirepass::standin {

struct PeerFaults {
    // Of a hundred messages.
    int lost_ = 0;
    int doubled_ = 0;
    int reordered_ = 0;
};

// Single-threaded. Messages wait until deliver() is called.
class MemoryPeers {
public:
    explicit MemoryPeers(std::uint64_t seed)
        : random_(seed)
    {
    }

    // The link of an instance; a later call under the same name replaces the earlier instance.
    auto join(const InstanceId& id) -> std::unique_ptr<PeerLink>;
    auto leave(const std::string& name) -> void;
    auto setFaults(const PeerFaults& faults) -> void { faults_ = faults; }
    // Cuts or mends the connection between two instances, both ways.
    auto setCut(const std::string& a, const std::string& b, bool cut) -> void;
    // Delivers one waiting message; false if none waits.
    auto deliverOne() -> bool;
    // Delivers until none waits, at most that many.
    auto deliver(std::size_t most) -> void;
    auto messagesSent() const -> std::size_t { return messages_; }
    auto bytesSent() const -> std::size_t { return bytes_; }

private:
    class Link;

    struct Waiting {
        InstanceId from_;
        std::string to_;
        PeerMessage message_;
    };

    auto send(const InstanceId& from, const std::string& to, const PeerMessage& message) -> void;
    auto chance(int percent) -> bool;

    std::mt19937_64 random_;
    PeerFaults faults_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::string, std::map<PeerTopic, PeerLink::Handler>> handlers_;
    std::deque<Waiting> waiting_;
    std::size_t messages_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace sapphirepass::standin
