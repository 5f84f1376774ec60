// Finds feeds that have fallen behind: the other instances have taken in changes that did not come here.
#pragma once

#include "base/clock.h"
#include "gateway/discovery_source.h"

#include <array>

namespace sapphirepass {

class FeedLag {
public:
    explicit FeedLag(const Clock& clock);

    // Whether the feed should be asked for anew, given the newest change that others have told.
    auto isOverdue(Feed feed, const FeedPosition& own, std::uint64_t newestElsewhere) -> bool;

private:
    struct State {
        // A change that others have told and that is waited for; 0 for none.
        std::uint64_t awaited_ = 0;
        MonotonicTime dueAt_ {};
        Duration patience_ {};
    };

    const Clock& clock_;
    std::array<State, allFeeds.size()> states_ {};
};

} // namespace sapphirepass
