#include "base/random.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/rand.h>
#include <stdexcept>
#include <vector>

namespace sapphirepass {

namespace {
    auto fillRandom(unsigned char* bytes, std::size_t count) -> void
    {
        if (RAND_bytes(bytes, static_cast<int>(count)) != 1)
            throw std::runtime_error("the system's random generator failed");
    }
}

auto randomHex(std::size_t byteCount) -> std::string
{
    std::vector<unsigned char> bytes(byteCount);
    fillRandom(bytes.data(), bytes.size());
    return fmt::format("{:02x}", fmt::join(bytes, ""));
}

auto randomNumber() -> std::uint64_t
{
    std::uint64_t number = 0;
    fillRandom(reinterpret_cast<unsigned char*>(&number), sizeof number);
    return number;
}

} // namespace sapphirepass
