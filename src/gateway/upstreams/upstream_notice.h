// What an upstream says about itself in a response: that it is leaving, that it wants no requests for a while, or how many it
// takes.
#pragma once

#include "gateway/requests/header_names.h"
#include "gateway/requests/upstream_caller.h"

#include <optional>

namespace sapphirepass {

struct UpstreamNotice {
    // The upstream is about to end; it must get no further requests under this start.
    bool isLeaving_ = false;
    // For this long after the response, the upstream wants no requests from this instance.
    std::optional<Duration> pause_;
    // A pause was given but could not be read.
    bool isPauseInvalid_ = false;
    // Requests per second that the upstream takes from all instances together.
    std::optional<double> limit_;
    // A limit was named but could not be read.
    bool isLimitInvalid_ = false;

    auto operator<=>(const UpstreamNotice&) const = default;
};

// Reads the notice in a response; an empty one if the response does not come from the expected upstream (421).
auto readNotice(const UpstreamResponse& response, const HeaderNames& names) -> UpstreamNotice;

} // namespace sapphirepass
