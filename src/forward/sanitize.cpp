#include "forward/sanitize_func.h"

#include "base/text_func.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace sapphirepass {

namespace {
    // Hexadecimal digits of the secret, the part of a key after the dot.
    constexpr std::size_t secretDigits = 48;
    // Levels of nested percent-encoding that are decoded.
    constexpr int maxDecodings = 4;

    constexpr std::array<std::string_view, 5> credentialHeaders { "Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key", "X-Auth-Token" };
    // Headers that concern one connection only (RFC 9110, section 7.6.1).
    constexpr std::array<std::string_view, 10> connectionHeaders { "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer",
        "Upgrade", "Host", "Content-Length", "Expect" };

    template <std::size_t N>
    auto isOneOf(const std::array<std::string_view, N>& names, std::string_view name) -> bool
    {
        return std::any_of(names.begin(), names.end(), [name](auto other) { return equalsIgnoreCase(other, name); });
    }

    auto isHexDigit(char c) -> bool { return std::isxdigit(static_cast<unsigned char>(c)) != 0; }

    auto hexValue(char c) -> int
    {
        return std::isdigit(static_cast<unsigned char>(c)) != 0 ? c - '0' : std::tolower(static_cast<unsigned char>(c)) - 'a' + 10;
    }

    auto percentDecode(std::string_view text) -> std::string
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool encoded = text[i] == '%' && i + 2 < text.size() && isHexDigit(text[i + 1]) && isHexDigit(text[i + 2]);
            decoded += encoded ? static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2])) : text[i];
            i += encoded ? 2 : 0;
        }
        return decoded;
    }

    // Whether the text contains a run of hexadecimal digits as long as a secret.
    auto containsPlainKey(std::string_view text) -> bool
    {
        std::size_t run = 0;
        for (const char c : text) {
            run = isHexDigit(c) ? run + 1 : 0;
            if (run >= secretDigits)
                return true;
        }
        return false;
    }

    // Whether a Connection header lists the name, which makes it a connection header too.
    auto isConnectionOption(const std::vector<Header>& headers, std::string_view name) -> bool
    {
        for (const auto& header : headers) {
            if (!equalsIgnoreCase(header.name_, "Connection"))
                continue;
            for (const auto& listed : splitText(header.value_, ',')) {
                if (equalsIgnoreCase(boost::algorithm::trim_copy(listed), name))
                    return true;
            }
        }
        return false;
    }
}

auto containsKey(std::string_view text) -> bool
{
    auto decoded = std::string(text);
    for (int i = 0; i < maxDecodings; ++i) {
        if (containsPlainKey(decoded))
            return true;
        decoded = percentDecode(decoded);
    }
    return containsPlainKey(decoded);
}

auto sanitizeRequestHeaders(const std::vector<Header>& headers) -> std::vector<Header>
{
    std::vector<Header> kept;
    for (const auto& header : headers) {
        const bool dropped = isOneOf(credentialHeaders, header.name_) || isOneOf(connectionHeaders, header.name_)
            || isConnectionOption(headers, header.name_) || containsKey(header.value_) || containsKey(header.name_);
        if (!dropped)
            kept.push_back(header);
    }
    return kept;
}

auto sanitizeQuery(std::string_view query) -> std::string
{
    std::string kept;
    for (const auto& parameter : splitText(query, '&')) {
        if (parameter.empty() || containsKey(parameter))
            continue;
        kept += kept.empty() ? "" : "&";
        kept += parameter;
    }
    return kept;
}

auto sanitizeResponseHeaders(const std::vector<Header>& headers) -> std::vector<Header>
{
    std::vector<Header> kept;
    for (const auto& header : headers) {
        if (!isOneOf(connectionHeaders, header.name_) && !isConnectionOption(headers, header.name_))
            kept.push_back(header);
    }
    return kept;
}

} // namespace sapphirepass
