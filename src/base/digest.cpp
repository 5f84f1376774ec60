#include "base/digest.h"

#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <openssl/evp.h>

namespace sapphirepass {

namespace {
    constexpr std::size_t digestBytes = 32;
}

auto sha256Hex(std::string_view text) -> std::string
{
    std::array<unsigned char, digestBytes> digest {};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    std::string digits;
    boost::algorithm::hex_lower(digest.begin(), digest.end(), std::back_inserter(digits));
    return digits;
}

} // namespace sapphirepass
