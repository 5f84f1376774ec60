// Tickets for requests that may run only once. A ticket is bound to a workspace and to one incarnation of
// one instance; only that incarnation ever runs its request.
#pragma once

#include "base/clock.h"
#include "fleet/instance_id.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirepass {

// Carries the ticket, from the system to the caller and back.
inline constexpr std::string_view ticketHeader = "Once-Ticket";

struct OnceTicket {
    InstanceId issuer_;
    std::uint64_t number_ = 0;
    // Milliseconds of the issuer's monotonic clock; the ticket cannot be spent afterwards.
    std::int64_t expiry_ = 0;

    auto operator<=>(const OnceTicket&) const = default;
};

// Issues and checks the tickets of one incarnation. Keeps no record of what it issued: a ticket proves itself.
class TicketIssuer {
public:
    // The secret signs tickets and never leaves the process.
    TicketIssuer(InstanceId self, std::string secret);

    auto issue(const std::string& workspace, std::uint64_t number, MonotonicTime expiry) const -> std::string;
    // Whether this incarnation issued the ticket for that workspace.
    auto isOwn(const OnceTicket& ticket, const std::string& text, const std::string& workspace) const -> bool;
    auto self() const -> const InstanceId& { return self_; }

private:
    auto sign(const std::string& unsignedText, const std::string& workspace) const -> std::string;

    InstanceId self_;
    std::string secret_;
};

// Reads NAME/INCARNATION/NUMBER/EXPIRY/SIGNATURE without checking the signature; nothing if malformed.
auto parseTicket(std::string_view text) -> std::optional<OnceTicket>;

} // namespace sapphirepass
