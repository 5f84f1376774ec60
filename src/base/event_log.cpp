#include "base/event_log.h"

#include "base/clock.h"
#include "base/time_format.h"

#include <algorithm>
#include <atomic>
#include <cstdio>

namespace sapphirepass {

namespace {
    auto logThreshold() -> std::atomic<LogLevel>&
    {
        static std::atomic<LogLevel> level { LogLevel::Info };
        return level;
    }
}

auto describeEvent(EventId id) -> const EventDescription&
{
    const auto* row = std::find_if(eventTable.begin(), eventTable.end(), [id](const auto& entry) { return entry.id_ == id; });
    return *row;
}

auto logLevelName(LogLevel level) -> std::string_view
{
    constexpr std::array<std::string_view, 4> names { "error", "warning", "info", "debug" };
    return names.at(static_cast<std::size_t>(level));
}

auto setLogLevel(LogLevel threshold) -> void
{
    logThreshold() = threshold;
}

auto writeEvent(EventId id, std::string_view fields) -> void
{
    const auto& event = describeEvent(id);
    if (event.level_ > logThreshold())
        return;
    const auto line = fmt::format("{} {} {} {} {}\n", formatWallTime(SystemClock().wallNow()), logLevelName(event.level_),
        static_cast<int>(id), event.name_, fields);
    // A single call per line, so that lines of several threads do not interleave.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace sapphirepass
