#include "gateway/upstreams/upstream_notice.h"

#include <algorithm>
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

    // A limit above this is none in practice.
    constexpr double maxLimitPerSecond = 1e6;

    // A decimal number, which may include a fraction; at most the given one.
    auto parseDecimal(std::string_view text, double highest) -> std::optional<double>
    {
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
        const bool isOverflow = error == std::errc::result_out_of_range;
        if ((error != std::errc() && !isOverflow) || end != text.data() + text.size() || text.front() == '-' || std::isnan(number))
            return std::nullopt;
        return isOverflow ? highest : std::min(number, highest);
    }

    // Of several limits the lowest counts.
    auto readLimit(const UpstreamResponse& response, const std::string& name, UpstreamNotice& notice) -> void
    {
        const auto [first, last] = response.equal_range({ name.data(), name.size() });
        for (auto field = first; field != last; ++field) {
            const auto limit = parseDecimal(trimmed(field->value()), maxLimitPerSecond);
            if (limit)
                notice.limit_ = std::min(*limit, notice.limit_.value_or(*limit));
            else
                notice.isLimitInvalid_ = true;
        }
    }
}

auto readNotice(const UpstreamResponse& response, const HeaderNames& names) -> UpstreamNotice
{
    UpstreamNotice notice;
    if (response.result() == http::status::misdirected_request)
        return notice;
    notice.isLeaving_ = trimmed(response[{ names.leaving_.data(), names.leaving_.size() }]) == "1";
    readLimit(response, names.limit_, notice);
    if (response.result() != http::status::service_unavailable || response.count(http::field::retry_after) == 0)
        return notice;
    const auto seconds = parseDecimal(trimmed(response[http::field::retry_after]), inSeconds(maxPause));
    notice.isPauseInvalid_ = !seconds;
    if (seconds && *seconds > 0)
        notice.pause_ = fromSeconds(*seconds);
    return notice;
}

} // namespace sapphirepass
