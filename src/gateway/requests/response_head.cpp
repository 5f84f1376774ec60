#include "gateway/requests/response_head.h"

#include <algorithm>
#include <cctype>

namespace sapphirepass {

namespace {
    auto isDigit(char letter) -> bool { return std::isdigit(static_cast<unsigned char>(letter)) != 0; }

    auto holdsStatusLine(std::string_view text) -> bool
    {
        constexpr std::string_view protocol = "HTTP/1.";
        // A digit, a blank and a status.
        constexpr std::size_t restBytes = 5;
        for (auto at = text.find(protocol); at != std::string_view::npos; at = text.find(protocol, at + 1)) {
            const auto rest = text.substr(at + protocol.size(), restBytes);
            if (rest.size() == restBytes && isDigit(rest[0]) && rest[1] == ' ' && std::all_of(rest.begin() + 2, rest.end(), isDigit))
                return true;
        }
        return false;
    }
}

auto saysNotRun(const UpstreamResponse& response, const HeaderNames& names) -> bool
{
    return response.count({ names.notExecuted_.data(), names.notExecuted_.size() }) > 0 || response.result() == boost::beast::http::status::misdirected_request;
}

// If a partial response ends within a line, the next response's status line is parsed as the rest of that line. The result has
// the first status, the fields of both heads and the second body. False refusals do the most harm, so new connections are
// checked for them too.
auto findHeadFault(const UpstreamResponse& response, const HeaderNames& names, bool mayFollowPart) -> std::string_view
{
    if (response.count({ names.attempt_.data(), names.attempt_.size() }) > 1)
        return "two-ids";
    if (!mayFollowPart && !saysNotRun(response, names))
        return {};
    const auto isJoined = [](boost::beast::string_view text) { return holdsStatusLine({ text.data(), text.size() }); };
    if (isJoined(response.reason()) || std::any_of(response.begin(), response.end(), [&isJoined](const auto& field) { return isJoined(field.value()); }))
        return "joined-heads";
    return {};
}

} // namespace sapphirepass
