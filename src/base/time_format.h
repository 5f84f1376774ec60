// Text forms of times and durations.
#pragma once

#include "base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirepass {

// ISO 8601 with milliseconds, in UTC.
auto formatWallTime(WallTime time) -> std::string;
// A whole number with a unit: ms, s, m, h or d. Nothing if the text is not of that form or does not fit.
auto parseDuration(std::string_view text) -> std::optional<std::chrono::milliseconds>;
// The shortest exact form that parseDuration() reads.
auto formatDuration(std::chrono::milliseconds duration) -> std::string;

} // namespace sapphirepass
