#include "gateway/feeds/arrival_tracker.h"

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // A lost packet is sent again within this time.
    constexpr Duration maxPause = 400ms;
    // A declaration of a megabyte takes a second at 10 Mbit/s. A server that sends more slowly than that is no better than
    // another one.
    constexpr Duration maxArrival = 4s;
}

ArrivalTracker::ArrivalTracker(const Clock& clock)
    : clock_(clock)
{
}

auto ArrivalTracker::isArriving(Feed feed, std::uint64_t bytes) -> bool
{
    auto& state = states_.at(static_cast<std::size_t>(feed));
    const auto now = clock_.now();
    if (bytes == 0) {
        state = {};
        return false;
    }
    // Fewer bytes are those of another response.
    if (state.bytes_ == 0 || bytes < state.bytes_)
        state.begunAt_ = now;
    if (bytes != state.bytes_)
        state.progressAt_ = now;
    state.bytes_ = bytes;
    return now - state.progressAt_ < maxPause && now - state.begunAt_ < maxArrival;
}

} // namespace sapphirepass
