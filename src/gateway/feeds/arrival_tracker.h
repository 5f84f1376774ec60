// Tells responses that are still arriving from those that have stopped to.
#pragma once

#include "base/clock.h"
#include "gateway/feeds/discovery_source.h"

#include <array>

namespace sapphirepass {

class ArrivalTracker {
public:
    explicit ArrivalTracker(const Clock& clock);

    // Whether some of the feed's response has arrived lately, given its bytes so far; 0 if none has come. Called several times
    // a second.
    auto isArriving(Feed feed, std::uint64_t bytes) -> bool;

private:
    struct State {
        std::uint64_t bytes_ = 0;
        MonotonicTime begunAt_ {};
        MonotonicTime progressAt_ {};
    };

    const Clock& clock_;
    std::array<State, allFeeds.size()> states_ {};
};

} // namespace sapphirepass
