// The event loop of a CapnpPeerLink: connections out, connections in, and what is queued.
#pragma once

#include "fleet/capnp_peer_link.h"
#include "wire/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

namespace sapphirepass {

// Hands a call to the link.
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

// Lives on the link's thread; only wake() and requestStop() may be called on others.
class CapnpPeerLink::Loop final : private kj::TaskSet::ErrorHandler {
public:
    // Throws if the address cannot be listened on.
    explicit Loop(CapnpPeerLink& link);
    ~Loop() noexcept(false);
    Loop(const Loop&) = delete;
    auto operator=(const Loop&) -> Loop& = delete;

    // Runs until requestStop().
    auto run() -> void;
    // Under the link's mutex: something is queued.
    auto wake() -> void;
    auto requestStop() -> void { stopper_->fulfill(); }

private:
    struct Incoming;
    struct Outgoing;
    // One peer that messages go to.
    struct Peer {
        std::unique_ptr<Outgoing> connection_;
        bool connecting_ = false;
        std::size_t unanswered_ = 0;
        kj::Duration backoff_ = 0 * kj::SECONDS;
        std::uint64_t lastUse_ = 0;
    };

    auto acceptNext() -> kj::Promise<void>;
    auto waitForWork() -> kj::Promise<void>;
    auto pump(const std::string& name) -> void;
    auto connect(const std::string& name, Peer& peer) -> void;
    auto sendOne(const std::string& name, Peer& peer, const PeerMessage& message) -> void;
    auto disconnect(const std::string& name) -> void;
    auto closeLeastUsed() -> void;
    auto taskFailed(kj::Exception&& exception) -> void override;

    CapnpPeerLink& link_;
    kj::AsyncIoContext io_;
    wire::Peer::Client receiver_;
    kj::Own<kj::ConnectionReceiver> listener_;
    std::map<std::string, Peer> peers_;
    std::uint64_t uses_ = 0;
    kj::Promise<void> stopped_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> stopper_;
    kj::Promise<void> woken_;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> waker_;
    // Ends before what its tasks use.
    kj::TaskSet tasks_;
};

} // namespace sapphirepass
