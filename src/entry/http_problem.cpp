#include "entry/http_problem.h"

#include <cpprest/json.h>

namespace sapphirepass {

namespace {
    struct Problem {
        web::http::status_code status_;
        const char* title_;
    };

    auto describeKind(RefusalKind kind) -> Problem
    {
        switch (kind) {
        case RefusalKind::BadRequest:
            return { 400, "Bad request" };
        case RefusalKind::HeadersTooLarge:
            return { 431, "Headers too large" };
        case RefusalKind::BodyTooLarge:
            return { 413, "Body too large" };
        case RefusalKind::LengthRequired:
            return { 411, "Length required" };
        case RefusalKind::Unauthorized:
            return { 401, "Unauthorized" };
        case RefusalKind::Forbidden:
            return { 403, "Forbidden" };
        case RefusalKind::NotFound:
            return { 404, "Not found" };
        case RefusalKind::Conflict:
            return { 409, "Conflict" };
        case RefusalKind::OverRate:
            return { 429, "Over the rate" };
        case RefusalKind::Overloaded:
            return { 503, "Overloaded" };
        case RefusalKind::Stopping:
            return { 503, "Stopping" };
        case RefusalKind::UpstreamFailed:
            return { 502, "Upstream failed" };
        case RefusalKind::DeadlinePassed:
            return { 504, "Deadline passed" };
        case RefusalKind::TicketNeeded:
            return { 428, "Ticket needed" };
        case RefusalKind::OtherInstance:
            return { 421, "Other instance" };
        case RefusalKind::Gone:
            return { 410, "Ticket void" };
        }
        return { 500, "Internal error" };
    }
}

auto makeProblem(const Refusal& refusal) -> web::http::http_response
{
    const auto problem = describeKind(refusal.kind_);
    web::http::http_response response(problem.status_);
    auto body = web::json::value::object();
    body["title"] = web::json::value::string(problem.title_);
    body["status"] = web::json::value::number(problem.status_);
    body["detail"] = web::json::value::string(refusal.message_);
    body["executed"] = web::json::value::string(refusal.executed_ == Executed::No ? "no" : "unknown");
    response.set_body(body);
    response.headers().set_content_type("application/problem+json");
    if (refusal.kind_ == RefusalKind::Unauthorized)
        response.headers().add("WWW-Authenticate", "Bearer");
    if (refusal.retryAfter_) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter_);
        response.headers().add("Retry-After", seconds.count());
    }
    return response;
}

} // namespace sapphirepass
