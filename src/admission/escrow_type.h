// Values of the escrow protocol: shares of fleet-wide limits, holders, epochs and messages.
#pragma once

#include "admission/budget.h"
#include "base/clock.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace sapphirepass {

// Parts of a limit. The parts of all holders together never exceed fullFraction.
using Fraction = std::int64_t;
inline constexpr Fraction fullFraction = 1'000'000'000'000;

// Millionths of a request, byte or slot.
using MicroUnits = std::int64_t;
inline constexpr MicroUnits microsPerUnit = 1'000'000;

// Clocks of two instances drift apart by less than this; NTP slews by half of it at most.
inline constexpr std::int64_t clockDriftPerMillion = 1'000;

// A holder may spend for this long after the start of the last confirmation of its epoch.
inline constexpr Duration escrowLease = std::chrono::seconds(15);
// An issuer waits this long, a lease and clock drift, after the last holder of an earlier epoch can have been confirmed.
inline constexpr Duration escrowLapse = std::chrono::seconds(16);
// Without the store, confirmations by a majority of voters count for this long.
inline constexpr Duration storelessLease = std::chrono::minutes(70);
// An issuer without promises of a majority waits this long.
inline constexpr Duration storelessLapse = std::chrono::minutes(75);

// The total of a limit as the configuration declares it.
struct BudgetTotal {
    // Units a second; 0 for limits of things running at once.
    std::int64_t rate_ = 0;
    // Units: the burst, or the number of things that run at once.
    std::int64_t burst_ = 0;

    auto operator<=>(const BudgetTotal&) const = default;
};

using BudgetTotals = std::map<BudgetId, BudgetTotal>;

// Part of a limit together with tokens that were earned and not spent.
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

// One life of an instance as a holder. An instance whose lease lapsed comes back under a new number.
struct HolderId {
    std::string name_;
    std::uint64_t generation_ = 0;

    auto operator<=>(const HolderId&) const = default;
};

// The share table: who may hold anything, and who may issue what nobody holds. Kept in the store.
struct EpochRecord {
    std::int64_t epoch_ = 0;
    HolderId issuer_;
    // Whether everything that earlier epochs left behind has been reported or has lapsed.
    bool complete_ = false;
    // Registered holders; no other instance ever holds a share.
    std::vector<HolderId> holders_;
    // Those that confirm this epoch to each other while the store is down.
    std::vector<HolderId> voters_;
    // Voters of earlier epochs that may still be in use; the issuer needs a majority of each.
    std::vector<std::vector<HolderId>> earlierVoters_;

    auto operator<=>(const EpochRecord&) const = default;
};

enum class EscrowMessageKind : std::uint16_t {
    // Moves shares; number_ counts the sender's transfers to this receiver in this epoch.
    Transfer = 1,
    // Confirms all transfers up to number_.
    Acknowledge = 2,
    // Asks a steward for a fraction of each budget.
    Ask = 3,
    // A steward's answer to an ask: how much it could not give.
    Shortfall = 4,
    // A steward asks a holder to send what it does not need to other_.
    Recall = 5,
    // What a holder takes over from earlier epochs.
    Report = 6,
    ReportAcknowledge = 7,
    // Whether the receiver is still in the sender's epoch; number_ is returned.
    Ping = 8,
    Pong = 9,
    // Tells the receiver to read the share table.
    NewEpoch = 10,
    // Asks for a reserve that other holders' demand comes before.
    AskReserve = 11,
};

struct EscrowMessage {
    EscrowMessageKind kind_ = EscrowMessageKind::Ping;
    std::int64_t epoch_ = 0;
    HolderId from_;
    HolderId to_;
    std::int64_t number_ = 0;
    HolderId other_ {};
    std::vector<BudgetShare> shares_ {};

    auto operator<=>(const EscrowMessage&) const = default;
};

} // namespace sapphirepass
