#include "bench/load/http_socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/algorithm/string.hpp>
#include <charconv>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sapphirepass::load {

namespace {
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr int hexadecimal = 16;

    auto toTimeval(std::chrono::milliseconds time) -> timeval
    {
        constexpr std::int64_t millisPerSecond = 1000;
        constexpr std::int64_t microsPerMilli = 1000;
        return { time.count() / millisPerSecond, time.count() % millisPerSecond * microsPerMilli };
    }

    auto readSize(std::string_view text, int base) -> std::size_t
    {
        std::size_t size = 0;
        std::from_chars(text.data(), text.data() + text.size(), size, base);
        return size;
    }
}

HttpSocket::HttpSocket(const SocketAddress& address, std::chrono::milliseconds timeLimit)
    : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto limit = toTimeval(timeLimit);
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    inet_pton(AF_INET, address.host_.c_str(), &target.sin_addr);
    target.sin_port = htons(address.port_);
    if (connect(descriptor_, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0)
        return;
    ::close(descriptor_);
    descriptor_ = -1;
}

HttpSocket::~HttpSocket()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

auto HttpSocket::send(std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        const auto sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

auto HttpSocket::receive() -> bool
{
    std::array<char, 16 * 1024> bytes;
    const auto received = recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (received <= 0)
        return false;
    buffer_.append(bytes.data(), static_cast<std::size_t>(received));
    return true;
}

auto HttpSocket::isClosedByPeer() -> bool
{
    char byte = 0;
    return buffer_.empty() && recv(descriptor_, &byte, 1, MSG_PEEK) == 0;
}

auto HttpSocket::hasEnded() const -> bool
{
    char byte = 0;
    return recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

auto HttpSocket::readHead(SocketAnswer& answer) -> bool
{
    auto end = buffer_.find(headEnd);
    for (; end == std::string::npos; end = buffer_.find(headEnd)) {
        if (!receive())
            return false;
    }
    std::vector<std::string> lines;
    const auto head = buffer_.substr(0, end);
    buffer_.erase(0, end + headEnd.size());
    boost::algorithm::split(lines, head, boost::is_any_of("\n"));
    const auto space = lines.front().find(' ');
    if (!head.starts_with("HTTP/") || space == std::string::npos)
        return false;
    answer.status_ = static_cast<int>(readSize(lines.front().substr(space + 1), 10));
    for (std::size_t i = 1; i < lines.size(); ++i) {
        const auto colon = lines[i].find(':');
        if (colon != std::string::npos)
            answer.headers_[boost::to_lower_copy(lines[i].substr(0, colon))] = boost::trim_copy(lines[i].substr(colon + 1));
    }
    return true;
}

auto HttpSocket::readSized(std::size_t size, std::string& body) -> bool
{
    while (buffer_.size() < size && receive()) { }
    const auto taken = std::min(size, buffer_.size());
    body.append(buffer_, 0, taken);
    buffer_.erase(0, taken);
    return taken == size;
}

auto HttpSocket::readChunks(std::string& body) -> bool
{
    while (true) {
        auto end = buffer_.find(lineEnd);
        for (; end == std::string::npos; end = buffer_.find(lineEnd)) {
            if (!receive())
                return false;
        }
        const auto size = readSize(std::string_view(buffer_).substr(0, end), hexadecimal);
        buffer_.erase(0, end + lineEnd.size());
        std::string ending;
        if (!readSized(size, body) || !readSized(lineEnd.size(), ending))
            return false;
        if (size == 0)
            return true;
    }
}

auto HttpSocket::readAnswer() -> SocketAnswer
{
    SocketAnswer answer;
    reusable_ = readHead(answer);
    if (!reusable_)
        return answer;
    if (answer.headers_.contains("content-length")) {
        answer.whole_ = readSized(readSize(answer.headers_["content-length"], 10), answer.body_);
    } else if (answer.headers_["transfer-encoding"] == "chunked") {
        answer.whole_ = readChunks(answer.body_);
    } else {
        while (receive()) { }
        answer.body_ = std::move(buffer_);
        buffer_.clear();
        answer.whole_ = true;
        reusable_ = false;
    }
    reusable_ = reusable_ && answer.whole_ && boost::to_lower_copy(answer.headers_["connection"]) != "close";
    return answer;
}

auto renderRequest(std::string_view method, std::string_view target, std::string_view extraHeaders, std::string_view body) -> std::string
{
    const auto length = body.empty() && method == "GET" ? std::string() : fmt::format("Content-Length: {}\r\n", body.size());
    return fmt::format("{} {} HTTP/1.1\r\nHost: localhost\r\n{}{}\r\n{}", method, target, length, extraHeaders, body);
}

} // namespace sapphirepass::load
