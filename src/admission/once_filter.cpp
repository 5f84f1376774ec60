#include "admission/once_filter.h"

#include "base/random.h"
#include "base/text_func.h"
#include "base/texts.h"

#include <fmt/format.h>

namespace sapphirepass {

namespace {
    // A ticket can only be used within this time after its issue.
    constexpr std::chrono::minutes ticketLifetime { 10 };
    // Longer than the lifetime of a ticket, so that no ticket outlives the record of its request.
    constexpr Duration outcomeRetention = 2 * ticketLifetime;
    constexpr std::chrono::milliseconds runningRetryAfter { 1'000 };

    auto findHeader(const Request& request, std::string_view name) -> std::string
    {
        for (const auto& header : request.headers_) {
            if (equalsIgnoreCase(header.name_, name))
                return header.value_;
        }
        return {};
    }

    auto refuse(RefusalKind kind, std::string message, Executed executed) -> OnceDecision
    {
        return OnceRefusal { { kind, std::move(message), executed }, {} };
    }

    auto repeatAnswer(const OnceOutcome& outcome) -> OnceDecision
    {
        if (const auto* answer = std::get_if<RecordedAnswer>(&outcome))
            return *answer;
        if (std::holds_alternative<OnceRunning>(outcome))
            return OnceRefusal { { RefusalKind::Conflict, std::string(texts::ticketRequestRunning), Executed::Unknown, runningRetryAfter }, {} };
        return refuse(RefusalKind::Conflict, std::string(texts::ticketOutcomeUnknown), Executed::Unknown);
    }
}

OnceFilter::OnceFilter(const Clock& clock, TicketIssuer issuer, const OnceBounds& bounds, IsLive isLive)
    : clock_(clock)
    , ticketIssuer_(std::move(issuer))
    , isLive_(std::move(isLive))
    , registry_(bounds, outcomeRetention)
{
}

auto OnceFilter::issueTicket(const std::string& workspace) const -> std::string
{
    return ticketIssuer_.issue(workspace, randomNumber(), clock_.now() + ticketLifetime);
}

auto OnceFilter::decide(const Request& request, const Grant& grant) -> OnceDecision
{
    if (grant.repeatability_ == Repeatability::Idempotent)
        return OnceAdmitted {};
    const auto ticket = findHeader(request, ticketHeader);
    if (!ticket.empty())
        return decideTicket(ticket, grant);
    if (grant.route_.repeat_ != RouteRepeat::Once)
        return OnceAdmitted {};
    return OnceRefusal { { RefusalKind::TicketNeeded, std::string(texts::ticketNeeded), Executed::No }, issueTicket(grant.workspace_.name_) };
}

auto OnceFilter::decideTicket(const std::string& text, const Grant& grant) -> OnceDecision
{
    const auto ticket = parseTicket(text);
    if (!ticket)
        return refuse(RefusalKind::BadRequest, std::string(texts::ticketInvalid), Executed::No);
    const auto& self = ticketIssuer_.self();
    if (ticket->issuer_.name_ != self.name_ && isLive_(ticket->issuer_.name_))
        return refuse(RefusalKind::OtherInstance, fmt::format(texts::ticketOfOtherInstance, ticket->issuer_.name_), Executed::Unknown);
    // The incarnation that issued the ticket has ended and its records are lost, so the ticket must never run.
    if (ticket->issuer_ != self)
        return refuse(RefusalKind::Gone, std::string(texts::ticketVoid), Executed::Unknown);
    if (!ticketIssuer_.verify(*ticket, text, grant.workspace_.name_))
        return refuse(RefusalKind::BadRequest, std::string(texts::ticketInvalid), Executed::No);
    const auto ticketId = fmt::format("{}/{:x}", grant.workspace_.name_, ticket->number_);
    const MonotonicTime expiry { std::chrono::milliseconds(ticket->expiry_) };
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    if (now >= expiry) {
        // An expired ticket never starts a run; repeats are answered as long as the record exists.
        const auto known = registry_.find(ticketId, now);
        return known ? repeatAnswer(*known) : refuse(RefusalKind::Gone, std::string(texts::ticketVoid), Executed::Unknown);
    }
    return begin(ticketId);
}

auto OnceFilter::begin(const std::string& ticketId) -> OnceDecision
{
    const auto begun = registry_.begin(ticketId, clock_.now());
    if (!isOk(begun))
        return OnceRefusal { { RefusalKind::Overloaded, std::string(texts::outcomeTableFull), Executed::No, runningRetryAfter }, {} };
    if (const auto* outcome = std::get_if<OnceOutcome>(&valueOf(begun)))
        return repeatAnswer(*outcome);
    return OnceAdmitted { ticketId };
}

auto OnceFilter::releaseTicket(const std::string& ticketId) -> void
{
    const std::lock_guard lock(mutex_);
    registry_.release(ticketId);
}

auto OnceFilter::recordOutcome(const std::string& ticketId, OnceOutcome outcome) -> void
{
    const std::lock_guard lock(mutex_);
    registry_.finish(ticketId, std::move(outcome), clock_.now());
}

} // namespace sapphirepass
