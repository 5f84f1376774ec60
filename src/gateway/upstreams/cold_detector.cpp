#include "gateway/upstreams/cold_detector.h"

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Time between two probes of an upstream. What a busy upstream receives in this time and while the probe waits for
    // a slot must stay below what a cold upstream can take in a second.
    constexpr Duration probeInterval = 200ms;
    // Longer than any declared cold time; values from upstreams and peers are capped, as anything beyond is an error.
    constexpr Duration maxColdTime = 60s;
    // Instances that name an upstream to the others: several, as some may not reach the store themselves.
    constexpr std::size_t maxReporters = 3;
    // Keeps a heartbeat within one packet.
    constexpr std::size_t maxNotices = 40;
}

ColdDetector::ColdDetector(const Clock& clock, UpstreamSet& upstreams, const FleetView& fleet)
    : clock_(clock)
    , upstreams_(upstreams)
    , fleet_(fleet)
{
}

auto ColdDetector::takeDueProbes() -> ServiceUpstreams
{
    ServiceUpstreams due;
    if (!isActive()) {
        probedAt_.clear();
        return due;
    }
    const auto now = clock_.now();
    for (const auto& [id, upstream] : upstreams_.byId()) {
        if (!upstreams_.isEligible(*upstream) || now < upstream->coldUntil_ || now < upstream->notices_->pausedUntil_)
            continue;
        const auto probed = probedAt_.find(id);
        if (probed != probedAt_.end() && now - probed->second < probeInterval)
            continue;
        const auto coordinator = fleet_.coordinatorOf(id);
        if (!coordinator || coordinator->name_ != fleet_.self())
            continue;
        probedAt_[id] = now;
        due.push_back(upstream);
    }
    return due;
}

auto ColdDetector::recordProbeResult(const std::string& upstream, Duration coldLeft) -> void
{
    if (coldLeft <= Duration::zero())
        return;
    const auto left = std::min(coldLeft, maxColdTime);
    upstreams_.noteCold(upstream, left);
    reportedUntil_[upstream] = clock_.now() + left;
}

auto ColdDetector::applyNotices(const std::vector<ColdNotice>& notices) -> void
{
    for (const auto& notice : notices)
        upstreams_.noteCold(notice.upstream_, std::min<Duration>(notice.left_, maxColdTime));
}

auto ColdDetector::activeNotices() const -> std::vector<ColdNotice>
{
    const auto now = clock_.now();
    std::vector<ColdNotice> notices;
    const auto add = [&notices, now](const std::string& id, MonotonicTime until) {
        if (until > now && notices.size() < maxNotices)
            notices.push_back({ id, std::chrono::ceil<std::chrono::milliseconds>(until - now) });
    };
    for (const auto& [id, until] : reportedUntil_)
        add(id, until);
    // While a part of the fleet has lost discovery, the others tell it what discovery tells them.
    if (fleet_.isOwnSourceLost() || !fleet_.isAnyPeerSourceLost())
        return notices;
    for (const auto& [id, upstream] : upstreams_.byId()) {
        if (!reportedUntil_.contains(id) && fleet_.coldSenderCount(id, maxReporters))
            add(id, upstream->listedColdUntil_);
    }
    return notices;
}

} // namespace sapphirepass
