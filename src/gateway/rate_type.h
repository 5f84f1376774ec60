// Messages between instances about the shared token bucket of a workspace.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphirepass {

// Requests tokens from the coordinator of a workspace.
struct RateAsk {
    std::uint64_t number_ = 0;
    std::string workspace_;
    std::uint16_t wanted_ = 0;

    auto operator<=>(const RateAsk&) const = default;
};

struct RateGrant {
    // Number of the RateAsk that this answers.
    std::uint64_t number_ = 0;
    std::string workspace_;
    std::uint16_t granted_ = 0;
    // When tokens may be available again, if none were granted.
    std::chrono::milliseconds retryAfter_ {};

    auto operator<=>(const RateGrant&) const = default;
};

} // namespace sapphirepass
