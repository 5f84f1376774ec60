// Selects the server that a feed is read from: another instance or the platform.
#pragma once

#include "gateway/feeds/discovery_source.h"

#include <optional>

namespace sapphirepass {

// Handles peers that fail, stop answering or lag behind: each failure moves on to the next server, and the feed returns
// to the preferred one only after several consecutive answers.
class FeedSourceSelector {
public:
    explicit FeedSourceSelector(const FeedPeers& peers);

    // The peer to read from now; empty for the platform.
    auto current() const -> std::optional<SocketAddress>;
    auto noteFailure() -> void;
    auto noteAnswer() -> void;
    auto switchToPlatform() -> void;
    // The peer to get newer state from, for an instance that has received its state from a peer only. Empty if none has any.
    auto newerPeer(Feed feed, const StoreRevision& known) const -> std::optional<SocketAddress> { return peers_.newerPeer(feed, known); }
    // The peer to get the initial state from, for an instance that has none yet when a call fails. Goes through all
    // candidates in turn; empty if there are none.
    auto nextBootstrapPeer() -> std::optional<SocketAddress>;

private:
    const FeedPeers& peers_;
    std::size_t bootstrapAttempts_ = 0;
    std::size_t failures_ = 0;
    std::size_t consecutiveAnswers_ = 0;
};

// How the era of an answer compares with the one that is known.
enum class EraOrder { Older,
    Same,
    Newer };

// Tracks the progress of a feed. Within an era it only moves forward, and eras only rise.
class FeedProgress {
public:
    auto position() const -> const FeedPosition& { return position_; }
    // Compares the era that an answer names. A newer one is taken over, and the position in the earlier era is void; an
    // answer of an older one is stale and must be discarded.
    auto recordEra(std::uint64_t era) -> EraOrder;
    // Takes note of an applied change, by its revision number.
    auto noteChange(std::uint64_t number) -> void;
    // Takes note of an answer with all changes up to a revision. False if the feed is already past it, in which case the
    // answer is stale and must be discarded.
    auto advanceTo(std::uint64_t revision) -> bool;

private:
    FeedPosition position_;
};

} // namespace sapphirepass
