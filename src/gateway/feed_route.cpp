#include "gateway/feed_route.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Answers in a row after which a feed returns to the best place: more than one change, so that a place that fails
    // often is not asked each time.
    constexpr std::size_t answersToReturn = 4;
}

FeedRoute::FeedRoute(const NewsPeers& peers)
    : peers_(peers)
{
}

// The peers and the platform take turns; the platform comes last.
auto FeedRoute::current() const -> std::optional<SocketAddress>
{
    const auto peers = peers_.peers();
    const auto turn = failures_ % (peers.size() + 1);
    return turn < peers.size() ? std::optional(peers[turn]) : std::nullopt;
}

auto FeedRoute::noteFailure() -> void
{
    ++failures_;
    answersInRow_ = 0;
}

auto FeedRoute::noteAnswer() -> void
{
    if (failures_ == 0 || ++answersInRow_ < answersToReturn)
        return;
    failures_ = 0;
    answersInRow_ = 0;
}

auto FeedRoute::turnToPlatform() -> void
{
    failures_ = peers_.peers().size();
    answersInRow_ = 0;
}

auto FeedRoute::nextHolder() -> std::optional<SocketAddress>
{
    const auto holders = peers_.holders();
    if (holders.empty())
        return std::nullopt;
    return holders[holdersAsked_++ % holders.size()];
}

auto FeedProgress::noteChange(std::uint64_t number) -> void
{
    position_.newestChange_ = std::max(position_.newestChange_, number);
}

auto FeedProgress::noteSeen(std::uint64_t upTo) -> bool
{
    if (upTo < position_.seenUpTo_)
        return false;
    position_.seenUpTo_ = upTo;
    return true;
}

} // namespace sapphirepass
