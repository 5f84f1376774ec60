// Limits each workspace to its rate and burst across the fleet.
#pragma once

#include "gateway/declaration_type.h"
#include "gateway/fleet_view.h"
#include "gateway/rate_type.h"
#include "gateway/timer_service.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace sapphirepass {

// How far a workspace may exceed its rate and burst within a window.
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
    Denied };

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
    auto take(double count) -> bool;
    auto putBack(double count, double capacity) -> void;
    auto tokens() const -> double { return tokens_; }

private:
    double tokens_ = 0;
    MonotonicTime refilledAt_ {};
};

// Sends token requests to the coordinators of workspaces on other instances.
class RateAskSender {
public:
    virtual ~RateAskSender() = default;
    virtual auto sendAsk(const Coordinator& coordinator, const RateAsk& ask) -> void = 0;
};

// Protects upstreams from workspaces that exceed their rate. A fraction of each rate is split evenly over the instances
// and used without messages. The rest is in a shared bucket on one instance, the workspace's coordinator, from which
// the others request a few tokens at a time (RateAsk, RateGrant).
class RateLimiter {
public:
    using VerdictCallback = std::function<void(RateVerdict)>;

    // Token requests are numbered from firstAskNumber, which must differ between all starts of all instances.
    RateLimiter(const Clock& clock, TimerService& timers, const FleetView& fleet, RateAskSender& askSender, RateTolerance tolerance, std::uint64_t firstAskNumber);

    // Calls done at once, or after the coordinator has answered.
    auto admit(const DeclaredWorkspace& workspace, VerdictCallback done) -> void;
    // Takes back the token of an admitted request that has not run and never will. A granted token keeps its expiry; it
    // is lost if a later grant has replaced its own.
    auto returnToken(const std::string& workspace, const RateVerdict& verdict) -> void;
    auto onGrant(const RateGrant& grant) -> void;
    // Answers a token request as the coordinator. A repeated request gets the same grant, and tokens are taken once.
    auto onAsk(const RateAsk& ask) -> RateGrant;
    // Limits of the current declaration, for token requests that arrive before a request of the workspace.
    auto setLimits(const std::vector<DeclaredWorkspace>& workspaces) -> void;

private:
    struct Limit {
        double ratePerSecond_ = 0;
        double burst_ = 0;
    };
    struct PastGrant {
        MonotonicTime at_ {};
        RateGrant grant_;
    };
    struct WorkspaceState {
        Limit limit_;
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

    // Capacity of all buckets of a workspace together.
    auto fleetCapacity(const Limit& limit) const -> double;
    // The fraction of a rate that is split evenly over the instances.
    auto localFraction(const Limit& limit) const -> double;
    auto isOnOwnTokens(const WorkspaceState& state) const -> bool;
    auto localCapacity(const WorkspaceState& state) const -> double;
    auto takeLocal(WorkspaceState& state) -> bool;
    auto takeGranted(WorkspaceState& state) -> bool;
    auto recordArrival(WorkspaceState& state) -> void;
    auto ask(const std::string& workspace, WorkspaceState& state) -> void;
    auto retryAsk(const std::string& workspace) -> void;
    auto takeShared(WorkspaceState& state, int wanted) -> int;
    auto findPastGrant(const RateAsk& ask) -> std::optional<RateGrant>;
    // Admits waiting requests with granted tokens; denies the rest unless more tokens are expected.
    auto settleWaiting(WorkspaceState& state, bool expectsMoreTokens, Duration retryAfter) -> void;
    // Returns the delay after which the denied caller should retry.
    auto recordDenial(WorkspaceState& state, Duration minDelay) -> Duration;
    auto wanted(const WorkspaceState& state) const -> int;

    const Clock& clock_;
    TimerService& timers_;
    const FleetView& fleet_;
    RateAskSender& askSender_;
    RateTolerance tolerance_;
    std::map<std::string, WorkspaceState> states_;
    std::uint64_t lastAskNumber_;
    std::deque<PastGrant> pastGrants_;
};

} // namespace sapphirepass
