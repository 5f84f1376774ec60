#include "fleet/capnp_peer_loop.h"

#include "base/event_log.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    constexpr auto connectLimit = 1 * kj::SECONDS;
    constexpr auto leastBackoff = 50 * kj::MILLISECONDS;
    constexpr auto longestBackoff = 2 * kj::SECONDS;
    // Calls on one connection that have no answer yet.
    constexpr std::size_t maxUnanswered = 64;
    // Connections out at once; the one unused for longest is closed.
    constexpr std::size_t maxConnections = 96;

    // Envelope and framing come on top of the payload.
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
    , stopped_(nullptr)
    , woken_(nullptr)
    , tasks_(*this)
{
    listener_ = parse(io_, link.listen_).wait(io_.waitScope)->listen();
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    stopped_ = kj::mv(stop.promise);
    stopper_ = kj::mv(stop.fulfiller);
    auto work = kj::newPromiseAndCrossThreadFulfiller<void>();
    woken_ = kj::mv(work.promise);
    waker_ = kj::mv(work.fulfiller);
}

CapnpPeerLink::Loop::~Loop() noexcept(false) = default;

auto CapnpPeerLink::Loop::run() -> void
{
    tasks_.add(acceptNext());
    tasks_.add(waitForWork());
    stopped_.wait(io_.waitScope);
}

auto CapnpPeerLink::Loop::wake() -> void
{
    if (waker_->isWaiting())
        waker_->fulfill();
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
    return woken_.then([this] {
        auto work = kj::newPromiseAndCrossThreadFulfiller<void>();
        woken_ = kj::mv(work.promise);
        {
            const std::lock_guard lock(link_.mutex_);
            waker_ = kj::mv(work.fulfiller);
        }
        for (const auto& name : link_.queuedPeers())
            pump(name);
        return waitForWork();
    });
}

auto CapnpPeerLink::Loop::pump(const std::string& name) -> void
{
    auto& peer = peers_[name];
    peer.lastUse_ = ++uses_;
    if (peer.connecting_)
        return;
    if (peer.connection_ == nullptr) {
        connect(name, peer);
        return;
    }
    while (peer.unanswered_ < maxUnanswered) {
        const auto message = link_.takeQueued(name);
        if (!message)
            return;
        sendOne(name, peer, *message);
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
    auto limited = io_.provider->getTimer().timeoutAfter(connectLimit, kj::mv(stream));
    tasks_.add(limited.then(
        [this, name](kj::Own<kj::AsyncIoStream>&& connected) {
            auto& ready = peers_[name];
            ready.connecting_ = false;
            ready.unanswered_ = 0;
            ready.connection_ = std::make_unique<Outgoing>(kj::mv(connected));
            closeLeastUsed();
            pump(name);
        },
        [this, name](const kj::Exception&) { disconnect(name); }));
}

auto CapnpPeerLink::Loop::sendOne(const std::string& name, Peer& peer, const PeerMessage& message) -> void
{
    auto request = peer.connection_->peer_.deliverRequest();
    request.setFrom(link_.self_.name_.c_str());
    request.setIncarnation(link_.self_.incarnation_);
    request.setTopic(static_cast<std::uint16_t>(message.topic_));
    request.setPayload(kj::arrayPtr(reinterpret_cast<const kj::byte*>(message.payload_.data()), message.payload_.size()));
    link_.count("sent", message.topic_, request.totalSize().wordCount * sizeof(capnp::word));
    ++peer.unanswered_;
    // An answer or error that comes after the connection was replaced concerns nobody.
    const auto* connection = peer.connection_.get();
    const auto isCurrent = [this, name, connection] {
        const auto found = peers_.find(name);
        return found != peers_.end() && found->second.connection_.get() == connection;
    };
    tasks_.add(request.send().then(
        [this, name, isCurrent](auto&&) {
            if (!isCurrent())
                return;
            auto& answered = peers_[name];
            --answered.unanswered_;
            answered.backoff_ = leastBackoff;
            pump(name);
        },
        [this, name, isCurrent](const kj::Exception&) {
            if (isCurrent())
                disconnect(name);
        }));
}

// Tries again after a pause that doubles, as long as something is queued.
auto CapnpPeerLink::Loop::disconnect(const std::string& name) -> void
{
    auto& peer = peers_[name];
    // The connection cannot be ended inside one of its own answers.
    if (peer.connection_ != nullptr)
        tasks_.add(kj::evalLater([ended = std::move(peer.connection_)] {}));
    peer.connection_ = nullptr;
    peer.connecting_ = true;
    const auto pause = peer.backoff_ < leastBackoff ? leastBackoff : peer.backoff_;
    peer.backoff_ = pause * 2 > longestBackoff ? longestBackoff : pause * 2;
    tasks_.add(io_.provider->getTimer().afterDelay(pause).then([this, name] {
        peers_[name].connecting_ = false;
        const auto queued = link_.queuedPeers();
        if (std::find(queued.begin(), queued.end(), name) != queued.end())
            pump(name);
    }));
}

auto CapnpPeerLink::Loop::closeLeastUsed() -> void
{
    auto connected = peers_.end();
    std::size_t open = 0;
    for (auto peer = peers_.begin(); peer != peers_.end(); ++peer) {
        if (peer->second.connection_ == nullptr)
            continue;
        ++open;
        if (connected == peers_.end() || peer->second.lastUse_ < connected->second.lastUse_)
            connected = peer;
    }
    if (open <= maxConnections)
        return;
    tasks_.add(kj::evalLater([ended = std::move(connected->second.connection_)] {}));
    peers_.erase(connected);
}

auto CapnpPeerLink::Loop::taskFailed(kj::Exception&& exception) -> void
{
    logEvent(EventId::PeerConnectionFailed, "message=\"{}\"", exception.getDescription().cStr());
}

} // namespace sapphirepass
