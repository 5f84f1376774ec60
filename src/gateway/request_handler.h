// The life of one request: checks, placing, attempts, and its one final answer.
#pragma once

#include "base/metrics.h"
#include "gateway/decision_log.h"
#include "gateway/declaration_index.h"
#include "gateway/forwarding.h"
#include "gateway/limits.h"
#include "gateway/placement.h"
#include "gateway/problem_response.h"
#include "gateway/rate_limiter.h"
#include "gateway/response_times.h"
#include "gateway/timer_service.h"
#include "gateway/traffic_splitter.h"
#include "gateway/upstream_caller.h"

namespace sapphirepass {

// What requests share on one instance. All of it lives longer than any request.
struct RequestContext {
    const Clock& clock_;
    TimerService& alarms_;
    const HeaderNames& names_;
    // The declaration in force; null before the first.
    std::shared_ptr<const DeclarationIndex> index_;
    UpstreamSet& upstreams_;
    Placer& placer_;
    RateLimiter& rates_;
    RetryLimiter& retries_;
    CrashTracker& crashes_;
    TrafficSplitter& split_;
    ResponseTimes& workTimes_;
    UpstreamCaller& caller_;
    DecisionLog& log_;
    Metrics& metrics_;
};

class RequestHandler : public std::enable_shared_from_this<RequestHandler> {
public:
    using Answer = std::function<void(UpstreamResponse)>;

    RequestHandler(RequestContext& context, OutgoingRequest request, Answer answer);

    auto start() -> void;
    // The caller has left: the attempt ends, nothing more is sent.
    auto cancel() -> void;

private:
    struct Sent {
        UpstreamPtr upstream_;
        MonotonicTime at_ {};
        int rank_ = 0;
        int occupied_ = 0;
        std::size_t owners_ = 0;
    };

    auto checkRequest() -> bool;
    auto checkKey() -> bool;
    auto checkDeadline() -> bool;
    auto checkRate() -> void;
    auto onRate(const RateVerdict& verdict) -> void;
    auto checkCrashes() -> bool;
    auto prepare() -> void;
    auto startDeadline() -> void;
    auto tryUpstream() -> void;
    auto send(const Placement& placement) -> void;
    auto onOutcome(AttemptOutcome outcome) -> void;
    auto onLoss(const TransportError& loss) -> void;
    auto onResponse(UpstreamResponse response) -> void;
    auto onNotRun(const UpstreamResponse& response) -> void;
    auto onFailure(UpstreamResponse response) -> void;
    auto onTimeout() -> void;
    auto isWholeSuccess(const UpstreamResponse& response) const -> bool;
    // Whether another upstream may get the request, after one that may have run it or certainly did not.
    auto mayRepeat(bool mayHaveRun) -> bool;
    auto refuseUnplaced(PlacementRefusal refusal) -> void;
    auto finishOwn(unsigned status, std::string_view reason, Executed executed, std::optional<Duration> retryAfter = std::nullopt) -> void;
    auto finish(UpstreamResponse response, std::string_view reason) -> void;
    auto tellEnd(unsigned status, std::string_view reason) -> void;
    auto left() const -> Duration { return endsAt_ - context_.clock_.now(); }
    auto releaseAttempt() -> void;
    // Judges an upstream whose answer is no longer waited for.
    auto noteUnanswered() -> void;

    RequestContext& context_;
    OutgoingRequest request_;
    Answer answer_;
    std::shared_ptr<const DeclarationIndex> index_;
    CallerMarks marks_;
    const DeclaredRoute* route_ = nullptr;
    const DeclaredWorkspace* workspace_ = nullptr;
    const DeclaredService* service_ = nullptr;
    std::string serviceName_;
    std::vector<std::string> homes_;
    PlacementQuery query_;
    std::shared_ptr<const OutgoingRequest> forwarded_;
    MonotonicTime arrivedAt_;
    MonotonicTime endsAt_ {};
    std::uint64_t fingerprint_ = 0;
    RateVerdict rate_;
    int sends_ = 0;
    int failedConnects_ = 0;
    bool mayHaveRun_ = false;
    bool isDone_ = false;
    Sent sent_;
    std::unique_ptr<Attempt> attempt_;
    std::unique_ptr<PendingTimer> deadline_;
};

} // namespace sapphirepass
