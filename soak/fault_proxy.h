// A loopback proxy in front of one server, through which the soak harms connections.
#pragma once

#include "base/socket_address.h"
#include "loop/net_type.h"

#include <chrono>
#include <memory>
#include <vector>

namespace sapphirepass::soak {

enum class LinkFault { None,
    // Bytes come late, in both directions.
    Delayed,
    // Bytes towards the server are kept back.
    CutToServer,
    // Bytes from the server are kept back.
    CutFromServer,
    // Nothing passes, no connection ends.
    Silent };

class FaultProxy {
public:
    FaultProxy(asio::io_context& loop, SocketAddress server);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    auto operator=(const FaultProxy&) -> FaultProxy& = delete;

    auto address() const -> const SocketAddress& { return address_; }
    auto setFault(LinkFault fault) -> void;
    auto resetAll() -> void;
    auto stop() -> void;

private:
    struct Pair;

    auto acceptNext() -> void;
    auto pump(const std::shared_ptr<Pair>& pair, bool toServer) -> void;
    auto pass(const std::shared_ptr<Pair>& pair, bool toServer) -> void;
    auto isHeld(bool toServer) const -> bool;

    asio::io_context& loop_;
    Tcp::acceptor acceptor_;
    SocketAddress server_;
    SocketAddress address_;
    LinkFault fault_ = LinkFault::None;
    std::vector<std::weak_ptr<Pair>> pairs_;
};

} // namespace sapphirepass::soak
