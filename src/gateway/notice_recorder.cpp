#include "gateway/notice_recorder.h"

namespace sapphirepass {

using namespace std::chrono_literals;

NoticeRecorder::NoticeRecorder(UpstreamSet& upstreams, const HeaderNames& names, DecisionLog& log)
    : upstreams_(upstreams)
    , names_(names)
    , log_(log)
{
}

auto NoticeRecorder::record(Upstream& upstream, const UpstreamResponse& response) -> void
{
    const auto notice = readNotice(response, names_);
    const auto& id = upstream.entry_.id_;
    if (notice.isLeaving_ && !upstream.notices_->isLeaving_) {
        upstreams_.recordLeaving(upstream);
        log_.write(EventId::UpstreamLeaving, { { "upstream", id }, { "started", upstream.entry_.startTimeMs_ }, { "listed", !upstream.retired_ } });
    }
    if (notice.pause_) {
        upstreams_.recordPause(upstream, *notice.pause_);
        log_.write(EventId::UpstreamPaused, { { "upstream", id }, { "started", upstream.entry_.startTimeMs_ }, { "listed", !upstream.retired_ }, { "pause_ms", *notice.pause_ / 1ms } });
    }
    if (notice.isPauseInvalid_)
        log_.write(EventId::UpstreamPauseInvalid, { { "upstream", id }, { "value", std::string(response[boost::beast::http::field::retry_after].substr(0, 40)) } });
}

} // namespace sapphirepass
