#include "loop/datagram_socket.h"

#include <boost/asio/buffer.hpp>

namespace sapphirepass {

DatagramSocket::DatagramSocket(asio::io_context& loop, Received received)
    : socket_(loop)
    , received_(std::move(received))
{
}

auto DatagramSocket::open(const SocketAddress& address) -> std::string
{
    const Udp::endpoint endpoint { asio::ip::make_address_v4(address.host_), address.port_ };
    NetError error;
    socket_.open(endpoint.protocol(), error);
    if (!error)
        socket_.bind(endpoint, error);
    if (!error)
        socket_.non_blocking(true, error);
    if (error)
        return error.message();
    receiveNext();
    return {};
}

auto DatagramSocket::receiveNext() -> void
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_, [this](NetError error, std::size_t count) {
        if (error == asio::error::operation_aborted || !socket_.is_open())
            return;
        if (!error)
            received_({ buffer_.data(), count }, { sender_.address().to_string(), sender_.port() });
        receiveNext();
    });
}

auto DatagramSocket::send(const std::string& bytes, const std::vector<SocketAddress>& to) -> void
{
    for (const auto& address : to) {
        NetError ignored;
        const auto host = asio::ip::make_address_v4(address.host_, ignored);
        // Heartbeats may name invalid addresses.
        if (ignored)
            continue;
        socket_.send_to(asio::buffer(bytes), { host, address.port_ }, 0, ignored);
    }
}

auto DatagramSocket::close() -> void
{
    NetError ignored;
    socket_.close(ignored);
}

} // namespace sapphirepass
