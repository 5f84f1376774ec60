// Return values that hold either a value or a typed error.
#pragma once

#include <utility>
#include <variant>

namespace sapphirepass {

// Either a value of type T or an error of type E. T and E must differ.
template <typename T, typename E>
using Result = std::variant<T, E>;

// Success value of operations that return nothing else.
struct Done {
    auto operator<=>(const Done&) const = default;
};

template <typename T, typename E>
auto isOk(const Result<T, E>& result) -> bool
{
    return result.index() == 0;
}

// The value of a successful result; throws std::bad_variant_access on an error.
template <typename T, typename E>
auto valueOf(const Result<T, E>& result) -> const T&
{
    return std::get<0>(result);
}

template <typename T, typename E>
auto valueOf(Result<T, E>&& result) -> T
{
    return std::get<0>(std::move(result));
}

// The error of a failed result; throws std::bad_variant_access on a value.
template <typename T, typename E>
auto errorOf(const Result<T, E>& result) -> const E&
{
    return std::get<1>(result);
}

} // namespace sapphirepass
