// Ports that the kernel reports as free.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirepass::standin {

// Ports of an address on loopback, none of which was returned before. Another process may take one before it is used.
auto freePorts(std::size_t count, const std::string& host = "127.0.0.1") -> std::vector<std::uint16_t>;

} // namespace sapphirepass::standin
