// Detects feeds that lag behind: other instances have applied changes that this instance has not received.
#pragma once

#include "base/clock.h"
#include "gateway/feeds/discovery_source.h"

#include <array>
#include <optional>

namespace sapphirepass {

class FeedLag {
public:
    explicit FeedLag(const Clock& clock);

    // Whether the feed should be reconnected now, given the newest revision that other instances report, and the newest one
    // that the followed instance reports; empty if the feed follows none or none that is alive. Each time it is due, the wait
    // before the next reconnection doubles.
    auto isOverdue(Feed feed, const FeedPosition& own, const StoreRevision& newestReported, const std::optional<StoreRevision>& followed = std::nullopt) -> bool;

private:
    struct State {
        // Reported revision that has not arrived yet; 0 for none.
        StoreRevision awaitedRevision_;
        MonotonicTime dueAt_ {};
        Duration wait_ {};
    };

    const Clock& clock_;
    std::array<State, allFeeds.size()> states_ {};
};

} // namespace sapphirepass
