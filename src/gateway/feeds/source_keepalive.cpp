#include "gateway/feeds/source_keepalive.h"

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Time without an answer before a probe. An upstream may become cold or expire at any moment of an outage, and neither
    // is noticed before the outage itself is. A probe costs a tenth of a call.
    constexpr Duration idleBeforeProbe = 600ms;
}

SourceKeepalive::SourceKeepalive(const Clock& clock)
    : clock_(clock)
    , idleSince_(clock.now())
{
}

// A waiting watch is silent in normal operation and in an outage alike, so only a probe tells them apart.
auto SourceKeepalive::isProbeDue(std::uint64_t answers) -> bool
{
    const auto now = clock_.now();
    const bool hasAnswered = answers != answers_;
    answers_ = answers;
    const bool isDue = !hasAnswered && now - idleSince_ >= idleBeforeProbe;
    if (hasAnswered || isDue)
        idleSince_ = now;
    return isDue;
}

} // namespace sapphirepass
