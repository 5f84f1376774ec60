// An upstream of a few lines over plain sockets. It costs little processor time, and it keeps requests byte by byte.
#pragma once

#include "base/socket_address.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sapphirepass::standin {

// A thread for each connection.
class SocketUpstream {
public:
    enum class Recording { Off,
        On };

    enum class Behaviour {
        // Answers 200 with the same body.
        Answer,
        // Reads the whole request and closes the connection, as a crash does.
        HangUp,
        // Promises the whole body and closes the connection after half of it.
        CutAnswer,
    };

    SocketUpstream(std::string body, Recording recording, Behaviour behaviour = Behaviour::Answer);
    ~SocketUpstream();
    SocketUpstream(const SocketUpstream&) = delete;
    auto operator=(const SocketUpstream&) -> SocketUpstream& = delete;

    auto address() const -> SocketAddress;
    // Requests in the order of arrival, head and body as received.
    auto requests() const -> std::vector<std::string>;

private:
    auto accept() -> void;
    auto serve(int descriptor) -> void;

    std::string answer_;
    Recording recording_;
    Behaviour behaviour_;
    std::size_t bodyBytes_ = 0;
    int listening_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_ { false };
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<int> descriptors_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace sapphirepass::standin
