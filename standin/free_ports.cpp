#include "standin/free_ports.h"

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirepass::standin {

namespace {
    struct BoundSocket {
        int descriptor_;
        std::uint16_t port_;
    };

    auto bindAnyPort() -> BoundSocket
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        if (descriptor < 0 || bind(descriptor, generic, size) != 0 || getsockname(descriptor, generic, &size) != 0)
            throw std::runtime_error("no free port");
        return { descriptor, ntohs(address.sin_port) };
    }
}

auto freePorts(std::size_t count) -> std::vector<std::uint16_t>
{
    // All stay bound until the last is known, so that they differ.
    std::vector<BoundSocket> sockets;
    for (std::size_t i = 0; i < count; ++i)
        sockets.push_back(bindAnyPort());
    std::vector<std::uint16_t> ports;
    for (const auto& socket : sockets) {
        ports.push_back(socket.port_);
        close(socket.descriptor_);
    }
    return ports;
}

} // namespace sapphirepass::standin
