// Records what upstreams say about themselves in their responses, whichever request a response answers.
#pragma once

#include "gateway/requests/decision_log.h"
#include "gateway/upstreams/upstream_notice.h"
#include "gateway/upstreams/upstream_set.h"

#include <functional>

namespace sapphirepass {

class NoticeRecorder {
public:
    using LimitListener = std::function<void(const Upstream& upstream)>;

    // onLimitChanged is called after the limit of an upstream has changed.
    NoticeRecorder(UpstreamSet& upstreams, const HeaderNames& names, DecisionLog& log, LimitListener onLimitChanged = {});

    // sentAt is the send time of the request that the response answers, empty if unknown. A response to an unknown request
    // does not change the limit of its upstream, as it may be older than the known one.
    auto record(Upstream& upstream, const UpstreamResponse& response, std::optional<MonotonicTime> sentAt) -> void;

private:
    auto recordLimit(Upstream& upstream, const UpstreamNotice& notice, MonotonicTime sentAt) -> void;

    UpstreamSet& upstreams_;
    const HeaderNames& names_;
    DecisionLog& log_;
    LimitListener onLimitChanged_;
};

} // namespace sapphirepass
