// Selects the peer that handles a request which this instance cannot send to upstreams itself.
#pragma once

#include "gateway/fleet/fleet_view.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirepass {

struct DelegateQuery {
    // Regions that may run the request; empty means any region. Its body must not go to other regions, that of the caller
    // excepted.
    const std::vector<std::string>& homeRegions_;
    // The delegate must reach the upstreams of this region; empty if any allowed region will do.
    std::string upstreamRegion_;
    // Only peers in this instance's own region.
    bool isOwnRegionOnly_ = false;
    // Names of peers that have not taken the request.
    const std::vector<std::string>& tried_;
    // The caller may send the request again after any failure.
    bool isIdempotent_ = false;
    // Differs between requests; spreads requests over equally loaded peers.
    std::uint64_t requestHash_ = 0;
};

// What became of a request that was sent to a peer.
enum class DelegateResult {
    // The peer has handled or refused the request as its own.
    Answered,
    // The peer does not take requests of this instance, or gave no response.
    Failed
};

// Peers that fail are excluded for a time that doubles with each failure. After it, one idempotent request at a time tests
// whether the peer takes requests again.
class DelegateSelector {
public:
    DelegateSelector(const Clock& clock, const FleetView& fleet, std::string ownRegion, std::set<std::string> regions);

    // The least loaded peer of the nearest region that has one; null if no peer reaches upstreams that may run the request.
    auto select(const DelegateQuery& query) const -> const MemberReport*;
    // Counts a request that the peer handles for this instance, until it ends with any outcome.
    auto recordSent(const std::string& peer) -> void { ++inFlight_[peer]; }
    auto recordEnded(const std::string& peer) -> void;
    auto recordResult(const std::string& peer, DelegateResult result) -> void;
    auto inFlight() const -> std::size_t;

private:
    struct Failures {
        int count_ = 0;
        MonotonicTime excludedUntil_ {};
    };

    // Whether the peer is excluded because of earlier failures.
    auto isExcluded(const MemberReport& peer, const DelegateQuery& query) const -> bool;
    auto mayTake(const MemberReport& peer, const DelegateQuery& query) const -> bool;
    // 0 for the regions that a request is best delegated to.
    auto distance(const MemberReport& peer, const DelegateQuery& query) const -> int;

    const Clock& clock_;
    const FleetView& fleet_;
    std::string ownRegion_;
    std::set<std::string> regions_;
    std::map<std::string, std::size_t> inFlight_;
    std::map<std::string, Failures> failures_;
};

} // namespace sapphirepass
