// Selects the upstream for a request, or reports why it cannot be placed.
#pragma once

#include "gateway/fleet/fleet_view.h"
#include "gateway/limits/body_limiter.h"
#include "gateway/placement/expected_end.h"
#include "gateway/placement/object_demand.h"
#include "gateway/placement/region_demand.h"
#include "gateway/placement/region_shares.h"
#include "gateway/upstreams/connection_state.h"
#include "gateway/upstreams/upstream_set.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>

namespace sapphirepass {

struct PlacementQuery {
    std::string service_;
    std::string route_;
    // Hash of the object that the request concerns, if it names one.
    std::optional<std::uint64_t> object_;
    // Differs between requests; spreads requests that name no object.
    std::uint64_t requestHash_ = 0;
    // Regions that may run the request; null or empty means any region.
    const std::vector<std::string>* homeRegions_ = nullptr;
    // Per region, the fraction of all requests that may run only there; null if there are none.
    const std::map<std::string, double>* homeRegionShares_ = nullptr;
    // Ids of upstreams that the request has already been sent to.
    std::vector<std::string> tried_;
    // Ids of upstreams that take no further request now by the limit that they name.
    std::vector<std::string> limited_;
    // Regions whose upstreams are not considered, as this instance does not reach them.
    std::set<std::string> unreachableRegions_;
    // No upstream that names a limit is considered.
    bool skipsLimited_ = false;
    // Bytes of the body, and what bounds those that an upstream has at a time; null for no bound.
    std::size_t bodyBytes_ = 0;
    const BodyLimiter* bodyLimiter_ = nullptr;
    // Requests per second that a cold upstream can take; 0 for no limit.
    double coldPerSecond_ = 0;
    Duration typicalResponseTime_ {};
    // 0 is the highest.
    int priority_ = 0;
    // Latency target of the route.
    Duration latencyTarget_ {};
    // Longest wait for a slot after which the request can still finish in time.
    Duration maxQueueWait_ {};

    auto endQuery() const -> EndQuery { return { route_, object_, latencyTarget_ }; }
};

struct Placement {
    UpstreamPtr upstream_;
    // Rank among the owners of the object in rendezvous order, starting at 0.
    int rank_ = 0;
    Duration expectedWait_ {};
    int occupied_ = 0;
    // Number of upstreams that currently share the object.
    std::size_t ownerCount_ = 1;
    // Whether expectedWait_ and expectedRun_ come from estimates of the end of the request at each candidate.
    bool isEstimated_ = false;
    Duration expectedRun_ {};
    // Whether expectedRun_ comes from runs of the route, and not from its latency target.
    bool isRunLearned_ = false;
};

enum class PlacementRefusal {
    // No eligible upstream is known.
    NoUpstream,
    // All eligible upstreams are so loaded that the request is shed instead of queued.
    Full,
};

using PlacementResult = std::variant<Placement, PlacementRefusal>;

// Why an upstream of the service is no candidate for a request.
enum class Exclusion {
    // Not ready, leaving, removed, or in an evacuated failure domain.
    Ineligible,
    // Outside the regions that may run the request.
    NotHome,
    Paused,
    Tried,
    Limited,
    // Beyond the rate of a cold upstream, or another instance sends to it.
    Cold,
    Stalled,
    // In a region that this instance does not reach.
    Unreachable,
    // The body and those outstanding there exceed the bytes that it is given at a time.
    BodyLimit,
};

auto exclusionName(Exclusion exclusion) -> std::string_view;

class Placer {
public:
    // ownRegion and ownDomain are those of this instance and of its callers. With an estimator, requests for services that it
    // covers are placed by their expected end.
    Placer(const Clock& clock, const UpstreamSet& upstreams, const FleetView& fleet, std::string ownRegion, std::string ownDomain = {}, const EndEstimator* estimator = nullptr);
    virtual ~Placer() = default;
    Placer(const Placer&) = delete;
    auto operator=(const Placer&) -> Placer& = delete;

    // Without it, every upstream counts as one with an open connection. Must outlive all calls of place.
    auto setConnectionState(ConnectionState& connections) -> void { connections_ = &connections; }
    // From now on, region shares follow the demand of services that it has demand for. Both must outlive all
    // calls of place.
    auto followDemand(RegionDemand& demand, RegionTargetListener& listener) -> void;
    auto regionShares() const -> const RegionShares& { return regionShares_; }

    virtual auto place(const PlacementQuery& query) -> PlacementResult;
    // Whether the upstream is in the failure domain of this instance.
    auto isNear(const Upstream& upstream) const -> bool { return upstream.entry_.domain_ == ownDomain_; }
    // Whether requests for the service are placed by their expected end.
    auto usesEstimates(const std::string& service) const -> bool { return estimator_ != nullptr && estimator_->isServiceEstimated(service); }
    // Time until the first of the upstreams that could run the request ends its pause; empty if none of them is paused.
    auto shortestPause(const PlacementQuery& query) const -> std::optional<Duration>;
    // Whether the request may still be sent to the upstream, some time after it was placed there.
    auto mayPlaceOn(const Upstream& upstream, const PlacementQuery& query) const -> bool { return !exclusionOf(upstream, query); }
    // Number of the service's upstreams that are no candidates for the request, by cause.
    auto countExclusions(const PlacementQuery& query) const -> std::map<Exclusion, int>;
    // Must be called before a placed request is sent; if the upstream is cold, this sets when it may get the next one.
    auto recordColdSend(Upstream& upstream, const PlacementQuery& query) const -> void;

private:
    struct Candidate {
        UpstreamPtr upstream_;
        std::uint64_t weight_ = 0;
        int occupied_ = 0;
    };

    using Candidates = std::vector<Candidate>;

    auto candidates(const PlacementQuery& query) const -> Candidates;
    // The region that runs requests for an object that come from this instance's region.
    auto targetRegion(std::uint64_t object, const PlacementQuery& query) -> std::string;
    auto regionCapacities(const PlacementQuery& query) const -> std::vector<RegionCapacity>;
    // The given number of candidates with the highest rendezvous weight.
    auto firstOwners(Candidates candidates, std::size_t maxCount) const -> Candidates;
    // Number of owners that an object needs for its current request rate.
    auto ownersNeeded(const PlacementQuery& query, const Candidates& near) -> std::size_t;
    auto placeByExpectedEnd(const PlacementQuery& query, const Candidates& near, const Candidates& far) -> PlacementResult;
    // Adds the first candidate in the own failure domain if none of the owners is there.
    auto addNearOwner(Candidates& owners, const Candidates& candidates) const -> void;
    auto estimateOwners(const PlacementQuery& query, const Candidates& owners) const -> std::vector<EndCandidate>;
    auto firstWithFreeSlot(const Candidates& owners, std::uint64_t spread) const -> std::optional<Placement>;
    auto shouldShed(Duration wait, const PlacementQuery& query) const -> bool;
    auto placeOnLeastLoaded(const Candidates& owners, const PlacementQuery& query) const -> PlacementResult;
    auto exclusionOf(const Upstream& upstream, const PlacementQuery& query) const -> std::optional<Exclusion>;
    auto isHome(const Upstream& upstream, const PlacementQuery& query) const -> bool;
    auto isWithinColdRate(const Upstream& upstream, const PlacementQuery& query) const -> bool;
    // Whether a request has been outstanding for so long that the upstream may have become cold without being reported.
    auto isStalled(const Upstream& upstream, const PlacementQuery& query) const -> bool;
    auto occupied(const Upstream& upstream) const -> int;
    auto isHealthy(const Upstream& upstream) const -> bool;

    const Clock& clock_;
    const UpstreamSet& upstreams_;
    const FleetView& fleet_;
    std::string ownRegion_;
    std::string ownDomain_;
    const EndEstimator* estimator_;
    ConnectionState* connections_ = nullptr;
    RegionDemand* regionDemand_ = nullptr;
    RegionShares regionShares_;
    ObjectDemand objectDemand_;
    SpillLimiter spillLimiter_;
};

} // namespace sapphirepass
