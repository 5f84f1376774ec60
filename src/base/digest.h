// SHA-256 digests.
#pragma once

#include <string>
#include <string_view>

namespace sapphirepass {

// In lower-case hexadecimal digits.
auto sha256Hex(std::string_view text) -> std::string;

} // namespace sapphirepass
