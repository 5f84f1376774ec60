#include "gateway/request_run.h"

#include "gateway/hashing.h"

#include <algorithm>
#include <fmt/format.h>

namespace sapphirepass {

namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {
    // Beyond the route's time, so that an answer on its way at the limit is still passed on.
    constexpr Duration answerGrace = 60ms;
    // Before the caller leaves, so that the final answer reaches it.
    constexpr Duration callerMargin = 20ms;
    // Assumed time of a request whose route has not been answered yet, in parts of its target.
    constexpr int assumedTargets = 1;
    // Connections that may fail for one request before it is given up.
    constexpr int mostFailedConnects = 4;
    // Work that would start after this part of the time left ends too late for most requests.
    constexpr double waitPart = 0.6;
    // An answer that takes this many times the usual work says something about its upstream.
    constexpr int patience = 2;
    // Until a declaration or an upstream is known: about the time of a restart's first reads.
    constexpr Duration startupRetry = 500ms;
    // A refusal by load asks for a return after about the time of the work ahead.
    constexpr Duration leastRetryAfter = 150ms;

    auto view(boost::beast::string_view text) -> std::string_view { return { text.data(), text.size() }; }
    auto milliseconds(Duration duration) -> std::int64_t { return duration / 1ms; }

    // Regions in both lists; an empty list stands for all regions.
    auto commonHomes(const std::vector<std::string>& route, const std::vector<std::string>& workspace) -> std::vector<std::string>
    {
        if (route.empty() || workspace.empty())
            return route.empty() ? workspace : route;
        std::vector<std::string> common;
        for (const auto& region : route) {
            if (std::find(workspace.begin(), workspace.end(), region) != workspace.end())
                common.push_back(region);
        }
        // No region may run it: a name that no region has.
        return common.empty() ? std::vector<std::string> { "" } : common;
    }
}

RequestRun::RequestRun(RequestContext& context, OutgoingRequest request, Answer answer)
    : context_(context)
    , request_(std::move(request))
    , answer_(std::move(answer))
    , index_(context.index_)
    , arrivedAt_(context.clock_.now())
{
}

auto RequestRun::start() -> void
{
    marks_ = readMarks(request_, context_.names_);
    if (!checkRequest() || !checkKey() || !checkDeadline() || !checkCrashes())
        return;
    startDeadline();
    checkRate();
}

auto RequestRun::checkRequest() -> bool
{
    if (!index_) {
        finishOwn(503, "no-declaration", Executed::No, startupRetry);
        return false;
    }
    if (request_.count(http::field::host) != 1) {
        finishOwn(400, "host-missing-or-twice", Executed::No);
        return false;
    }
    const auto target = view(request_.target());
    route_ = index_->route(view(request_[http::field::host]), target.substr(0, target.find('?')));
    if (route_ == nullptr)
        finishOwn(404, "no-route", Executed::No);
    return route_ != nullptr;
}

auto RequestRun::checkKey() -> bool
{
    if (marks_.key_)
        workspace_ = index_->workspaceOf(*marks_.key_);
    const bool open = route_->anonymous_ || !index_->requiresKeys();
    if (!open && workspace_ == nullptr)
        finishOwn(401, marks_.key_ ? "key-unknown" : "key-missing", Executed::No);
    return open || workspace_ != nullptr;
}

auto RequestRun::checkDeadline() -> bool
{
    const auto callerTime = marks_.deadline_.value_or(route_->timeout_ + callerMargin) - callerMargin;
    endsAt_ = arrivedAt_ + std::min(callerTime, route_->timeout_);
    if (left() > Duration::zero())
        return true;
    finishOwn(503, "deadline-passed", Executed::No);
    return false;
}

auto RequestRun::checkCrashes() -> bool
{
    const auto name = workspace_ == nullptr ? std::string() : workspace_->name_;
    const auto head = stableHash(view(request_.target()), stableHash(name, stableHash(view(request_.method_string()))));
    fingerprint_ = stableHash(request_.body(), head);
    if (!context_.crashes_.isBarred(fingerprint_))
        return true;
    finishOwn(503, "crashes-upstreams", Executed::No, 2s);
    return false;
}

auto RequestRun::startDeadline() -> void
{
    const auto self = weak_from_this();
    deadline_ = context_.alarms_.after(left() + answerGrace, [self] {
        if (const auto run = self.lock())
            run->onTimeout();
    });
}

auto RequestRun::checkRate() -> void
{
    if (workspace_ == nullptr)
        return onRate({});
    const auto self = weak_from_this();
    context_.rates_.admit(*workspace_, [self](const RateVerdict& verdict) {
        if (const auto run = self.lock())
            run->onRate(verdict);
    });
}

auto RequestRun::onRate(const RateVerdict& verdict) -> void
{
    if (isDone_)
        return;
    rate_ = verdict;
    if (!verdict.admitted_)
        return finishOwn(429, "over-rate", Executed::No, std::max<Duration>(leastRetryAfter, verdict.retryAfter_));
    prepare();
    tryUpstream();
}

auto RequestRun::prepare() -> void
{
    serviceName_ = context_.split_.next(*route_);
    service_ = index_->service(serviceName_);
    homes_ = commonHomes(route_->homeRegions_, workspace_ == nullptr ? std::vector<std::string>() : workspace_->homeRegions_);
    query_.service_ = serviceName_;
    query_.homes_ = &homes_;
    query_.homedParts_ = &index_->homeRegionShares();
    query_.spread_ = stableHash(marks_.attempt_);
    if (route_->affinity_ && marks_.object_)
        query_.object_ = stableHash(*marks_.object_, stableHash(route_->name_));
    query_.coldPerSecond_ = service_ == nullptr ? 0 : service_->coldPerSecond_;
    query_.latencyTarget_ = route_->latencyTarget_;
    query_.usualWork_ = context_.workTimes_.usual(route_->name_, route_->latencyTarget_ * assumedTargets);
    forwarded_ = std::make_shared<OutgoingRequest>(forwardedRequest(request_, context_.names_, workspace_ == nullptr ? std::string() : workspace_->name_));
    context_.retries_.noteRequest(serviceName_);
}

auto RequestRun::tryUpstream() -> void
{
    query_.longestWait_ = std::chrono::duration_cast<Duration>(left() * waitPart);
    const auto result = context_.placer_.place(query_);
    if (const auto* placement = std::get_if<Placement>(&result))
        send(*placement);
    else
        refuseUnplaced(std::get<PlacementRefusal>(result));
}

auto RequestRun::send(const Placement& placement) -> void
{
    sent_ = { placement.upstream_, context_.clock_.now(), placement.rank_, placement.occupied_, placement.owners_ };
    auto request = std::make_shared<OutgoingRequest>(*forwarded_);
    addressAttempt(*request, context_.names_, placement.upstream_->entry_, left());
    context_.placer_.noteSent(*placement.upstream_, query_);
    context_.upstreams_.noteSent(*placement.upstream_, sent_.at_);
    ++sends_;
    const auto self = weak_from_this();
    attempt_ = context_.caller_.call(placement.upstream_, request, [self](AttemptOutcome outcome) {
        if (const auto run = self.lock())
            run->onOutcome(std::move(outcome));
    });
}

auto RequestRun::releaseAttempt() -> void
{
    if (!attempt_)
        return;
    attempt_.reset();
    context_.upstreams_.noteEnded(*sent_.upstream_, sent_.at_);
}

auto RequestRun::onOutcome(AttemptOutcome outcome) -> void
{
    if (isDone_)
        return;
    releaseAttempt();
    if (auto* response = std::get_if<UpstreamResponse>(&outcome))
        onResponse(std::move(*response));
    else
        onLoss(std::get<AttemptLoss>(outcome));
}

auto RequestRun::onLoss(const AttemptLoss& loss) -> void
{
    const bool sent = loss.kind_ != LossKind::NotSent;
    context_.upstreams_.noteAttempt(*sent_.upstream_, loss.kind_ == LossKind::Garbled ? AttemptHealth::Failed : AttemptHealth::Lost);
    context_.log_.write(EventId::AttemptLost, { { "request", marks_.attempt_ }, { "upstream", sent_.upstream_->entry_.id_ }, { "sent", sent }, { "reason", loss.reason_ }, { "after_ms", milliseconds(context_.clock_.now() - sent_.at_) } });
    query_.tried_.push_back(sent_.upstream_->entry_.id_);
    if (!sent) {
        --sends_;
        if (++failedConnects_ < mostFailedConnects)
            return tryUpstream();
        return finishOwn(mayHaveRun_ ? 502 : 503, "no-connection", mayHaveRun_ ? Executed::Unknown : Executed::No, leastRetryAfter);
    }
    mayHaveRun_ = true;
    if (loss.kind_ == LossKind::Cut)
        context_.crashes_.noteLost(fingerprint_, sent_.upstream_->entry_.id_);
    if (mayRepeat(true) && !context_.crashes_.isBarred(fingerprint_))
        return tryUpstream();
    finishOwn(502, "upstream-lost", Executed::Unknown);
}

auto RequestRun::isWholeSuccess(const UpstreamResponse& response) const -> bool
{
    const auto& names = context_.names_;
    return response.count({ names.signature_.data(), names.signature_.size() }) == 1 && response.count(http::field::content_encoding) == 0;
}

auto RequestRun::onResponse(UpstreamResponse response) -> void
{
    if (const auto load = readLoad(response, context_.names_))
        context_.upstreams_.noteLoad(*sent_.upstream_, *load);
    const auto status = response.result_int();
    const bool notRun = response.count({ context_.names_.notRun_.data(), context_.names_.notRun_.size() }) > 0 || status == 421;
    if (notRun)
        return onNotRun(response);
    mayHaveRun_ = true;
    context_.crashes_.noteAnswered(fingerprint_);
    if (status / 100 == 2 && isWholeSuccess(response)) {
        context_.upstreams_.noteAttempt(*sent_.upstream_, AttemptHealth::Answered);
        const auto work = context_.clock_.now() - sent_.at_;
        context_.workTimes_.note(route_->name_, work);
        context_.metrics_.observe({ "gateway_upstream_seconds", {} }, inSeconds(work));
        return finish(forwardedResponse(std::move(response)), "answered");
    }
    onFailure(std::move(response));
}

auto RequestRun::onNotRun(const UpstreamResponse& response) -> void
{
    context_.upstreams_.noteAttempt(*sent_.upstream_, response.result_int() == 421 ? AttemptHealth::WrongUpstream : AttemptHealth::Shed);
    context_.log_.write(EventId::AttemptNotRun, { { "request", marks_.attempt_ }, { "upstream", sent_.upstream_->entry_.id_ }, { "status", response.result_int() }, { "occupied", sent_.occupied_ } });
    query_.tried_.push_back(sent_.upstream_->entry_.id_);
    if (mayRepeat(false))
        return tryUpstream();
    finishOwn(mayHaveRun_ ? 502 : 503, "upstream-full", mayHaveRun_ ? Executed::Unknown : Executed::No, std::max<Duration>(leastRetryAfter, query_.usualWork_));
}

// The upstream failed the request, or its answer cannot be its own.
auto RequestRun::onFailure(UpstreamResponse response) -> void
{
    const auto status = response.result_int();
    const bool serverError = status / 100 == 5;
    const bool unsigned2xx = status / 100 == 2;
    context_.upstreams_.noteAttempt(*sent_.upstream_, serverError || unsigned2xx ? AttemptHealth::Failed : AttemptHealth::Answered);
    context_.log_.write(EventId::AttemptFailed, { { "request", marks_.attempt_ }, { "upstream", sent_.upstream_->entry_.id_ }, { "status", status } });
    query_.tried_.push_back(sent_.upstream_->entry_.id_);
    if ((serverError || unsigned2xx) && mayRepeat(true))
        return tryUpstream();
    if (unsigned2xx)
        return finishOwn(502, "answer-unsigned", Executed::Unknown);
    // These statuses would promise that it has not run, which only an upstream that says so may do.
    if (status == 503 || status == 429 || status == 408)
        return finishOwn(502, "upstream-failed", Executed::Unknown);
    finish(forwardedResponse(std::move(response)), "upstream-failed");
}

auto RequestRun::mayRepeat(bool mayHaveRun) -> bool
{
    if (mayHaveRun && route_->repeat_ != RepeatRule::Idempotent)
        return false;
    if (sends_ >= route_->maxAttempts_ || left() <= query_.usualWork_ / 4)
        return false;
    return context_.retries_.takeRetry(serviceName_);
}

auto RequestRun::refuseUnplaced(PlacementRefusal refusal) -> void
{
    const auto reason = refusal == PlacementRefusal::Full ? "all-full" : "no-upstream";
    if (mayHaveRun_)
        return finishOwn(502, reason, Executed::Unknown);
    finishOwn(503, reason, Executed::No, std::max<Duration>(leastRetryAfter, query_.usualWork_));
}

auto RequestRun::onTimeout() -> void
{
    if (isDone_)
        return;
    const bool ran = mayHaveRun_ || attempt_ != nullptr;
    noteUnanswered();
    finishOwn(ran ? 504 : 503, "timeout", ran ? Executed::Unknown : Executed::No);
}

auto RequestRun::cancel() -> void
{
    if (isDone_)
        return;
    isDone_ = true;
    noteUnanswered();
    releaseAttempt();
    deadline_.reset();
    tellEnd(0, "caller-left");
}

// One that has answered nobody since then is silent, not slow.
auto RequestRun::noteUnanswered() -> void
{
    const auto waited = context_.clock_.now() - sent_.at_;
    if (!attempt_ || waited < query_.usualWork_ * patience)
        return;
    const bool isSilent = sent_.upstream_->loadAt_ < sent_.at_;
    context_.upstreams_.noteAttempt(*sent_.upstream_, isSilent ? AttemptHealth::Lost : AttemptHealth::Failed);
}

auto RequestRun::finishOwn(unsigned status, std::string_view reason, Executed executed, std::optional<Duration> retryAfter) -> void
{
    finish(ownAnswer(status, reason, executed, retryAfter), reason);
}

auto RequestRun::finish(UpstreamResponse response, std::string_view reason) -> void
{
    isDone_ = true;
    releaseAttempt();
    deadline_.reset();
    tellEnd(response.result_int(), reason);
    answer_(std::move(response));
}

auto RequestRun::tellEnd(unsigned status, std::string_view reason) -> void
{
    const auto took = context_.clock_.now() - arrivedAt_;
    const auto outcome = fmt::format("outcome=\"{}\"", reason);
    context_.metrics_.increment({ "gateway_requests_total", outcome });
    context_.metrics_.observe({ "gateway_request_seconds", outcome }, inSeconds(took));
    const bool success = status / 100 == 2;
    if (success && !context_.log_.keepsSuccess(marks_.attempt_))
        return;
    LogFields fields { { "request", marks_.attempt_ }, { "status", status }, { "reason", reason }, { "took_ms", milliseconds(took) } };
    fields["version"] = index_ ? index_->declaration().version_ : 0;
    if (route_ != nullptr)
        fields["route"] = route_->name_;
    if (workspace_ != nullptr) {
        fields["workspace"] = workspace_->name_;
        fields["rate_per_s"] = workspace_->ratePerSecond_;
        fields["burst"] = workspace_->burst_;
        fields["token"] = rate_.source_;
    }
    if (forwarded_) {
        fields["usual_ms"] = milliseconds(query_.usualWork_);
        fields["longest_wait_ms"] = milliseconds(query_.longestWait_);
    }
    if (query_.object_)
        fields["object"] = fmt::format("{:016x}", *query_.object_);
    if (sent_.upstream_) {
        fields["upstream"] = sent_.upstream_->entry_.id_;
        fields["rank"] = sent_.rank_;
        fields["owners"] = sent_.owners_;
        fields["occupied"] = sent_.occupied_;
        fields["load_age_ms"] = milliseconds(context_.clock_.now() - sent_.upstream_->loadAt_);
        fields["sends"] = sends_;
    }
    context_.log_.write(success ? EventId::RequestAnswered : EventId::RequestEnded, std::move(fields));
}

} // namespace sapphirepass
