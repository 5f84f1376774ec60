// Decides whether this instance asks the platform for news itself or follows a nearby instance that does.
#pragma once

#include "gateway/discovery_source.h"
#include "gateway/fleet_view.h"

namespace sapphirepass {

// Answers large fleets: every watch of the platform is priced and counts toward its rates, so a few instances of each
// region watch and the others follow these.
class RelaySelector final : public FeedPeers {
public:
    RelaySelector(const FleetView& fleet, std::string region);

    auto peers() const -> std::vector<SocketAddress> override;
    auto bootstrapPeers() const -> std::vector<SocketAddress> override;

private:
    const FleetView& fleet_;
    std::string region_;
};

} // namespace sapphirepass
