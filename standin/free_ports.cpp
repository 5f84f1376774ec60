#include "standin/free_ports.h"

#include <arpa/inet.h>
#include <optional>
#include <random>
#include <set>
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
    auto tryBind(const std::string& host, int port) -> std::optional<BoundSocket>
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = inet_addr(host.c_str());
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (descriptor >= 0 && bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
            return BoundSocket { descriptor, static_cast<std::uint16_t>(port) };
        close(descriptor);
        return std::nullopt;
    }

    auto bindFreePort(const std::string& host, std::random_device& random) -> BoundSocket
    {
        static std::set<int> returned;
        std::uniform_int_distribution<int> anyPort(firstPort, lastPort);
        for (int i = 0; i < attempts; ++i) {
            const auto port = anyPort(random);
            if (returned.contains(port))
                continue;
            if (const auto bound = tryBind(host, port)) {
                returned.insert(port);
                return *bound;
            }
        }
        throw std::runtime_error("no free port");
    }
}

auto freePorts(std::size_t count, const std::string& host) -> std::vector<std::uint16_t>
{
    // All stay bound until the last is known, so that they differ.
    std::random_device random;
    std::vector<BoundSocket> sockets;
    for (std::size_t i = 0; i < count; ++i)
        sockets.push_back(bindFreePort(host, random));
    std::vector<std::uint16_t> ports;
    for (const auto& socket : sockets) {
        ports.push_back(socket.port_);
        close(socket.descriptor_);
    }
    return ports;
}

} // namespace sapphirepass::standin
