// Chooses among candidate upstreams the one where a request is expected to end first.
#pragma once

#include "gateway/placement/end_estimator.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

namespace sapphirepass {

struct EndCandidate {
    EndEstimate estimate_;
    // Run time at usual speed on an upstream where the object is warm.
    Duration warmRun_ {};
    // Rank among the owners of the object, starting at 0.
    int rank_ = 0;
    // In the failure domain of this instance.
    bool isNear_ = false;
    // Bytes that a request of the route transfers, both ways.
    double bytes_ = 0;
    // An open connection to the upstream can carry the request.
    bool hasConnection_ = true;

    auto operator<=>(const EndCandidate&) const = default;
};

// The end of the request as choices compare it: a cold run counts in part only, as it makes the object warm for later
// requests, and small differences are left to rank and failure domain.
auto comparedEnd(const EndCandidate& candidate) -> Duration;

// Index of the candidate with the earliest compared end; empty if there are none.
auto chooseByExpectedEnd(const std::vector<EndCandidate>& candidates) -> std::optional<std::size_t>;

// Whether a request that transfers this many bytes should have an owner in its own failure domain to choose.
auto needsNearOwner(double bytes) -> bool;

// Number of upstreams that should share an object with this many requests per second in the region.
auto ownersForDemand(double requestsPerSecond, Duration warmRun, int slots) -> std::size_t;

} // namespace sapphirepass
