// Decides whether this instance watches the platform itself or follows an instance of its region that does.
#pragma once

#include "gateway/feeds/discovery_source.h"
#include "gateway/fleet/fleet_view.h"

namespace sapphirepass {

// Every watch at the platform is charged and counts towards its rate limits. In large fleets, therefore, only a few
// instances of each region watch the platform and relay changes to the others.
class RelaySelector final : public FeedPeers {
public:
    RelaySelector(const FleetView& fleet, std::string region);

    auto peers() const -> std::vector<SocketAddress> override;
    auto bootstrapPeers() const -> std::vector<SocketAddress> override;
    auto newerPeer(Feed feed, const StoreRevision& known) const -> std::optional<SocketAddress> override;

private:
    const FleetView& fleet_;
    std::string region_;
};

} // namespace sapphirepass
