#include "gateway/limits/upstream_limiter.h"

#include <algorithm>
#include <fmt/format.h>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Within 4 s an upstream may get half of its limit and five requests in excess. The buckets use half of this excess;
    // the rest covers granted tokens that are used late and changes of the coordinator.
    constexpr RateTolerance tolerance { 4s, 0.25, 2.5 };
    // Upstreams with a lower limit still get a request every few seconds, as only a response shows that the limit has ended.
    constexpr double minPerSecond = 0.25;
    // Buckets that were not used for this long are forgotten; longer than a token request takes.
    constexpr Duration bucketRetention = 1min;
    // How long the end of a limit is announced: several heartbeats, of which some may be lost.
    constexpr Duration endedRetention = 5s;
    // Pause after a coordinator did not answer. Otherwise each request would wait for it until it counts as silent.
    constexpr Duration silencePause = 1s;
    // Keeps a heartbeat within one packet.
    constexpr std::size_t maxNotices = 20;

    auto bucketName(const std::string& upstream, std::int64_t startTimeMs) -> std::string
    {
        return fmt::format("{}@{}", upstream, startTimeMs);
    }

    auto rateOf(const NamedLimit& limit) -> RateLimit
    {
        return { std::max(minPerSecond, limit.perSecond_.value_or(0)), 0 };
    }
}

UpstreamLimiter::UpstreamLimiter(const Clock& clock, TimerService& timers, const FleetView& fleet, UpstreamSet& upstreams, LimitAskSender& sender, DecisionLog& log, std::uint64_t firstAskNumber)
    : clock_(clock)
    , fleet_(fleet)
    , upstreams_(upstreams)
    , sender_(sender)
    , log_(log)
    , tokens_(clock, timers, fleet, *this, tolerance, firstAskNumber)
{
}

auto UpstreamLimiter::findListed(const std::string& upstream, std::int64_t startTimeMs) const -> UpstreamPtr
{
    const auto found = upstreams_.byId().find(upstream);
    return found != upstreams_.byId().end() && found->second->entry_.startTimeMs_ == startTimeMs ? found->second : nullptr;
}

auto UpstreamLimiter::bucketOf(const std::string& upstream, std::int64_t startTimeMs) -> Bucket&
{
    auto& bucket = buckets_[bucketName(upstream, startTimeMs)];
    bucket.upstream_ = upstream;
    bucket.startTimeMs_ = startTimeMs;
    bucket.usedAt_ = clock_.now();
    if (const auto listed = findListed(upstream, startTimeMs); listed && listed->notices_->limit_.observedAt_ >= bucket.limit_.observedAt_)
        bucket.limit_ = listed->notices_->limit_;
    return bucket;
}

// The age of a notice does not include its time in transit, so a notice that is passed back and forth appears ever newer.
// A notice with the known limit therefore does not change the time of the observation.
auto UpstreamLimiter::record(const LimitNotice& notice) -> Bucket&
{
    auto& bucket = bucketOf(notice.upstream_, notice.startTimeMs_);
    const NamedLimit told { notice.perSecond_, clock_.now() - notice.age_ };
    if (told.perSecond_ == bucket.limit_.perSecond_ || told.observedAt_ <= bucket.limit_.observedAt_)
        return bucket;
    bucket.limit_ = told;
    const auto listed = findListed(notice.upstream_, notice.startTimeMs_);
    if (!listed || !upstreams_.recordLimit(*listed, told))
        return bucket;
    LogFields fields { { "upstream", notice.upstream_ }, { "started", notice.startTimeMs_ }, { "source", "peer" }, { "age_ms", notice.age_.count() } };
    if (told.perSecond_)
        fields["per_s"] = *told.perSecond_;
    log_.write(EventId::UpstreamLimitChanged, std::move(fields));
    return bucket;
}

auto UpstreamLimiter::noticeOf(const Bucket& bucket) const -> LimitNotice
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - bucket.limit_.observedAt_);
    return { bucket.upstream_, bucket.startTimeMs_, bucket.limit_.perSecond_, std::max(0ms, age) };
}

auto UpstreamLimiter::admit(const Upstream& upstream, RateLimiter::VerdictCallback done) -> void
{
    if (!isLimited(upstream))
        return done({});
    const auto& bucket = bucketOf(upstream.entry_.id_, upstream.entry_.startTimeMs_);
    if (clock_.now() < bucket.silentUntil_)
        return done({ false, TokenSource::Unanswered, bucket.silentUntil_ - clock_.now(), {} });
    const auto name = bucketName(bucket.upstream_, bucket.startTimeMs_);
    tokens_.admit(name, rateOf(bucket.limit_), [this, name, done = std::move(done)](const RateVerdict& verdict) {
        onVerdict(name, verdict);
        done(verdict);
    });
}

auto UpstreamLimiter::onVerdict(const std::string& name, const RateVerdict& verdict) -> void
{
    const auto found = buckets_.find(name);
    if (found != buckets_.end() && verdict.source_ == TokenSource::Unanswered)
        found->second.silentUntil_ = clock_.now() + silencePause;
}

auto UpstreamLimiter::returnToken(const Upstream& upstream, const RateVerdict& verdict) -> void
{
    tokens_.returnToken(bucketName(upstream.entry_.id_, upstream.entry_.startTimeMs_), verdict);
}

auto UpstreamLimiter::announce(const Upstream& upstream) -> void
{
    auto& bucket = bucketOf(upstream.entry_.id_, upstream.entry_.startTimeMs_);
    if (upstream.notices_->limit_.observedAt_ >= bucket.limit_.observedAt_)
        bucket.limit_ = upstream.notices_->limit_;
    const auto name = bucketName(bucket.upstream_, bucket.startTimeMs_);
    const auto coordinator = fleet_.coordinatorOf(name);
    if (coordinator && coordinator->name_ != fleet_.self())
        sender_.sendLimitAsk(*coordinator, { { 0, name, 0 }, noticeOf(bucket) });
}

auto UpstreamLimiter::sendAsk(const Coordinator& coordinator, const RateAsk& ask) -> void
{
    if (const auto found = buckets_.find(ask.bucket_); found != buckets_.end())
        sender_.sendLimitAsk(coordinator, { ask, noticeOf(found->second) });
}

auto UpstreamLimiter::onAsk(const LimitAsk& ask) -> LimitGrant
{
    auto& bucket = record(ask.notice_);
    const auto name = bucketName(bucket.upstream_, bucket.startTimeMs_);
    RateGrant grant { ask.ask_.number_, ask.ask_.bucket_, 0, {} };
    if (ask.ask_.wanted_ > 0 && ask.ask_.bucket_ == name) {
        tokens_.setLimit(name, rateOf(bucket.limit_));
        if (bucket.limit_.perSecond_)
            grant = tokens_.onAsk(ask.ask_);
        else
            grant.granted_ = ask.ask_.wanted_;
    }
    return { grant, noticeOf(bucket) };
}

auto UpstreamLimiter::onGrant(const LimitGrant& grant) -> void
{
    record(grant.notice_);
    tokens_.onGrant(grant.grant_);
}

auto UpstreamLimiter::applyNotices(const std::vector<LimitNotice>& notices) -> void
{
    for (const auto& notice : notices)
        record(notice);
}

auto UpstreamLimiter::activeNotices() const -> std::vector<LimitNotice>
{
    std::vector<LimitNotice> notices;
    for (const auto& [name, bucket] : buckets_) {
        if (notices.size() >= maxNotices)
            break;
        const bool isCurrent = bucket.limit_.perSecond_ || clock_.now() - bucket.limit_.observedAt_ < endedRetention;
        if (!isCurrent || bucket.limit_.observedAt_ == MonotonicTime {})
            continue;
        const auto coordinator = fleet_.coordinatorOf(name);
        if (coordinator && coordinator->name_ == fleet_.self())
            notices.push_back(noticeOf(bucket));
    }
    return notices;
}

auto UpstreamLimiter::removeExpired() -> void
{
    const auto now = clock_.now();
    std::erase_if(buckets_, [this, now](const auto& item) {
        const bool isOver = now - item.second.usedAt_ > bucketRetention;
        if (isOver)
            tokens_.removeBucket(item.first);
        return isOver;
    });
}

} // namespace sapphirepass
