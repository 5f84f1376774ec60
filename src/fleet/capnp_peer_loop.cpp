#include "fleet/capnp_peer_loop.h"

#include "base/event_log.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    constexpr auto connectTimeout = 1 * kj::SECONDS;
    constexpr auto minBackoff = 50 * kj::MILLISECONDS;
    constexpr auto maxBackoff = 2 * kj::SECONDS;
    // Limit on calls per connection that have not returned yet.
    constexpr std::size_t maxCallsInFlight = 64;
    // When there are more outgoing connections, the least recently used one is closed.
    constexpr std::size_t maxOutgoingConnections = 96;

    // The payload limit plus room for the RPC envelope and framing.
    constexpr std::uint64_t maxMessageWords = (maxPeerPayloadBytes + 4096) / sizeof(capnp::word);

    auto readerOptions() -> capnp::ReaderOptions
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = maxMessageWords;
        return options;
    }

    auto parse(kj::AsyncIoContext& io, const SocketAddress& address) -> kj::Promise<kj::Own<kj::NetworkAddress>>
    {
        return io.provider->getNetwork().parseAddress(kj::StringPtr(address.host_.c_str(), address.host_.size()), address.port_);
    }
}

auto CapnpPeerLink::Receiver::deliver(DeliverContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    const auto data = params.getPayload();
    const std::string payload(data.asChars().begin(), data.size());
    const InstanceId from { params.getFrom().cStr(), params.getIncarnation() };
    link_.receive(from, static_cast<PeerTopic>(params.getTopic()), payload);
    return kj::READY_NOW;
}

struct CapnpPeerLink::Loop::Incoming {
    Incoming(kj::Own<kj::AsyncIoStream> stream, wire::Peer::Client& receiver)
        : stream_(kj::mv(stream))
        , network_(*stream_, capnp::rpc::twoparty::Side::SERVER, readerOptions())
        , rpc_(capnp::makeRpcServer(network_, receiver))
    {
    }

    kj::Own<kj::AsyncIoStream> stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
};

struct CapnpPeerLink::Loop::Outgoing {
    explicit Outgoing(kj::Own<kj::AsyncIoStream> stream)
        : stream_(kj::mv(stream))
        , network_(*stream_, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
        , rpc_(capnp::makeRpcClient(network_))
        , peer_(bootstrap())
    {
    }

    auto bootstrap() -> wire::Peer::Client
    {
        capnp::MallocMessageBuilder builder;
        auto vat = builder.initRoot<capnp::rpc::twoparty::VatId>();
        vat.setSide(capnp::rpc::twoparty::Side::SERVER);
        return rpc_.bootstrap(vat).castAs<wire::Peer>();
    }

    kj::Own<kj::AsyncIoStream> stream_;
    capnp::TwoPartyVatNetwork network_;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc_;
    wire::Peer::Client peer_;
};

CapnpPeerLink::Loop::Loop(CapnpPeerLink& link)
    : link_(link)
    , io_(kj::setupAsyncIo())
    , receiver_(kj::heap<Receiver>(link))
    , stopPromise_(nullptr)
    , wakePromise_(nullptr)
    , tasks_(*this)
{
    listener_ = parse(io_, link.listen_).wait(io_.waitScope)->listen();
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    stopPromise_ = kj::mv(stop.promise);
    stopFulfiller_ = kj::mv(stop.fulfiller);
    auto work = kj::newPromiseAndCrossThreadFulfiller<void>();
    wakePromise_ = kj::mv(work.promise);
    wakeFulfiller_ = kj::mv(work.fulfiller);
}

CapnpPeerLink::Loop::~Loop() noexcept(false) = default;

auto CapnpPeerLink::Loop::run() -> void
{
    tasks_.add(acceptNext());
    tasks_.add(waitForWork());
    stopPromise_.wait(io_.waitScope);
}

auto CapnpPeerLink::Loop::wake() -> void
{
    if (wakeFulfiller_->isWaiting())
        wakeFulfiller_->fulfill();
}

auto CapnpPeerLink::Loop::acceptNext() -> kj::Promise<void>
{
    return listener_->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
        auto incoming = kj::heap<Incoming>(kj::mv(stream), receiver_);
        auto closed = incoming->network_.onDisconnect();
        tasks_.add(closed.attach(kj::mv(incoming)));
        return acceptNext();
    });
}

auto CapnpPeerLink::Loop::waitForWork() -> kj::Promise<void>
{
    return wakePromise_.then([this] {
        auto work = kj::newPromiseAndCrossThreadFulfiller<void>();
        wakePromise_ = kj::mv(work.promise);
        {
            const std::lock_guard lock(link_.mutex_);
            wakeFulfiller_ = kj::mv(work.fulfiller);
        }
        for (const auto& name : link_.queuedPeers())
            sendQueued(name);
        return waitForWork();
    });
}

auto CapnpPeerLink::Loop::sendQueued(const std::string& name) -> void
{
    auto& peer = peers_[name];
    peer.lastUse_ = ++useCount_;
    if (peer.connecting_)
        return;
    if (peer.connection_ == nullptr) {
        connect(name, peer);
        return;
    }
    while (peer.callsInFlight_ < maxCallsInFlight) {
        const auto message = link_.popQueued(name);
        if (!message)
            return;
        sendMessage(name, peer, *message);
    }
}

auto CapnpPeerLink::Loop::connect(const std::string& name, Peer& peer) -> void
{
    const auto address = link_.resolver_(name);
    if (!address) {
        link_.dropQueued(name);
        peers_.erase(name);
        return;
    }
    peer.connecting_ = true;
    auto stream = parse(io_, *address).then([](kj::Own<kj::NetworkAddress>&& parsed) {
        auto connected = parsed->connect();
        return connected.attach(kj::mv(parsed));
    });
    auto timedConnect = io_.provider->getTimer().timeoutAfter(connectTimeout, kj::mv(stream));
    tasks_.add(timedConnect.then(
        [this, name](kj::Own<kj::AsyncIoStream>&& connected) {
            auto& ready = peers_[name];
            ready.connecting_ = false;
            ready.callsInFlight_ = 0;
            ready.connection_ = std::make_unique<Outgoing>(kj::mv(connected));
            closeLeastRecentlyUsed();
            sendQueued(name);
        },
        [this, name](const kj::Exception&) { disconnect(name); }));
}

auto CapnpPeerLink::Loop::sendMessage(const std::string& name, Peer& peer, const PeerMessage& message) -> void
{
    auto request = peer.connection_->peer_.deliverRequest();
    request.setFrom(link_.self_.name_.c_str());
    request.setIncarnation(link_.self_.incarnation_);
    request.setTopic(static_cast<std::uint16_t>(message.topic_));
    request.setPayload(kj::arrayPtr(reinterpret_cast<const kj::byte*>(message.payload_.data()), message.payload_.size()));
    link_.countMessage("sent", message.topic_, request.totalSize().wordCount * sizeof(capnp::word));
    ++peer.callsInFlight_;
    // Replies and errors that arrive after the connection was replaced are ignored.
    const auto* connection = peer.connection_.get();
    const auto isSameConnection = [this, name, connection] {
        const auto found = peers_.find(name);
        return found != peers_.end() && found->second.connection_.get() == connection;
    };
    tasks_.add(request.send().then(
        [this, name, isSameConnection](auto&&) {
            if (!isSameConnection())
                return;
            auto& answered = peers_[name];
            --answered.callsInFlight_;
            answered.backoff_ = minBackoff;
            sendQueued(name);
        },
        [this, name, isSameConnection](const kj::Exception&) {
            if (isSameConnection())
                disconnect(name);
        }));
}

// Reconnects with exponential backoff if messages are still queued.
auto CapnpPeerLink::Loop::disconnect(const std::string& name) -> void
{
    auto& peer = peers_[name];
    // The connection cannot be destroyed from within a callback of one of its own calls.
    if (peer.connection_ != nullptr)
        tasks_.add(kj::evalLater([closing = std::move(peer.connection_)] {}));
    peer.connection_ = nullptr;
    peer.connecting_ = true;
    const auto delay = peer.backoff_ < minBackoff ? minBackoff : peer.backoff_;
    peer.backoff_ = delay * 2 > maxBackoff ? maxBackoff : delay * 2;
    tasks_.add(io_.provider->getTimer().afterDelay(delay).then([this, name] {
        peers_[name].connecting_ = false;
        const auto queued = link_.queuedPeers();
        if (std::find(queued.begin(), queued.end(), name) != queued.end())
            sendQueued(name);
    }));
}

auto CapnpPeerLink::Loop::closeLeastRecentlyUsed() -> void
{
    auto leastRecent = peers_.end();
    std::size_t open = 0;
    for (auto peer = peers_.begin(); peer != peers_.end(); ++peer) {
        if (peer->second.connection_ == nullptr)
            continue;
        ++open;
        if (leastRecent == peers_.end() || peer->second.lastUse_ < leastRecent->second.lastUse_)
            leastRecent = peer;
    }
    if (open <= maxOutgoingConnections)
        return;
    tasks_.add(kj::evalLater([closing = std::move(leastRecent->second.connection_)] {}));
    peers_.erase(leastRecent);
}

auto CapnpPeerLink::Loop::taskFailed(kj::Exception&& exception) -> void
{
    logEvent(EventId::PeerConnectionFailed, "message=\"{}\"", exception.getDescription().cStr());
}

} // namespace sapphirepass
