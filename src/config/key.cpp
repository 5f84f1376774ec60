#include "base/random.h"
#include "config/key_func.h"

#include <array>
#include <cstdint>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace sapphirepass {

namespace {
    constexpr std::size_t secretBytes = 24;
    constexpr std::size_t saltBytes = 8;
    constexpr std::size_t digestBytes = 32;
    constexpr std::size_t secretDigits = 2 * secretBytes;

    using HexDigest = std::array<char, 2 * digestBytes>;

    auto saltedHash(std::string_view salt, std::string_view secret) -> HexDigest
    {
        std::array<char, 256> input {};
        const auto saltSize = salt.copy(input.data(), 128);
        const auto secretSize = secret.copy(input.data() + saltSize, secretDigits);
        std::array<unsigned char, digestBytes> digest {};
        EVP_Digest(input.data(), saltSize + secretSize, digest.data(), nullptr, EVP_sha256(), nullptr);
        constexpr std::string_view digits = "0123456789abcdef";
        HexDigest hex {};
        for (std::size_t i = 0; i < digest.size(); ++i) {
            hex[2 * i] = digits[digest[i] >> 4];
            hex[2 * i + 1] = digits[digest[i] & 0xf];
        }
        return hex;
    }
}

auto parsePresentedKey(std::string_view bearer) -> std::optional<PresentedKey>
{
    const auto dot = bearer.rfind('.');
    if (dot == std::string_view::npos || dot == 0 || bearer.size() - dot - 1 != secretDigits)
        return std::nullopt;
    const auto secret = bearer.substr(dot + 1);
    if (secret.find_first_not_of("0123456789abcdef") != std::string_view::npos)
        return std::nullopt;
    return PresentedKey { bearer.substr(0, dot), secret };
}

auto issueKey(const std::string& name, const std::string& workspace) -> IssuedKey
{
    const auto secret = randomHex(secretBytes);
    const auto salt = randomHex(saltBytes);
    const auto hash = saltedHash(salt, secret);
    return { Key { name, workspace, salt, std::string(hash.data(), hash.size()) }, name + "." + secret };
}

auto matchesKey(const Key& key, std::string_view secret) -> bool
{
    const auto hash = saltedHash(key.salt_, secret);
    return key.hash_.size() == hash.size() && CRYPTO_memcmp(key.hash_.data(), hash.data(), hash.size()) == 0;
}

} // namespace sapphirepass
