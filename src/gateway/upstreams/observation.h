// What one response has shown about the upstream that sent it, as instances tell each other.
#pragma once

#include "gateway/upstreams/upstream_type.h"

#include <compare>
#include <cstdint>

namespace sapphirepass {

// Immutable once made.
struct Observation {
    // Key of the upstream's start, see upstreamKey().
    UpstreamKey upstream_ = 0;
    // Hash of the object that the request concerned; 0 if it named none.
    std::uint64_t object_ = 0;
    ReportedLoad load_;
    // Time since the response arrived. Ages are exchanged, as the clocks of instances differ.
    std::chrono::milliseconds age_ {};
    // The upstream did not run the request.
    bool isRejection_ = false;

    auto operator<=>(const Observation&) const = default;
};

} // namespace sapphirepass
