#include "gateway/feeds/feed_lag.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // A feed pauses for 400 ms after each change to collect further ones, so a change that others report may arrive late.
    constexpr Duration initialWait = 700ms;
    // Limit of the backoff. Without it, an instance that reports a change that never happened would cause a call a second.
    constexpr Duration maxWait = 16s;
}

FeedLag::FeedLag(const Clock& clock)
    : clock_(clock)
{
}

auto FeedLag::isOverdue(Feed feed, const FeedPosition& own, const StoreRevision& newestReported, const std::optional<StoreRevision>& followed) -> bool
{
    auto& state = states_.at(static_cast<std::size_t>(feed));
    const auto now = clock_.now();
    if (newestReported <= own.current_) {
        state = {};
        return false;
    }
    // During a stream of changes an instance is always slightly behind; only a single change that fails to arrive counts as
    // lag.
    if (state.awaitedRevision_ <= own.current_) {
        state = { newestReported, now + initialWait, initialWait };
        return false;
    }
    // The followed instance asks the platform itself when the change is overdue there. If all of its followers did so at the
    // same moment, a large change would reach them later than through it.
    const bool isSourceBehind = followed && *followed < state.awaitedRevision_;
    if (now < state.dueAt_ + (isSourceBehind ? initialWait : Duration::zero()))
        return false;
    state.wait_ = std::min(maxWait, state.wait_ * 2);
    state.dueAt_ = now + state.wait_;
    return true;
}

} // namespace sapphirepass
