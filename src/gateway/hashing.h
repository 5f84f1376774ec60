// Hashes that are the same on every instance.
#pragma once

#include <cstdint>
#include <string_view>
#include <xxhash.h>

namespace sapphirepass {

inline auto stableHash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), seed);
}

// Weight of an owner for an object in rendezvous hashing; the owner with the highest weight owns the object.
inline auto rendezvousWeight(std::uint64_t object, std::string_view owner) -> std::uint64_t
{
    return stableHash(owner, object);
}

} // namespace sapphirepass
