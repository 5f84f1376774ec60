#include "admission/escrow_ledger.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    constexpr Duration resendInterval = std::chrono::milliseconds(300);
}

EscrowLedger::EscrowLedger(HolderId self)
    : self_(std::move(self))
{
}

auto EscrowLedger::account(const BudgetId& id, const BudgetTotal& total, MonotonicTime now) -> EscrowAccount&
{
    auto& account = accounts_.try_emplace(id, total, now).first->second;
    account.setTotal(total, now);
    return account;
}

auto EscrowLedger::transfer(const HolderId& to, const std::map<BudgetId, Fraction>& wanted, MonotonicTime now) -> std::optional<EscrowMessage>
{
    auto& channel = channels_[to];
    if (channel.pending_ || to == self_)
        return std::nullopt;
    EscrowMessage message { EscrowMessageKind::Transfer, epoch_, self_, to, channel.sent_ + 1 };
    for (const auto& [id, fraction] : wanted) {
        const auto found = accounts_.find(id);
        if (found == accounts_.end())
            continue;
        // Debited before the message is sent, so that no share is ever held twice.
        const auto share = found->second.debit(fraction, now);
        if (share.fraction_ > 0)
            message.shares_.push_back({ id, share });
    }
    if (message.shares_.empty())
        return std::nullopt;
    ++channel.sent_;
    channel.pending_ = message;
    channel.firstSent_ = now;
    channel.lastSent_ = now;
    return message;
}

auto EscrowLedger::receive(const EscrowMessage& transfer, const BudgetTotals& totals, MonotonicTime now) -> std::optional<EscrowMessage>
{
    if (transfer.epoch_ != epoch_ || transfer.to_ != self_)
        return std::nullopt;
    auto& last = lastCredited_[transfer.from_];
    if (transfer.number_ > last) {
        last = transfer.number_;
        for (const auto& [id, share] : transfer.shares_) {
            const auto total = totals.find(id);
            account(id, total == totals.end() ? BudgetTotal {} : total->second, now).credit(share, now);
        }
    }
    return EscrowMessage { EscrowMessageKind::Acknowledge, epoch_, self_, transfer.from_, last };
}

auto EscrowLedger::acknowledged(const EscrowMessage& acknowledgement) -> void
{
    const auto found = channels_.find(acknowledgement.from_);
    if (found == channels_.end() || acknowledgement.epoch_ != epoch_ || acknowledgement.to_ != self_)
        return;
    auto& pending = found->second.pending_;
    if (pending && pending->number_ <= acknowledgement.number_)
        pending.reset();
}

auto EscrowLedger::resend(MonotonicTime now) -> std::vector<EscrowMessage>
{
    std::vector<EscrowMessage> messages;
    for (auto& [to, channel] : channels_) {
        if (!channel.pending_ || now < channel.lastSent_ + resendInterval)
            continue;
        channel.lastSent_ = now;
        messages.push_back(*channel.pending_);
    }
    return messages;
}

auto EscrowLedger::hasPendingTransfers() const -> bool
{
    return std::any_of(channels_.begin(), channels_.end(), [](const auto& entry) { return entry.second.pending_.has_value(); });
}

auto EscrowLedger::unacknowledgedSince(MonotonicTime before) const -> std::vector<HolderId>
{
    std::vector<HolderId> silent;
    for (const auto& [to, channel] : channels_) {
        if (channel.pending_ && channel.firstSent_ < before)
            silent.push_back(to);
    }
    return silent;
}

auto EscrowLedger::enterEpoch(std::int64_t epoch, const BudgetTotals& totals) -> std::vector<BudgetShare>
{
    std::erase_if(accounts_, [&totals](const auto& entry) { return !totals.contains(entry.first); });
    std::vector<BudgetShare> carriedShares;
    for (const auto& [id, account] : accounts_) {
        if (account.fraction() > 0)
            carriedShares.push_back({ id, { account.fraction(), 0 } });
    }
    epoch_ = epoch;
    channels_.clear();
    lastCredited_.clear();
    return carriedShares;
}

auto EscrowLedger::restart(std::uint64_t generation, MonotonicTime now) -> void
{
    self_.generation_ = generation;
    epoch_ = 0;
    channels_.clear();
    lastCredited_.clear();
    for (auto& [id, account] : accounts_)
        account.clear(now);
}

} // namespace sapphirepass
