#include "entry/http_request_pipeline.h"

#include "admission/receive_func.h"
#include "base/event_log.h"
#include "base/random.h"
#include "base/text_func.h"
#include "base/texts.h"
#include "entry/http_problem.h"
#include "forward/sanitize_func.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <functional>
#include <pplx/threadpool.h>

namespace sapphirepass {

namespace {
    namespace http = web::http;

    // Larger bodies stream through and so can be sent to one upstream only.
    constexpr std::int64_t maxBufferedBody = 64 * 1024;
    // Larger answers of known length stream through; when they break off, the caller sees the connection end. Those of unknown length are held:
    // the library's listener damages its memory when such a stream breaks off.
    constexpr std::size_t maxHeldUpstreamAnswer = 256 * 1024;
    // Retries for each request in the long run, and at once, of what did not run and of what may have run.
    constexpr double notRunShare = 4;
    constexpr double notRunBurst = 200;
    constexpr double lostShare = 0.2;
    constexpr double lostBurst = 10;
    constexpr std::chrono::seconds giveUpRetryAfter { 1 };
    constexpr std::chrono::seconds cancelTimeout { 1 };
    constexpr std::size_t requestIdBytes = 8;
    constexpr std::string_view requestIdHeader = "Request-Id";

    auto toHeaders(const http::http_headers& headers) -> std::vector<Header>
    {
        std::vector<Header> list;
        for (const auto& [name, value] : headers)
            list.push_back({ name, value });
        return list;
    }

    auto toHead(const http::http_request& message) -> RequestHead
    {
        const auto& uri = message.request_uri();
        return { message.method(), uri.path(), uri.query(), toHeaders(message.headers()) };
    }

    // By the upstreams' protocol a shed answer says when to come back.
    auto isShed(const HttpAnswer& upstream) -> bool
    {
        return upstream.status_ == http::status_codes::ServiceUnavailable && upstream.headers_.has("Retry-After");
    }

    auto remainingTime(const Grant& grant, const Clock& clock) -> std::chrono::milliseconds
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(grant.deadline_ - clock.now());
    }

    using Timer = boost::asio::steady_timer;

    // Calls back after that time, unless the timer is cancelled before.
    auto startTimer(std::chrono::milliseconds time, std::function<void()> callback) -> std::shared_ptr<Timer>
    {
        auto timer = std::make_shared<Timer>(crossplat::threadpool::shared_instance().service(), time);
        timer->async_wait([timer, callback = std::move(callback)](const boost::system::error_code& cancelled) {
            if (!cancelled)
                callback();
        });
        return timer;
    }

    // A task's exception that nobody looks at ends the process.
    auto discardFailure(const pplx::task<MemoryBody>& task) -> void
    {
        try {
            task.wait();
        } catch (const std::exception&) {
            // The request was refused before.
        }
    }

    auto deadlineRefusal(Executed executed) -> Refusal
    {
        return { RefusalKind::DeadlinePassed, std::string(texts::deadlinePassed), executed };
    }

    auto notRunRefusal() -> Refusal
    {
        return { RefusalKind::Overloaded, std::string(texts::noUpstream), Executed::No, giveUpRetryAfter };
    }

    // Asking again is harmless only where the request may run twice.
    auto lostRefusal(Repeatability repeatability) -> Refusal
    {
        Refusal refusal { RefusalKind::UpstreamFailed, std::string(texts::upstreamFailed), Executed::Unknown };
        if (repeatability == Repeatability::Idempotent)
            refusal.retryAfter_ = giveUpRetryAfter;
        return refusal;
    }

    auto contentType(const HttpAnswer& upstream) -> utility::string_t
    {
        utility::string_t type = "application/octet-stream";
        upstream.headers_.match("Content-Type", type);
        return type;
    }

    // Status and headers for the caller.
    auto startAnswer(const HttpAnswer& upstream) -> http::http_response
    {
        http::http_response response(static_cast<http::status_code>(upstream.status_));
        response.set_reason_phrase(upstream.reason_);
        return response;
    }

    // After the body, as setting that replaces the content type.
    auto copyHeaders(const HttpAnswer& upstream, http::http_response& response) -> void
    {
        for (const auto& header : sanitizeResponseHeaders(toHeaders(upstream.headers_)))
            response.headers()[header.name_] = header.value_;
    }
}

struct HttpRequestPipeline::Exchange {
    http::http_request message_;
    InFlight::Token token_;
    MonotonicTime arrival_;
    Request request_ {};
    Grant grant_ {};
    std::shared_ptr<const Snapshot> snapshot_ {};
    std::set<std::string> tried_ {};
    RequestBody body_ {};
    int lost_ = 0;
    int notRun_ = 0;
    // Names the run at the upstream; empty if the caller has named it.
    std::string runId_ {};
    // Name of the record of a request that may run only once; empty for others.
    std::string once_ {};
};

HttpRequestPipeline::HttpRequestPipeline(const PipelineParts& parts)
    : parts_(parts)
    , notRunRetries_(notRunShare, notRunBurst)
    , lostRetries_(lostShare, lostBurst)
{
}

auto HttpRequestPipeline::handle(const http::http_request& message) -> void
{
    const auto arrival = parts_.clock_.now();
    auto exchange = std::make_shared<Exchange>(Exchange { message, parts_.inFlight_.enter(), arrival });
    const auto admitted = admit(exchange);
    if (!isOk(admitted)) {
        refuse(exchange, errorOf(admitted));
        return;
    }
    if (!passOnce(exchange))
        return;
    notRunRetries_.recordRequest();
    lostRetries_.recordRequest();
    collectBody(exchange);
}

auto HttpRequestPipeline::admit(const ExchangePtr& exchange) -> Result<Done, Refusal>
{
    if (refusing_)
        return Refusal { RefusalKind::Stopping, std::string(texts::instanceStopping), Executed::No, std::chrono::milliseconds(0) };
    auto received = receiveRequest(toHead(exchange->message_), parts_.maxHeaderBytes_, exchange->arrival_);
    if (!isOk(received))
        return errorOf(received);
    exchange->request_ = valueOf(std::move(received));
    exchange->snapshot_ = parts_.config_.snapshot();
    if (exchange->snapshot_->revision() == 0)
        return Refusal { RefusalKind::Overloaded, std::string(texts::configurationMissing), Executed::No, std::chrono::seconds(1) };
    auto granted = authenticate(*exchange->snapshot_, exchange->request_);
    if (gate_ != nullptr)
        granted = gate_->checkGrant(granted);
    if (!isOk(granted))
        return errorOf(granted);
    exchange->grant_ = valueOf(std::move(granted));
    return parts_.admitter_.admit(exchange->grant_.workspace_);
}

// Answers repeats and requests that lack a ticket; true if the request goes on.
auto HttpRequestPipeline::passOnce(const ExchangePtr& exchange) -> bool
{
    if (once_ == nullptr)
        return true;
    const auto decision = once_->decide(exchange->request_, exchange->grant_);
    if (const auto* pass = std::get_if<OnceAdmitted>(&decision)) {
        exchange->once_ = pass->ticketId_;
        return true;
    }
    if (const auto* answer = std::get_if<RecordedAnswer>(&decision)) {
        http::http_response response(static_cast<http::status_code>(answer->status_));
        response.set_body(answer->body_, answer->contentType_);
        replyEarly(exchange, response);
        return false;
    }
    const auto& refusal = std::get<OnceRefusal>(decision);
    auto response = makeProblem(refusal.refusal_);
    if (!refusal.ticket_.empty())
        response.headers().add(std::string(ticketHeader), refusal.ticket_);
    replyEarly(exchange, response);
    return false;
}

auto HttpRequestPipeline::settleOnce(const ExchangePtr& exchange, Executed executed) -> void
{
    if (exchange->once_.empty())
        return;
    if (executed == Executed::No)
        once_->releaseTicket(exchange->once_);
    else
        once_->recordOutcome(exchange->once_, OnceOutcomeUnknown {});
}

auto HttpRequestPipeline::collectBody(const ExchangePtr& exchange) -> void
{
    const auto length = exchange->request_.length_;
    if (length == 0) {
        steer(exchange);
        return;
    }
    if (length > maxBufferedBody) {
        exchange->body_ = StreamBody { exchange->message_.body(), length };
        steer(exchange);
        return;
    }
    // Settled once: by the body's arrival or by the deadline.
    auto settled = std::make_shared<std::atomic<bool>>(false);
    auto timer = startTimer(remainingTime(exchange->grant_, parts_.clock_), [this, exchange, settled] {
        if (!settled->exchange(true))
            refuse(exchange, deadlineRefusal(Executed::No));
    });
    exchange->message_.extract_vector().then([this, exchange, settled, timer](const pplx::task<MemoryBody>& task) {
        boost::system::error_code ignored;
        timer->cancel(ignored);
        if (settled->exchange(true)) {
            discardFailure(task);
            return;
        }
        try {
            exchange->body_ = task.get();
        } catch (const std::exception& error) {
            refuse(exchange, { RefusalKind::BadRequest, error.what() });
            return;
        }
        steer(exchange);
    });
}

auto HttpRequestPipeline::steer(const ExchangePtr& exchange) -> void
{
    const auto& grant = exchange->grant_;
    if (remainingTime(grant, parts_.clock_).count() <= 0) {
        refuse(exchange, deadlineRefusal(Executed::No));
        return;
    }
    const SteeringRequest request { exchange->snapshot_, grant.route_.service_, grant.workspace_.name_, grant.repeatability_, grant.deadline_, exchange->tried_, exchange->request_.length_ };
    parts_.steering_.acquire(request, [this, exchange](const Result<Assignment, Refusal>& assigned) {
        if (!isOk(assigned)) {
            refuse(exchange, errorOf(assigned));
            return;
        }
        // The key may have been withdrawn while the request waited.
        const bool passes = gate_ == nullptr || isOk(gate_->checkGrant(exchange->grant_));
        if (!passes || !isKeyStillValid(*parts_.config_.snapshot(), exchange->grant_)) {
            parts_.steering_.release(valueOf(assigned), CallOutcome::NotSent);
            refuse(exchange, { RefusalKind::Unauthorized, std::string(texts::keyUnknown) });
            return;
        }
        forward(exchange, valueOf(assigned));
    });
}

auto HttpRequestPipeline::forward(const ExchangePtr& exchange, const Assignment& assignment) -> void
{
    const auto& request = exchange->request_;
    const auto remaining = remainingTime(exchange->grant_, parts_.clock_);
    if (remaining.count() <= 0) {
        parts_.steering_.release(assignment, CallOutcome::NotSent);
        refuse(exchange, deadlineRefusal(Executed::No));
        return;
    }
    exchange->tried_.insert(assignment.upstream_.name_);
    const auto query = sanitizeQuery(request.query_);
    auto headers = sanitizeRequestHeaders(request.headers_);
    std::erase_if(headers, [](const Header& header) { return header.name_ == deadlineHeader || equalsIgnoreCase(header.name_, ticketHeader) || header.name_ == "Sapphirepass-Workspace"; });
    headers.push_back({ std::string(deadlineHeader), fmt::format("{}", hopDeadline(remaining).count()) });
    const bool named = std::any_of(headers.begin(), headers.end(), [](const Header& header) { return equalsIgnoreCase(header.name_, requestIdHeader); });
    exchange->runId_ = named ? std::string() : randomHex(requestIdBytes);
    if (!named)
        headers.push_back({ std::string(requestIdHeader), exchange->runId_ });
    headers.push_back({ "Sapphirepass-Workspace", request.workspace_ });
    const auto target = query.empty() ? request.path_ : fmt::format("{}?{}", request.path_, query);
    HttpCall call { request.method_, target, std::move(headers), exchange->body_, exchange->grant_.repeatability_, remaining, maxHeldUpstreamAnswer };
    upstreams_.call(assignment.upstream_.address_, std::move(call)).then([this, exchange, assignment](HttpCallResult result) {
        finishCall(exchange, assignment, std::move(result));
    });
}

auto HttpRequestPipeline::finishCall(const ExchangePtr& exchange, const Assignment& assignment, HttpCallResult result) -> void
{
    if (isOk(result)) {
        auto upstream = valueOf(std::move(result));
        if (isShed(upstream))
            retryOrRefuse(exchange, assignment, CallOutcome::Shed, notRunRefusal());
        else if (std::holds_alternative<ArrivingBody>(upstream.body_))
            answerStreamed(exchange, assignment, upstream);
        else
            answerWhole(exchange, assignment, std::move(upstream));
        return;
    }
    const auto& error = errorOf(result);
    logEvent(EventId::UpstreamCallFailed, "upstream={} message=\"{}\"", assignment.upstream_.name_, error.message_);
    switch (error.kind_) {
    case HttpCallErrorKind::NotSent:
        retryOrRefuse(exchange, assignment, CallOutcome::NotSent, notRunRefusal());
        return;
    case HttpCallErrorKind::Lost:
        retryOrRefuse(exchange, assignment, CallOutcome::Lost, lostRefusal(exchange->grant_.repeatability_));
        return;
    case HttpCallErrorKind::TimedOut:
        refuseLate(exchange, assignment);
        return;
    }
}

auto HttpRequestPipeline::retryOrRefuse(const ExchangePtr& exchange, const Assignment& assignment, CallOutcome outcome, const Refusal& refusal) -> void
{
    parts_.steering_.release(assignment, outcome);
    const bool lost = outcome == CallOutcome::Lost;
    ++(lost ? exchange->lost_ : exchange->notRun_);
    const FailedAttempt attempt { outcome, exchange->grant_.repeatability_, std::holds_alternative<MemoryBody>(exchange->body_),
        exchange->lost_, exchange->notRun_, remainingTime(exchange->grant_, parts_.clock_) };
    if (mayRetry(attempt) && (lost ? lostRetries_ : notRunRetries_).tryConsume())
        steer(exchange);
    else
        refuse(exchange, refusal);
}

auto HttpRequestPipeline::refuseLate(const ExchangePtr& exchange, const Assignment& assignment) -> void
{
    cancelRun(exchange, assignment);
    parts_.steering_.release(assignment, CallOutcome::TimedOut);
    refuse(exchange, deadlineRefusal(Executed::Unknown));
}

// Asks the upstream to end a run whose deadline has passed. Nothing depends on the answer.
auto HttpRequestPipeline::cancelRun(const ExchangePtr& exchange, const Assignment& assignment) -> void
{
    if (exchange->runId_.empty())
        return;
    upstreams_.call(assignment.upstream_.address_, { "POST", fmt::format("/v1/cancel/{}", exchange->runId_), {}, MemoryBody {}, Repeatability::Once, cancelTimeout });
}

auto HttpRequestPipeline::noteAnswerBytes(const ExchangePtr& exchange, const Assignment& assignment, std::int64_t bytes) -> void
{
    const auto* domain = exchange->snapshot_->find<FailureDomain>(assignment.upstream_.domain_);
    if (parts_.links_ != nullptr && domain != nullptr)
        parts_.links_->recordResponse(*exchange->snapshot_, { assignment.upstream_.service_, parts_.region_, domain->region_ }, bytes);
}

auto HttpRequestPipeline::answerWhole(const ExchangePtr& exchange, const Assignment& assignment, HttpAnswer upstream) -> void
{
    auto response = startAnswer(upstream);
    auto bytes = std::get<MemoryBody>(std::move(upstream.body_));
    noteAnswerBytes(exchange, assignment, static_cast<std::int64_t>(bytes.size()));
    if (!exchange->once_.empty())
        once_->recordOutcome(exchange->once_, RecordedAnswer { static_cast<http::status_code>(upstream.status_), contentType(upstream), std::string(bytes.begin(), bytes.end()) });
    response.set_body(std::move(bytes));
    parts_.steering_.release(assignment, CallOutcome::Answered);
    copyHeaders(upstream, response);
    reply(exchange, response);
}

// If the body breaks off, the caller sees the connection end.
auto HttpRequestPipeline::answerStreamed(const ExchangePtr& exchange, const Assignment& assignment, const HttpAnswer& upstream) -> void
{
    const auto& body = std::get<ArrivingBody>(upstream.body_);
    auto response = startAnswer(upstream);
    response.set_body(body.stream_, static_cast<utility::size64_t>(body.length_), contentType(upstream));
    copyHeaders(upstream, response);
    // Too large to be kept for a repeat.
    settleOnce(exchange, Executed::Unknown);
    noteAnswerBytes(exchange, assignment, body.length_);
    // Holds the exchange, so that the pipeline lives until the slot is released.
    body.end_.then([this, exchange, assignment](const std::string& failure) {
        if (!failure.empty())
            logEvent(EventId::AnswerCut, "upstream={} message=\"{}\"", assignment.upstream_.name_, failure);
        parts_.steering_.release(assignment, failure.empty() ? CallOutcome::Answered : CallOutcome::Lost);
    });
    reply(exchange, response);
}

auto HttpRequestPipeline::refuse(const ExchangePtr& exchange, const Refusal& refusal) -> void
{
    settleOnce(exchange, refusal.executed_);
    replyEarly(exchange, makeProblem(refusal));
}

auto HttpRequestPipeline::replyEarly(const ExchangePtr& exchange, const http::http_response& response) -> void
{
    if (exchange->message_.content_ready().is_done())
        reply(exchange, response);
    else
        replyUncounted(exchange, response);
}

// The library sends no answer before the whole body has arrived, which may be never: a refusal that waits
// for that must not hold up a stop, so it touches nothing of this instance any more.
auto HttpRequestPipeline::replyUncounted(const ExchangePtr& exchange, const http::http_response& response) -> void
{
    parts_.metrics_.increment({ "requests_total", fmt::format("status=\"{}\"", response.status_code()) });
    const auto message = exchange->message_;
    exchange->token_.reset();
    message.reply(response).then([](const pplx::task<void>& sent) {
        try {
            sent.wait();
        } catch (const std::exception&) {
            // The caller has gone, or the instance has stopped.
        }
    });
}

auto HttpRequestPipeline::reply(const ExchangePtr& exchange, const http::http_response& response) -> void
{
    parts_.metrics_.increment({ "requests_total", fmt::format("status=\"{}\"", response.status_code()) });
    exchange->message_.reply(response).then([this, exchange](const pplx::task<void>& sent) {
        try {
            sent.wait();
        } catch (const std::exception&) {
            parts_.metrics_.increment({ "answers_unsent_total" });
        }
        const std::chrono::duration<double> elapsed = parts_.clock_.now() - exchange->arrival_;
        parts_.metrics_.observe({ "request_seconds" }, elapsed.count());
    });
}

} // namespace sapphirepass
