// Writes numbered events to standard error, one line each:
// 2026-12-03T10:00:00.000Z info 100 entry-started instance=e1 address=127.0.0.1:8001
#pragma once

#include "base/event_type.h"

#include <fmt/format.h>
#include <string>
#include <string_view>

namespace sapphirepass {

auto describeEvent(EventId id) -> const EventDescription&;
auto logLevelName(LogLevel level) -> std::string_view;
// Suppresses events that are less severe than the threshold. Thread-safe.
auto setLogLevel(LogLevel threshold) -> void;
auto writeEvent(EventId id, std::string_view fields) -> void;

// The format consists of key=value fields separated by spaces.
template <typename... Args>
auto logEvent(EventId id, fmt::format_string<Args...> format, Args&&... args) -> void
{
    writeEvent(id, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace sapphirepass
