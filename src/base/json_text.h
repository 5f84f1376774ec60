// Takes JSON text that somebody else wrote apart without reading its values, and reads single values within bounds: a value
// that cannot be read leaves the others readable.
#pragma once

#include "base/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

struct JsonError {
    // At most maxJsonErrorBytes.
    std::string message_;

    auto operator<=>(const JsonError&) const = default;
};

inline constexpr std::size_t maxJsonErrorBytes = 160;

// A member of an object, as text. The name is without its quotes and may hold escapes.
struct JsonMember {
    std::string_view name_;
    std::string_view value_;

    auto operator<=>(const JsonMember&) const = default;
};

struct JsonBounds {
    std::size_t bytes_ = 0;
    // Arrays and objects within each other.
    std::size_t depth_ = 0;

    auto operator<=>(const JsonBounds&) const = default;
};

// Splits at the commas of the outermost array. Of the values only quotes and brackets are checked.
auto splitJsonArray(std::string_view text) -> Result<std::vector<std::string_view>, JsonError>;
// The same for the outermost object.
auto splitJsonObject(std::string_view text) -> Result<std::vector<JsonMember>, JsonError>;
// The value of the last member with this name, as parsers take it; empty if there is none.
auto findJsonMember(const std::vector<JsonMember>& members, std::string_view name) -> std::string_view;

// Reads a value, unless it exceeds the bounds.
auto readJson(std::string_view text, const JsonBounds& bounds) -> Result<nlohmann::json, JsonError>;
// A whole number that is not negative; empty if the text is anything else.
auto readJsonNumber(std::string_view text) -> std::optional<std::int64_t>;
// A string of at most maxBytes; empty if the text is anything else.
auto readJsonString(std::string_view text, std::size_t maxBytes) -> std::optional<std::string>;

} // namespace sapphirepass
