// Built-in reference of the command language: show kinds, show fields.
#pragma once

#include "language/query.h"

#include <optional>
#include <string_view>

namespace sapphirepass {

// Rows for the subjects "kinds" and "fields", from the field tables; no value for other subjects.
auto referenceRows(std::string_view subject) -> std::optional<Rows>;

} // namespace sapphirepass
