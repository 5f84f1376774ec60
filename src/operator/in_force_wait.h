// Decides how long the client waits until a change is in force everywhere.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirepass {

// How many instances have confirmed a change.
struct InForceCount {
    std::int64_t confirmed_ = 0;
    std::int64_t total_ = 0;
    // Whether the platform lists the instance that was asked; if not, there may be more than it knows.
    bool isListed_ = true;
    std::vector<std::string> missing_;

    auto operator<=>(const InForceCount&) const = default;
};

class InForceQuestion {
public:
    virtual ~InForceQuestion() = default;
    // Nothing if the instance cannot tell.
    virtual auto ask() -> std::optional<InForceCount> = 0;
};

// Asks until all have confirmed or the time is over; the last count, or nothing if an answer cannot be had.
auto waitInForce(InForceQuestion& question, const Clock& clock, Sleeper& sleeper, Duration longest) -> std::optional<InForceCount>;

} // namespace sapphirepass
