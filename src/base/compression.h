// Zstandard compression of texts, alone or against a dictionary: an earlier text that both sides hold.
#pragma once

#include "base/result.h"

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>

namespace sapphirepass {

struct CompressionError {
    std::string message_;

    auto operator<=>(const CompressionError&) const = default;
};

// The dictionary may be empty. Throws std::bad_alloc if there is no memory.
auto compressText(std::string_view text, std::string_view dictionary) -> std::string;
// Fails if the bytes are damaged, were compressed against another dictionary, or hold a text of more than maxBytes.
auto decompressText(std::string_view bytes, std::string_view dictionary, std::size_t maxBytes) -> Result<std::string, CompressionError>;

} // namespace sapphirepass
