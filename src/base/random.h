// Random bytes and numbers from OpenSSL, for identifiers, keys and salts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace sapphirepass {

// byteCount random bytes as lower-case hexadecimal digits; throws std::runtime_error if the system has none.
auto randomHex(std::size_t byteCount) -> std::string;
auto randomNumber() -> std::uint64_t;

} // namespace sapphirepass
