// A server that responds to a request while its body is still being sent, and then ends its side of the connection.
#pragma once

#include "loop/net_type.h"

#include "base/socket_address.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace sapphirepass::standin {

enum class EarlyEnd {
    Reset,
    // Closes while bytes are unread, which the kernel turns into a reset.
    CloseUnread,
    // Sends nothing more, and reads on.
    HalfClose,
    // Sends nothing more, and resets the connection before anything else can be read.
    HalfCloseThenReset,
    Keep
};

class EarlyResponder {
public:
    EarlyResponder(asio::io_context& loop, std::string response, EarlyEnd end);
    ~EarlyResponder();
    EarlyResponder(const EarlyResponder&) = delete;
    auto operator=(const EarlyResponder&) -> EarlyResponder& = delete;

    auto address() const -> const SocketAddress& { return address_; }
    auto requests() const -> std::size_t { return requests_; }

private:
    struct Connection;

    auto acceptNext() -> void;
    auto readHead(const std::shared_ptr<Connection>& connection) -> void;
    auto respond(const std::shared_ptr<Connection>& connection) -> void;
    auto readOn(const std::shared_ptr<Connection>& connection) -> void;

    Tcp::acceptor acceptor_;
    SocketAddress address_;
    std::string response_;
    EarlyEnd end_;
    std::vector<std::weak_ptr<Connection>> open_;
    std::size_t requests_ = 0;
};

} // namespace sapphirepass::standin
