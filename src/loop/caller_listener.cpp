#include "loop/caller_listener.h"

namespace sapphirepass {

namespace {
    // Connections that may wait to be accepted: a burst of callers that open one each.
    constexpr int backlog = 1'024;
}

CallerListener::CallerListener(asio::io_context& loop, CallerHandler& handler, const Clock& clock)
    : CallerListener(
        loop, [&handler](const std::string&) -> CallerHandler& { return handler; }, clock)
{
}

CallerListener::CallerListener(asio::io_context& loop, HandlerSelector selectHandler, const Clock& clock)
    : acceptor_(loop)
    , selectHandler_(std::move(selectHandler))
    , clock_(clock)
{
}

// The event loop keeps connections for longer than this, and their handlers.
CallerListener::~CallerListener()
{
    closeAll();
}

auto CallerListener::closeAll() -> void
{
    for (const auto& entry : channels_) {
        if (const auto channel = entry.lock(); channel && channel->isOpen())
            channel->close();
    }
}

auto CallerListener::listen(const SocketAddress& address) -> std::string
{
    const Tcp::endpoint endpoint { asio::ip::make_address_v4(address.host_), address.port_ };
    NetError error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (!error)
        acceptor_.listen(backlog, error);
    if (error)
        return error.message();
    acceptNext();
    return {};
}

auto CallerListener::acceptNext() -> void
{
    acceptor_.async_accept([this](NetError error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open())
            return;
        if (!error)
            take(std::move(socket));
        acceptNext();
    });
}

auto CallerListener::take(Tcp::socket socket) -> void
{
    NetError error;
    const auto peer = socket.remote_endpoint(error);
    // The peer has left already.
    if (error)
        return closeQuietly(socket);
    auto channel = std::make_shared<CallerChannel>(std::move(socket), selectHandler_(peer.address().to_string()), clock_);
    channels_.push_back(channel);
    channel->start();
}

// Closing a listener resets the connections that wait to be accepted, whose requests may have arrived already.
auto CallerListener::stopAccepting() -> void
{
    NetError error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (!error)
            take(std::move(socket));
    }
    NetError ignored;
    acceptor_.close(ignored);
}

auto CallerListener::closeIdle() -> void
{
    for (const auto& entry : channels_) {
        if (const auto channel = entry.lock())
            channel->closeIfIdle();
    }
}

auto CallerListener::endReading() -> void
{
    for (const auto& entry : channels_) {
        if (const auto channel = entry.lock())
            channel->endReading();
    }
}

auto CallerListener::resumeWaiting() -> void
{
    for (const auto& entry : channels_) {
        if (const auto channel = entry.lock())
            channel->resume();
    }
}

auto CallerListener::unreadBytes() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto& entry : channels_) {
        if (const auto channel = entry.lock())
            sum += channel->unreadBytes();
    }
    return sum;
}

auto CallerListener::sweep() -> void
{
    for (const auto& entry : channels_) {
        if (const auto channel = entry.lock())
            channel->checkTime();
    }
    std::erase_if(channels_, [](const auto& entry) { return entry.expired(); });
}

} // namespace sapphirepass
