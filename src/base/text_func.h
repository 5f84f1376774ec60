// String helpers.
#pragma once

#include <boost/algorithm/string.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

inline auto equalsIgnoreCase(std::string_view a, std::string_view b) -> bool
{
    return boost::algorithm::iequals(a, b);
}

inline auto containsText(std::string_view text, std::string_view part) -> bool
{
    return text.find(part) != std::string_view::npos;
}

inline auto splitText(std::string_view text, char separator) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, [separator](char c) { return c == separator; });
    return parts;
}

} // namespace sapphirepass
