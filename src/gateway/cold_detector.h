// Finds upstreams that have become cold while the platform, which would tell, is away.
#pragma once

#include "gateway/fleet_view.h"
#include "gateway/upstream_set.h"

namespace sapphirepass {

// Answers an outage of discovery during which upstreams restart or lose what they had warm: callers' usual load would
// crash them. Each upstream is asked for its health by one instance, which tells the others.
class ColdDetector {
public:
    ColdDetector(const Clock& clock, UpstreamSet& upstreams, const FleetView& fleet);

    // Whether discovery is away for so many instances that its entries cannot be relied on.
    auto isActive() const -> bool { return fleet_.isSourceLost(); }
    // The upstreams that this instance should ask now; they count as asked from then on.
    auto takeDueProbes() -> ServiceUpstreams;
    // What an upstream told of itself.
    auto recordProbeResult(const std::string& upstream, Duration coldLeft) -> void;
    // What another instance found.
    auto applyNotices(const std::vector<ColdNotice>& notices) -> void;
    // What this instance has found and still holds, for the others.
    auto activeNotices() const -> std::vector<ColdNotice>;

private:
    const Clock& clock_;
    UpstreamSet& upstreams_;
    const FleetView& fleet_;
    std::map<std::string, MonotonicTime> askedAt_;
    std::map<std::string, MonotonicTime> foundUntil_;
};

} // namespace sapphirepass
