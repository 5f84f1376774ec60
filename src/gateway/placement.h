// Chooses the upstream of a request, or says that none should get it.
#pragma once

#include "gateway/fleet_view.h"
#include "gateway/object_demand.h"
#include "gateway/region_shares.h"
#include "gateway/upstream_set.h"

#include <variant>

namespace sapphirepass {

struct PlacementQuery {
    std::string service_;
    // Hash of the object that the request concerns; nothing if it has none.
    std::optional<std::uint64_t> object_;
    // A number that differs between requests, to spread those without an object.
    std::uint64_t spread_ = 0;
    // Regions that may run the request; empty for all.
    const std::vector<std::string>* homes_ = nullptr;
    // Part of all requests that may run only in a region, by region; null for none.
    const std::map<std::string, double>* homedParts_ = nullptr;
    // Upstreams that the request has been sent to.
    std::vector<std::string> tried_;
    double coldPerSecond_ = 0;
    Duration usualWork_ {};
    // Time that the route's callers want an answer in.
    Duration latencyTarget_ {};
    // Longest wait for a slot after which the request is still worth sending.
    Duration longestWait_ {};
};

struct Placement {
    UpstreamPtr upstream_;
    // Position among the owners of the object; 0 is the first.
    int rank_ = 0;
    Duration expectedWait_ {};
    int occupied_ = 0;
    // Upstreams that share the object now.
    std::size_t owners_ = 1;
};

enum class PlacementRefusal {
    // No open upstream is known that may run it.
    NoUpstream,
    // All are so full that it would wait for longer than it is worth.
    Full,
};

using PlacementResult = std::variant<Placement, PlacementRefusal>;

class Placer {
public:
    // Callers of this instance are those of its region.
    Placer(const Clock& clock, const UpstreamSet& upstreams, const FleetView& fleet, std::string ownRegion);

    auto place(const PlacementQuery& query) -> PlacementResult;
    // Counts a request that is about to be sent to a cold upstream.
    auto noteSent(Upstream& upstream, const PlacementQuery& query) const -> void;

private:
    struct Candidate {
        UpstreamPtr upstream_;
        std::uint64_t weight_ = 0;
        int occupied_ = 0;
    };

    using Candidates = std::vector<Candidate>;

    auto candidates(const PlacementQuery& query) const -> Candidates;
    // The region that runs the requests of an object, for callers of this instance.
    auto regionOf(std::uint64_t object, const PlacementQuery& query) -> std::string;
    auto roomOf(const PlacementQuery& query) const -> std::vector<RegionRoom>;
    // The first owners among candidates, by weight.
    auto ownersOf(Candidates candidates, std::size_t most) const -> Candidates;
    // How many upstreams an object needs, by how often it is asked for.
    auto ownersNeeded(const PlacementQuery& query, const Candidates& near) -> std::size_t;
    auto firstFree(const Candidates& owners, std::uint64_t spread) const -> std::optional<Placement>;
    auto isRefused(Duration wait, const PlacementQuery& query) const -> bool;
    auto leastWait(const Candidates& owners, const PlacementQuery& query) const -> PlacementResult;
    auto mayUse(const Upstream& upstream, const PlacementQuery& query) const -> bool;
    auto bearsCold(const Upstream& upstream, const PlacementQuery& query) const -> bool;
    // Whether an upstream leaves requests unanswered for so long that it may have become cold without anyone's telling.
    auto isStalled(const Upstream& upstream, const PlacementQuery& query) const -> bool;
    auto occupied(const Upstream& upstream) const -> int;
    auto isSound(const Upstream& upstream) const -> bool;

    const Clock& clock_;
    const UpstreamSet& upstreams_;
    const FleetView& fleet_;
    std::string ownRegion_;
    RegionShares shares_;
    ObjectDemand demand_;
    SpillGate spills_;
};

} // namespace sapphirepass
