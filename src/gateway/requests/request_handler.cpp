#include "gateway/requests/request_handler.h"

#include "gateway/hashing.h"
#include "gateway/requests/response_head.h"
#include "gateway/requests/run_bound.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace sapphirepass {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {
    // Added to the route's timeout, so that a response in transit at the limit is still passed on.
    constexpr Duration responseGrace = 60ms;
    // Subtracted from the caller's deadline, so that the final response reaches the caller in time.
    constexpr Duration callerDeadlineMargin = 20ms;
    // Response time assumed for a route without responses so far, as a multiple of its latency target.
    constexpr int initialTargetFactor = 1;
    // A request is abandoned after this many failed connections.
    constexpr int maxFailedConnects = 4;
    // Peers that a request is offered to. Each refusal takes a round trip.
    constexpr std::size_t maxDelegates = 3;
    // Subtracted from the time that a delegate gets, so that its final response arrives in time.
    constexpr Duration delegationMargin = 20ms;
    // Requests that start later than this fraction of their remaining time mostly finish too late.
    constexpr double maxWaitFraction = 0.6;
    // A request asks at most this many coordinators for room, as each answer takes a round trip.
    constexpr std::size_t maxLimitedUpstreams = 3;
    // An upstream that takes this many times the typical response time counts as failing.
    constexpr int unansweredFactor = 2;
    // Retry-After until a declaration is known: about the time of the first reads after a restart.
    constexpr Duration startupRetryAfter = 500ms;
    // Callers refused under load are told to retry after about the time of the pending work, but no sooner than this.
    constexpr Duration minRetryAfter = 150ms;
    // Beyond it a value of a peer is an error.
    constexpr double maxRetryAfterSeconds = 60;

    auto view(boost::beast::string_view text) -> std::string_view { return { text.data(), text.size() }; }
    auto milliseconds(Duration duration) -> std::int64_t { return duration / 1ms; }

    // Between one and two times the wait, so that callers that were refused together do not return together.
    auto spread(Duration wait, std::uint64_t requestHash) -> Duration
    {
        constexpr std::uint64_t steps = 1'000;
        return wait + wait * static_cast<std::int64_t>(requestHash % steps) / static_cast<std::int64_t>(steps);
    }

    auto parseRetryAfter(const UpstreamResponse& response) -> std::optional<Duration>
    {
        const auto text = response[http::field::retry_after];
        double seconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        const bool isInRange = seconds >= 0 && seconds <= maxRetryAfterSeconds;
        if (error != std::errc() || !isInRange)
            return std::nullopt;
        return fromSeconds(seconds);
    }

    // The regions in both lists; an empty list means all regions.
    auto commonRegions(const std::vector<std::string>& route, const std::vector<std::string>& workspace) -> std::vector<std::string>
    {
        if (route.empty() || workspace.empty())
            return route.empty() ? workspace : route;
        std::vector<std::string> common;
        for (const auto& region : route) {
            if (std::find(workspace.begin(), workspace.end(), region) != workspace.end())
                common.push_back(region);
        }
        // No region may run the request: an empty list would allow all, so return a name that no region has.
        return common.empty() ? std::vector<std::string> { "" } : common;
    }
}

RequestHandler::RequestHandler(RequestContext& context, OutgoingRequest request, ResponseCallback respond, std::optional<Delegation> delegation)
    : context_(context)
    , request_(std::move(request))
    , respond_(std::move(respond))
    , delegation_(std::move(delegation))
    , index_(context.index_)
    , arrivedAt_(context.clock_.now())
    , attempts_(context.upstreams_, context.bodyLimiter_)
{
}

auto RequestHandler::start() -> void
{
    metadata_ = readMetadata(request_, context_.headerNames_);
    if (delegation_)
        return startDelegated();
    if (!checkRequest() || !checkKey() || !checkDeadline() || !checkCrashes())
        return;
    startDeadline();
    checkRate();
}

// The admitting instance has checked key, rate and route, and counts the request.
auto RequestHandler::startDelegated() -> void
{
    delegatedRoute_.name_ = delegation_->route_;
    delegatedRoute_.repeat_ = delegation_->repeat_;
    delegatedRoute_.maxAttempts_ = delegation_->maxAttempts_;
    delegatedRoute_.timeout_ = delegation_->timeLeft_;
    delegatedRoute_.latencyTarget_ = delegation_->latencyTarget_;
    delegatedRoute_.priority_ = delegation_->priority_;
    route_ = &delegatedRoute_;
    serviceName_ = delegation_->service_;
    homeRegions_ = delegation_->homeRegions_;
    endsAt_ = arrivedAt_ + delegation_->timeLeft_;
    if (!index_)
        return finishWithProblem(503, "no-declaration", Executed::No, startupRetryAfter);
    if (!checkCrashes())
        return;
    startDeadline();
    prepareQuery();
    query_.object_ = delegation_->object_;
    tryUpstream();
}

auto RequestHandler::workspaceName() const -> std::string
{
    if (delegation_)
        return delegation_->workspace_;
    return workspace_ == nullptr ? std::string() : workspace_->name_;
}

auto RequestHandler::checkRequest() -> bool
{
    if (!index_) {
        finishWithProblem(503, "no-declaration", Executed::No, startupRetryAfter);
        return false;
    }
    if (request_.count(http::field::host) != 1) {
        finishWithProblem(400, "host-missing-or-twice", Executed::No);
        return false;
    }
    const auto target = view(request_.target());
    route_ = index_->route(view(request_[http::field::host]), target.substr(0, target.find('?')));
    if (route_ == nullptr)
        finishWithProblem(404, "no-route", Executed::No);
    return route_ != nullptr;
}

auto RequestHandler::checkKey() -> bool
{
    if (metadata_.key_)
        workspace_ = index_->workspaceOf(*metadata_.key_);
    const bool open = route_->anonymous_ || !index_->requiresKeys();
    if (!open && workspace_ == nullptr)
        finishWithProblem(401, metadata_.key_ ? "key-unknown" : "key-missing", Executed::No);
    return open || workspace_ != nullptr;
}

auto RequestHandler::checkDeadline() -> bool
{
    const auto callerTime = metadata_.deadline_.value_or(route_->timeout_ + callerDeadlineMargin) - callerDeadlineMargin;
    endsAt_ = arrivedAt_ + std::min(callerTime, route_->timeout_);
    if (timeLeft() > Duration::zero())
        return true;
    finishWithProblem(503, "deadline-passed", Executed::No);
    return false;
}

auto RequestHandler::checkCrashes() -> bool
{
    const auto head = stableHash(view(request_.target()), stableHash(workspaceName(), stableHash(view(request_.method_string()))));
    fingerprint_ = stableHash(request_.body(), head);
    if (!context_.crashTracker_.isBlocked(fingerprint_))
        return true;
    finishWithProblem(503, "crashes-upstreams", Executed::No, 2s);
    return false;
}

auto RequestHandler::startDeadline() -> void
{
    const auto self = weak_from_this();
    deadline_ = context_.timers_.after(timeLeft() + responseGrace, [self] {
        if (const auto handler = self.lock())
            handler->onTimeout();
    });
}

// A run ends at its request's deadline in any case.
auto RequestHandler::mayFinishBeforeShutdown() const -> bool
{
    if (context_.shutdown_ == nullptr)
        return true;
    const auto run = runBound(context_.secondAttempts_.runs(), route_->name_, route_->repeat_, route_->latencyTarget_);
    return context_.shutdown_->mayFinish(std::min(run, timeLeft()));
}

auto RequestHandler::finishShuttingDown() -> void
{
    finishWithProblem(mayHaveRun_ ? 502 : 503, "shutting-down", mayHaveRun_ ? Executed::Unknown : Executed::No, minRetryAfter);
}

// An upstream that knows when its response is of no use stops in time, and says what it has not run.
auto RequestHandler::attemptTime() const -> Duration
{
    return context_.shutdown_ == nullptr ? timeLeft() : context_.shutdown_->bound(timeLeft());
}

auto RequestHandler::refuseUnsent() -> void
{
    if (!isDone_ && attempts_.empty() && !delegateCall_)
        finishShuttingDown();
}

auto RequestHandler::giveUp() -> void
{
    if (isDone_)
        return;
    if (attempts_.empty() && !delegateCall_)
        return finishShuttingDown();
    finishWithProblem(504, "shutting-down", Executed::Unknown);
}

auto RequestHandler::checkRate() -> void
{
    if (workspace_ == nullptr)
        return onRateVerdict({});
    const auto self = weak_from_this();
    context_.rateLimiter_.admit(*workspace_, [self](const RateVerdict& verdict) {
        if (const auto handler = self.lock())
            handler->onRateVerdict(verdict);
    });
}

auto RequestHandler::onRateVerdict(const RateVerdict& verdict) -> void
{
    if (isDone_)
        return;
    rateVerdict_ = verdict;
    if (!verdict.admitted_)
        return finishWithProblem(429, "over-rate", Executed::No, std::max<Duration>(minRetryAfter, verdict.retryAfter_));
    prepare();
    tryUpstream();
}

auto RequestHandler::prepare() -> void
{
    serviceName_ = context_.trafficSplitter_.next(*route_);
    homeRegions_ = commonRegions(route_->homeRegions_, workspace_ == nullptr ? std::vector<std::string>() : workspace_->homeRegions_);
    prepareQuery();
    if (route_->affinity_ && metadata_.object_)
        query_.object_ = stableHash(*metadata_.object_, stableHash(route_->name_));
    context_.retryLimiter_.countRequest(serviceName_);
    context_.secondAttempts_.countRequest(serviceName_);
    // Requests bound to regions run there whatever the shares; slots for those of workspaces are not counted as capacity.
    if (context_.regionDemand_ != nullptr && homeRegions_.empty())
        context_.regionDemand_->countRequest(serviceName_);
}

auto RequestHandler::prepareQuery() -> void
{
    service_ = index_->service(serviceName_);
    query_.service_ = serviceName_;
    query_.route_ = route_->name_;
    query_.homeRegions_ = &homeRegions_;
    query_.homeRegionShares_ = &index_->homeRegionShares();
    query_.requestHash_ = stableHash(metadata_.attempt_);
    query_.coldPerSecond_ = service_ == nullptr ? 0 : service_->coldPerSecond_;
    query_.latencyTarget_ = route_->latencyTarget_;
    query_.priority_ = effectivePriority(*route_, workspace_);
    query_.typicalResponseTime_ = context_.responseTimes_.typical(route_->name_, route_->latencyTarget_ * initialTargetFactor);
    query_.bodyBytes_ = request_.body().size();
    query_.bodyLimiter_ = &context_.bodyLimiter_;
    forwarded_ = std::make_shared<OutgoingRequest>(forwardedRequest(std::move(request_), context_.headerNames_, workspaceName()));
}

auto RequestHandler::tryUpstream() -> void
{
    if (!mayFinishBeforeShutdown())
        return finishShuttingDown();
    query_.maxQueueWait_ = std::chrono::duration_cast<Duration>(timeLeft() * maxWaitFraction);
    const auto unreachable = context_.linkDetector_.unreachableRegions(query_.requestHash_);
    if (!unreachable.empty())
        return tryAroundLostLinks(unreachable);
    query_.unreachableRegions_.clear();
    const auto result = context_.placer_.place(query_);
    const auto* placement = std::get_if<Placement>(&result);
    if (placement == nullptr)
        return finishUnplaced(std::get<PlacementRefusal>(result));
    if (checkRoom(*placement))
        sendWithinLimit(*placement);
}

// Only the placer that estimates the end of a request fills in what the gate needs. A request that was admitted keeps its
// admission when it is placed again, and one of a peer was admitted there.
auto RequestHandler::checkRoom(const Placement& placement) -> bool
{
    if (!context_.admitsByRoom_ || !placement.isEstimated_ || delegation_ || std::exchange(isRoomChecked_, true))
        return true;
    const auto verdict = context_.roomGate_.admit({ serviceName_, workspaceName(), query_.priority_, query_.latencyTarget_, timeLeft(), placement.expectedWait_, placement.expectedRun_, placement.isRunLearned_ });
    if (verdict.isAdmitted())
        return true;
    finishWithProblem(503, "no-room", Executed::No, std::max<Duration>(minRetryAfter, spread(verdict.retryAfter_, query_.requestHash_)));
    return false;
}

auto RequestHandler::mayUseOpenConnection(const UpstreamPtr& upstream) const -> bool
{
    return context_.linkDetector_.doOpenConnectionsWork(upstream->region_) && context_.upstreamCaller_.hasOpenConnection(upstream);
}

// Peers choose the same upstream for an object, so it stays warm. A request leaves its region only if no peer there
// reaches the upstreams.
auto RequestHandler::tryAroundLostLinks(const std::set<std::string>& unreachable) -> void
{
    query_.unreachableRegions_.clear();
    const auto result = context_.placer_.place(query_);
    const auto* placement = std::get_if<Placement>(&result);
    if (placement == nullptr && std::get<PlacementRefusal>(result) == PlacementRefusal::Full)
        return finishUnplaced(PlacementRefusal::Full);
    if (placement != nullptr && !checkRoom(*placement))
        return;
    if (placement != nullptr && (!unreachable.contains(placement->upstream_->region_) || mayUseOpenConnection(placement->upstream_)))
        return sendWithinLimit(*placement);
    const bool isCutOff = context_.linkDetector_.isCutOff();
    if (tryDelegate(placement == nullptr ? std::string() : placement->upstream_->region_, !isCutOff && homeRegions_.empty()))
        return;
    query_.unreachableRegions_ = unreachable;
    const auto reachable = context_.placer_.place(query_);
    if (const auto* other = std::get_if<Placement>(&reachable)) {
        if (checkRoom(*other))
            sendWithinLimit(*other);
        return;
    }
    // Suspected and recovering links may work, so the request is sent instead of refused.
    const bool mayReach = placement != nullptr && context_.linkDetector_.state(placement->upstream_->region_) != LinkState::Unreachable;
    if (!mayReach)
        return finishUnreachable();
    // A placement is checked again after a wait for a token, by the query that it was made with.
    query_.unreachableRegions_.clear();
    sendWithinLimit(*placement);
}

auto RequestHandler::tryDelegate(const std::string& upstreamRegion, bool isOwnRegionOnly) -> bool
{
    if (delegation_ || triedDelegates_.size() >= maxDelegates || sends_ >= route_->maxAttempts_ || attemptTime() <= delegationMargin)
        return false;
    const auto* peer = context_.delegateSelector_.select({ homeRegions_, upstreamRegion, isOwnRegionOnly, triedDelegates_, route_->repeat_ == RepeatRule::Idempotent, query_.requestHash_ });
    if (peer == nullptr)
        return false;
    delegateTo(*peer);
    return true;
}

auto RequestHandler::delegateTo(const MemberReport& peer) -> void
{
    const Delegation delegation { context_.instanceName_, route_->name_, serviceName_, workspaceName(), homeRegions_, route_->repeat_, route_->maxAttempts_ - sends_, attemptTime() - delegationMargin, route_->latencyTarget_, query_.object_, query_.priority_ };
    auto request = std::make_shared<OutgoingRequest>(forwarded_->base());
    request->body() = takeBody();
    sent_ = request;
    request->set({ delegationHeader.data(), delegationHeader.size() }, encodeDelegation(delegation));
    delegate_ = peer.name_;
    delegatedAt_ = context_.clock_.now();
    context_.delegateSelector_.recordSent(delegate_);
    const auto self = weak_from_this();
    delegateCall_ = context_.delegateCaller_.call(peer, request, [self](AttemptOutcome outcome) {
        if (const auto handler = self.lock())
            handler->onDelegateOutcome(std::move(outcome));
    });
}

// Bytes of the request may have reached the peer, which may have sent it on: only its word that nothing has run allows
// another try.
auto RequestHandler::onDelegateOutcome(AttemptOutcome outcome) -> void
{
    if (isDone_)
        return;
    releaseAttempts();
    if (auto* response = std::get_if<UpstreamResponse>(&outcome)) {
        const auto decoded = decodeDelegationOutcome(view((*response)[{ delegationOutcomeHeader.data(), delegationOutcomeHeader.size() }]));
        if (isOk(decoded))
            return onDelegateResponse(std::move(*response), valueOf(decoded));
        outcome = TransportError { TransportErrorKind::InvalidResponse, "no-delegation-outcome" };
    }
    const auto& error = std::get<TransportError>(outcome);
    const bool sent = error.kind_ != TransportErrorKind::NotSent;
    context_.delegateSelector_.recordResult(delegate_, DelegateResult::Failed);
    context_.metrics_.increment({ "gateway_requests_delegated_total", sent ? "outcome=\"lost\"" : "outcome=\"not-sent\"" });
    context_.log_.write(EventId::DelegationLost, { { "request", metadata_.attempt_ }, { "peer", delegate_ }, { "sent", sent }, { "reason", error.reason_ }, { "after_ms", milliseconds(context_.clock_.now() - delegatedAt_) } });
    if (sent) {
        mayHaveRun_ = true;
        return finishWithProblem(502, "delegate-lost", Executed::Unknown);
    }
    triedDelegates_.push_back(delegate_);
    tryUpstream();
}

auto RequestHandler::onDelegateResponse(UpstreamResponse response, const DelegationOutcome& outcome) -> void
{
    response.erase({ delegationOutcomeHeader.data(), delegationOutcomeHeader.size() });
    // A peer that accepts delegations refuses single requests with a server error.
    const bool isTaken = !outcome.refusal_ || response.result_int() / 100 == 5;
    context_.delegateSelector_.recordResult(delegate_, isTaken ? DelegateResult::Answered : DelegateResult::Failed);
    if (outcome.refusal_ == Executed::No && !mayHaveRun_)
        return onDelegateRefusal(response);
    context_.metrics_.increment({ "gateway_requests_delegated_total", outcome.refusal_ ? "outcome=\"failed\"" : "outcome=\"answered\"" });
    if (outcome.refusal_)
        return finishWithProblem(response.result_int() == 504 ? 504 : 502, "delegate-failed", Executed::Unknown);
    mayHaveRun_ = true;
    // What the upstream says about itself binds this instance too, which passes it on.
    const auto upstream = context_.upstreams_.ofStart(outcome.upstream_, outcome.startTimeMs_);
    context_.noticeRecorder_.record(*upstream, response, delegatedAt_);
    recordLoad(*upstream, response);
    finish(forwardedResponse(std::move(response)), "answered-by-delegate");
}

auto RequestHandler::onDelegateRefusal(const UpstreamResponse& response) -> void
{
    context_.metrics_.increment({ "gateway_requests_delegated_total", "outcome=\"refused\"" });
    context_.log_.write(EventId::DelegationRefused, { { "request", metadata_.attempt_ }, { "peer", delegate_ }, { "status", response.result_int() } });
    triedDelegates_.push_back(delegate_);
    if (const auto wait = parseRetryAfter(response))
        delegateRetryAfter_ = std::max(*wait, delegateRetryAfter_.value_or(*wait));
    tryUpstream();
}

auto RequestHandler::finishUnreachable() -> void
{
    const auto wait = std::max<Duration>(minRetryAfter, delegateRetryAfter_.value_or(query_.typicalResponseTime_));
    const std::string_view reason = delegateRetryAfter_ ? "delegates-full" : "upstreams-unreachable";
    if (mayHaveRun_)
        return finishWithProblem(502, reason, Executed::Unknown);
    recordExclusions();
    finishWithProblem(503, reason, Executed::No, spread(wait, query_.requestHash_));
}

auto RequestHandler::sendWithinLimit(const Placement& placement) -> void
{
    if (!UpstreamLimiter::isLimited(*placement.upstream_))
        return send(placement);
    const auto self = weak_from_this();
    context_.upstreamLimiter_.admit(*placement.upstream_, [self, placement, &limiter = context_.upstreamLimiter_](const RateVerdict& verdict) {
        if (const auto handler = self.lock())
            handler->onLimitVerdict(placement, verdict);
        else
            limiter.returnToken(*placement.upstream_, verdict);
    });
}

// The upstream may have left, been removed or paused while the coordinator was asked.
auto RequestHandler::onLimitVerdict(const Placement& placement, const RateVerdict& verdict) -> void
{
    const bool isUsable = !isDone_ && context_.placer_.mayPlaceOn(*placement.upstream_, query_);
    if (verdict.admitted_ && isUsable && mayFinishBeforeShutdown())
        return send(placement);
    context_.upstreamLimiter_.returnToken(*placement.upstream_, verdict);
    if (isDone_)
        return;
    if (!verdict.admitted_) {
        context_.metrics_.increment({ "gateway_upstream_limit_denials_total", {} });
        query_.limited_.push_back(placement.upstream_->entry_.id_);
        query_.skipsLimited_ = query_.limited_.size() >= maxLimitedUpstreams;
        limitRetryAfter_ = std::min(verdict.retryAfter_, limitRetryAfter_.value_or(verdict.retryAfter_));
    }
    tryUpstream();
}

auto RequestHandler::send(const Placement& placement) -> void
{
    delegate_.clear();
    sendAttempt(placement, false);
    startSecondAttemptTimer(placement);
}

auto RequestHandler::sendAttempt(const Placement& placement, bool isSecond) -> void
{
    lastAttempt_ = { placement.upstream_, context_.clock_.now(), placement.rank_, placement.occupied_, placement.ownerCount_, isSecond, query_.bodyBytes_, placement.isEstimated_ ? std::optional(placement.expectedWait_ + placement.expectedRun_) : std::nullopt };
    auto request = std::make_shared<OutgoingRequest>(forwarded_->base());
    request->body() = takeBody();
    sent_ = request;
    addAttemptHeaders(*request, context_.headerNames_, placement.upstream_->entry_, attemptTime());
    context_.placer_.recordColdSend(*placement.upstream_, query_);
    context_.upstreams_.noteSent(*placement.upstream_, lastAttempt_.at_);
    context_.bodyLimiter_.recordSent(*placement.upstream_, query_.bodyBytes_);
    ++sends_;
    const auto self = weak_from_this();
    attempts_.add(lastAttempt_, context_.upstreamCaller_.call(placement.upstream_, request, [self, isSecond](AttemptOutcome outcome) {
        if (const auto handler = self.lock())
            handler->onOutcome(isSecond, std::move(outcome));
    }));
}

auto RequestHandler::startSecondAttemptTimer(const Placement& placement) -> void
{
    const bool mayGetOne = placement.isEstimated_ && secondAttempt_ == SecondAttemptState::None && !delegation_ && route_->repeat_ == RepeatRule::Idempotent && sends_ < route_->maxAttempts_;
    const auto delay = mayGetOne ? context_.secondAttempts_.delay(route_->name_, timeLeft()) : std::nullopt;
    if (!delay)
        return;
    const auto self = weak_from_this();
    secondAttemptTimer_ = context_.timers_.after(*delay, [self] {
        if (const auto handler = self.lock())
            handler->onSecondAttemptDue();
    });
}

auto RequestHandler::takeBody() -> std::string
{
    return sent_ ? sent_->body() : std::exchange(forwarded_->body(), {});
}

auto RequestHandler::onSecondAttemptDue() -> void
{
    if (isDone_ || attempts_.empty())
        return;
    if (const auto refusal = trySecondAttempt())
        context_.metrics_.increment({ "gateway_second_attempts_not_started_total", fmt::format("cause=\"{}\"", secondAttemptRefusalName(*refusal)) });
}

// The service is checked before an upstream is chosen, as placing a request counts it as demand.
auto RequestHandler::trySecondAttempt() -> std::optional<SecondAttemptRefusal>
{
    if (const auto refusal = context_.secondAttempts_.refusal(serviceName_))
        return refusal;
    if (context_.crashTracker_.isBlocked(fingerprint_))
        return SecondAttemptRefusal::Crashes;
    if (!mayFinishBeforeShutdown())
        return SecondAttemptRefusal::TooLate;
    const auto first = lastAttempt_;
    auto query = query_;
    query.tried_.push_back(first.upstream_->entry_.id_);
    query.skipsLimited_ = true;
    query.unreachableRegions_ = context_.linkDetector_.unreachableRegions(query.requestHash_);
    query.maxQueueWait_ = std::chrono::duration_cast<Duration>(timeLeft() * maxWaitFraction);
    const auto result = context_.placer_.place(query);
    const auto* placement = std::get_if<Placement>(&result);
    if (placement == nullptr)
        return std::get<PlacementRefusal>(result) == PlacementRefusal::Full ? SecondAttemptRefusal::ShortOfCapacity : SecondAttemptRefusal::NoUpstream;
    if (const auto refusal = context_.secondAttempts_.take(serviceName_, *placement, timeLeft()))
        return refusal;
    secondAttempt_ = SecondAttemptState::Running;
    context_.metrics_.increment({ "gateway_second_attempts_started_total", {} });
    context_.log_.write(EventId::SecondAttemptStarted, { { "request", metadata_.attempt_ }, { "first", first.upstream_->entry_.id_ }, { "upstream", placement->upstream_->entry_.id_ }, { "after_ms", milliseconds(context_.clock_.now() - first.at_) }, { "left_ms", milliseconds(timeLeft()) } });
    sendAttempt(*placement, true);
    return std::nullopt;
}

auto RequestHandler::awaitsOtherAttempt() -> bool
{
    if (lastAttempt_.isSecond_)
        recordSecondAttempt(false);
    return !attempts_.empty();
}

auto RequestHandler::recordSecondAttempt(bool isFirst) -> void
{
    if (secondAttempt_ != SecondAttemptState::Running)
        return;
    secondAttempt_ = SecondAttemptState::Ended;
    context_.secondAttempts_.recordEnd(serviceName_, isFirst);
    if (isFirst)
        context_.metrics_.increment({ "gateway_second_attempts_won_total", {} });
}

auto RequestHandler::releaseAttempts() -> void
{
    secondAttemptTimer_.reset();
    attempts_.releaseAll();
    if (!delegateCall_)
        return;
    delegateCall_.reset();
    context_.delegateSelector_.recordEnded(delegate_);
}

auto RequestHandler::onOutcome(bool isSecond, AttemptOutcome outcome) -> void
{
    if (isDone_)
        return;
    const auto sent = attempts_.find(isSecond);
    if (!sent)
        return;
    lastAttempt_ = *sent;
    secondAttemptTimer_.reset();
    const auto* error = std::get_if<TransportError>(&outcome);
    if (error != nullptr && error->kind_ == TransportErrorKind::ConnectionLost && !mayBeLinkLoss(*sent))
        context_.bodyLimiter_.recordLost(*sent->upstream_);
    attempts_.release(isSecond);
    if (auto* response = std::get_if<UpstreamResponse>(&outcome))
        onResponse(std::move(*response));
    else
        onTransportError(std::get<TransportError>(outcome));
}

auto RequestHandler::onTransportError(const TransportError& error) -> void
{
    const bool sent = error.kind_ != TransportErrorKind::NotSent;
    context_.metrics_.increment({ "gateway_attempts_lost_total", fmt::format("sent=\"{}\",reason=\"{}\"", sent, error.reason_) });
    const bool isLinkLoss = error.kind_ != TransportErrorKind::InvalidResponse && mayBeLinkLoss(lastAttempt_);
    if (!isLinkLoss)
        context_.upstreams_.noteAttempt(*lastAttempt_.upstream_, error.kind_ == TransportErrorKind::InvalidResponse ? AttemptHealth::Failed : AttemptHealth::Lost);
    context_.log_.write(EventId::AttemptLost, { { "request", metadata_.attempt_ }, { "upstream", lastAttempt_.upstream_->entry_.id_ }, { "sent", sent }, { "reason", error.reason_ }, { "after_ms", milliseconds(context_.clock_.now() - lastAttempt_.at_) } });
    if (error.kind_ == TransportErrorKind::InvalidResponse)
        context_.metrics_.increment({ "gateway_responses_invalid_total", fmt::format("reason=\"{}\"", error.reason_) });
    query_.tried_.push_back(lastAttempt_.upstream_->entry_.id_);
    const bool awaitsOther = awaitsOtherAttempt();
    if (!sent) {
        --sends_;
        ++failedConnects_;
        if (awaitsOther)
            return;
        // The other of two attempts may have been lost with its upstream, so that the request counts as one that crashes them.
        const bool isBlocked = secondAttempt_ != SecondAttemptState::None && context_.crashTracker_.isBlocked(fingerprint_);
        if (failedConnects_ < maxFailedConnects && !isBlocked)
            return tryUpstream();
        return finishWithProblem(mayHaveRun_ ? 502 : 503, "no-connection", mayHaveRun_ ? Executed::Unknown : Executed::No, minRetryAfter);
    }
    mayHaveRun_ = true;
    if (error.kind_ == TransportErrorKind::ConnectionLost && !isLinkLoss)
        context_.crashTracker_.recordLostConnection(fingerprint_, lastAttempt_.upstream_->entry_.id_);
    if (awaitsOther)
        return;
    if (mayRetry(true) && !context_.crashTracker_.isBlocked(fingerprint_))
        return tryUpstream();
    finishWithProblem(502, "upstream-lost", Executed::Unknown);
}

auto RequestHandler::mayBeLinkLoss(const SentAttempt& sent) const -> bool
{
    return context_.linkDetector_.wasUnreachableSince(sent.upstream_->region_, sent.at_);
}

auto RequestHandler::isSignedResponse(const UpstreamResponse& response) const -> bool
{
    const auto& names = context_.headerNames_;
    return response.count({ names.signature_.data(), names.signature_.size() }) == 1 && response.count(http::field::content_encoding) == 0;
}

auto RequestHandler::onResponse(UpstreamResponse response) -> void
{
    context_.linkDetector_.recordResponse(*lastAttempt_.upstream_);
    context_.noticeRecorder_.record(*lastAttempt_.upstream_, response, lastAttempt_.at_);
    recordLoad(*lastAttempt_.upstream_, response);
    const auto status = response.result_int();
    if (isNotRun(response))
        return onNotRun(response);
    mayHaveRun_ = true;
    context_.crashTracker_.recordResponse(fingerprint_);
    if (status / 100 == 2 && isSignedResponse(response)) {
        context_.upstreams_.noteAttempt(*lastAttempt_.upstream_, AttemptHealth::Answered);
        const auto work = context_.clock_.now() - lastAttempt_.at_;
        context_.responseTimes_.record(route_->name_, work);
        if (const auto load = readLoad(response, context_.headerNames_).load_)
            context_.endEstimator_.recordResponse(*lastAttempt_.upstream_, query_.endQuery(), *load, work);
        const auto bytes = query_.bodyBytes_ + response.body().size();
        context_.endEstimator_.recordBytes(route_->name_, bytes);
        context_.metrics_.increment({ "gateway_upstream_bytes_total", context_.placer_.isNear(*lastAttempt_.upstream_) ? "domain=\"own\"" : "domain=\"other\"" }, static_cast<std::int64_t>(bytes));
        // Second attempts of long runs are cancelled, so that their run times would make runs look shorter than they are.
        if (!lastAttempt_.isSecond_)
            context_.secondAttempts_.recordRun(route_->name_, work);
        context_.metrics_.observe({ "gateway_upstream_seconds", {} }, inSeconds(work));
        if (lastAttempt_.expected_)
            context_.metrics_.observe({ "gateway_expected_end_error_seconds", {} }, std::abs(inSeconds(work - *lastAttempt_.expected_)));
        return finish(forwardedResponse(std::move(response)), "answered");
    }
    onFailure(std::move(response));
}

auto RequestHandler::isNotRun(const UpstreamResponse& response) const -> bool
{
    return saysNotRun(response, context_.headerNames_);
}

auto RequestHandler::recordLoad(Upstream& upstream, const UpstreamResponse& response) -> void
{
    const auto header = readLoad(response, context_.headerNames_);
    if (!header.invalid_.empty()) {
        context_.metrics_.increment({ "gateway_load_reports_invalid_total", {} });
        if (!std::exchange(upstream.isInvalidLoadLogged_, true))
            context_.log_.write(EventId::LoadReportInvalid, { { "upstream", upstream.entry_.id_ }, { "value", header.invalid_ } });
    }
    if (!header.load_)
        return;
    context_.upstreams_.noteLoad(upstream, *header.load_);
    // Another upstream has answered: its load must not be shared as that of this one.
    if (response.result() == http::status::misdirected_request)
        return;
    context_.loadExchange_.record({ upstreamKey(upstream.entry_), query_.object_.value_or(0), *header.load_, {}, isNotRun(response) });
}

auto RequestHandler::onNotRun(const UpstreamResponse& response) -> void
{
    context_.upstreams_.noteAttempt(*lastAttempt_.upstream_, response.result_int() == 421 ? AttemptHealth::WrongUpstream : AttemptHealth::Shed);
    context_.log_.write(EventId::AttemptNotRun, { { "request", metadata_.attempt_ }, { "upstream", lastAttempt_.upstream_->entry_.id_ }, { "status", response.result_int() }, { "occupied", lastAttempt_.occupied_ } });
    query_.tried_.push_back(lastAttempt_.upstream_->entry_.id_);
    if (awaitsOtherAttempt())
        return;
    if (mayRetry(false))
        return tryUpstream();
    finishWithProblem(mayHaveRun_ ? 502 : 503, "upstream-full", mayHaveRun_ ? Executed::Unknown : Executed::No, std::max<Duration>(minRetryAfter, query_.typicalResponseTime_));
}

// The upstream failed the request, or the response is not signed and may not be its own.
auto RequestHandler::onFailure(UpstreamResponse response) -> void
{
    const auto status = response.result_int();
    const bool serverError = status / 100 == 5;
    const bool unsigned2xx = status / 100 == 2;
    // To the caller, these statuses mean that the request has not run, which the upstream has not confirmed.
    const bool claimsNotRun = status == 503 || status == 429 || status == 408;
    context_.upstreams_.noteAttempt(*lastAttempt_.upstream_, serverError || unsigned2xx ? AttemptHealth::Failed : AttemptHealth::Answered);
    context_.log_.write(EventId::AttemptFailed, { { "request", metadata_.attempt_ }, { "upstream", lastAttempt_.upstream_->entry_.id_ }, { "status", status } });
    query_.tried_.push_back(lastAttempt_.upstream_->entry_.id_);
    // Another upstream would return the same client error, so its response is not waited for.
    if ((serverError || unsigned2xx || claimsNotRun) && awaitsOtherAttempt())
        return;
    if ((serverError || unsigned2xx) && mayRetry(true))
        return tryUpstream();
    if (unsigned2xx)
        return finishWithProblem(502, "answer-unsigned", Executed::Unknown);
    if (claimsNotRun)
        return finishWithProblem(502, "upstream-failed", Executed::Unknown);
    finish(forwardedResponse(std::move(response)), "upstream-failed");
}

auto RequestHandler::mayRetry(bool mayHaveRun) -> bool
{
    if (mayHaveRun && route_->repeat_ != RepeatRule::Idempotent)
        return false;
    if (sends_ >= route_->maxAttempts_ || timeLeft() <= query_.typicalResponseTime_ / 4 || !mayFinishBeforeShutdown())
        return false;
    return context_.retryLimiter_.takeRetry(serviceName_);
}

auto RequestHandler::recordExclusions() -> void
{
    exclusions_ = context_.placer_.countExclusions(query_);
    for (const auto& [exclusion, count] : exclusions_)
        context_.metrics_.increment({ "gateway_upstreams_excluded_total", fmt::format("cause=\"{}\"", exclusionName(exclusion)) }, count);
}

auto RequestHandler::finishUnplaced(PlacementRefusal refusal) -> void
{
    if (refusal == PlacementRefusal::NoUpstream)
        recordExclusions();
    const auto pause = refusal == PlacementRefusal::NoUpstream ? context_.placer_.shortestPause(query_) : std::nullopt;
    const bool isLimited = refusal == PlacementRefusal::NoUpstream && limitRetryAfter_;
    const bool isBodyLimited = exclusions_.contains(Exclusion::BodyLimit);
    const std::string_view reason = refusal == PlacementRefusal::Full ? "all-full" : isLimited ? "all-limited"
        : pause                                                                                ? "all-paused"
        : isBodyLimited                                                                        ? "all-body-limited"
                                                                                               : "no-upstream";
    if (mayHaveRun_)
        return finishWithProblem(502, reason, Executed::Unknown);
    if (isLimited)
        return finishWithProblem(503, reason, Executed::No, std::max<Duration>(minRetryAfter, spread(*limitRetryAfter_, query_.requestHash_)));
    finishWithProblem(503, reason, Executed::No, std::max<Duration>(minRetryAfter, pause.value_or(query_.typicalResponseTime_)));
}

auto RequestHandler::onTimeout() -> void
{
    if (isDone_)
        return;
    const bool ran = mayHaveRun_ || delegateCall_ != nullptr || !attempts_.empty();
    if (delegateCall_)
        context_.delegateSelector_.recordResult(delegate_, DelegateResult::Failed);
    finishWithProblem(ran ? 504 : 503, "timeout", ran ? Executed::Unknown : Executed::No);
}

auto RequestHandler::cancel() -> void
{
    if (isDone_)
        return;
    isDone_ = true;
    recordUnanswered();
    releaseAttempts();
    deadline_.reset();
    recordEnd(0, "caller-left");
}

// An upstream that has not responded to any request since this one was sent is unreachable rather than slow.
auto RequestHandler::recordUnanswered() -> void
{
    for (const auto& sent : attempts_.awaited()) {
        const auto waited = context_.clock_.now() - sent.at_;
        if (!sent.isSecond_)
            context_.secondAttempts_.recordAbandonedRun(route_->name_, waited);
        if (waited < query_.typicalResponseTime_ * unansweredFactor || mayBeLinkLoss(sent))
            continue;
        const bool isSilent = sent.upstream_->loadAt_ < sent.at_;
        context_.upstreams_.noteAttempt(*sent.upstream_, isSilent ? AttemptHealth::Lost : AttemptHealth::Failed);
    }
}

auto RequestHandler::finishWithProblem(unsigned status, std::string_view reason, Executed executed, std::optional<Duration> retryAfter) -> void
{
    if (executed == Executed::No && workspace_ != nullptr)
        context_.rateLimiter_.returnToken(workspace_->name_, rateVerdict_);
    ownVerdict_ = executed;
    finish(problemResponse(status, reason, executed, retryAfter), reason);
}

auto RequestHandler::finish(UpstreamResponse response, std::string_view reason) -> void
{
    isDone_ = true;
    recordSecondAttempt(lastAttempt_.isSecond_ && !ownVerdict_);
    recordUnanswered();
    releaseAttempts();
    deadline_.reset();
    recordEnd(response.result_int(), reason);
    if (delegation_) {
        DelegationOutcome outcome { ownVerdict_, {}, 0 };
        if (!ownVerdict_) {
            outcome.upstream_ = lastAttempt_.upstream_->entry_.id_;
            outcome.startTimeMs_ = lastAttempt_.upstream_->entry_.startTimeMs_;
        }
        response.set({ delegationOutcomeHeader.data(), delegationOutcomeHeader.size() }, encodeDelegationOutcome(outcome));
        response.set({ context_.headerNames_.attempt_.data(), context_.headerNames_.attempt_.size() }, metadata_.attempt_);
    }
    respond_(std::move(response));
}

auto RequestHandler::recordEnd(unsigned status, std::string_view reason) -> void
{
    const auto took = context_.clock_.now() - arrivedAt_;
    const auto outcome = fmt::format("outcome=\"{}\"", reason);
    context_.metrics_.increment({ "gateway_requests_total", outcome });
    context_.metrics_.observe({ "gateway_request_seconds", outcome }, inSeconds(took));
    const bool success = status / 100 == 2;
    if (success && !context_.log_.isSuccessSampled(metadata_.attempt_))
        return;
    LogFields fields { { "request", metadata_.attempt_ }, { "status", status }, { "reason", reason }, { "took_ms", milliseconds(took) } };
    fields["version"] = index_ ? index_->declaration().version_ : 0;
    if (route_ != nullptr)
        fields["route"] = route_->name_;
    if (workspace_ != nullptr) {
        fields["workspace"] = workspace_->name_;
        fields["rate_per_s"] = workspace_->ratePerSecond_;
        fields["burst"] = workspace_->burst_;
        fields["token"] = tokenSourceName(rateVerdict_.source_);
    }
    if (forwarded_) {
        fields["usual_ms"] = milliseconds(query_.typicalResponseTime_);
        fields["longest_wait_ms"] = milliseconds(query_.maxQueueWait_);
    }
    if (query_.object_)
        fields["object"] = fmt::format("{:016x}", *query_.object_);
    if (!delegate_.empty())
        fields["delegate"] = delegate_;
    if (delegation_)
        fields["origin"] = delegation_->origin_;
    if (lastAttempt_.upstream_) {
        fields["upstream"] = lastAttempt_.upstream_->entry_.id_;
        fields["rank"] = lastAttempt_.rank_;
        fields["owners"] = lastAttempt_.ownerCount_;
        fields["occupied"] = lastAttempt_.occupied_;
        fields["load_age_ms"] = milliseconds(context_.clock_.now() - lastAttempt_.upstream_->loadAt_);
        fields["sends"] = sends_;
        if (lastAttempt_.expected_)
            fields["expected_ms"] = milliseconds(*lastAttempt_.expected_);
    }
    for (const auto& [exclusion, count] : exclusions_)
        fields["excluded"][std::string(exclusionName(exclusion))] = count;
    if (!query_.limited_.empty())
        fields["limited"] = query_.limited_;
    context_.log_.write(success ? EventId::RequestAnswered : EventId::RequestEnded, std::move(fields));
}

} // namespace sapphirepass
