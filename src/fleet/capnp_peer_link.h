// PeerLink over Cap'n Proto RPC, with one event loop thread.
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

// Larger payloads are neither sent nor accepted.
inline constexpr std::size_t maxPeerPayloadBytes = 2 * 1024 * 1024;
// Limit on messages queued for one peer; the oldest one is dropped when it is exceeded.
inline constexpr std::size_t maxQueuedMessages = 256;

class CapnpPeerLink final : public PeerLink {
public:
    // Returns the address of a peer, or nullopt if the peer is unknown. Called on the link's thread.
    using Resolver = std::function<std::optional<SocketAddress>(const std::string& instance)>;

    CapnpPeerLink(InstanceId self, SocketAddress listen, Resolver resolver, Metrics& metrics);
    ~CapnpPeerLink() override;
    CapnpPeerLink(const CapnpPeerLink&) = delete;
    auto operator=(const CapnpPeerLink&) -> CapnpPeerLink& = delete;

    // Starts to listen and to deliver messages; throws std::runtime_error if it cannot listen on the address.
    auto start() -> void;
    // Closes all connections; queued messages are not sent.
    auto stop() -> void;
    // Connects on demand. Never blocks.
    auto send(const std::string& instance, const PeerMessage& message) -> void override;
    auto onReceive(PeerTopic topic, Handler handler) -> void override;

private:
    class Loop;
    class Receiver;

    auto popQueued(const std::string& instance) -> std::optional<PeerMessage>;
    auto queuedPeers() -> std::vector<std::string>;
    auto dropQueued(const std::string& instance) -> void;
    auto receive(const InstanceId& from, PeerTopic topic, const std::string& payload) -> void;
    auto countMessage(const char* direction, PeerTopic topic, std::size_t bytes) -> void;

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
