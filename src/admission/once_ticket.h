// Tickets for requests that may run only once. A ticket is bound to a workspace and to one incarnation of an
// instance; only that incarnation ever runs the request.
#pragma once

#include "base/clock.h"
#include "fleet/instance_id.h"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirepass {

// Header that carries the ticket in both directions: to the caller when issued, and back with the request.
inline constexpr std::string_view ticketHeader = "Once-Ticket";

struct OnceTicket {
    InstanceId issuer_;
    std::uint64_t number_ = 0;
    // In milliseconds of the issuer's monotonic clock; the ticket cannot be used from then on.
    std::int64_t expiry_ = 0;

    auto operator<=>(const OnceTicket&) const = default;
};

// Issues and verifies the tickets of one incarnation. Keeps no record of issued tickets; their signature is enough.
class TicketIssuer {
public:
    // The secret is the key of the signature; it never leaves the process.
    TicketIssuer(InstanceId self, std::string secret);

    auto issue(const std::string& workspace, std::uint64_t number, MonotonicTime expiry) const -> std::string;
    // Whether this incarnation issued the ticket for this workspace.
    auto verify(const OnceTicket& ticket, const std::string& text, const std::string& workspace) const -> bool;
    auto self() const -> const InstanceId& { return self_; }

private:
    auto sign(const std::string& unsignedText, const std::string& workspace) const -> std::string;

    InstanceId self_;
    std::string secret_;
};

// Parses NAME/INCARNATION/NUMBER/EXPIRY/SIGNATURE without verifying the signature; nothing if malformed.
auto parseTicket(std::string_view text) -> std::optional<OnceTicket>;

} // namespace sapphirepass
