// Filter for requests that may run only once: admits each at most once and answers repeats from its record.
#pragma once

#include "admission/authenticate_func.h"
#include "admission/once_registry.h"
#include "admission/once_ticket.h"
#include "base/clock.h"
#include "base/request_type.h"

#include <functional>
#include <mutex>
#include <optional>
#include <variant>

namespace sapphirepass {

// The request may run. If the ticket id is not empty, the caller has to report the outcome under it.
struct OnceAdmitted {
    std::string ticketId_;

    auto operator<=>(const OnceAdmitted&) const = default;
};

struct OnceRefusal {
    Refusal refusal_;
    // A new ticket with which to send the request again; empty if none is offered.
    std::string ticket_;

    auto operator<=>(const OnceRefusal&) const = default;
};

using OnceDecision = std::variant<OnceAdmitted, RecordedAnswer, OnceRefusal>;

// Thread-safe.
class OnceFilter {
public:
    // Whether an instance of that name is known to be live.
    using IsLive = std::function<bool(const std::string& instance)>;

    OnceFilter(const Clock& clock, TicketIssuer issuer, const OnceBounds& bounds, IsLive isLive);

    auto decide(const Request& request, const Grant& grant) -> OnceDecision;
    // The request certainly did not run, so its ticket may be used again.
    auto releaseTicket(const std::string& ticketId) -> void;
    auto recordOutcome(const std::string& ticketId, OnceOutcome outcome) -> void;
    auto issueTicket(const std::string& workspace) const -> std::string;

private:
    auto decideTicket(const std::string& text, const Grant& grant) -> OnceDecision;
    auto begin(const std::string& ticketId) -> OnceDecision;

    const Clock& clock_;
    TicketIssuer ticketIssuer_;
    IsLive isLive_;
    std::mutex mutex_;
    OnceRegistry registry_;
};

} // namespace sapphirepass
