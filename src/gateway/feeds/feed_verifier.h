// Decides when to verify that a feed which waits for changes has missed none.
#pragma once

#include "base/clock.h"
#include "gateway/feeds/discovery_source.h"

#include <array>
#include <optional>

namespace sapphirepass {

// A watch that the platform has taken and will never answer looks like one without changes. Any answer of the platform
// names its newest revision; a feed that has not come so far is verified by a short call beside its watch.
class FeedVerifier {
public:
    explicit FeedVerifier(const Clock& clock);

    using Positions = std::array<FeedPosition, allFeeds.size()>;

    // Whether to verify the feed now, given the positions of all feeds and the newest revision that any answer of the platform
    // has named. Called several times a second.
    auto isDue(Feed feed, const Positions& positions, const StoreRevision& newest) -> bool;
    // For how long the platform has been known to be ahead of the feed; zero if it is not.
    auto unverifiedFor(Feed feed) const -> Duration;

private:
    struct State {
        // Every change up to this revision has been received, or was a change of another feed.
        StoreRevision coveredUpTo_;
        std::optional<MonotonicTime> aheadSince_;
        MonotonicTime nextAt_ {};
    };

    auto cover(State& state, const FeedPosition& own, const Positions& positions) const -> void;

    const Clock& clock_;
    std::array<State, allFeeds.size()> states_ {};
};

} // namespace sapphirepass
