// Table-driven fields of declared items and settings: name, bounds, and conversion from and to text.
#pragma once

#include "base/socket_address.h"
#include "base/time_format.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <fmt/format.h>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

namespace sapphirepass {

struct Bounds {
    std::int64_t min_ = 0;
    std::int64_t max_ = std::numeric_limits<std::int64_t>::max();
};

enum class Presence { Required,
    Optional };

template <typename T>
struct Field {
    std::string_view name_;
    Presence presence_;
    // Description of valid values, for error messages and the reference.
    std::string_view expected_;
    Bounds bounds_;
    // Stores the value parsed from the text; false if the text is not valid.
    auto(*parse_)(const Field& field, std::string_view text, T& item) -> bool;
    auto(*format_)(const T& item) -> std::string;
};

// Text form of an enumerator. For an enumeration E that is used as a field, choicesOf(E) returns the array of
// its choices.
template <typename E>
struct Choice {
    E value_;
    std::string_view name_;
};

// clang 14 does not support class template argument deduction for aggregates.
template <typename E>
Choice(E, const char*) -> Choice<E>;

inline auto parseNumber(std::string_view text, const Bounds& bounds) -> std::optional<std::int64_t>
{
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = failure == std::errc() && end == text.data() + text.size();
    if (!whole || number < bounds.min_ || number > bounds.max_)
        return std::nullopt;
    return number;
}

inline auto parseDecimal(std::string_view text, const Bounds& bounds) -> std::optional<double>
{
    double number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = failure == std::errc() && end == text.data() + text.size();
    if (!whole || !(number >= static_cast<double>(bounds.min_)) || !(number <= static_cast<double>(bounds.max_)))
        return std::nullopt;
    return number;
}

template <typename V>
auto parseValue(std::string_view text, const Bounds& bounds, V& value) -> bool
{
    if constexpr (std::is_same_v<V, std::int64_t>) {
        const auto number = parseNumber(text, bounds);
        value = number.value_or(value);
        return number.has_value();
    } else if constexpr (std::is_same_v<V, double>) {
        const auto number = parseDecimal(text, bounds);
        value = number.value_or(value);
        return number.has_value();
    } else if constexpr (std::is_same_v<V, std::chrono::milliseconds>) {
        const auto duration = parseDuration(text);
        const bool inside = duration && duration->count() >= bounds.min_ && duration->count() <= bounds.max_;
        value = inside ? *duration : value;
        return inside;
    } else if constexpr (std::is_same_v<V, SocketAddress>) {
        const auto address = parseSocketAddress(text);
        value = address.value_or(value);
        return address.has_value();
    } else {
        const auto& choices = choicesOf(V {});
        const auto* found = std::find_if(choices.begin(), choices.end(), [text](const auto& choice) { return choice.name_ == text; });
        value = found == choices.end() ? value : found->value_;
        return found != choices.end();
    }
}

inline auto formatValue(std::int64_t value) -> std::string { return fmt::format("{}", value); }
inline auto formatValue(double value) -> std::string { return fmt::format("{}", value); }
inline auto formatValue(std::chrono::milliseconds value) -> std::string { return formatDuration(value); }
inline auto formatValue(const SocketAddress& value) -> std::string { return formatSocketAddress(value); }

template <typename E>
requires std::is_enum_v<E>
auto formatValue(E value) -> std::string
{
    const auto& choices = choicesOf(value);
    return std::string(std::find_if(choices.begin(), choices.end(), [value](const auto& choice) { return choice.value_ == value; })->name_);
}

template <typename M>
struct MemberOf;
template <typename T, typename V>
struct MemberOf<V T::*> {
    using Owner = T;
    using Value = V;
};

template <auto Member>
using OwnerOf = typename MemberOf<decltype(Member)>::Owner;

// A field of a type that parseValue() and formatValue() support. Numbers and durations must be within the bounds.
template <auto Member>
constexpr auto valueField(std::string_view name, Presence presence, std::string_view expected, Bounds bounds = {}) -> Field<OwnerOf<Member>>
{
    using T = OwnerOf<Member>;
    return { name, presence, expected, bounds,
        [](const Field<T>& field, std::string_view text, T& item) -> bool { return parseValue(text, field.bounds_, item.*Member); },
        [](const T& item) -> std::string { return formatValue(item.*Member); } };
}

// A text field whose value must satisfy the predicate.
template <auto Member, auto Predicate>
constexpr auto textField(std::string_view name, Presence presence, std::string_view expected) -> Field<OwnerOf<Member>>
{
    using T = OwnerOf<Member>;
    return { name, presence, expected, Bounds {},
        [](const Field<T>&, std::string_view text, T& item) -> bool {
            if (!Predicate(text))
                return false;
            item.*Member = std::string(text);
            return true;
        },
        [](const T& item) -> std::string { return item.*Member; } };
}

} // namespace sapphirepass
