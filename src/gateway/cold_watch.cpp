#include "gateway/cold_watch.h"

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Time between two health requests to an upstream: what a busy one gets in it and while the request waits for a slot
    // stays below what a cold one bears in a second.
    constexpr Duration askInterval = 200ms;
    // A cold time told by a peer is no longer than any that is declared; anything beyond is an error.
    constexpr Duration longestCold = 60s;
}

ColdWatch::ColdWatch(const Clock& clock, UpstreamSet& upstreams, const FleetView& fleet)
    : clock_(clock)
    , upstreams_(upstreams)
    , fleet_(fleet)
{
}

auto ColdWatch::takeDue() -> ServiceUpstreams
{
    ServiceUpstreams due;
    if (!isNeeded()) {
        askedAt_.clear();
        return due;
    }
    const auto now = clock_.now();
    for (const auto& [id, upstream] : upstreams_.byId()) {
        if (!upstreams_.isEligible(*upstream) || now < upstream->coldUntil_)
            continue;
        const auto asked = askedAt_.find(id);
        if (asked != askedAt_.end() && now - asked->second < askInterval)
            continue;
        const auto keeper = fleet_.coordinatorOf(id);
        if (!keeper || keeper->name_ != fleet_.self())
            continue;
        askedAt_[id] = now;
        due.push_back(upstream);
    }
    return due;
}

auto ColdWatch::noteAnswer(const std::string& upstream, Duration coldLeft) -> void
{
    if (coldLeft <= Duration::zero())
        return;
    const auto left = std::min(coldLeft, longestCold);
    upstreams_.noteCold(upstream, left);
    foundUntil_[upstream] = clock_.now() + left;
}

auto ColdWatch::hear(const std::vector<ColdNotice>& notices) -> void
{
    for (const auto& notice : notices)
        upstreams_.noteCold(notice.upstream_, std::min<Duration>(notice.left_, longestCold));
}

auto ColdWatch::found() const -> std::vector<ColdNotice>
{
    const auto now = clock_.now();
    std::vector<ColdNotice> notices;
    for (const auto& [id, until] : foundUntil_) {
        if (until > now)
            notices.push_back({ id, std::chrono::ceil<std::chrono::milliseconds>(until - now) });
    }
    return notices;
}

} // namespace sapphirepass
