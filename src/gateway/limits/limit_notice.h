// The limit that an upstream has named, as one instance tells another.
#pragma once

#include "gateway/limits/rate_type.h"

#include <optional>

namespace sapphirepass {

struct LimitNotice {
    std::string upstream_;
    // The start of the upstream that named it.
    std::int64_t startTimeMs_ = 0;
    // Requests per second from all instances together; empty if the upstream names none any more.
    std::optional<double> perSecond_;
    // Age of the observation, counted from the sending of its request.
    std::chrono::milliseconds age_ {};

    auto operator<=>(const LimitNotice&) const = default;
};

// Requests tokens for an upstream. If none are wanted, it only announces the limit.
struct LimitAsk {
    RateAsk ask_;
    LimitNotice notice_;

    auto operator<=>(const LimitAsk&) const = default;
};

// The grant, and the limit that the coordinator knows.
struct LimitGrant {
    RateGrant grant_;
    LimitNotice notice_;

    auto operator<=>(const LimitGrant&) const = default;
};

} // namespace sapphirepass
