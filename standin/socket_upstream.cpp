#include "standin/socket_upstream.h"

#include <array>
#include <boost/algorithm/string.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirepass::standin {

namespace {
    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::string_view lengthName = "content-length:";
    constexpr int backlog = 1024;

    auto bodySize(const std::string& head) -> std::size_t
    {
        const auto lower = boost::to_lower_copy(head);
        const auto found = lower.find(lengthName);
        return found == std::string::npos ? 0 : std::stoull(lower.substr(found + lengthName.size()));
    }

    // Appends what arrives until the buffer holds the bytes; false at the end of the connection.
    auto receiveMore(int descriptor, std::string& buffer) -> bool
    {
        std::array<char, 16 * 1024> bytes;
        const auto received = recv(descriptor, bytes.data(), bytes.size(), 0);
        if (received <= 0)
            return false;
        buffer.append(bytes.data(), static_cast<std::size_t>(received));
        return true;
    }
}

SocketUpstream::SocketUpstream(std::string body, Recording recording, Behaviour behaviour)
    : answer_(fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{}", body.size(), body))
    , recording_(recording)
    , behaviour_(behaviour)
    , bodyBytes_(body.size())
    , listening_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(listening_, generic, size) != 0 || listen(listening_, backlog) != 0 || getsockname(listening_, generic, &size) != 0)
        throw std::runtime_error("cannot listen");
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { accept(); });
}

SocketUpstream::~SocketUpstream()
{
    stopping_ = true;
    shutdown(listening_, SHUT_RDWR);
    acceptor_.join();
    ::close(listening_);
    {
        const std::lock_guard lock(mutex_);
        for (const int descriptor : descriptors_)
            shutdown(descriptor, SHUT_RDWR);
    }
    for (auto& thread : threads_)
        thread.join();
    for (const int descriptor : descriptors_)
        ::close(descriptor);
}

auto SocketUpstream::address() const -> SocketAddress
{
    return { "127.0.0.1", port_ };
}

auto SocketUpstream::requests() const -> std::vector<std::string>
{
    const std::lock_guard lock(mutex_);
    return requests_;
}

auto SocketUpstream::accept() -> void
{
    while (!stopping_) {
        const int descriptor = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        descriptors_.push_back(descriptor);
        threads_.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

auto SocketUpstream::serve(int descriptor) -> void
{
    std::string buffer;
    while (true) {
        auto end = buffer.find(headEnd);
        for (; end == std::string::npos; end = buffer.find(headEnd)) {
            if (!receiveMore(descriptor, buffer)) {
                shutdown(descriptor, SHUT_RDWR);
                return;
            }
        }
        const auto size = end + headEnd.size() + bodySize(buffer.substr(0, end));
        while (buffer.size() < size && receiveMore(descriptor, buffer)) { }
        if (recording_ == Recording::On) {
            const std::lock_guard lock(mutex_);
            requests_.push_back(buffer.substr(0, size));
        }
        buffer.erase(0, size);
        const auto part = behaviour_ == Behaviour::Answer ? answer_.size() : behaviour_ == Behaviour::CutAnswer ? answer_.size() - bodyBytes_ / 2
                                                                                                                : 0;
        ::send(descriptor, answer_.data(), part, MSG_NOSIGNAL);
        if (behaviour_ != Behaviour::Answer) {
            shutdown(descriptor, SHUT_RDWR);
            return;
        }
    }
}

} // namespace sapphirepass::standin
