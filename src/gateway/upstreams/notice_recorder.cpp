#include "gateway/upstreams/notice_recorder.h"

namespace sapphirepass {

using namespace std::chrono_literals;

NoticeRecorder::NoticeRecorder(UpstreamSet& upstreams, const HeaderNames& names, DecisionLog& log, LimitListener onLimitChanged)
    : upstreams_(upstreams)
    , names_(names)
    , log_(log)
    , onLimitChanged_(std::move(onLimitChanged))
{
}

auto NoticeRecorder::record(Upstream& upstream, const UpstreamResponse& response, std::optional<MonotonicTime> sentAt) -> void
{
    if (response.result() == boost::beast::http::status::misdirected_request)
        return;
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
    if (notice.isLimitInvalid_)
        log_.write(EventId::UpstreamLimitInvalid, { { "upstream", id }, { "value", std::string(response[{ names_.limit_.data(), names_.limit_.size() }].substr(0, 40)) } });
    if (sentAt && (notice.limit_ || !notice.isLimitInvalid_))
        recordLimit(upstream, notice, *sentAt);
    if (notice.isPauseInvalid_)
        log_.write(EventId::UpstreamPauseInvalid, { { "upstream", id }, { "value", std::string(response[boost::beast::http::field::retry_after].substr(0, 40)) } });
}

auto NoticeRecorder::recordLimit(Upstream& upstream, const UpstreamNotice& notice, MonotonicTime sentAt) -> void
{
    const auto before = upstream.notices_->limit_.perSecond_;
    if (!upstreams_.recordLimit(upstream, { notice.limit_, sentAt }))
        return;
    LogFields fields { { "upstream", upstream.entry_.id_ }, { "started", upstream.entry_.startTimeMs_ }, { "source", "response" } };
    if (before)
        fields["before_per_s"] = *before;
    if (notice.limit_)
        fields["per_s"] = *notice.limit_;
    log_.write(EventId::UpstreamLimitChanged, std::move(fields));
    if (onLimitChanged_)
        onLimitChanged_(upstream);
}

} // namespace sapphirepass
