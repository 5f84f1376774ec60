// A limit on requests per second over all instances, and the messages between instances about its shared token bucket.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sapphirepass {

struct RateLimit {
    double perSecond_ = 0;
    double burst_ = 0;

    auto operator<=>(const RateLimit&) const = default;
};

// Requests tokens from the coordinator of a bucket.
struct RateAsk {
    std::uint64_t number_ = 0;
    // Name of the bucket; that of its workspace, for the rate of a workspace.
    std::string bucket_;
    std::uint16_t wanted_ = 0;

    auto operator<=>(const RateAsk&) const = default;
};

struct RateGrant {
    // Number of the RateAsk that this answers.
    std::uint64_t number_ = 0;
    std::string bucket_;
    std::uint16_t granted_ = 0;
    // When tokens may be available again, if none were granted.
    std::chrono::milliseconds retryAfter_ {};

    auto operator<=>(const RateGrant&) const = default;
};

} // namespace sapphirepass
