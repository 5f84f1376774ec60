// Conversion of times and durations from and to text.
#pragma once

#include "base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirepass {

// ISO 8601 in UTC, with milliseconds.
auto formatWallTime(WallTime time) -> std::string;
// Parses a number with a unit of ms, s, m, h or d, such as 2.5s. A fraction has at most three digits and must come out
// in whole milliseconds. No value if the text is malformed or out of range.
auto parseDuration(std::string_view text) -> std::optional<std::chrono::milliseconds>;
// The exact duration in the largest unit that gives a whole number; parseDuration() parses it.
auto formatDuration(std::chrono::milliseconds duration) -> std::string;

} // namespace sapphirepass
