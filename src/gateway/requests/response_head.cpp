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

// A part that ends within a line takes the status line of the response behind it for the rest of that line. What is parsed has
// the earlier status, the fields of both and the later body.
auto findHeadFault(const UpstreamResponse& response, const std::string& idHeader, bool mayFollowPart) -> std::string_view
{
    if (response.count({ idHeader.data(), idHeader.size() }) > 1)
        return "two-ids";
    if (!mayFollowPart)
        return {};
    const auto isJoined = [](boost::beast::string_view text) { return holdsStatusLine({ text.data(), text.size() }); };
    if (isJoined(response.reason()) || std::any_of(response.begin(), response.end(), [&isJoined](const auto& field) { return isJoined(field.value()); }))
        return "joined-heads";
    return {};
}

} // namespace sapphirepass
