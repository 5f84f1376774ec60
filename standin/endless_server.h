// A server whose responses never end, except for requests that ask for an ordinary one.
#pragma once

#include "loop/net_type.h"

#include "base/socket_address.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace sapphirepass::standin {

// A response begins with the first bytes and goes on with the others, over and over.
struct EndlessBytes {
    std::string first_;
    std::string repeated_;
    // Time between two sends. Without one, many repetitions are sent at once.
    std::chrono::milliseconds pause_ {};
};

struct EndlessForm {
    const char* name_;
    EndlessBytes bytes_;
};

// Parts of a response that a faulty server may repeat without end. Those without a first part repeat whole responses or none.
auto endlessForms() -> std::vector<EndlessForm>;

class EndlessServer {
public:
    // Requests whose head contains "/good" get the ordinary response.
    EndlessServer(asio::io_context& loop, EndlessBytes endless, std::string ordinary);
    ~EndlessServer();
    EndlessServer(const EndlessServer&) = delete;
    auto operator=(const EndlessServer&) -> EndlessServer& = delete;

    auto address() const -> const SocketAddress& { return address_; }
    // Endless responses that have begun, and those that the other side has ended.
    auto begun() const -> std::size_t { return begun_; }
    auto ended() const -> std::size_t { return ended_; }

private:
    struct Connection;

    auto acceptNext() -> void;
    auto read(const std::shared_ptr<Connection>& connection) -> void;
    auto answer(const std::shared_ptr<Connection>& connection) -> void;
    auto sendMore(const std::shared_ptr<Connection>& connection) -> void;
    auto sendLater(const std::shared_ptr<Connection>& connection) -> void;

    Tcp::acceptor acceptor_;
    SocketAddress address_;
    EndlessBytes endless_;
    std::string ordinary_;
    std::vector<std::weak_ptr<Connection>> open_;
    std::size_t begun_ = 0;
    std::size_t ended_ = 0;
};

} // namespace sapphirepass::standin
