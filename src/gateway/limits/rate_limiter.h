// Limits over all instances, such as the rate of a workspace.
#pragma once

#include "gateway/declaration/declaration_type.h"
#include "gateway/fleet/fleet_view.h"
#include "gateway/limits/rate_type.h"
#include "gateway/requests/timer_service.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace sapphirepass {

// How far a limit may be exceeded within a window.
struct RateTolerance {
    Duration window_ {};
    // As a fraction of the requests allowed in the window.
    double excessRatio_ = 0;
    // Requests on top of that.
    double slack_ = 0;
};

// Where the token of an admitted request came from, or why there was none.
enum class TokenSource { Unlimited,
    // Tokens that the coordinator has granted to this instance.
    Granted,
    // This instance's part of the even split.
    Local,
    Denied,
    // The coordinator did not answer, or none is known.
    Unanswered };

// For the log.
auto tokenSourceName(TokenSource source) -> std::string_view;

struct RateVerdict {
    bool admitted_ = true;
    TokenSource source_ = TokenSource::Unlimited;
    Duration retryAfter_ {};
    // When a granted token expires.
    MonotonicTime expiresAt_ {};
};

class TokenBucket {
public:
    auto refill(MonotonicTime now, double perSecond, double capacity, double initial) -> void;
    // Passes over the time until now without a refill.
    auto skipTo(MonotonicTime now) -> void { refilledAt_ = now; }
    auto isInUse() const -> bool { return refilledAt_ != MonotonicTime {}; }
    auto take(double count) -> bool;
    auto putBack(double count, double capacity) -> void;
    auto tokens() const -> double { return tokens_; }

private:
    double tokens_ = 0;
    MonotonicTime refilledAt_ {};
};

// Sends token requests to coordinators on other instances.
class RateAskSender {
public:
    virtual ~RateAskSender() = default;
    virtual auto sendAsk(const Coordinator& coordinator, const RateAsk& ask) -> void = 0;
};

// Holds limits over all instances. A fraction of each rate is split evenly over the instances and used without messages.
// The rest is in a shared bucket on one instance, the bucket's coordinator, from which the others request a few tokens at a
// time (RateAsk, RateGrant).
class RateLimiter {
public:
    using VerdictCallback = std::function<void(RateVerdict)>;

    // Token requests are numbered from firstAskNumber, which must differ between all starts of all instances.
    RateLimiter(const Clock& clock, TimerService& timers, const FleetView& fleet, RateAskSender& askSender, RateTolerance tolerance, std::uint64_t firstAskNumber);

    // Calls done at once, or after the coordinator has answered. A rate of 0 is no limit.
    auto admit(const std::string& bucket, const RateLimit& limit, VerdictCallback done) -> void;
    auto admit(const DeclaredWorkspace& workspace, VerdictCallback done) -> void { admit(workspace.name_, { workspace.ratePerSecond_, workspace.burst_ }, std::move(done)); }
    // Takes back the token of an admitted request that has not run and never will. A granted token keeps its expiry; it
    // is lost if a later grant has replaced its own.
    auto returnToken(const std::string& bucket, const RateVerdict& verdict) -> void;
    auto onGrant(const RateGrant& grant) -> void;
    // Answers a token request as the coordinator. A repeated request gets the same grant, and tokens are taken once.
    auto onAsk(const RateAsk& ask) -> RateGrant;
    // Refills the shared buckets that this instance coordinates. Time in which another instance was the coordinator must not
    // refill them, as that instance has granted the tokens. To be called with each heartbeat.
    auto refillShared() -> void;
    // The limit for token requests that arrive before a request of this instance.
    auto setLimit(const std::string& bucket, const RateLimit& limit) -> void { states_[bucket].limit_ = limit; }
    // Forgets a bucket, unless requests wait for its tokens.
    auto removeBucket(const std::string& bucket) -> void;
    auto setLimits(const std::vector<DeclaredWorkspace>& workspaces) -> void;

private:
    struct PastGrant {
        MonotonicTime at_ {};
        RateGrant grant_;
    };
    struct BucketState {
        RateLimit limit_;
        TokenBucket localBucket_;
        // Used only while this instance is the coordinator.
        TokenBucket sharedBucket_;
        // Unused tokens of the last grant.
        double granted_ = 0;
        MonotonicTime grantExpiresAt_ {};
        MonotonicTime deniedUntil_ {};
        // Start of the current period over the rate, and the last denial in it.
        MonotonicTime overRateSince_ {};
        MonotonicTime lastDenialAt_ {};
        // Exponentially decayed average.
        double arrivalsPerSecond_ = 0;
        MonotonicTime lastArrivalAt_ {};
        std::deque<VerdictCallback> waiting_;
        // Number of the outstanding token request; 0 if there is none.
        std::uint64_t pendingAsk_ = 0;
        int askAttempts_ = 0;
        int wanted_ = 0;
        std::unique_ptr<PendingTimer> askTimer_;
    };

    // Capacity of the shared bucket and all local ones together.
    auto fleetCapacity(const RateLimit& limit) const -> double;
    // The fraction of a rate that is split evenly over the instances.
    auto localFraction(const RateLimit& limit) const -> double;
    auto isOnOwnTokens(const BucketState& state) const -> bool;
    auto localCapacity(const BucketState& state) const -> double;
    auto takeLocal(BucketState& state) -> bool;
    auto takeGranted(BucketState& state) -> bool;
    auto recordArrival(BucketState& state) -> void;
    auto ask(const std::string& bucket, BucketState& state) -> void;
    auto retryAsk(const std::string& bucket) -> void;
    // Whether this instance is the coordinator of a bucket, and not partitioned.
    auto isCoordinatorOf(const std::string& bucket) const -> bool;
    auto refillShared(BucketState& state) -> void;
    auto takeShared(BucketState& state, int wanted) -> int;
    auto findPastGrant(const RateAsk& ask) -> std::optional<RateGrant>;
    // Admits waiting requests with granted tokens; denies the rest unless more tokens are expected.
    auto settleWaiting(BucketState& state, bool expectsMoreTokens, Duration retryAfter, TokenSource denial = TokenSource::Denied) -> void;
    // Returns the delay after which the denied caller should retry.
    auto recordDenial(BucketState& state, Duration minDelay) -> Duration;
    auto wanted(const BucketState& state) const -> int;

    const Clock& clock_;
    TimerService& timers_;
    const FleetView& fleet_;
    RateAskSender& askSender_;
    RateTolerance tolerance_;
    std::map<std::string, BucketState> states_;
    std::uint64_t lastAskNumber_;
    std::deque<PastGrant> pastGrants_;
};

} // namespace sapphirepass
