#include "standin/fault_proxy.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <sys/socket.h>

namespace sapphirepass::standin {

using namespace std::chrono_literals;

namespace {
    // Longer than most work, shorter than the routes' time.
    constexpr auto delay = 150ms;
    // A queue of length 0 holds one connection.
    constexpr int fillerCount = 2;
}

struct FaultProxy::Pair {
    explicit Pair(Tcp::socket near, asio::io_context& loop)
        : near_(std::move(near))
        , far_(loop)
    {
    }

    auto close() -> void
    {
        closeQuietly(near_);
        closeQuietly(far_);
    }

    Tcp::socket near_;
    Tcp::socket far_;
    // Bytes read and not yet passed on, towards the server and back.
    std::array<std::string, 2> kept_;
    std::array<std::array<char, 8192>, 2> buffers_ {};
};

FaultProxy::FaultProxy(asio::io_context& loop, SocketAddress server)
    : loop_(loop)
    , acceptor_(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , server_(std::move(server))
    , address_ { "127.0.0.1", acceptor_.local_endpoint().port() }
{
    acceptNext();
}

FaultProxy::~FaultProxy() { stop(); }

auto FaultProxy::stop() -> void
{
    NetError ignored;
    acceptor_.close(ignored);
    resetAll();
}

auto FaultProxy::listen(int backlog) -> void
{
    NetError ignored;
    acceptor_.close(ignored);
    acceptor_.open(Tcp::v4());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind({ asio::ip::make_address_v4(address_.host_), address_.port_ });
    acceptor_.listen(backlog);
}

// The kernel drops the packets of further connections once the queue of a listener is full.
auto FaultProxy::setConnects(Connects connects) -> void
{
    fillers_.clear();
    NetError ignored;
    if (connects == Connects::Refused) {
        acceptor_.close(ignored);
    } else if (connects == Connects::Unanswered) {
        listen(0);
        for (int i = 0; i < fillerCount; ++i) {
            auto& filler = fillers_.emplace_back(loop_, Tcp::v4());
            filler.non_blocking(true);
            const Tcp::endpoint self { asio::ip::make_address_v4(address_.host_), address_.port_ };
            // Asio's own connect would wait for the outcome.
            static_cast<void>(::connect(filler.native_handle(), self.data(), static_cast<socklen_t>(self.size())));
        }
    } else {
        listen(asio::socket_base::max_listen_connections);
        acceptNext();
    }
}

auto FaultProxy::setCut(bool isCut) -> void
{
    isCut_ = isCut;
    if (isCut_)
        resetAll();
}

auto FaultProxy::acceptNext() -> void
{
    acceptor_.async_accept([this](NetError error, Tcp::socket socket) {
        if (error)
            return;
        auto pair = std::make_shared<Pair>(std::move(socket), loop_);
        NetError failure;
        pair->far_.connect({ asio::ip::make_address_v4(server_.host_), server_.port_ }, failure);
        if (failure) {
            pair->close();
        } else if (isCut_) {
            pairs_.push_back(pair);
            resetAll();
        } else {
            pairs_.push_back(pair);
            pump(pair, true);
            pump(pair, false);
        }
        acceptNext();
    });
}

auto FaultProxy::pump(const std::shared_ptr<Pair>& pair, bool toServer) -> void
{
    auto& from = toServer ? pair->near_ : pair->far_;
    auto& buffer = pair->buffers_[toServer ? 0 : 1];
    from.async_read_some(asio::buffer(buffer), [this, pair, toServer](NetError error, std::size_t count) {
        if (error)
            return pair->close();
        pair->kept_[toServer ? 0 : 1].append(pair->buffers_[toServer ? 0 : 1].data(), count);
        if (fault_ == LinkFault::Delayed) {
            const auto timer = std::make_shared<asio::steady_timer>(loop_, delay);
            timer->async_wait([this, timer, pair, toServer](NetError) { pass(pair, toServer); });
        } else {
            pass(pair, toServer);
        }
        pump(pair, toServer);
    });
}

auto FaultProxy::isHeld(bool toServer) const -> bool
{
    return fault_ == LinkFault::Silent || fault_ == (toServer ? LinkFault::CutToServer : LinkFault::CutFromServer);
}

auto FaultProxy::pass(const std::shared_ptr<Pair>& pair, bool toServer) -> void
{
    auto& kept = pair->kept_[toServer ? 0 : 1];
    auto& to = toServer ? pair->far_ : pair->near_;
    if (isHeld(toServer) || kept.empty() || !to.is_open())
        return;
    NetError ignored;
    asio::write(to, asio::buffer(kept), ignored);
    kept.clear();
}

auto FaultProxy::setFault(LinkFault fault) -> void
{
    fault_ = fault;
    std::erase_if(pairs_, [](const auto& entry) { return entry.expired(); });
    for (const auto& entry : pairs_) {
        if (const auto pair = entry.lock()) {
            pass(pair, true);
            pass(pair, false);
        }
    }
}

auto FaultProxy::resetAll() -> void
{
    for (const auto& entry : pairs_) {
        NetError ignored;
        if (const auto pair = entry.lock()) {
            pair->near_.set_option(Tcp::socket::linger(true, 0), ignored);
            pair->far_.set_option(Tcp::socket::linger(true, 0), ignored);
            pair->close();
        }
    }
    pairs_.clear();
}

} // namespace sapphirepass::standin
