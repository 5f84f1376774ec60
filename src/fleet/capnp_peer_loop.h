// Event loop of a CapnpPeerLink: outgoing and incoming connections, and sending of queued messages.
#pragma once

#include "fleet/capnp_peer_link.h"
#include "wire/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

namespace sapphirepass {

// RPC server that passes received messages to the link.
class CapnpPeerLink::Receiver final : public wire::Peer::Server {
public:
    explicit Receiver(CapnpPeerLink& link)
        : link_(link)
    {
    }

    auto deliver(DeliverContext context) -> kj::Promise<void> override;

private:
    CapnpPeerLink& link_;
};

// Runs on the link's thread; only wake() and requestStop() may be called from other threads.
class CapnpPeerLink::Loop final : private kj::TaskSet::ErrorHandler {
public:
    // Throws if it cannot listen on the address.
    explicit Loop(CapnpPeerLink& link);
    ~Loop() noexcept(false);
    Loop(const Loop&) = delete;
    auto operator=(const Loop&) -> Loop& = delete;

    // Runs until requestStop().
    auto run() -> void;
    // Signals that messages are queued. The caller must hold the link's mutex.
    auto wake() -> void;
    auto requestStop() -> void { stopFulfiller_->fulfill(); }

private:
    struct Incoming;
    struct Outgoing;
    // Outgoing state of one peer.
    struct Peer {
        std::unique_ptr<Outgoing> connection_;
        // Also set during the backoff after a failure.
        bool connecting_ = false;
        std::size_t callsInFlight_ = 0;
        kj::Duration backoff_ = 0 * kj::SECONDS;
        std::uint64_t lastUse_ = 0;
    };

    auto acceptNext() -> kj::Promise<void>;
    auto waitForWork() -> kj::Promise<void>;
    auto sendQueued(const std::string& name) -> void;
    auto connect(const std::string& name, Peer& peer) -> void;
    auto sendMessage(const std::string& name, Peer& peer, const PeerMessage& message) -> void;
    auto disconnect(const std::string& name) -> void;
    auto closeLeastRecentlyUsed() -> void;
    auto taskFailed(kj::Exception&& exception) -> void override;

    CapnpPeerLink& link_;
    kj::AsyncIoContext io_;
    wire::Peer::Client receiver_;
    kj::Own<kj::ConnectionReceiver> listener_;
    std::map<std::string, Peer> peers_;
    std::uint64_t useCount_ = 0;
    kj::Promise<void> stopPromise_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stopFulfiller_;
    kj::Promise<void> wakePromise_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wakeFulfiller_;
    // Declared last so that the tasks are destroyed before the members they use.
    kj::TaskSet tasks_;
};

} // namespace sapphirepass
