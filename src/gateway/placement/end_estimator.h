// Estimates when a request would end at an upstream: distance, wait for a slot, and run.
#pragma once

#include "gateway/placement/route_bytes.h"
#include "gateway/placement/run_times.h"
#include "gateway/placement/warm_objects.h"
#include "gateway/upstreams/load_exchange.h"
#include "gateway/upstreams/upstream_set.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sapphirepass {

// The request as far as its end depends on it.
struct EndQuery {
    std::string route_;
    std::optional<std::uint64_t> object_;
    Duration latencyTarget_ {};

    auto operator<=>(const EndQuery&) const = default;
};

struct EndEstimate {
    // Round trip to the upstream, with that of a new connection.
    Duration distance_ {};
    Duration wait_ {};
    Duration run_ {};
    // Expected delay by responses of the upstream that it did not run the request.
    Duration rejections_ {};
    bool isWarm_ = false;
    // Requests that the upstream is expected to hold.
    double occupied_ = 0;
    // Multiple of the usual duration of work on the upstream's machine.
    double slowdown_ = 1;
    // Age of the load that the estimate is based on; empty if none is known.
    std::optional<Duration> loadAge_;

    auto end() const -> Duration { return distance_ + wait_ + run_ + rejections_; }
    auto operator<=>(const EndEstimate&) const = default;
};

class EndEstimator final : public ObservationListener {
public:
    EndEstimator(const Clock& clock, const UpstreamSet& upstreams);

    // Whether upstreams of the service report how long work takes, without which there are no estimates.
    auto isServiceEstimated(const std::string& service) const -> bool;
    auto estimate(const Upstream& upstream, const EndQuery& query) const -> EndEstimate;
    // Time of a run at usual speed, warm and cold.
    auto runTimes(const EndQuery& query) const -> RunEstimate;
    // Whether enough runs of the route are known for its run time to be no longer held near the latency target, from which it starts.
    auto isRunLearned(const std::string& route) const -> bool;
    // Attempts per second for the object in this region, with those that upstreams rejected: the greater one of two averages.
    auto regionRate(std::uint64_t object) const -> double { return std::max(warmObjects_.regionRate(object), warmObjects_.recentRate(object)); }

    // Records a response to a request that this instance sent: its run time teaches the route's run times.
    auto recordResponse(const Upstream& upstream, const EndQuery& query, const ReportedLoad& load, Duration took) -> void;
    // Records the bytes of the bodies of a request and its response.
    auto recordBytes(const std::string& route, std::size_t bytes) -> void { routeBytes_.record(route, bytes); }
    // Bytes that a request of the route is expected to transfer.
    auto expectedBytes(const std::string& route) const -> double { return routeBytes_.expected(route); }
    // Records the time of a successful connection attempt, which is about a round trip.
    auto recordConnect(const Upstream& upstream, Duration took) -> void;
    auto onObservation(const Upstream& upstream, const Observation& observation, MonotonicTime at, bool isOwn) -> void override;
    // Forgets rejections that no longer matter.
    auto removeExpired() -> void;

private:
    struct ServiceLoad {
        // Moving averages over observations.
        double occupied_ = 0;
        double slowdown_ = 1;
        Duration run_ {};
    };

    // Decaying share of recent responses that were rejections.
    struct RejectionRate {
        double rate_ = 0;
        MonotonicTime at_ {};
    };

    auto recordRejection(UpstreamKey upstream, MonotonicTime at, bool isRejection) -> void;
    auto rejectionRate(UpstreamKey upstream) const -> double;
    auto distance(const Upstream& upstream) const -> Duration;

    const Clock& clock_;
    const UpstreamSet& upstreams_;
    RunTimes runTimes_;
    // Runs learned from, by route.
    std::map<std::string, std::uint32_t> runCounts_;
    RouteBytes routeBytes_;
    WarmObjects warmObjects_;
    std::map<UpstreamKey, RejectionRate> rejections_;
    std::map<std::string, ServiceLoad> services_;
    // Shortest recent connection time, by failure domain.
    std::map<std::string, Duration> roundTrips_;
};

} // namespace sapphirepass
