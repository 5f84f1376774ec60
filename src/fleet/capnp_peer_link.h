// Messages between instances over Cap'n Proto RPC, on one event-loop thread.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "base/socket_address.h"
#include "fleet/peer_link.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace sapphirepass {

// Larger payloads are neither sent nor taken.
inline constexpr std::size_t maxPeerPayloadBytes = 2 * 1024 * 1024;
// Messages that wait for one peer; beyond this the oldest is dropped.
inline constexpr std::size_t maxQueuedMessages = 256;

class CapnpPeerLink final : public PeerLink {
public:
    // Gives a peer's address; nothing if the peer is unknown. Called on the link's thread.
    using Resolver = std::function<std::optional<SocketAddress>(const std::string& instance)>;

    CapnpPeerLink(InstanceId self, SocketAddress listen, Resolver resolver, Metrics& metrics);
    ~CapnpPeerLink() override;
    CapnpPeerLink(const CapnpPeerLink&) = delete;
    auto operator=(const CapnpPeerLink&) -> CapnpPeerLink& = delete;

    // Listens and starts to deliver; throws std::runtime_error if the address cannot be listened on.
    auto start() -> void;
    // Ends all connections; messages still queued are dropped.
    auto stop() -> void;
    // Connects lazily. Never blocks.
    auto send(const std::string& instance, const PeerMessage& message) -> void override;
    auto onReceive(PeerTopic topic, Handler handler) -> void override;

private:
    class Loop;
    class Receiver;

    auto takeQueued(const std::string& instance) -> std::optional<PeerMessage>;
    auto queuedPeers() -> std::vector<std::string>;
    auto dropQueued(const std::string& instance) -> void;
    auto receive(const InstanceId& from, PeerTopic topic, const std::string& payload) -> void;
    auto count(const char* direction, PeerTopic topic, std::size_t bytes) -> void;

    const InstanceId self_;
    const SocketAddress listen_;
    const Resolver resolver_;
    Metrics& metrics_;
    std::map<PeerTopic, Handler> handlers_;
    std::mutex mutex_;
    std::map<std::string, std::deque<PeerMessage>> queues_;
    // Set while the event loop runs; guarded by mutex_.
    Loop* loop_ = nullptr;
    std::thread thread_;
};

} // namespace sapphirepass
