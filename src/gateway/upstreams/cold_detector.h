// Detects upstreams that become cold while discovery, which would normally report it, is unavailable.
#pragma once

#include "gateway/fleet/fleet_view.h"
#include "gateway/upstreams/upstream_set.h"

namespace sapphirepass {

// Protects upstreams that restart or lose their warm state during a discovery outage, as the usual load would crash
// them. Each upstream is probed by one instance, which notifies the others.
class ColdDetector {
public:
    ColdDetector(const Clock& clock, UpstreamSet& upstreams, const FleetView& fleet);

    // Whether so many instances have lost discovery that its entries may be outdated.
    auto isActive() const -> bool { return fleet_.isSourceLost(); }
    // Returns the upstreams that this instance must probe now, and marks them as probed.
    auto takeDueProbes() -> ServiceUpstreams;
    // Handles an upstream's answer to a probe.
    auto recordProbeResult(const std::string& upstream, Duration coldLeft) -> void;
    // Handles notices from another instance.
    auto applyNotices(const std::vector<ColdNotice>& notices) -> void;
    // Upstreams that are cold, for the other instances: those that this instance has found, and those that discovery names
    // while other instances have lost it.
    auto activeNotices() const -> std::vector<ColdNotice>;

private:
    const Clock& clock_;
    UpstreamSet& upstreams_;
    const FleetView& fleet_;
    std::map<std::string, MonotonicTime> probedAt_;
    std::map<std::string, MonotonicTime> reportedUntil_;
};

} // namespace sapphirepass
