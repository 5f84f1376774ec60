// A caller's request and its refusals, as the filters of the request pipeline see them.
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

// What arrived, before anything is checked.
struct RequestHead {
    std::string method_;
    // Path and query as sent, still percent-encoded.
    std::string path_;
    std::string query_;
    std::vector<Header> headers_;

    auto operator<=>(const RequestHead&) const = default;
};

// Whether a request may run more than once without harm.
enum class Repeatability { Idempotent,
    Once };

// A request whose form has been checked.
struct Request {
    std::string method_;
    std::string workspace_;
    // Path behind /w/WORKSPACE.
    std::string path_;
    std::string query_;
    std::vector<Header> headers_;
    // From the Authorization header; empty if there is none.
    std::string bearer_;
    // Bytes of the body.
    std::int64_t length_ = 0;
    // Given by the caller, counted from arrival.
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
    // The request may run only once and came without a ticket.
    TicketNeeded,
    // Another instance holds the outcome.
    OtherInstance,
    // The ticket is void.
    Gone,
};

// Whether a refused request has run. No is a promise.
enum class Executed { No,
    Unknown };

struct Refusal {
    RefusalKind kind_;
    std::string message_;
    Executed executed_ = Executed::No;
    // When asking again makes sense.
    std::optional<std::chrono::milliseconds> retryAfter_ {};

    auto operator<=>(const Refusal&) const = default;
};

} // namespace sapphirepass
