#include "standin/endless_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace sapphirepass::standin {

namespace {
    // The repeated part of a response is sent in blocks of about this size.
    constexpr std::size_t blockBytes = 64 * 1024;
}

struct EndlessServer::Connection {
    explicit Connection(Tcp::socket socket)
        : socket_(std::move(socket))
    {
    }
    Tcp::socket socket_;
    std::string bytes_;
    std::array<char, 4096> buffer_ {};
    bool isEndless_ = false;
};

EndlessServer::EndlessServer(asio::io_context& loop, EndlessBytes endless, std::string ordinary)
    : acceptor_(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , address_ { "127.0.0.1", acceptor_.local_endpoint().port() }
    , endless_(std::move(endless))
    , ordinary_(std::move(ordinary))
{
    const auto unit = endless_.repeated_;
    while (endless_.repeated_.size() < blockBytes)
        endless_.repeated_ += unit;
    acceptNext();
}

EndlessServer::~EndlessServer()
{
    NetError ignored;
    acceptor_.close(ignored);
    for (const auto& entry : open_) {
        if (const auto connection = entry.lock())
            closeQuietly(connection->socket_);
    }
}

auto EndlessServer::acceptNext() -> void
{
    acceptor_.async_accept([this](NetError error, Tcp::socket socket) {
        if (error)
            return;
        auto connection = std::make_shared<Connection>(std::move(socket));
        open_.push_back(connection);
        read(connection);
        acceptNext();
    });
}

auto EndlessServer::read(const std::shared_ptr<Connection>& connection) -> void
{
    connection->socket_.async_read_some(asio::buffer(connection->buffer_), [this, connection](NetError error, std::size_t count) {
        if (error)
            return;
        connection->bytes_.append(connection->buffer_.data(), count);
        if (connection->bytes_.find("\r\n\r\n") != std::string::npos)
            answer(connection);
        if (connection->socket_.is_open() && !connection->isEndless_)
            read(connection);
    });
}

auto EndlessServer::answer(const std::shared_ptr<Connection>& connection) -> void
{
    const bool isOrdinary = connection->bytes_.substr(0, connection->bytes_.find("\r\n")).find("/good") != std::string::npos;
    connection->bytes_.clear();
    NetError ignored;
    asio::write(connection->socket_, asio::buffer(isOrdinary ? ordinary_ : endless_.first_), ignored);
    if (isOrdinary)
        return;
    connection->isEndless_ = true;
    ++begun_;
    sendMore(connection);
}

auto EndlessServer::sendMore(const std::shared_ptr<Connection>& connection) -> void
{
    asio::async_write(connection->socket_, asio::buffer(endless_.repeated_), [this, connection](NetError error, std::size_t) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            return sendMore(connection);
        ++ended_;
        closeQuietly(connection->socket_);
    });
}

} // namespace sapphirepass::standin
