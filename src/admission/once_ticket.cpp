#include "admission/once_ticket.h"

#include "base/text_func.h"
#include "config/field_table.h"

#include <array>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

namespace sapphirepass {

namespace {
    constexpr std::size_t ticketParts = 5;
    constexpr std::size_t digestBytes = 32;
    constexpr int hexadecimal = 16;
    constexpr int decimal = 10;

    template <typename Number>
    auto parseInteger(const std::string& text, int base) -> std::optional<Number>
    {
        Number number = 0;
        const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number, base);
        if (failure != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    auto toMillis(MonotonicTime time) -> std::int64_t
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }
}

TicketIssuer::TicketIssuer(InstanceId self, std::string secret)
    : self_(std::move(self))
    , secret_(std::move(secret))
{
}

auto TicketIssuer::sign(const std::string& unsignedText, const std::string& workspace) const -> std::string
{
    const auto signedText = fmt::format("{}\n{}", workspace, unsignedText);
    std::array<unsigned char, digestBytes> digest {};
    unsigned int size = digestBytes;
    HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()), reinterpret_cast<const unsigned char*>(signedText.data()), signedText.size(), digest.data(), &size);
    return fmt::format("{:02x}", fmt::join(digest, ""));
}

auto TicketIssuer::issue(const std::string& workspace, std::uint64_t number, MonotonicTime expiry) const -> std::string
{
    const auto text = fmt::format("{}/{:x}/{:x}/{}", self_.name_, self_.incarnation_, number, toMillis(expiry));
    return fmt::format("{}/{}", text, sign(text, workspace));
}

auto TicketIssuer::verify(const OnceTicket& ticket, const std::string& text, const std::string& workspace) const -> bool
{
    const auto slash = text.rfind('/');
    if (ticket.issuer_ != self_ || slash == std::string::npos)
        return false;
    const auto expected = sign(text.substr(0, slash), workspace);
    const auto given = std::string_view(text).substr(slash + 1);
    return given.size() == expected.size() && CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

auto parseTicket(std::string_view text) -> std::optional<OnceTicket>
{
    const auto parts = splitText(text, '/');
    if (parts.size() != ticketParts || !isName(parts[0]))
        return std::nullopt;
    const auto incarnation = parseInteger<std::uint64_t>(parts[1], hexadecimal);
    const auto number = parseInteger<std::uint64_t>(parts[2], hexadecimal);
    const auto expiry = parseInteger<std::int64_t>(parts[3], decimal);
    if (!incarnation || !number || !expiry)
        return std::nullopt;
    return OnceTicket { { parts[0], *incarnation }, *number, *expiry };
}

} // namespace sapphirepass
