// The resident memory of the test's own process.
#pragma once

#include <cstddef>

namespace sapphirepass::standin {

auto residentMb() -> std::size_t;

} // namespace sapphirepass::standin
