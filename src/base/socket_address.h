// An IPv4 address and TCP port.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirepass {

struct SocketAddress {
    std::string host_;
    std::uint16_t port_ = 0;

    auto operator<=>(const SocketAddress&) const = default;
};

// Parses "127.0.0.1:8080"; no value if the text is not a dotted IPv4 address with a port.
auto parseSocketAddress(std::string_view text) -> std::optional<SocketAddress>;
auto formatSocketAddress(const SocketAddress& address) -> std::string;

} // namespace sapphirepass
