#include "gateway/feeds/feed_verifier.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // A watch that lives brings the change within a round trip.
    constexpr Duration firstWait = 200ms;
    // Between two verifications, as each is a call to the platform.
    constexpr Duration interval = 600ms;
}

FeedVerifier::FeedVerifier(const Clock& clock)
    : clock_(clock)
{
}

// A revision is one change of one object, so a change that another feed has received is none of this one. That spares most
// calls, as changes mostly come one by one.
auto FeedVerifier::cover(State& state, const FeedPosition& own, const Positions& positions) const -> void
{
    state.coveredUpTo_ = std::max(state.coveredUpTo_, own.current_);
    const StoreRevision next { state.coveredUpTo_.era_, state.coveredUpTo_.number_ + 1 };
    if (std::any_of(positions.begin(), positions.end(), [&next](const auto& position) { return position.lastChange_ == next; }))
        state.coveredUpTo_ = next;
}

auto FeedVerifier::isDue(Feed feed, const Positions& positions, const StoreRevision& newest) -> bool
{
    auto& state = states_.at(static_cast<std::size_t>(feed));
    const auto now = clock_.now();
    cover(state, positions.at(static_cast<std::size_t>(feed)), positions);
    if (newest <= state.coveredUpTo_) {
        state.aheadSince_.reset();
        return false;
    }
    if (!state.aheadSince_) {
        state.aheadSince_ = now;
        state.nextAt_ = std::max(state.nextAt_, now + firstWait);
    }
    if (now < state.nextAt_)
        return false;
    state.nextAt_ = now + interval;
    return true;
}

auto FeedVerifier::unverifiedFor(Feed feed) const -> Duration
{
    const auto& since = states_.at(static_cast<std::size_t>(feed)).aheadSince_;
    return since ? clock_.now() - *since : Duration::zero();
}

} // namespace sapphirepass
