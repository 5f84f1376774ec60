#include "gateway/source_keepalive.h"

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // An upstream may become cold, or lapse, at any moment of an outage: nothing tells of either before the outage itself
    // is known. A sign of life costs a tenth of a call.
    constexpr Duration quiet = 600ms;
}

SourceKeepalive::SourceKeepalive(const Clock& clock)
    : clock_(clock)
    , quietSince_(clock.now())
{
}

// A watch that waits is silent in calm and in an outage alike.
auto SourceKeepalive::isProbeDue(std::uint64_t answers) -> bool
{
    const auto now = clock_.now();
    const bool heard = answers != answers_;
    answers_ = answers;
    const bool isQuiet = !heard && now - quietSince_ >= quiet;
    if (heard || isQuiet)
        quietSince_ = now;
    return isQuiet;
}

} // namespace sapphirepass
