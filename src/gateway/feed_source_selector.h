// Decides where a feed is asked for: at one of the instances that may be followed, or at the platform itself.
#pragma once

#include "gateway/discovery_source.h"

#include <optional>

namespace sapphirepass {

// Answers peers that fail, fall silent or are behind: each failure moves on, and a feed returns to the best place only
// after some answers.
class FeedSourceSelector {
public:
    explicit FeedSourceSelector(const FeedPeers& peers);

    // The peer to ask now; nothing for the platform itself.
    auto current() const -> std::optional<SocketAddress>;
    auto noteFailure() -> void;
    auto noteAnswer() -> void;
    auto switchToPlatform() -> void;
    // Whom an instance that knows nothing yet asks after a failure, one after the other; nothing if there is nobody.
    auto nextBootstrapPeer() -> std::optional<SocketAddress>;

private:
    const FeedPeers& peers_;
    std::size_t holdersAsked_ = 0;
    std::size_t failures_ = 0;
    std::size_t answersInRow_ = 0;
};

// How far a feed has come. What it has seen never goes back.
class FeedProgress {
public:
    auto position() const -> const FeedPosition& { return position_; }
    auto noteChange(std::uint64_t number) -> void;
    // An answer that holds every change up to a number. False if more was seen before: the answer is of no use.
    auto advanceTo(std::uint64_t upTo) -> bool;

private:
    FeedPosition position_;
};

} // namespace sapphirepass
