#include "base/socket_address.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace sapphirepass {

auto parseSocketAddress(std::string_view text) -> std::optional<SocketAddress>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string host(text.substr(0, colon));
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    in_addr parsed {};
    const bool valid = failure == std::errc() && end == digits.data() + digits.size() && inet_pton(AF_INET, host.c_str(), &parsed) == 1;
    if (!valid)
        return std::nullopt;
    return SocketAddress { host, port };
}

auto formatSocketAddress(const SocketAddress& address) -> std::string
{
    return fmt::format("{}:{}", address.host_, address.port_);
}

} // namespace sapphirepass
