#include "standin/raw_upstream.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirepass::standin {

namespace {
    constexpr int backlog = 64;

    auto receiveHead(int connection) -> std::string
    {
        std::string head;
        std::array<char, 4096> bytes;
        while (head.find("\r\n\r\n") == std::string::npos) {
            const auto count = recv(connection, bytes.data(), bytes.size(), 0);
            if (count <= 0)
                return {};
            head.append(bytes.data(), static_cast<std::size_t>(count));
        }
        return head;
    }

    auto sendAll(int connection, std::string_view bytes) -> void
    {
        while (!bytes.empty()) {
            const auto sent = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
    }
}

RawUpstream::RawUpstream(Script script)
    : script_(std::move(script))
    , listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), size) != 0 || listen(listener_, backlog) != 0)
        throw std::runtime_error("no free port");
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = { "127.0.0.1", ntohs(address.sin_port) };
    thread_ = std::thread([this] { run(); });
}

RawUpstream::~RawUpstream()
{
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    {
        const std::lock_guard lock(mutex_);
        for (const int connection : open_)
            shutdown(connection, SHUT_RDWR);
    }
    for (auto& connection : connections_)
        connection.join();
    ::close(listener_);
}

auto RawUpstream::run() -> void
{
    while (!stopping_) {
        const auto connection = accept(listener_, nullptr, nullptr);
        if (connection < 0)
            continue;
        const std::lock_guard lock(mutex_);
        open_.insert(connection);
        connections_.emplace_back([this, connection] {
            answer(connection);
            const std::lock_guard closing(mutex_);
            open_.erase(connection);
            ::close(connection);
        });
    }
}

auto RawUpstream::answer(int connection) -> void
{
    const auto head = receiveHead(connection);
    if (head.empty())
        return;
    sendAll(connection, script_(requests_++, head));
    // Lets the client read what is on its way before the connection is reset.
    shutdown(connection, SHUT_WR);
    std::array<char, 4096> bytes;
    while (recv(connection, bytes.data(), bytes.size(), 0) > 0) { }
}

} // namespace sapphirepass::standin
