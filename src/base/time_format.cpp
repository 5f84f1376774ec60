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
    const auto [rest, failure] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (failure != std::errc() || count < 0)
        return std::nullopt;
    const std::string_view suffix(rest, text.data() + text.size() - rest);
    for (const auto& unit : units) {
        if (suffix != unit.name_)
            continue;
        if (count > std::numeric_limits<std::int64_t>::max() / unit.milliseconds_ / 1'000'000)
            return std::nullopt;
        return std::chrono::milliseconds(count * unit.milliseconds_);
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
