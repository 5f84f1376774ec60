#include "entry/http_request_pipeline.h"

#include "admission/receive_func.h"
#include "base/event_log.h"
#include "base/texts.h"
#include "entry/http_problem.h"
#include "forward/hygiene_func.h"

#include <fmt/format.h>

namespace sapphirepass {

namespace {
    namespace http = web::http;

    // Larger bodies stream through and so can be sent to one upstream only.
    constexpr std::int64_t maxBufferedBody = 64 * 1024;
    // Upstreams that one request is tried on.
    constexpr std::size_t maxAttempts = 3;

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
    auto isShed(const http::http_response& response) -> bool
    {
        return response.status_code() == http::status_codes::ServiceUnavailable && response.headers().has("Retry-After");
    }

    auto remainingTime(const Grant& grant, const Clock& clock) -> std::chrono::milliseconds
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(grant.deadline_ - clock.now());
    }

    auto deadlineRefusal(Executed executed) -> Refusal
    {
        return { RefusalKind::DeadlinePassed, std::string(texts::deadlinePassed), executed };
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
    UpstreamBody body_ {};
};

HttpRequestPipeline::HttpRequestPipeline(const PipelineParts& parts)
    : parts_(parts)
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
        granted = gate_->review(granted);
    if (!isOk(granted))
        return errorOf(granted);
    exchange->grant_ = valueOf(std::move(granted));
    return parts_.admitter_.admit(exchange->grant_.workspace_);
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
    exchange->message_.extract_vector().then([this, exchange](const pplx::task<MemoryBody>& task) {
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
    const SteerRequest request { exchange->snapshot_, grant.route_.service_, grant.workspace_.name_, grant.repeatability_, grant.deadline_, exchange->tried_, exchange->request_.length_ };
    parts_.steering_.acquire(request, [this, exchange](const Result<Assignment, Refusal>& assigned) {
        if (!isOk(assigned)) {
            refuse(exchange, errorOf(assigned));
            return;
        }
        // The key may have been withdrawn while the request waited.
        const bool passes = gate_ == nullptr || isOk(gate_->review(exchange->grant_));
        if (!passes || !isStillGranted(*parts_.config_.snapshot(), exchange->grant_)) {
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
    const auto query = upstreamQuery(request.query_);
    auto headers = upstreamHeaders(request.headers_);
    std::erase_if(headers, [](const Header& header) { return header.name_ == deadlineHeader || header.name_ == "Sapphirepass-Workspace"; });
    headers.push_back({ std::string(deadlineHeader), fmt::format("{}", remaining.count()) });
    headers.push_back({ "Sapphirepass-Workspace", request.workspace_ });
    const auto target = query.empty() ? request.path_ : fmt::format("{}?{}", request.path_, query);
    const UpstreamRequest call { request.method_, target, std::move(headers), exchange->body_, exchange->grant_.repeatability_, remaining };
    upstreams_.call(assignment.upstream_, call).then([this, exchange, assignment](const UpstreamResult& result) {
        finishCall(exchange, assignment, result);
    });
}

auto HttpRequestPipeline::finishCall(const ExchangePtr& exchange, const Assignment& assignment, const UpstreamResult& result) -> void
{
    if (isOk(result)) {
        const auto& response = valueOf(result);
        if (isShed(response))
            retryOrRefuse(exchange, assignment, CallOutcome::Shed, { RefusalKind::Overloaded, std::string(texts::noUpstream), Executed::No, std::chrono::seconds(1) });
        else
            answer(exchange, assignment, response);
        return;
    }
    const auto& error = errorOf(result);
    logEvent(EventId::UpstreamCallFailed, "upstream={} message=\"{}\"", assignment.upstream_.name_, error.message_);
    switch (error.kind_) {
    case UpstreamErrorKind::NotSent:
        retryOrRefuse(exchange, assignment, CallOutcome::NotSent, { RefusalKind::Overloaded, std::string(texts::noUpstream), Executed::No, std::chrono::seconds(1) });
        return;
    case UpstreamErrorKind::Lost:
        retryOrRefuse(exchange, assignment, CallOutcome::Lost, { RefusalKind::UpstreamFailed, std::string(texts::upstreamFailed), Executed::Unknown });
        return;
    case UpstreamErrorKind::TimedOut:
        parts_.steering_.release(assignment, CallOutcome::TimedOut);
        refuse(exchange, deadlineRefusal(Executed::Unknown));
        return;
    }
}

// A request is tried again only if it certainly has not run or may run twice, and its body can be sent again.
auto HttpRequestPipeline::retryOrRefuse(const ExchangePtr& exchange, const Assignment& assignment, CallOutcome outcome, const Refusal& refusal) -> void
{
    parts_.steering_.release(assignment, outcome);
    const bool harmless = outcome != CallOutcome::Lost || exchange->grant_.repeatability_ == Repeatability::Idempotent;
    const bool resendable = std::holds_alternative<MemoryBody>(exchange->body_);
    if (harmless && resendable && exchange->tried_.size() < maxAttempts)
        steer(exchange);
    else
        refuse(exchange, refusal);
}

auto HttpRequestPipeline::answer(const ExchangePtr& exchange, const Assignment& assignment, const http::http_response& upstream) -> void
{
    http::http_response response(upstream.status_code());
    response.set_reason_phrase(upstream.reason_phrase());
    utility::size64_t length = 0;
    utility::string_t type = "application/octet-stream";
    upstream.headers().match("Content-Type", type);
    if (upstream.headers().match("Content-Length", length))
        response.set_body(upstream.body(), length, type);
    else
        response.set_body(upstream.body(), type);
    for (const auto& header : callerHeaders(toHeaders(upstream.headers())))
        response.headers()[header.name_] = header.value_;
    // Holds the exchange, so that the pipeline lives until the slot is released.
    upstream.content_ready().then([this, exchange, assignment](const pplx::task<http::http_response>& ready) {
        parts_.steering_.release(assignment, CallOutcome::Answered);
        try {
            ready.wait();
        } catch (const std::exception& error) {
            logEvent(EventId::AnswerCut, "upstream={} message=\"{}\"", assignment.upstream_.name_, error.what());
        }
    });
    reply(exchange, response);
}

auto HttpRequestPipeline::refuse(const ExchangePtr& exchange, const Refusal& refusal) -> void
{
    if (exchange->message_.content_ready().is_done())
        reply(exchange, makeProblem(refusal));
    else
        replyUncounted(exchange, makeProblem(refusal));
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
