#include "gateway/limits/rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Fraction of a rate that is split evenly over the instances: enough for a partitioned instance to keep serving,
    // and little enough that the shared rest can follow callers that use only a few instances.
    constexpr double evenSplitFraction = 0.4;
    // Fraction of the allowed burst and tolerance that the buckets hold; the rest covers granted tokens that are used
    // late.
    constexpr double capacityFraction = 0.75;
    // Fill level of a bucket at start. With empty buckets, callers within their rate are denied after a restart of all
    // instances; with fuller ones, repeated restarts would exceed the tolerance.
    constexpr double initialFillFraction = 0.25;
    // Unused granted tokens expire after this time.
    constexpr Duration grantLifetime = 500ms;
    // A token request covers the arrivals expected in this time.
    constexpr double askHorizonSeconds = 0.25;
    constexpr int maxTokensPerAsk = 16;
    // Datagrams may be lost. A token request is sent again after more than a round trip between regions, and abandoned
    // after maxAskAttempts.
    constexpr Duration askTimeout = 120ms;
    constexpr int maxAskAttempts = 2;
    // Must exceed the time during which a token request is repeated.
    constexpr Duration grantRetention = 1s;
    // Pause before the next token request after the coordinator had too few tokens.
    constexpr Duration denialBackoff = 60ms;
    // Time constant of the measured arrival rate.
    constexpr double arrivalTimeConstantSeconds = 1.0;
    constexpr Duration minRetryAfter = 100ms;
    // A bucket counts as within its rate again after this time without a denial.
    constexpr Duration overRateReset = 1s;
    constexpr Duration maxRetryAfter = 2s;
}

auto TokenBucket::refill(MonotonicTime now, double perSecond, double capacity, double initial) -> void
{
    if (!isInUse())
        tokens_ = initial;
    else
        tokens_ += inSeconds(now - refilledAt_) * perSecond;
    tokens_ = std::min(capacity, tokens_);
    refilledAt_ = now;
}

auto TokenBucket::take(double count) -> bool
{
    if (tokens_ < count)
        return false;
    tokens_ -= count;
    return true;
}

auto TokenBucket::putBack(double count, double capacity) -> void
{
    tokens_ = std::min(capacity, tokens_ + count);
}

auto tokenSourceName(TokenSource source) -> std::string_view
{
    switch (source) {
    case TokenSource::Unlimited:
        return "unlimited";
    case TokenSource::Granted:
        return "granted";
    case TokenSource::Local:
        return "local";
    case TokenSource::Denied:
        return "denied";
    case TokenSource::Unanswered:
        return "unanswered";
    }
    return "";
}

RateLimiter::RateLimiter(const Clock& clock, TimerService& timers, const FleetView& fleet, RateAskSender& askSender, RateTolerance tolerance, std::uint64_t firstAskNumber)
    : clock_(clock)
    , timers_(timers)
    , fleet_(fleet)
    , askSender_(askSender)
    , tolerance_(tolerance)
    , lastAskNumber_(firstAskNumber)
{
}

auto RateLimiter::setLimits(const std::vector<DeclaredWorkspace>& workspaces) -> void
{
    for (const auto& workspace : workspaces)
        setLimit(workspace.name_, { workspace.ratePerSecond_, workspace.burst_ });
}

auto RateLimiter::removeBucket(const std::string& bucket) -> void
{
    const auto found = states_.find(bucket);
    if (found != states_.end() && found->second.waiting_.empty())
        states_.erase(found);
}

// Within a window, buckets hand out their capacity plus what refills; together this must not exceed the window's limit.
auto RateLimiter::fleetCapacity(const RateLimit& limit) const -> double
{
    const double tolerated = (limit.perSecond_ * inSeconds(tolerance_.window_) + limit.burst_) * tolerance_.excessRatio_ + tolerance_.slack_;
    return (limit.burst_ + tolerated) * capacityFraction;
}

// A local bucket of fewer than two tokens would deny requests that arrive in pairs; in that case all tokens are shared.
auto RateLimiter::localFraction(const RateLimit& limit) const -> double
{
    const double share = fleetCapacity(limit) * evenSplitFraction / static_cast<double>(fleet_.memberCount());
    return share >= 2 ? evenSplitFraction : 0;
}

// A partitioned instance has no coordinator to ask. Few instances are partitioned, so one token each stays within the
// limit.
auto RateLimiter::isOnOwnTokens(const BucketState& state) const -> bool
{
    return localFraction(state.limit_) == 0 && !fleet_.hasQuorum();
}

auto RateLimiter::localCapacity(const BucketState& state) const -> double
{
    const bool isAlone = isOnOwnTokens(state);
    const double fraction = isAlone ? evenSplitFraction : localFraction(state.limit_);
    return std::max(isAlone ? 1.0 : 0.0, fleetCapacity(state.limit_) * fraction / static_cast<double>(fleet_.memberCount()));
}

auto RateLimiter::takeLocal(BucketState& state) -> bool
{
    const double fraction = isOnOwnTokens(state) ? evenSplitFraction : localFraction(state.limit_);
    const double capacity = localCapacity(state);
    const double perSecond = state.limit_.perSecond_ * fraction / static_cast<double>(fleet_.memberCount());
    state.localBucket_.refill(clock_.now(), perSecond, capacity, capacity * initialFillFraction);
    return state.localBucket_.take(1);
}

auto RateLimiter::takeGranted(BucketState& state) -> bool
{
    if (clock_.now() >= state.grantExpiresAt_)
        state.granted_ = 0;
    if (state.granted_ < 1)
        return false;
    state.granted_ -= 1;
    return true;
}

// Under overload a workspace would otherwise lose its rate to requests that are then refused as the upstreams are full.
auto RateLimiter::returnToken(const std::string& bucket, const RateVerdict& verdict) -> void
{
    const auto found = states_.find(bucket);
    if (found == states_.end() || !verdict.admitted_)
        return;
    auto& state = found->second;
    if (verdict.source_ == TokenSource::Local)
        state.localBucket_.putBack(1, localCapacity(state));
    else if (verdict.source_ == TokenSource::Granted && verdict.expiresAt_ == state.grantExpiresAt_ && clock_.now() < verdict.expiresAt_)
        state.granted_ = std::min<double>(maxTokensPerAsk, state.granted_ + 1);
}

auto RateLimiter::recordArrival(BucketState& state) -> void
{
    const auto now = clock_.now();
    const double elapsed = state.lastArrivalAt_ == MonotonicTime {} ? arrivalTimeConstantSeconds : inSeconds(now - state.lastArrivalAt_);
    state.arrivalsPerSecond_ = state.arrivalsPerSecond_ * std::exp(-elapsed / arrivalTimeConstantSeconds) + 1 / arrivalTimeConstantSeconds;
    state.lastArrivalAt_ = now;
}

auto RateLimiter::admit(const std::string& bucket, const RateLimit& limit, VerdictCallback done) -> void
{
    if (limit.perSecond_ <= 0)
        return done({});
    auto& state = states_[bucket];
    state.limit_ = limit;
    recordArrival(state);
    if (takeGranted(state))
        return done({ true, TokenSource::Granted, {}, state.grantExpiresAt_ });
    if (takeLocal(state))
        return done({ true, TokenSource::Local, {}, {} });
    if (clock_.now() < state.deniedUntil_)
        return done({ false, TokenSource::Denied, recordDenial(state, state.deniedUntil_ - clock_.now()), {} });
    state.waiting_.push_back(std::move(done));
    if (state.pendingAsk_ == 0)
        ask(bucket, state);
}

auto RateLimiter::wanted(const BucketState& state) const -> int
{
    const auto expectedArrivals = static_cast<int>(std::lround(state.arrivalsPerSecond_ * askHorizonSeconds));
    return std::clamp(expectedArrivals, static_cast<int>(std::min<std::size_t>(state.waiting_.size(), maxTokensPerAsk)), maxTokensPerAsk);
}

auto RateLimiter::ask(const std::string& bucket, BucketState& state) -> void
{
    const auto coordinator = fleet_.coordinatorOf(bucket);
    if (!coordinator || !fleet_.hasQuorum())
        return settleWaiting(state, false, minRetryAfter, TokenSource::Unanswered);
    state.pendingAsk_ = ++lastAskNumber_;
    state.wanted_ = wanted(state);
    const RateAsk message { state.pendingAsk_, bucket, static_cast<std::uint16_t>(state.wanted_) };
    if (coordinator->name_ == fleet_.self())
        return onGrant(onAsk(message));
    state.askAttempts_ = 1;
    askSender_.sendAsk(*coordinator, message);
    state.askTimer_ = timers_.after(askTimeout, [this, bucket] { retryAsk(bucket); });
}

auto RateLimiter::retryAsk(const std::string& bucket) -> void
{
    auto& state = states_[bucket];
    const auto coordinator = fleet_.coordinatorOf(bucket);
    if (!coordinator || coordinator->name_ == fleet_.self() || state.askAttempts_ >= maxAskAttempts) {
        state.pendingAsk_ = 0;
        return settleWaiting(state, false, minRetryAfter, TokenSource::Unanswered);
    }
    ++state.askAttempts_;
    // Repeated under the same number: the coordinator grants it once, and a second answer is ignored.
    askSender_.sendAsk(*coordinator, { state.pendingAsk_, bucket, static_cast<std::uint16_t>(state.wanted_) });
    state.askTimer_ = timers_.after(askTimeout, [this, bucket] { retryAsk(bucket); });
}

// Grants for an earlier request are ignored: their tokens are lost rather than used twice.
auto RateLimiter::onGrant(const RateGrant& grant) -> void
{
    const auto found = states_.find(grant.bucket_);
    if (found == states_.end() || grant.number_ == 0 || found->second.pendingAsk_ != grant.number_)
        return;
    auto& state = found->second;
    state.pendingAsk_ = 0;
    state.askTimer_.reset();
    state.granted_ = grant.granted_;
    state.grantExpiresAt_ = clock_.now() + grantLifetime;
    // A partial grant means that there are no more tokens, so requests beyond it would wait in vain.
    const bool isFullGrant = grant.granted_ >= state.wanted_;
    settleWaiting(state, isFullGrant, std::max<Duration>(minRetryAfter, grant.retryAfter_));
    if (!isFullGrant)
        state.deniedUntil_ = clock_.now() + denialBackoff;
    else if (!state.waiting_.empty())
        ask(grant.bucket_, state);
}

auto RateLimiter::settleWaiting(BucketState& state, bool expectsMoreTokens, Duration retryAfter, TokenSource denial) -> void
{
    auto waiting = std::exchange(state.waiting_, {});
    while (!waiting.empty() && takeGranted(state)) {
        const auto done = std::move(waiting.front());
        waiting.pop_front();
        done({ true, TokenSource::Granted, {}, state.grantExpiresAt_ });
    }
    if (expectsMoreTokens) {
        state.waiting_.insert(state.waiting_.begin(), std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
        return;
    }
    for (const auto& done : waiting)
        done({ false, denial, recordDenial(state, retryAfter), {} });
}

// Assumes that the overload lasts as long again as it has lasted so far; callers that retry sooner would be denied
// again.
auto RateLimiter::recordDenial(BucketState& state, Duration minDelay) -> Duration
{
    const auto now = clock_.now();
    if (state.lastDenialAt_ == MonotonicTime {} || now - state.lastDenialAt_ > overRateReset)
        state.overRateSince_ = now;
    state.lastDenialAt_ = now;
    return std::clamp(std::max(minDelay, now - state.overRateSince_), minRetryAfter, maxRetryAfter);
}

// While partitioned, another instance may have become the coordinator for the rest of the fleet.
auto RateLimiter::isCoordinatorOf(const std::string& bucket) const -> bool
{
    const auto coordinator = fleet_.coordinatorOf(bucket);
    return coordinator && coordinator->name_ == fleet_.self() && fleet_.hasQuorum();
}

auto RateLimiter::refillShared(BucketState& state) -> void
{
    const double fraction = 1 - localFraction(state.limit_);
    const double capacity = fleetCapacity(state.limit_) * fraction;
    state.sharedBucket_.refill(clock_.now(), state.limit_.perSecond_ * fraction, capacity, capacity * initialFillFraction);
}

auto RateLimiter::refillShared() -> void
{
    for (auto& [bucket, state] : states_) {
        if (!state.sharedBucket_.isInUse())
            continue;
        if (isCoordinatorOf(bucket))
            refillShared(state);
        else
            state.sharedBucket_.skipTo(clock_.now());
    }
}

auto RateLimiter::takeShared(BucketState& state, int wanted) -> int
{
    refillShared(state);
    const int granted = std::min(wanted, static_cast<int>(state.sharedBucket_.tokens()));
    return granted > 0 && state.sharedBucket_.take(granted) ? granted : 0;
}

auto RateLimiter::findPastGrant(const RateAsk& ask) -> std::optional<RateGrant>
{
    const auto now = clock_.now();
    while (!pastGrants_.empty() && now - pastGrants_.front().at_ > grantRetention)
        pastGrants_.pop_front();
    for (const auto& past : pastGrants_) {
        if (past.grant_.number_ == ask.number_)
            return past.grant_;
    }
    return std::nullopt;
}

auto RateLimiter::onAsk(const RateAsk& ask) -> RateGrant
{
    RateGrant grant { ask.number_, ask.bucket_, 0, std::chrono::duration_cast<std::chrono::milliseconds>(minRetryAfter) };
    const auto found = states_.find(ask.bucket_);
    if (found == states_.end() || !isCoordinatorOf(ask.bucket_))
        return grant;
    if (const auto past = findPastGrant(ask))
        return *past;
    auto& state = found->second;
    grant.granted_ = static_cast<std::uint16_t>(takeShared(state, std::min<int>(ask.wanted_, maxTokensPerAsk)));
    const double missing = std::max(0.0, 1 - state.sharedBucket_.tokens());
    if (grant.granted_ == 0 && state.limit_.perSecond_ > 0)
        grant.retryAfter_ = std::chrono::duration_cast<std::chrono::milliseconds>(std::min<Duration>(2s, fromSeconds(missing / state.limit_.perSecond_)));
    pastGrants_.push_back({ clock_.now(), grant });
    return grant;
}

} // namespace sapphirepass
