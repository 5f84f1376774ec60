// The shares of one holder and the transfers that move them. Transfers only move shares; nothing here creates one.
#pragma once

#include "admission/escrow_account.h"

#include <optional>

namespace sapphirepass {

class EscrowLedger {
public:
    explicit EscrowLedger(HolderId self);

    auto self() const -> const HolderId& { return self_; }
    auto epoch() const -> std::int64_t { return epoch_; }
    // Returns the account of a budget; creates an empty one if there is none.
    auto account(const BudgetId& id, const BudgetTotal& total, MonotonicTime now) -> EscrowAccount&;
    auto accounts() -> std::map<BudgetId, EscrowAccount>& { return accounts_; }
    auto accounts() const -> const std::map<BudgetId, EscrowAccount>& { return accounts_; }

    // Debits the shares and returns the transfer. Returns nothing if there is nothing to transfer or an earlier transfer
    // to this holder is not yet acknowledged.
    auto transfer(const HolderId& to, const std::map<BudgetId, Fraction>& wanted, MonotonicTime now) -> std::optional<EscrowMessage>;
    // Credits a transfer, ignoring duplicates, and returns the acknowledgement. Returns nothing if the transfer is for
    // another generation or epoch.
    auto receive(const EscrowMessage& transfer, const BudgetTotals& totals, MonotonicTime now) -> std::optional<EscrowMessage>;
    auto acknowledged(const EscrowMessage& acknowledgement) -> void;
    // Returns the unacknowledged transfers that are due for retransmission.
    auto resend(MonotonicTime now) -> std::vector<EscrowMessage>;
    // Whether any transfer is unacknowledged.
    auto hasPendingTransfers() const -> bool;
    // Holders that have not acknowledged a transfer first sent before that time.
    auto unacknowledgedSince(MonotonicTime before) const -> std::vector<HolderId>;

    // Carries the shares of limits that still exist over to a later epoch, abandons all unacknowledged transfers, and
    // returns the shares carried over.
    auto enterEpoch(std::int64_t epoch, const BudgetTotals& totals) -> std::vector<BudgetShare>;
    // Starts a new generation without shares.
    auto restart(std::uint64_t generation, MonotonicTime now) -> void;

    auto operator<=>(const EscrowLedger&) const = default;

private:
    struct Channel {
        std::int64_t sent_ = 0;
        std::optional<EscrowMessage> pending_;
        MonotonicTime firstSent_;
        MonotonicTime lastSent_;

        auto operator<=>(const Channel&) const = default;
    };

    HolderId self_;
    std::int64_t epoch_ = 0;
    std::map<BudgetId, EscrowAccount> accounts_;
    std::map<HolderId, Channel> channels_;
    // Sequence number of the last transfer credited, by sender.
    std::map<HolderId, std::int64_t> lastCredited_;
};

} // namespace sapphirepass
