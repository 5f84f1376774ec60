// Sends delegated requests to peers.
#pragma once

#include "gateway/fleet/fleet_view.h"
#include "gateway/requests/upstream_caller.h"

namespace sapphirepass {

// Under the same rules as UpstreamCaller.
class DelegateCaller {
public:
    virtual ~DelegateCaller() = default;
    virtual auto call(const MemberReport& peer, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt> = 0;
};

} // namespace sapphirepass
