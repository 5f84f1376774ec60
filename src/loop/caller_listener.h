// Accepts connections of callers on one address.
#pragma once

#include "base/socket_address.h"
#include "loop/caller_channel.h"

#include <string>
#include <vector>

namespace sapphirepass {

class CallerListener {
public:
    // Whether a connection from this host is taken; others are closed unread.
    using HostFilter = std::function<bool(const std::string& host)>;

    CallerListener(asio::io_context& loop, CallerHandler& handler, const Clock& clock, HostFilter filter = {});

    // An error message, or nothing.
    auto listen(const SocketAddress& address) -> std::string;
    auto stopAccepting() -> void;
    auto closeIdle() -> void;
    // Applies time limits and forgets closed connections. Called now and then.
    auto sweep() -> void;
    auto openCount() const -> std::size_t { return channels_.size(); }

private:
    auto acceptNext() -> void;
    auto take(Tcp::socket socket) -> void;

    Tcp::acceptor acceptor_;
    CallerHandler& handler_;
    const Clock& clock_;
    HostFilter filter_;
    std::vector<std::weak_ptr<CallerChannel>> channels_;
};

} // namespace sapphirepass
