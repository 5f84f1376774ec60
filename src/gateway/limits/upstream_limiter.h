// Keeps what all instances together send to an upstream within the limit that it names.
#pragma once

#include "gateway/limits/limit_notice.h"
#include "gateway/limits/rate_limiter.h"
#include "gateway/requests/decision_log.h"
#include "gateway/upstreams/upstream_set.h"

namespace sapphirepass {

// Sends token requests to the coordinators of upstreams on other instances.
class LimitAskSender {
public:
    virtual ~LimitAskSender() = default;
    virtual auto sendLimitAsk(const Coordinator& coordinator, const LimitAsk& ask) -> void = 0;
};

// An upstream can name a limit on the requests per second of all instances together. Its tokens are in a shared bucket on one
// instance, as for the rate of a workspace, so the limit follows the load and holds for any number of instances.
class UpstreamLimiter final : private RateAskSender {
public:
    // Token requests are numbered from firstAskNumber, which must differ between all starts of all instances.
    UpstreamLimiter(const Clock& clock, TimerService& timers, const FleetView& fleet, UpstreamSet& upstreams, LimitAskSender& sender, DecisionLog& log, std::uint64_t firstAskNumber);

    static auto isLimited(const Upstream& upstream) -> bool { return upstream.notices_->limit_.perSecond_.has_value(); }
    // Takes a token for one request of any kind to the upstream. Calls done at once, or after the coordinator has answered.
    auto admit(const Upstream& upstream, RateLimiter::VerdictCallback done) -> void;
    // Takes back the token of a request that was not sent.
    auto returnToken(const Upstream& upstream, const RateVerdict& verdict) -> void;
    // Notifies the coordinator of a changed limit that this instance has observed.
    auto announce(const Upstream& upstream) -> void;
    auto onAsk(const LimitAsk& ask) -> LimitGrant;
    auto onGrant(const LimitGrant& grant) -> void;
    auto applyNotices(const std::vector<LimitNotice>& notices) -> void;
    // Limits of the upstreams that this instance coordinates, for the heartbeats to all others.
    auto activeNotices() const -> std::vector<LimitNotice>;
    // Forgets buckets that were not used for a while. To be called periodically.
    auto removeExpired() -> void;
    // To be called with each heartbeat.
    auto refillShared() -> void { tokens_.refillShared(); }

private:
    struct Bucket {
        std::string upstream_;
        std::int64_t startTimeMs_ = 0;
        // The latest limit known; of an upstream that is not listed here, from the others' token requests.
        NamedLimit limit_;
        MonotonicTime usedAt_ {};
        // The coordinator has not answered; it is not asked again before this time.
        MonotonicTime silentUntil_ {};
    };

    auto sendAsk(const Coordinator& coordinator, const RateAsk& ask) -> void override;
    // Takes over the limit if it is later than the known one; returns the bucket with the latest.
    auto record(const LimitNotice& notice) -> Bucket&;
    auto onVerdict(const std::string& name, const RateVerdict& verdict) -> void;
    auto bucketOf(const std::string& upstream, std::int64_t startTimeMs) -> Bucket&;
    // The upstream as it is listed under this start; null if it is not.
    auto findListed(const std::string& upstream, std::int64_t startTimeMs) const -> UpstreamPtr;
    auto noticeOf(const Bucket& bucket) const -> LimitNotice;

    const Clock& clock_;
    const FleetView& fleet_;
    UpstreamSet& upstreams_;
    LimitAskSender& sender_;
    DecisionLog& log_;
    RateLimiter tokens_;
    std::map<std::string, Bucket> buckets_;
};

} // namespace sapphirepass
