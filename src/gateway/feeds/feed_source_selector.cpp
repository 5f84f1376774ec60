#include "gateway/feeds/feed_source_selector.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Consecutive answers after which a feed returns to the preferred server. More than one, so that a server that fails
    // often is not asked each time.
    constexpr std::size_t answersBeforeReturn = 4;
}

FeedSourceSelector::FeedSourceSelector(const FeedPeers& peers)
    : peers_(peers)
{
}

// Each failure moves on by one: through the peers, then the platform, then the first peer again.
auto FeedSourceSelector::current() const -> std::optional<SocketAddress>
{
    const auto peers = peers_.peers();
    const auto index = failures_ % (peers.size() + 1);
    return index < peers.size() ? std::optional(peers[index]) : std::nullopt;
}

auto FeedSourceSelector::noteFailure() -> void
{
    ++failures_;
    consecutiveAnswers_ = 0;
}

auto FeedSourceSelector::noteAnswer() -> void
{
    if (failures_ == 0 || ++consecutiveAnswers_ < answersBeforeReturn)
        return;
    failures_ = 0;
    consecutiveAnswers_ = 0;
}

auto FeedSourceSelector::switchToPlatform() -> void
{
    failures_ = peers_.peers().size();
    consecutiveAnswers_ = 0;
}

auto FeedSourceSelector::nextBootstrapPeer() -> std::optional<SocketAddress>
{
    const auto candidates = peers_.bootstrapPeers();
    if (candidates.empty())
        return std::nullopt;
    return candidates[bootstrapAttempts_++ % candidates.size()];
}

auto FeedProgress::recordEra(std::uint64_t era) -> EraOrder
{
    const auto known = position_.current_.era_;
    if (era == known)
        return EraOrder::Same;
    if (era < known)
        return EraOrder::Older;
    position_ = { { era, 0 }, { era, 0 } };
    return EraOrder::Newer;
}

auto FeedProgress::noteChange(std::uint64_t number) -> void
{
    position_.lastChange_.number_ = std::max(position_.lastChange_.number_, number);
}

auto FeedProgress::advanceTo(std::uint64_t revision) -> bool
{
    if (revision < position_.current_.number_)
        return false;
    position_.current_.number_ = revision;
    return true;
}

} // namespace sapphirepass
