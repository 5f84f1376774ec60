#include "operator/in_force_wait.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Time between two questions: a change is in force within about a tenth of a second in calm.
    constexpr Duration askPause = 100ms;
}

auto waitInForce(InForceQuestion& question, const Clock& clock, Sleeper& sleeper, Duration longest) -> std::optional<InForceCount>
{
    const auto end = clock.now() + longest;
    while (true) {
        auto count = question.ask();
        if (!count || count->confirmed_ >= count->total_)
            return count;
        const auto now = clock.now();
        if (now >= end)
            return count;
        sleeper.sleepFor(std::min(askPause, Duration(end - now)));
    }
}

} // namespace sapphirepass
