// Sends and receives datagrams between instances.
#pragma once

#include "base/socket_address.h"
#include "loop/net_type.h"

#include <array>
#include <functional>
#include <string_view>
#include <vector>

namespace sapphirepass {

class DatagramSocket {
public:
    using Received = std::function<void(std::string_view bytes, const SocketAddress& from)>;

    DatagramSocket(asio::io_context& loop, Received received);

    // An error message, or nothing.
    auto open(const SocketAddress& address) -> std::string;
    // A datagram that cannot be sent is lost, as on the way.
    auto send(const std::string& bytes, const std::vector<SocketAddress>& to) -> void;
    auto close() -> void;

private:
    auto receiveNext() -> void;

    Udp::socket socket_;
    Received received_;
    Udp::endpoint sender_;
    std::array<char, 16 * 1024> buffer_ {};
};

} // namespace sapphirepass
