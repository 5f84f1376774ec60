// 64-bit numbers as sixteen hexadecimal digits.
#pragma once

#include <charconv>
#include <cstdint>
#include <fmt/format.h>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirepass {

inline constexpr std::size_t hex64Digits = 16;

inline auto formatHex64(std::uint64_t number) -> std::string
{
    return fmt::format("{:016x}", number);
}

inline auto parseHex64(std::string_view text) -> std::optional<std::uint64_t>
{
    constexpr int base = 16;
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (failure != std::errc() || end != text.data() + text.size() || text.size() != hex64Digits)
        return std::nullopt;
    return number;
}

} // namespace sapphirepass
