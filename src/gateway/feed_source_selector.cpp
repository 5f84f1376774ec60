#include "gateway/feed_source_selector.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Answers in a row after which a feed returns to the best place: more than one change, so that a place that fails
    // often is not asked each time.
    constexpr std::size_t answersToReturn = 4;
}

FeedSourceSelector::FeedSourceSelector(const FeedPeers& peers)
    : peers_(peers)
{
}

// The peers and the platform take turns; the platform comes last.
auto FeedSourceSelector::current() const -> std::optional<SocketAddress>
{
    const auto peers = peers_.peers();
    const auto turn = failures_ % (peers.size() + 1);
    return turn < peers.size() ? std::optional(peers[turn]) : std::nullopt;
}

auto FeedSourceSelector::noteFailure() -> void
{
    ++failures_;
    answersInRow_ = 0;
}

auto FeedSourceSelector::noteAnswer() -> void
{
    if (failures_ == 0 || ++answersInRow_ < answersToReturn)
        return;
    failures_ = 0;
    answersInRow_ = 0;
}

auto FeedSourceSelector::switchToPlatform() -> void
{
    failures_ = peers_.peers().size();
    answersInRow_ = 0;
}

auto FeedSourceSelector::nextBootstrapPeer() -> std::optional<SocketAddress>
{
    const auto holders = peers_.bootstrapPeers();
    if (holders.empty())
        return std::nullopt;
    return holders[holdersAsked_++ % holders.size()];
}

auto FeedProgress::noteChange(std::uint64_t number) -> void
{
    position_.lastChangeRevision_ = std::max(position_.lastChangeRevision_, number);
}

auto FeedProgress::advanceTo(std::uint64_t upTo) -> bool
{
    if (upTo < position_.currentRevision_)
        return false;
    position_.currentRevision_ = upTo;
    return true;
}

} // namespace sapphirepass
