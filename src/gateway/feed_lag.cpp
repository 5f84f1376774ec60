#include "gateway/feed_lag.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // An instance may be in the pause in which events gather (400 ms) when others tell a change.
    constexpr Duration firstPatience = 700ms;
    // One that tells a change that never was would otherwise cause a call a second.
    constexpr Duration longestPatience = 16s;
}

FeedLag::FeedLag(const Clock& clock)
    : clock_(clock)
{
}

auto FeedLag::isOverdue(Feed feed, const FeedPosition& own, std::uint64_t newestElsewhere) -> bool
{
    auto& state = states_.at(static_cast<std::size_t>(feed));
    const auto now = clock_.now();
    if (newestElsewhere <= own.currentRevision_) {
        state = {};
        return false;
    }
    // Under a stream of changes an instance is always a little behind: what counts is one change that stays away.
    if (state.awaited_ <= own.currentRevision_) {
        state = { newestElsewhere, now + firstPatience, firstPatience };
        return false;
    }
    if (now < state.dueAt_)
        return false;
    state.patience_ = std::min(longestPatience, state.patience_ * 2);
    state.dueAt_ = now + state.patience_;
    return true;
}

} // namespace sapphirepass
