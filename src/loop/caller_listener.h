// Accepts connections of callers on one address.
#pragma once

#include "base/socket_address.h"
#include "loop/caller_channel.h"

#include <string>
#include <vector>

namespace sapphirepass {

class CallerListener {
public:
    // The handler for a connection from this host.
    using HandlerSelector = std::function<CallerHandler&(const std::string& host)>;

    CallerListener(asio::io_context& loop, CallerHandler& handler, const Clock& clock);
    CallerListener(asio::io_context& loop, HandlerSelector selectHandler, const Clock& clock);
    // Closes all connections.
    ~CallerListener();
    CallerListener(const CallerListener&) = delete;
    auto operator=(const CallerListener&) -> CallerListener& = delete;

    // An error message, or nothing.
    auto listen(const SocketAddress& address) -> std::string;
    auto stopAccepting() -> void;
    // Ends all connections and the requests under way on them.
    auto closeAll() -> void;
    // Connections that have carried a request and carry none now.
    auto closeIdle() -> void;
    // On all connections, new ones too.
    auto endReading() -> void;
    // Lets connections read on that wait for memory.
    auto resumeWaiting() -> void;
    // Applies time limits and forgets closed connections. Called now and then.
    auto sweep() -> void;
    auto openCount() const -> std::size_t { return channels_.size(); }
    // Bytes of responses that callers have not acknowledged.
    auto unreadBytes() const -> std::size_t;

private:
    auto acceptNext() -> void;
    auto take(Tcp::socket socket) -> void;

    Tcp::acceptor acceptor_;
    HandlerSelector selectHandler_;
    const Clock& clock_;
    std::vector<std::weak_ptr<CallerChannel>> channels_;
};

} // namespace sapphirepass
