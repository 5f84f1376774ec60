#include "base/time_format.h"

#include <array>
#include <charconv>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <limits>

namespace sapphirepass {

namespace {
    struct Unit {
        std::string_view name_;
        std::int64_t milliseconds_;
    };

    constexpr std::array units {
        Unit { "d", 86'400'000 },
        Unit { "h", 3'600'000 },
        Unit { "m", 60'000 },
        Unit { "s", 1'000 },
        Unit { "ms", 1 },
    };
}

auto formatWallTime(WallTime time) -> std::string
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto millis = (time - seconds).count();
    const std::time_t epoch = seconds.time_since_epoch().count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(epoch), millis);
}

auto parseDuration(std::string_view text) -> std::optional<std::chrono::milliseconds>
{
    std::int64_t count = 0;
    const char* end = text.data() + text.size();
    auto [rest, failure] = std::from_chars(text.data(), end, count);
    if (failure != std::errc() || count < 0)
        return std::nullopt;
    std::int64_t fraction = 0;
    std::int64_t scale = 1;
    if (rest != end && *rest == '.') {
        const auto [after, bad] = std::from_chars(rest + 1, end, fraction);
        if (bad != std::errc() || fraction < 0 || after == rest + 1 || after > rest + 4)
            return std::nullopt;
        for (auto digits = after - rest - 1; digits > 0; --digits)
            scale *= 10;
        rest = after;
    }
    const std::string_view suffix(rest, end - rest);
    for (const auto& unit : units) {
        if (suffix != unit.name_)
            continue;
        if (count > std::numeric_limits<std::int64_t>::max() / unit.milliseconds_ / 1'000'000 || fraction * unit.milliseconds_ % scale != 0)
            return std::nullopt;
        return std::chrono::milliseconds(count * unit.milliseconds_ + fraction * unit.milliseconds_ / scale);
    }
    return std::nullopt;
}

auto formatDuration(std::chrono::milliseconds duration) -> std::string
{
    for (const auto& unit : units) {
        if (duration.count() != 0 && duration.count() % unit.milliseconds_ == 0)
            return fmt::format("{}{}", duration.count() / unit.milliseconds_, unit.name_);
    }
    return "0ms";
}

} // namespace sapphirepass
