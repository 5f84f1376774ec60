#include "gateway/upstream_notice.h"

#include <charconv>
#include <cmath>
#include <string_view>

namespace sapphirepass {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {
    // A pause that lasts longer is cut, so that a corrupted value does not lose an upstream for good.
    constexpr Duration maxPause = 10min;

    auto trimmed(boost::beast::string_view text) -> std::string_view
    {
        constexpr std::string_view blanks = " \t";
        const std::string_view view { text.data(), text.size() };
        const auto first = view.find_first_not_of(blanks);
        return first == std::string_view::npos ? std::string_view() : view.substr(first, view.find_last_not_of(blanks) - first + 1);
    }

    // Seconds, which may include a fraction; dates are not used on this platform.
    auto parseSeconds(std::string_view text) -> std::optional<double>
    {
        double seconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
        const bool isOverflow = error == std::errc::result_out_of_range;
        if ((error != std::errc() && !isOverflow) || end != text.data() + text.size() || text.front() == '-' || std::isnan(seconds))
            return std::nullopt;
        return isOverflow ? inSeconds(maxPause) : seconds;
    }
}

auto readNotice(const UpstreamResponse& response, const HeaderNames& names) -> UpstreamNotice
{
    UpstreamNotice notice;
    if (response.result() == http::status::misdirected_request)
        return notice;
    notice.isLeaving_ = trimmed(response[{ names.leaving_.data(), names.leaving_.size() }]) == "1";
    if (response.result() != http::status::service_unavailable || response.count(http::field::retry_after) == 0)
        return notice;
    const auto seconds = parseSeconds(trimmed(response[http::field::retry_after]));
    notice.isPauseInvalid_ = !seconds;
    if (seconds && *seconds > 0)
        notice.pause_ = fromSeconds(std::min(*seconds, inSeconds(maxPause)));
    return notice;
}

} // namespace sapphirepass
