// Requests per second that callers offer in each region, by service.
#pragma once

#include "base/clock.h"
#include "base/metrics.h"
#include "gateway/fleet/fleet_view.h"
#include "gateway/placement/region_shares.h"
#include "gateway/placement/service_demand.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

// When region shares follow demand.
enum class RegionDemandMode {
    // For services that are placed by expected end.
    Auto,
    Always,
    Never,
};

// Never for any name but those of the other modes.
auto regionDemandMode(std::string_view name) -> RegionDemandMode;

// Rate of events in the last two seconds, to a fifth of a second.
class WindowedRate {
public:
    auto record(MonotonicTime now) -> void;
    auto perSecond(MonotonicTime now) const -> double;
    auto lastAt() const -> MonotonicTime { return lastAt_; }

private:
    struct Slice {
        std::int64_t number_ = -1;
        std::uint32_t count_ = 0;
    };

    std::array<Slice, 10> slices_ {};
    MonotonicTime lastAt_ {};
};

// Each instance sums up what all instances report, so that the instances of a region arrive at about the same shares.
class RegionDemand {
public:
    using ServicePredicate = std::function<bool(const std::string& service)>;

    // The predicate tells which services are placed by expected end.
    RegionDemand(const Clock& clock, Metrics& metrics, std::string ownRegion, RegionDemandMode mode, ServicePredicate isEstimated);

    // Counts a request of a caller of this instance, whether or not it is placed.
    auto countRequest(const std::string& service) -> void;
    // The services with most requests; empty if this instance reports no demand, as no service follows it or it has just started.
    auto forHeartbeat() const -> std::optional<std::vector<ServiceDemand>>;
    // Merges the heartbeat of another instance of any region.
    auto apply(const MemberReport& report) -> void;
    // Smoothed demand by region, for regions with at least one report. Deviations from the long-term mean count in part. Empty if the
    // shares of the service do not follow demand.
    auto ofService(const std::string& service) -> const std::vector<RegionLoad>&;
    // Forgets peers and services without recent reports. To be called periodically.
    auto update() -> void;

private:
    struct Peer {
        std::string region_;
        bool isReady_ = false;
        MonotonicTime heardAt_ {};
        // Of the last heartbeat that reported demand.
        std::vector<ServiceDemand> demand_;
        bool isAnyInvalid_ = false;
        MonotonicTime reportedAt_ {};
    };
    // Figures of a region's instances.
    struct RegionFigures {
        std::vector<double> known_;
        // Instances whose figure is unknown.
        int unknown_ = 0;
    };
    // Demand of a region, estimated from its sums.
    class Estimate {
    public:
        Estimate(double perSecond, MonotonicTime now);

        auto update(double perSecond, MonotonicTime now) -> void;
        auto perSecond() const -> double;

    private:
        double level_;
        // Moves towards the level.
        double trailing_;
        double usual_;
        MonotonicTime startedAt_;
        MonotonicTime updatedAt_;
    };
    struct Service {
        WindowedRate offered_;
        std::map<std::string, Estimate> estimates_;
        std::vector<RegionLoad> loads_;
        MonotonicTime reviewedAt_ {};
    };
    using FiguresByRegion = std::map<std::string, RegionFigures>;

    static auto hasReported(const Peer& peer, MonotonicTime now) -> bool;
    auto isFollowed(const std::string& service) const -> bool;
    auto isWarmedUp() const -> bool;
    auto removeExpired() -> void;
    auto figures(const std::string& service) const -> FiguresByRegion;
    auto review(const std::string& name, Service& service) -> void;

    const Clock& clock_;
    Metrics& metrics_;
    std::string ownRegion_;
    RegionDemandMode mode_;
    ServicePredicate isEstimated_;
    MonotonicTime startedAt_;
    MonotonicTime updatedAt_ {};
    std::map<std::string, Service> services_;
    std::map<std::string, Peer> peers_;
    std::vector<RegionLoad> none_;
};

} // namespace sapphirepass
