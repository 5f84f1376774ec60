#include "standin/early_responder.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace sapphirepass::standin {

struct EarlyResponder::Connection {
    explicit Connection(Tcp::socket socket)
        : socket_(std::move(socket))
    {
    }
    Tcp::socket socket_;
    std::string head_;
    std::array<char, 1024> buffer_ {};
};

EarlyResponder::EarlyResponder(asio::io_context& loop, std::string response, EarlyEnd end)
    : acceptor_(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , address_ { "127.0.0.1", acceptor_.local_endpoint().port() }
    , response_(std::move(response))
    , end_(end)
{
    acceptNext();
}

EarlyResponder::~EarlyResponder()
{
    NetError ignored;
    acceptor_.close(ignored);
    for (const auto& entry : open_) {
        if (const auto connection = entry.lock())
            closeQuietly(connection->socket_);
    }
}

auto EarlyResponder::acceptNext() -> void
{
    acceptor_.async_accept([this](NetError error, Tcp::socket socket) {
        if (error)
            return;
        auto connection = std::make_shared<Connection>(std::move(socket));
        open_.push_back(connection);
        readHead(connection);
        acceptNext();
    });
}

auto EarlyResponder::readHead(const std::shared_ptr<Connection>& connection) -> void
{
    connection->socket_.async_read_some(asio::buffer(connection->buffer_), [this, connection](NetError error, std::size_t count) {
        if (error)
            return;
        connection->head_.append(connection->buffer_.data(), count);
        if (connection->head_.find("\r\n\r\n") == std::string::npos)
            return readHead(connection);
        ++requests_;
        respond(connection);
    });
}

auto EarlyResponder::respond(const std::shared_ptr<Connection>& connection) -> void
{
    auto& socket = connection->socket_;
    NetError ignored;
    asio::write(socket, asio::buffer(response_), ignored);
    if (end_ == EarlyEnd::HalfClose || end_ == EarlyEnd::HalfCloseThenReset)
        socket.shutdown(Tcp::socket::shutdown_send, ignored);
    if (end_ == EarlyEnd::Reset || end_ == EarlyEnd::HalfCloseThenReset)
        socket.set_option(Tcp::socket::linger(true, 0), ignored);
    if (end_ == EarlyEnd::HalfClose || end_ == EarlyEnd::Keep)
        return readOn(connection);
    if (end_ != EarlyEnd::CloseUnread)
        return closeQuietly(socket);
    socket.async_wait(Tcp::socket::wait_read, [connection](NetError) { closeQuietly(connection->socket_); });
}

auto EarlyResponder::readOn(const std::shared_ptr<Connection>& connection) -> void
{
    connection->socket_.async_read_some(asio::buffer(connection->buffer_), [this, connection](NetError error, std::size_t) {
        if (!error)
            readOn(connection);
    });
}

} // namespace sapphirepass::standin
