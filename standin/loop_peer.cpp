#include "standin/loop_peer.h"

#include "standin/free_ports.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace sapphirepass::standin {

using namespace std::chrono_literals;

namespace {
    const auto loopback = asio::ip::address_v4::loopback();
    // A test that waits longer hangs.
    constexpr auto hangLimit = 20s;

    // Bytes of the first whole request, or 0.
    auto wholeRequest(const std::string& bytes) -> std::size_t
    {
        const auto end = bytes.find("\r\n\r\n");
        if (end == std::string::npos)
            return 0;
        const auto at = bytes.find("Content-Length: ");
        const auto length = at == std::string::npos || at > end ? 0 : std::stoul(bytes.substr(at + 16));
        return bytes.size() >= end + 4 + length ? end + 4 + length : 0;
    }
}

struct LoopServer::Connection {
    explicit Connection(Tcp::socket socket)
        : socket_(std::move(socket))
    {
    }
    Tcp::socket socket_;
    std::string bytes_;
    std::array<char, 4096> buffer_ {};
    std::string out_;
};

LoopServer::LoopServer(asio::io_context& loop, Script script)
    : acceptor_(loop, Tcp::endpoint(loopback, 0))
    , script_(std::move(script))
    , address_ { "127.0.0.1", acceptor_.local_endpoint().port() }
{
    acceptNext();
}

LoopServer::~LoopServer()
{
    stop();
}

auto LoopServer::stop() -> void
{
    NetError ignored;
    acceptor_.close(ignored);
    for (const auto& entry : open_) {
        if (const auto connection = entry.lock())
            closeQuietly(connection->socket_);
    }
}

auto LoopServer::acceptNext() -> void
{
    acceptor_.async_accept([this](NetError error, Tcp::socket socket) {
        if (error)
            return;
        ++connections_;
        auto connection = std::make_shared<Connection>(std::move(socket));
        open_.push_back(connection);
        read(connection);
        acceptNext();
    });
}

auto LoopServer::read(const std::shared_ptr<Connection>& connection) -> void
{
    connection->socket_.async_read_some(asio::buffer(connection->buffer_), [this, connection](NetError error, std::size_t count) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            ++ended_;
            return closeQuietly(connection->socket_);
        }
        connection->bytes_.append(connection->buffer_.data(), count);
        answer(connection);
        if (connection->socket_.is_open())
            read(connection);
    });
}

auto LoopServer::answer(const std::shared_ptr<Connection>& connection) -> void
{
    const auto size = wholeRequest(connection->bytes_);
    if (size == 0)
        return;
    requests_.push_back(connection->bytes_.substr(0, size));
    connection->bytes_.erase(0, size);
    const auto scripted = script_(static_cast<int>(requests_.size()) - 1, requests_.back());
    if (scripted.delay_ == 0ms)
        return send(connection, scripted);
    const auto timer = std::make_shared<asio::steady_timer>(acceptor_.get_executor(), scripted.delay_);
    timer->async_wait([this, timer, connection, scripted](NetError error) {
        if (!error && connection->socket_.is_open())
            send(connection, scripted);
    });
}

auto LoopServer::send(const std::shared_ptr<Connection>& connection, const ScriptedBytes& scripted) -> void
{
    NetError ignored;
    if (!scripted.bytes_.empty())
        asio::write(connection->socket_, asio::buffer(scripted.bytes_), ignored);
    if (scripted.after_ == AfterBytes::Keep)
        return;
    if (scripted.after_ == AfterBytes::Reset)
        connection->socket_.set_option(Tcp::socket::linger(true, 0), ignored);
    closeQuietly(connection->socket_);
}

auto LoopServer::push(const std::string& bytes) -> void
{
    for (const auto& entry : open_) {
        NetError ignored;
        if (const auto connection = entry.lock(); connection && connection->socket_.is_open())
            asio::write(connection->socket_, asio::buffer(bytes), ignored);
    }
}

LoopClient::LoopClient(asio::io_context& loop, const SocketAddress& server)
    : state_(std::make_shared<State>(loop))
{
    state_->socket_.connect({ asio::ip::make_address_v4(server.host_), server.port_ });
    read(state_);
}

LoopClient::~LoopClient()
{
    close();
}

auto LoopClient::send(const std::string& bytes) -> void
{
    NetError ignored;
    asio::write(state_->socket_, asio::buffer(bytes), ignored);
}

auto LoopClient::endSending() -> void
{
    NetError ignored;
    state_->socket_.shutdown(Tcp::socket::shutdown_send, ignored);
}

auto LoopClient::read(const std::shared_ptr<State>& state) -> void
{
    state->socket_.async_read_some(asio::buffer(state->buffer_), [state](NetError error, std::size_t count) {
        if (error) {
            state->isEnded_ = error != asio::error::operation_aborted;
            return;
        }
        state->received_.append(state->buffer_.data(), count);
        if (state->socket_.is_open())
            read(state);
    });
}

auto LoopClient::count(const std::string& text) const -> std::size_t
{
    std::size_t found = 0;
    for (auto at = received().find(text); at != std::string::npos; at = received().find(text, at + 1))
        ++found;
    return found;
}

auto runUntil(asio::io_context& loop, const std::function<bool()>& holds) -> bool
{
    const auto limit = std::chrono::steady_clock::now() + hangLimit;
    loop.restart();
    while (!holds()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        loop.run_one_for(50ms);
        loop.restart();
    }
    return true;
}

auto freeAddress(const std::string& host) -> SocketAddress
{
    return { host, freePorts(1, host).front() };
}

} // namespace sapphirepass::standin
