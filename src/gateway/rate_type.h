// Messages about the common tokens of a workspace's rate.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphirepass {

// Asks the keeper of a workspace's common tokens for some of them.
struct RateAsk {
    std::uint64_t number_ = 0;
    std::string workspace_;
    std::uint16_t wanted_ = 0;

    auto operator<=>(const RateAsk&) const = default;
};

struct RateGrant {
    // Of the ask that it answers.
    std::uint64_t number_ = 0;
    std::string workspace_;
    std::uint16_t granted_ = 0;
    // When there may be more, if none was granted.
    std::chrono::milliseconds retryAfter_ {};

    auto operator<=>(const RateGrant&) const = default;
};

} // namespace sapphirepass
