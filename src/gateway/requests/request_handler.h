// Handles a request from its arrival to its final response: checks, placement and attempts.
#pragma once

#include "base/metrics.h"
#include "gateway/declaration/declaration_index.h"
#include "gateway/fleet/delegate_caller.h"
#include "gateway/fleet/delegate_selector.h"
#include "gateway/fleet/delegation.h"
#include "gateway/limits/body_limiter.h"
#include "gateway/limits/limits.h"
#include "gateway/limits/rate_limiter.h"
#include "gateway/limits/room_gate.h"
#include "gateway/limits/upstream_limiter.h"
#include "gateway/placement/placement.h"
#include "gateway/requests/attempts_in_flight.h"
#include "gateway/requests/decision_log.h"
#include "gateway/requests/forwarding.h"
#include "gateway/requests/problem_response.h"
#include "gateway/requests/second_attempt.h"
#include "gateway/requests/shutdown_window.h"
#include "gateway/requests/timer_service.h"
#include "gateway/requests/traffic_splitter.h"
#include "gateway/requests/upstream_caller.h"
#include "gateway/upstreams/link_detector.h"
#include "gateway/upstreams/load_exchange.h"
#include "gateway/upstreams/notice_recorder.h"
#include "gateway/upstreams/response_times.h"

namespace sapphirepass {

// State that requests share on an instance. Outlives all requests.
struct RequestContext {
    const Clock& clock_;
    TimerService& timers_;
    const HeaderNames& headerNames_;
    // Name of this instance.
    std::string instanceName_;
    // The current declaration; null before the first.
    std::shared_ptr<const DeclarationIndex> index_;
    UpstreamSet& upstreams_;
    Placer& placer_;
    RateLimiter& rateLimiter_;
    UpstreamLimiter& upstreamLimiter_;
    RoomGate& roomGate_;
    RetryLimiter& retryLimiter_;
    CrashTracker& crashTracker_;
    TrafficSplitter& trafficSplitter_;
    ResponseTimes& responseTimes_;
    EndEstimator& endEstimator_;
    UpstreamCaller& upstreamCaller_;
    LinkDetector& linkDetector_;
    DelegateSelector& delegateSelector_;
    DelegateCaller& delegateCaller_;
    NoticeRecorder& noticeRecorder_;
    LoadExchange& loadExchange_;
    DecisionLog& log_;
    Metrics& metrics_;
    BodyLimiter& bodyLimiter_;
    SecondAttemptPolicy& secondAttempts_;
    // Whether the room gate is asked.
    bool admitsByRoom_ = false;
    // Counts what callers offer; may be null.
    RegionDemand* regionDemand_ = nullptr;
    // Null if the instance outlives all requests.
    const ShutdownWindow* shutdown_ = nullptr;
};

class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
public:
    using ResponseCallback = std::function<void(UpstreamResponse)>;

    // With a delegation, the request was admitted by a peer and is handled as it says.
    RequestHandler(RequestContext& context, OutgoingRequest request, ResponseCallback respond, std::optional<Delegation> delegation = std::nullopt);

    auto start() -> void;
    // The caller has disconnected: ends all attempts; nothing more is sent.
    auto cancel() -> void;
    // The process is about to end: refuses the request if no response is awaited for it.
    auto refuseUnsent() -> void;
    // The process ends now: gives the request its final answer.
    auto giveUp() -> void;

private:
    enum class SecondAttemptState {
        None,
        Running,
        // Ended, or the request has.
        Ended,
    };

    auto startDelegated() -> void;
    auto checkRequest() -> bool;
    auto checkKey() -> bool;
    auto checkDeadline() -> bool;
    auto checkRate() -> void;
    auto onRateVerdict(const RateVerdict& verdict) -> void;
    auto checkCrashes() -> bool;
    auto prepare() -> void;
    auto prepareQuery() -> void;
    auto workspaceName() const -> std::string;
    auto startDeadline() -> void;
    // Whether the process lives long enough for an attempt that starts now.
    auto mayFinishBeforeShutdown() const -> bool;
    auto finishShuttingDown() -> void;
    // How long an attempt may take.
    auto attemptTime() const -> Duration;
    auto tryUpstream() -> void;
    // Whether the request may be sent as its placement's estimates are; otherwise ends it. Asked once for each request.
    auto checkRoom(const Placement& placement) -> bool;
    // Places a request while upstreams of some regions cannot be reached: on an open connection, at a peer that reaches them,
    // or in another region.
    auto tryAroundLostLinks(const std::set<std::string>& unreachable) -> void;
    auto mayUseOpenConnection(const UpstreamPtr& upstream) const -> bool;
    // Sends the request to a peer that reaches the region's upstreams, or any allowed upstream if the region is empty; false
    // if there is none.
    auto tryDelegate(const std::string& upstreamRegion, bool isOwnRegionOnly) -> bool;
    auto delegateTo(const MemberReport& peer) -> void;
    auto onDelegateOutcome(AttemptOutcome outcome) -> void;
    auto onDelegateResponse(UpstreamResponse response, const DelegationOutcome& outcome) -> void;
    auto onDelegateRefusal(const UpstreamResponse& response) -> void;
    auto finishUnreachable() -> void;
    // Sends the request if the limit that the upstream names has room for it; otherwise places it elsewhere.
    auto sendWithinLimit(const Placement& placement) -> void;
    auto onLimitVerdict(const Placement& placement, const RateVerdict& verdict) -> void;
    auto send(const Placement& placement) -> void;
    auto sendAttempt(const Placement& placement, bool isSecond) -> void;
    // Sets when a second attempt is due, if the request may get one.
    auto startSecondAttemptTimer(const Placement& placement) -> void;
    auto onSecondAttemptDue() -> void;
    // Sends the second attempt, or returns why it is not sent.
    auto trySecondAttempt() -> std::optional<SecondAttemptRefusal>;
    // After a failure of the last attempt: whether the other one still runs, so that its outcome decides.
    auto awaitsOtherAttempt() -> bool;
    // Records whether the second attempt, if there was one, was the first to end with a response that counts.
    auto recordSecondAttempt(bool isFirst) -> void;
    auto onOutcome(bool isSecond, AttemptOutcome outcome) -> void;
    auto onTransportError(const TransportError& error) -> void;
    auto onResponse(UpstreamResponse response) -> void;
    auto onNotRun(const UpstreamResponse& response) -> void;
    auto onFailure(UpstreamResponse response) -> void;
    auto onTimeout() -> void;
    auto recordLoad(Upstream& upstream, const UpstreamResponse& response) -> void;
    // Whether the response says that the request was not run.
    auto isNotRun(const UpstreamResponse& response) const -> bool;
    auto isSignedResponse(const UpstreamResponse& response) const -> bool;
    // Whether the request may be sent to another upstream, depending on whether the last one may have run it. Spends a
    // retry.
    auto mayRetry(bool mayHaveRun) -> bool;
    auto finishUnplaced(PlacementRefusal refusal) -> void;
    auto finishWithProblem(unsigned status, std::string_view reason, Executed executed, std::optional<Duration> retryAfter = std::nullopt) -> void;
    auto finish(UpstreamResponse response, std::string_view reason) -> void;
    auto recordEnd(unsigned status, std::string_view reason) -> void;
    auto timeLeft() const -> Duration { return endsAt_ - context_.clock_.now(); }
    auto releaseAttempts() -> void;
    // The body for the next attempt. The first one takes it, so that a request holds one copy; later ones copy it from the
    // attempt sent last, which is kept until the request ends.
    auto takeBody() -> std::string;
    // Keeps why no upstream of the service was a candidate, for the log and the metrics.
    auto recordExclusions() -> void;
    // Updates the health of upstreams whose responses are no longer awaited.
    auto recordUnanswered() -> void;
    // Whether the attempt may have failed because this instance had lost its links.
    auto mayBeLinkLoss(const SentAttempt& sent) const -> bool;

    RequestContext& context_;
    OutgoingRequest request_;
    ResponseCallback respond_;
    std::optional<Delegation> delegation_;
    // The route as the delegation describes it.
    DeclaredRoute delegatedRoute_;
    std::shared_ptr<const DeclarationIndex> index_;
    RequestMetadata metadata_;
    const DeclaredRoute* route_ = nullptr;
    const DeclaredWorkspace* workspace_ = nullptr;
    const DeclaredService* service_ = nullptr;
    std::string serviceName_;
    std::vector<std::string> homeRegions_;
    PlacementQuery query_;
    // Without its body after the first attempt, which then has it.
    std::shared_ptr<OutgoingRequest> forwarded_;
    // The attempt sent last. Kept for its body after its end and while it runs, as a retry or a second attempt needs the body.
    std::shared_ptr<const OutgoingRequest> sent_;
    MonotonicTime arrivedAt_;
    MonotonicTime endsAt_ {};
    std::uint64_t fingerprint_ = 0;
    RateVerdict rateVerdict_;
    // Shortest wait for a token of an upstream that had no room within its limit.
    std::optional<Duration> limitRetryAfter_;
    std::map<Exclusion, int> exclusions_;
    bool isRoomChecked_ = false;
    int sends_ = 0;
    int failedConnects_ = 0;
    // The peer that handles the request, and those that have not taken it.
    std::string delegate_;
    std::vector<std::string> triedDelegates_;
    // Longest wait that a peer without room has named.
    std::optional<Duration> delegateRetryAfter_;
    // Set with responses that this instance generates.
    std::optional<Executed> ownVerdict_;
    bool mayHaveRun_ = false;
    bool isDone_ = false;
    // The attempt whose outcome came last, or that was sent last if there was no outcome.
    SentAttempt lastAttempt_;
    AttemptsInFlight attempts_;
    MonotonicTime delegatedAt_ {};
    std::unique_ptr<Attempt> delegateCall_;
    std::unique_ptr<PendingTimer> deadline_;
    std::unique_ptr<PendingTimer> secondAttemptTimer_;
    SecondAttemptState secondAttempt_ = SecondAttemptState::None;
};

} // namespace sapphirepass
