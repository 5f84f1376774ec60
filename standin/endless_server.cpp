#include "standin/endless_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace sapphirepass::standin {

using namespace std::chrono_literals;

namespace {
    // The repeated part of a response is sent in blocks of about this size.
    constexpr std::size_t blockBytes = 64 * 1024;
}

auto endlessForms() -> std::vector<EndlessForm>
{
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1'000, 'x');
    return {
        { "status line", { "HTTP/1.1 200 ", filler } },
        { "header fields", { "HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n" } },
        { "header fields, a few at a time", { "HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n", 1ms } },
        { "body that ends with the connection", { "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nConnection: close\r\n\r\n", filler } },
        { "body with a huge length", { "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nContent-Length: 33000000\r\n\r\n", filler } },
        { "body with an absurd length", { "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nContent-Length: 9000000000000000000\r\n\r\n", filler } },
        { "chunks", { chunkedHead, "3e8\r\n" + filler + "\r\n" } },
        { "chunk extension", { chunkedHead + "1;", filler } },
        { "trailers", { chunkedHead + "0\r\n", "X-Filler: " + filler + "\r\n" } },
        { "interim responses", { "", "HTTP/1.1 103 Early Hints\r\nX-Filler: y\r\n\r\n" } },
        { "responses to another request", { "", "HTTP/1.1 200 OK\r\nAttempt-Id: t0\r\nResponse-Signature: p\r\nContent-Length: 4\r\n\r\nlate" } },
        { "no HTTP", { "", filler } },
        { "line ends", { "", "\r\n" } },
        { "zero bytes", { "", std::string(1'000, '\0') } },
    };
}

struct EndlessServer::Connection {
    explicit Connection(Tcp::socket socket)
        : socket_(std::move(socket))
    {
    }
    Tcp::socket socket_;
    asio::steady_timer timer_ { socket_.get_executor() };
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
    while (endless_.pause_ == endless_.pause_.zero() && endless_.repeated_.size() < blockBytes)
        endless_.repeated_ += unit;
    acceptNext();
}

EndlessServer::~EndlessServer()
{
    NetError ignored;
    acceptor_.close(ignored);
    for (const auto& entry : open_) {
        if (const auto connection = entry.lock()) {
            connection->timer_.cancel();
            closeQuietly(connection->socket_);
        }
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
            return sendLater(connection);
        ++ended_;
        closeQuietly(connection->socket_);
    });
}

auto EndlessServer::sendLater(const std::shared_ptr<Connection>& connection) -> void
{
    if (endless_.pause_ == endless_.pause_.zero())
        return sendMore(connection);
    connection->timer_.expires_after(endless_.pause_);
    connection->timer_.async_wait([this, connection](NetError error) {
        if (!error)
            sendMore(connection);
    });
}

} // namespace sapphirepass::standin
