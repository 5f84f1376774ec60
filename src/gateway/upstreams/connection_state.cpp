#include "gateway/upstreams/connection_state.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Time before the stated end from which a connection is not used any more. A request must not cross the upstream's close,
    // also after a short freeze of either machine.
    constexpr Duration closeMargin = 1s;
    // Where the upstream states no time.
    constexpr Duration assumedIdle = 4s;
}

auto reusableTime(std::optional<Duration> statedIdle, ConnectionReuse reuse) -> Duration
{
    const auto half = statedIdle.value_or(assumedIdle) / 2;
    return statedIdle && reuse == ConnectionReuse::Long ? std::max<Duration>(half, *statedIdle - closeMargin) : half;
}

} // namespace sapphirepass
