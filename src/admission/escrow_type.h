// Data types of the escrow protocol: shares of fleet-wide limits, holders, epochs and messages.
#pragma once

#include "admission/budget.h"
#include "base/clock.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace sapphirepass {

// Part of a limit, relative to fullFraction. The fractions of all holders together never exceed fullFraction.
using Fraction = std::int64_t;
inline constexpr Fraction fullFraction = 1'000'000'000'000;

// Millionths of a unit: a request, byte or slot.
using MicroUnits = std::int64_t;
inline constexpr MicroUnits microsPerUnit = 1'000'000;

// Upper bound on the relative drift between the clocks of two instances; NTP slews by at most half of it.
inline constexpr std::int64_t clockDriftPerMillion = 1'000;

// A holder may spend its shares for this long after the start of the call that last confirmed its epoch.
inline constexpr Duration escrowLease = std::chrono::seconds(15);
// An issuer waits this long after the last possible confirmation of a holder in an earlier epoch before it issues
// that holder's shares again: one lease plus clock drift.
inline constexpr Duration escrowReissueDelay = std::chrono::seconds(16);
// While the store is unavailable, a majority of the voters can extend leases for up to this long.
inline constexpr Duration storeOutageLease = std::chrono::minutes(70);
// A voter that reports to the issuer thereby promises to confirm no earlier epoch any more. Without promises from a
// majority of the voters of each earlier epoch, an issuer waits this long.
inline constexpr Duration storeOutageReissueDelay = std::chrono::minutes(75);

// Total of a limit as declared in the configuration.
struct BudgetTotal {
    // Units per second; 0 for concurrency limits.
    std::int64_t rate_ = 0;
    // Units: the burst of a rate limit, or the number of slots of a concurrency limit.
    std::int64_t burst_ = 0;

    auto operator<=>(const BudgetTotal&) const = default;
};

using BudgetTotals = std::map<BudgetId, BudgetTotal>;

// Part of a limit, with the unspent tokens of its bucket.
struct Share {
    Fraction fraction_ = 0;
    MicroUnits tokens_ = 0;

    auto operator<=>(const Share&) const = default;
};

struct BudgetShare {
    BudgetId budget_;
    Share share_;

    auto operator<=>(const BudgetShare&) const = default;
};

// Identifies one generation of an instance as a holder. The generation starts as the incarnation of the instance;
// an instance whose lease has expired registers again under the next generation.
struct HolderId {
    std::string name_;
    std::uint64_t generation_ = 0;

    auto operator<=>(const HolderId&) const = default;
};

// Record of the current epoch, kept in the store: which holders may hold shares, and which of them may issue shares
// that nobody holds. Log events call it the share table.
struct EpochRecord {
    std::int64_t epoch_ = 0;
    HolderId issuer_;
    // Whether all shares held in earlier epochs have been reported or have expired.
    bool complete_ = false;
    // Registered holders; only they ever hold shares.
    std::vector<HolderId> holders_;
    // Holders that confirm this epoch to each other while the store is unavailable.
    std::vector<HolderId> voters_;
    // Voters of earlier epochs that may still be in use; the issuer needs promises from a majority of each.
    std::vector<std::vector<HolderId>> earlierVoters_;

    auto operator<=>(const EpochRecord&) const = default;
};

enum class EscrowMessageKind : std::uint16_t {
    // Moves shares; number_ is the sequence number of the sender's transfers to this receiver in this epoch.
    Transfer = 1,
    // Acknowledges all transfers up to number_.
    Acknowledge = 2,
    // Requests a fraction of each listed budget from its coordinator.
    ShareRequest = 3,
    // Reply without content, so that the receiver does not suspect the sender: to a share request that yields no
    // transfer, to a recall, or to a ping from another epoch.
    EmptyReply = 4,
    // Sent by a coordinator: the receiver is to transfer what it does not use to recipient_.
    Recall = 5,
    // Tells the issuer which shares the sender carries over from earlier epochs.
    Report = 6,
    ReportAcknowledge = 7,
    // Asks whether the receiver is still in the sender's epoch; the pong returns number_, the time of sending. Also the
    // heartbeat to the monitor of the sender.
    Ping = 8,
    Pong = 9,
    // Tells the receiver to read the epoch record at once.
    NewEpoch = 10,
    // Requests a reserve; the demand of other holders has priority. With a fraction of 0, announces to a new coordinator
    // that the sender holds a share.
    ReserveRequest = 11,
};

struct EscrowMessage {
    EscrowMessageKind kind_ = EscrowMessageKind::Ping;
    std::int64_t epoch_ = 0;
    HolderId from_;
    HolderId to_;
    // Meaning depends on the kind.
    std::int64_t number_ = 0;
    // Recall only: the holder that the shares are to be transferred to.
    HolderId recipient_ {};
    std::vector<BudgetShare> shares_ {};

    auto operator<=>(const EscrowMessage&) const = default;
};

} // namespace sapphirepass
