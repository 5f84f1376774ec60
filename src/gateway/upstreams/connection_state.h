// Open connections to upstreams, as choices see them, and how long an idle one is used.
#pragma once

#include "gateway/upstreams/upstream_set.h"

#include <optional>

namespace sapphirepass {

class ConnectionState {
public:
    virtual ~ConnectionState() = default;
    // Whether an open connection to the upstream can carry the next request. Asks the kernel.
    virtual auto hasOpenConnection(const UpstreamPtr& upstream) -> bool = 0;
    // Whether there is an idle connection within its time. Asks nothing of the kernel, so that many upstreams can be compared.
    virtual auto hasIdleConnection(const UpstreamPtr& upstream) const -> bool = 0;
};

enum class ConnectionReuse {
    // Half of the time for which the upstream keeps an idle connection.
    Cautious,
    // Nearly all of it.
    Long,
};

// How long an idle connection may carry another request, of the time for which the upstream states that it keeps it, if it does.
auto reusableTime(std::optional<Duration> statedIdle, ConnectionReuse reuse) -> Duration;

} // namespace sapphirepass
