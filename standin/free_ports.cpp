#include "standin/free_ports.h"

#include <arpa/inet.h>
#include <optional>
#include <random>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirepass::standin {

namespace {
    struct BoundSocket {
        int descriptor_;
        std::uint16_t port_;
    };

    // Below the ports that the system gives to outgoing connections, so that none takes the port of an
    // instance while it is being replaced.
    constexpr int firstPort = 12'000;
    constexpr int lastPort = 32'000;
    constexpr int attempts = 1'000;

    // Nothing if the port is taken.
    auto tryBind(int port) -> std::optional<BoundSocket>
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (descriptor >= 0 && bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            return BoundSocket { descriptor, static_cast<std::uint16_t>(port) };
        close(descriptor);
        return std::nullopt;
    }

    auto bindFreePort(std::random_device& random) -> BoundSocket
    {
        std::uniform_int_distribution<int> anyPort(firstPort, lastPort);
        for (int i = 0; i < attempts; ++i) {
            if (const auto bound = tryBind(anyPort(random)))
                return *bound;
        }
        throw std::runtime_error("no free port");
    }
}

auto freePorts(std::size_t count) -> std::vector<std::uint16_t>
{
    // All stay bound until the last is known, so that they differ.
    std::random_device random;
    std::vector<BoundSocket> sockets;
    for (std::size_t i = 0; i < count; ++i)
        sockets.push_back(bindFreePort(random));
    std::vector<std::uint16_t> ports;
    for (const auto& socket : sockets) {
        ports.push_back(socket.port_);
        close(socket.descriptor_);
    }
    return ports;
}

} // namespace sapphirepass::standin
