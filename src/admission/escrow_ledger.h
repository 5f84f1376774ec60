// The shares of one holder and the transfers that move them. Nothing here can create a share.
#pragma once

#include "admission/escrow_account.h"

#include <optional>

namespace sapphirepass {

class EscrowLedger {
public:
    explicit EscrowLedger(HolderId self);

    auto self() const -> const HolderId& { return self_; }
    auto epoch() const -> std::int64_t { return epoch_; }
    // The account of a budget, opened empty if there is none.
    auto account(const BudgetId& id, const BudgetTotal& total, MonotonicTime now) -> EscrowAccount&;
    auto accounts() -> std::map<BudgetId, EscrowAccount>& { return accounts_; }
    auto accounts() const -> const std::map<BudgetId, EscrowAccount>& { return accounts_; }

    // Debits the shares and returns the transfer; nothing if an earlier one to this holder is not acknowledged yet.
    auto transfer(const HolderId& to, const std::map<BudgetId, Fraction>& wanted, MonotonicTime now) -> std::optional<EscrowMessage>;
    // Credits a transfer once. Returns the acknowledgement; nothing if it is not for this life and epoch.
    auto receive(const EscrowMessage& transfer, const BudgetTotals& totals, MonotonicTime now) -> std::optional<EscrowMessage>;
    auto acknowledged(const EscrowMessage& acknowledgement) -> void;
    // Transfers to be sent again.
    auto resend(MonotonicTime now) -> std::vector<EscrowMessage>;
    // Whether a transfer is on its way.
    auto isSending() const -> bool;
    // Holders that have left a transfer unacknowledged for that long.
    auto silentSince(MonotonicTime before) const -> std::vector<HolderId>;

    // Takes the shares of limits that still exist over to a later epoch and ends all transfers; returns what is taken over.
    auto moveTo(std::int64_t epoch, const BudgetTotals& totals) -> std::vector<BudgetShare>;
    // Starts a new life without shares.
    auto restart(std::uint64_t number, MonotonicTime now) -> void;

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
    // Number of the last transfer credited, by sender.
    std::map<HolderId, std::int64_t> credited_;
};

} // namespace sapphirepass
