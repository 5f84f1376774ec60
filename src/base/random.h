// Cryptographically secure random data from OpenSSL, for identifiers, keys and salts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace sapphirepass {

// byteCount random bytes in lower-case hexadecimal digits. Both functions throw std::runtime_error if the random
// generator fails.
auto randomHex(std::size_t byteCount) -> std::string;
auto randomNumber() -> std::uint64_t;

} // namespace sapphirepass
