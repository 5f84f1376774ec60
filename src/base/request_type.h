// Requests and refusals, as the filters of the request pipeline handle them.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirepass {

struct Header {
    std::string name_;
    std::string value_;

    auto operator<=>(const Header&) const = default;
};

// A request as received, before validation.
struct RequestHead {
    std::string method_;
    // As sent: the path and the query are still percent-encoded.
    std::string path_;
    std::string query_;
    std::vector<Header> headers_;

    auto operator<=>(const RequestHead&) const = default;
};

// Whether a request may safely run more than once.
enum class Repeatability { Idempotent,
    Once };

// A syntactically valid request.
struct Request {
    std::string method_;
    std::string workspace_;
    // The path after /w/WORKSPACE.
    std::string path_;
    std::string query_;
    std::vector<Header> headers_;
    // Token of the Authorization header; empty without one.
    std::string bearer_;
    // Size of the body in bytes.
    std::int64_t length_ = 0;
    // Time limit set by the caller, counted from arrival_.
    std::optional<std::chrono::milliseconds> deadline_;
    MonotonicTime arrival_;

    auto operator<=>(const Request&) const = default;
};

enum class RefusalKind {
    BadRequest,
    HeadersTooLarge,
    BodyTooLarge,
    LengthRequired,
    Unauthorized,
    Forbidden,
    NotFound,
    Conflict,
    OverRate,
    Overloaded,
    Stopping,
    UpstreamFailed,
    DeadlinePassed,
    // The request may run only once and has no ticket.
    TicketNeeded,
    // The ticket was issued by another instance, which has the outcome.
    OtherInstance,
    // The ticket is void.
    Gone,
};

// Whether a refused request has run. No is a guarantee that it has not.
enum class Executed { No,
    Unknown };

struct Refusal {
    RefusalKind kind_;
    std::string message_;
    Executed executed_ = Executed::No;
    // Suggested delay before a retry.
    std::optional<std::chrono::milliseconds> retryAfter_ {};

    auto operator<=>(const Refusal&) const = default;
};

} // namespace sapphirepass
