// Open connections to upstreams, as choices see them, and how long an idle one is used.
#pragma once

#include "gateway/upstreams/upstream_set.h"

namespace sapphirepass {

class ConnectionState {
public:
    virtual ~ConnectionState() = default;
    // Whether an open connection to the upstream can carry the next request.
    virtual auto hasOpenConnection(const UpstreamPtr& upstream) -> bool = 0;
};

enum class ConnectionReuse {
    // Half of the time for which the upstream keeps an idle connection.
    Cautious,
    // Nearly all of it.
    Long,
};

// How long an idle connection may carry another request, of the time for which the upstream keeps it.
auto reusableTime(Duration statedIdle, ConnectionReuse reuse) -> Duration;

} // namespace sapphirepass
