// Identity of an instance process. The incarnation distinguishes successive processes with the same name.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sapphirepass {

struct InstanceId {
    std::string name_;
    // Random number generated at process start.
    std::uint64_t incarnation_ = 0;

    auto operator<=>(const InstanceId&) const = default;
};

} // namespace sapphirepass
