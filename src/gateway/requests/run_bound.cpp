#include "gateway/requests/run_bound.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    struct Caution {
        // Part of the runs that may exceed the bound.
        double tail_ = 0;
        // While too few runs are known to tell the tail: multiple of the longest, or of the latency target if that is shorter.
        double factor_ = 0;
    };

    // The caller of an idempotent request that is cut sends it again: it is late, but not lost.
    constexpr Caution idempotentCaution { 0.05, 2 };
    constexpr Caution onceCaution { 0.01, 2.75 };

    auto cautionFor(RepeatRule repeat) -> const Caution& { return repeat == RepeatRule::Idempotent ? idempotentCaution : onceCaution; }
}

auto runBound(const RunQuantiles& runs, const std::string& route, RepeatRule repeat, Duration latencyTarget) -> Duration
{
    const auto& caution = cautionFor(repeat);
    const auto atLeast = [&caution](Duration run) { return std::chrono::duration_cast<Duration>(run * caution.factor_); };
    // While few are known, this is the longest.
    const auto longest = runs.exceededBy(route, caution.tail_);
    if (!longest)
        return atLeast(latencyTarget);
    const bool isTailKnown = runs.count(route) * caution.tail_ >= 1;
    return isTailKnown ? *longest : std::max(*longest, atLeast(std::min(*longest, latencyTarget)));
}

} // namespace sapphirepass
