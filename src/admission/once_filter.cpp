#include "admission/once_filter.h"

#include "base/random.h"
#include "base/text_func.h"
#include "base/texts.h"

#include <fmt/format.h>

namespace sapphirepass {

namespace {
    // A ticket is spent within this time of its issue or never.
    constexpr std::chrono::minutes ticketLifetime { 10 };
    // Longer than a ticket's life, so that no ticket outlives the record of its request.
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
            return OnceRefusal { { RefusalKind::Conflict, std::string(texts::onceRunning), Executed::Unknown, runningRetryAfter }, {} };
        return refuse(RefusalKind::Conflict, std::string(texts::onceUnknown), Executed::Unknown);
    }
}

OnceFilter::OnceFilter(const Clock& clock, TicketIssuer office, const OnceBounds& bounds, IsLive isLive)
    : clock_(clock)
    , office_(std::move(office))
    , isLive_(std::move(isLive))
    , registry_(bounds, outcomeRetention)
{
}

auto OnceFilter::issueTicket(const std::string& workspace) const -> std::string
{
    return office_.issue(workspace, randomNumber(), clock_.now() + ticketLifetime);
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
        return refuse(RefusalKind::BadRequest, std::string(texts::ticketBad), Executed::No);
    const auto& self = office_.self();
    if (ticket->issuer_.name_ != self.name_ && isLive_(ticket->issuer_.name_))
        return refuse(RefusalKind::OtherInstance, fmt::format(texts::ticketElsewhere, ticket->issuer_.name_), Executed::Unknown);
    // The issuer's memory is gone, and with it what it knew; the ticket never runs again.
    if (ticket->issuer_ != self)
        return refuse(RefusalKind::Gone, std::string(texts::ticketVoid), Executed::Unknown);
    if (!office_.isOwn(*ticket, text, grant.workspace_.name_))
        return refuse(RefusalKind::BadRequest, std::string(texts::ticketBad), Executed::No);
    const auto name = fmt::format("{}/{:x}", grant.workspace_.name_, ticket->number_);
    const MonotonicTime expiry { std::chrono::milliseconds(ticket->expiry_) };
    const std::lock_guard lock(mutex_);
    const auto now = clock_.now();
    if (now >= expiry) {
        // An expired ticket is answered from the record while there is one, and never begun.
        const auto known = registry_.find(name, now);
        return known ? repeatAnswer(*known) : refuse(RefusalKind::Gone, std::string(texts::ticketVoid), Executed::Unknown);
    }
    return begin(name);
}

auto OnceFilter::begin(const std::string& name) -> OnceDecision
{
    const auto begun = registry_.begin(name, clock_.now());
    if (!isOk(begun))
        return OnceRefusal { { RefusalKind::Overloaded, std::string(texts::onceFull), Executed::No, runningRetryAfter }, {} };
    if (const auto* outcome = std::get_if<OnceOutcome>(&valueOf(begun)))
        return repeatAnswer(*outcome);
    return OnceAdmitted { name };
}

auto OnceFilter::releaseTicket(const std::string& name) -> void
{
    const std::lock_guard lock(mutex_);
    registry_.release(name);
}

auto OnceFilter::recordOutcome(const std::string& name, OnceOutcome outcome) -> void
{
    const std::lock_guard lock(mutex_);
    registry_.finish(name, std::move(outcome), clock_.now());
}

} // namespace sapphirepass
