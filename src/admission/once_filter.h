// The once filter: lets a request that may run only once through at most once, and answers its repeats.
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

// The request may run. Its outcome has to be told if the name is not empty.
struct OnceAdmitted {
    std::string ticketId_;

    auto operator<=>(const OnceAdmitted&) const = default;
};

struct OnceRefusal {
    Refusal refusal_;
    // A ticket to send the request again with; empty for none.
    std::string ticket_;

    auto operator<=>(const OnceRefusal&) const = default;
};

using OnceDecision = std::variant<OnceAdmitted, RecordedAnswer, OnceRefusal>;

// Thread-safe.
class OnceFilter {
public:
    // Whether an instance of that name is known to live.
    using IsLive = std::function<bool(const std::string& instance)>;

    OnceFilter(const Clock& clock, TicketIssuer office, const OnceBounds& bounds, IsLive isLive);

    auto decide(const Request& request, const Grant& grant) -> OnceDecision;
    // The request certainly did not run; its ticket may be used again.
    auto releaseTicket(const std::string& name) -> void;
    auto recordOutcome(const std::string& name, OnceOutcome outcome) -> void;
    // A new ticket for a workspace.
    auto issueTicket(const std::string& workspace) const -> std::string;

private:
    auto decideTicket(const std::string& text, const Grant& grant) -> OnceDecision;
    auto begin(const std::string& name) -> OnceDecision;

    const Clock& clock_;
    TicketIssuer office_;
    IsLive isLive_;
    std::mutex mutex_;
    OnceRegistry registry_;
};

} // namespace sapphirepass
