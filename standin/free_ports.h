// Ports that the kernel reports as free.
#pragma once

#include <cstdint>
#include <vector>

namespace sapphirepass::standin {

// Distinct loopback ports. Another process may take one before it is used.
auto freePorts(std::size_t count) -> std::vector<std::uint16_t>;

} // namespace sapphirepass::standin
