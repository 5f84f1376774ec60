// A plain HTTP/1.1 client over one blocking socket. Sends bytes as given, so that malformed requests can be sent too.
#pragma once

#include "base/socket_address.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace sapphirepass::load {

struct SocketAnswer {
    // 0 if the connection ended before a whole status line.
    int status_ = 0;
    // Names in lower case.
    std::map<std::string, std::string> headers_;
    std::string body_;
    // Whether the body arrived to its end.
    bool whole_ = false;
};

// One connection; not thread-safe. Reads and writes give up after the time limit.
class HttpSocket {
public:
    HttpSocket(const SocketAddress& address, std::chrono::milliseconds timeLimit);
    ~HttpSocket();
    HttpSocket(const HttpSocket&) = delete;
    auto operator=(const HttpSocket&) -> HttpSocket& = delete;

    auto isConnected() const -> bool { return descriptor_ >= 0; }
    // False if not all bytes could be handed to the system.
    auto send(std::string_view bytes) -> bool;
    // Reads one answer; bytes after it stay for the next call.
    auto readAnswer() -> SocketAnswer;
    // Whether the peer has closed its side, with nothing left to read; waits for that or the time limit.
    auto isClosedByPeer() -> bool;
    // The same, without waiting.
    auto hasEnded() const -> bool;
    // Whether the connection can carry another request, as far as is known.
    auto isReusable() const -> bool { return isConnected() && reusable_ && buffer_.empty(); }

private:
    // Appends to the buffer; false at the end of the connection or after the time limit.
    auto receive() -> bool;
    auto readHead(SocketAnswer& answer) -> bool;
    auto readSized(std::size_t size, std::string& body) -> bool;
    auto readChunks(std::string& body) -> bool;

    int descriptor_ = -1;
    bool reusable_ = true;
    std::string buffer_;
};

// A request with a body of that many bytes; extra headers end in CRLF each.
auto renderRequest(std::string_view method, std::string_view target, std::string_view extraHeaders, std::string_view body) -> std::string;

} // namespace sapphirepass::load
