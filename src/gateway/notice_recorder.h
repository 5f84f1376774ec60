// Records what upstreams say about themselves in their responses, whichever request a response answers.
#pragma once

#include "gateway/decision_log.h"
#include "gateway/upstream_notice.h"
#include "gateway/upstream_set.h"

namespace sapphirepass {

class NoticeRecorder {
public:
    NoticeRecorder(UpstreamSet& upstreams, const HeaderNames& names, DecisionLog& log);

    auto record(Upstream& upstream, const UpstreamResponse& response) -> void;

private:
    UpstreamSet& upstreams_;
    const HeaderNames& names_;
    DecisionLog& log_;
};

} // namespace sapphirepass
