// A loopback proxy in front of one server, through which tests and the soak harm connections.
#pragma once

#include "base/socket_address.h"
#include "loop/net_type.h"

#include <chrono>
#include <memory>
#include <vector>

namespace sapphirepass::standin {

enum class LinkFault { None,
    // Bytes come late, in both directions.
    Delayed,
    // Bytes towards the server are kept back.
    CutToServer,
    // Bytes from the server are kept back.
    CutFromServer,
    // Nothing passes, no connection ends.
    Silent };

// What becomes of new connections; open ones live on.
enum class Connects { Accepted,
    Refused,
    // Neither accepted nor refused, as if their packets were lost.
    Unanswered };

class FaultProxy {
public:
    FaultProxy(asio::io_context& loop, SocketAddress server);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    auto operator=(const FaultProxy&) -> FaultProxy& = delete;

    auto address() const -> const SocketAddress& { return address_; }
    auto setFault(LinkFault fault) -> void;
    auto setConnects(Connects connects) -> void;
    auto resetAll() -> void;
    // Resets all connections, and new ones as soon as they are accepted; the port stays taken.
    auto setCut(bool isCut) -> void;
    auto stop() -> void;

private:
    struct Pair;

    auto listen(int backlog) -> void;
    auto acceptNext() -> void;
    auto pump(const std::shared_ptr<Pair>& pair, bool toServer) -> void;
    auto pass(const std::shared_ptr<Pair>& pair, bool toServer) -> void;
    auto isHeld(bool toServer) const -> bool;

    asio::io_context& loop_;
    Tcp::acceptor acceptor_;
    SocketAddress server_;
    SocketAddress address_;
    LinkFault fault_ = LinkFault::None;
    bool isCut_ = false;
    std::vector<std::weak_ptr<Pair>> pairs_;
    // Connections of its own that fill the queue of the listener while others are not answered.
    std::vector<Tcp::socket> fillers_;
};

} // namespace sapphirepass::standin
