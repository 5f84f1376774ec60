// Rebalancing of EscrowHolder: moves shares to where they are needed by share requests, recalls and returns.
#include "admission/escrow_holder.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Margins are in percent of the demand, where 100 is the demand itself.
    // What a holder keeps and requests.
    constexpr std::int64_t targetMarginPercent = 115;
    // What a holder keeps while another holder is short.
    constexpr std::int64_t recallMarginPercent = 103;
    // A holder requests shares below requestMarginPercent and returns shares above returnMarginPercent.
    constexpr std::int64_t requestMarginPercent = 105;
    constexpr std::int64_t returnMarginPercent = 170;
    // Smaller fractions of a rate limit are not transferred on a recall and do not reset the request backoff.
    constexpr Fraction minUsefulFraction = fullFraction / 100;
    constexpr Duration pendingRequestLifetime = std::chrono::seconds(1);
    constexpr std::size_t maxPendingRequests = 1'024;
    constexpr std::size_t maxKnownHolders = 64;
    // All holders together keep at most 1 / reserveDivisor of an idle burst in reserve.
    constexpr std::int64_t reserveDivisor = 4;
    constexpr std::int64_t minReserveUnits = 2;

    auto rendezvousWeight(const BudgetId& id, const HolderId& holder) -> std::uint64_t
    {
        // FNV-1a, because std::hash may differ between instances.
        std::uint64_t hash = 14'695'981'039'346'656'037U + static_cast<std::uint64_t>(id.kind_);
        for (const auto& text : { id.name_, std::string("/"), holder.name_ }) {
            for (const char c : text)
                hash = (hash ^ static_cast<unsigned char>(c)) * 1'099'511'628'211U;
        }
        return (hash ^ (hash >> 29U)) * 11'400'714'819'323'198'485U;
    }
}

auto EscrowHolder::coordinatorOf(const BudgetId& id) -> std::optional<HolderId>
{
    const auto cached = coordinators_.find(id);
    if (cached != coordinators_.end())
        return cached->second;
    std::optional<HolderId> best;
    for (const auto& voter : membership_.record().voters_) {
        const bool usable = !suspects_.contains(voter) && !(leaving_ && voter == ledger_.self());
        if (usable && (!best || rendezvousWeight(id, voter) > rendezvousWeight(id, *best)))
            best = voter;
    }
    if (best)
        coordinators_.emplace(id, *best);
    return best;
}

auto EscrowHolder::reserveOf(const BudgetTotal& total) const -> Fraction
{
    const auto holders = static_cast<std::int64_t>(std::max<std::size_t>(1, membership_.record().holders_.size()));
    if (leaving_ || total.burst_ < minReserveUnits * reserveDivisor * holders)
        return 0;
    return fullFraction / (reserveDivisor * holders);
}

auto EscrowHolder::surplus(const BudgetId& id, std::int64_t marginPercent, MonotonicTime now) -> Fraction
{
    const auto found = ledger_.accounts().find(id);
    if (found == ledger_.accounts().end())
        return 0;
    const auto& account = found->second;
    // While another holder is short, only the fraction in use is kept, without the reserve.
    const auto& demand = demands_[id];
    const auto neededFraction = marginPercent == recallMarginPercent ? demand.fractionInUse(account, marginPercent, now) : demand.neededFraction(account, marginPercent, reserveOf(account.total()));
    return std::max<Fraction>(0, account.fraction() - (leaving_ ? 0 : neededFraction));
}

auto EscrowHolder::rebalance(MonotonicTime now) -> void
{
    TransferPlan transfers;
    servePendingRequests(transfers, now);
    announceShares(now);
    for (const auto& [id, total] : totals_) {
        const auto coordinator = coordinatorOf(id);
        if (!coordinator)
            continue;
        const bool isCoordinator = *coordinator == ledger_.self();
        const auto held = ledger_.account(id, total, now).fraction();
        if (!isCoordinator && surplus(id, returnMarginPercent, now) > 0) {
            transfers[*coordinator][id] = surplus(id, targetMarginPercent, now);
            continue;
        }
        auto& demand = demands_[id];
        if (leaving_ || !demand.mayRequest(now))
            continue;
        const auto& account = ledger_.account(id, total, now);
        if (held < demand.neededFraction(account, requestMarginPercent, 0) && demand.isRunningShort(account))
            requestNeededFraction(id, *coordinator, now);
        else if (!isCoordinator && held < reserveOf(total) && demand.mayRequestReserve(now))
            requestReserve(id, *coordinator, reserveOf(total) - held, now);
    }
    sendTransfers(transfers, now);
}

auto EscrowHolder::requestNeededFraction(const BudgetId& id, const HolderId& coordinator, MonotonicTime now) -> void
{
    const auto& account = ledger_.account(id, totals_.at(id), now);
    requestFraction(id, coordinator, demands_[id].neededFraction(account, targetMarginPercent, reserveOf(account.total())), now);
}

auto EscrowHolder::requestFraction(const BudgetId& id, const HolderId& coordinator, Fraction fraction, MonotonicTime now) -> void
{
    const auto found = ledger_.accounts().find(id);
    const auto held = found == ledger_.accounts().end() ? 0 : found->second.fraction();
    demands_[id].requestSent(now);
    if (fraction <= held)
        return;
    if (coordinator == ledger_.self()) {
        recall(id, coordinator, fraction - held, now);
        return;
    }
    EscrowMessage message { EscrowMessageKind::ShareRequest, ledger_.epoch(), ledger_.self(), coordinator };
    message.shares_.push_back({ id, { fraction - held, 0 } });
    sendExpectingReply(std::move(message), now);
}

// Tells a new coordinator that this holder has shares, so that it can recall them.
auto EscrowHolder::announceShares(MonotonicTime now) -> void
{
    std::map<HolderId, EscrowMessage> messages;
    for (const auto& [id, account] : ledger_.accounts()) {
        const auto coordinator = coordinatorOf(id);
        if (account.fraction() == 0 || !coordinator || *coordinator == ledger_.self())
            continue;
        auto& announcedTo = announcedTo_[id];
        if (announcedTo == *coordinator)
            continue;
        announcedTo = *coordinator;
        auto& message = messages.try_emplace(*coordinator, EscrowMessage { EscrowMessageKind::ReserveRequest, ledger_.epoch(), ledger_.self(), *coordinator }).first->second;
        message.shares_.push_back({ id, {} });
    }
    for (auto& [coordinator, message] : messages)
        sendExpectingReply(std::move(message), now);
}

auto EscrowHolder::requestReserve(const BudgetId& id, const HolderId& coordinator, Fraction fraction, MonotonicTime now) -> void
{
    demands_[id].reserveRequestSent(now);
    EscrowMessage message { EscrowMessageKind::ReserveRequest, ledger_.epoch(), ledger_.self(), coordinator };
    message.shares_.push_back({ id, { fraction, 0 } });
    sendExpectingReply(std::move(message), now);
}

auto EscrowHolder::servePendingRequests(TransferPlan& transfers, MonotonicTime now) -> void
{
    std::erase_if(pendingRequests_, [now](const auto& pending) { return pending.expires_ <= now; });
    std::map<BudgetId, Fraction> left;
    for (auto& pending : pendingRequests_) {
        const auto available = left.try_emplace(pending.budget_, surplus(pending.budget_, recallMarginPercent, now)).first;
        const auto given = std::min(available->second, pending.fraction_);
        if (given <= 0)
            continue;
        available->second -= given;
        pending.fraction_ -= given;
        transfers[pending.requester_][pending.budget_] += given;
    }
    std::erase_if(pendingRequests_, [](const auto& pending) { return pending.fraction_ <= 0; });
}

auto EscrowHolder::handleShareRequest(const EscrowMessage& message, MonotonicTime now) -> void
{
    std::map<BudgetId, Fraction> given;
    for (const auto& [id, share] : message.shares_) {
        const bool reserveOnly = message.kind_ == EscrowMessageKind::ReserveRequest;
        const auto part = std::min(share.fraction_, surplus(id, reserveOnly ? targetMarginPercent : recallMarginPercent, now));
        if (part > 0)
            given[id] = part;
        noteHolder(id, message.from_);
        if (reserveOnly)
            continue;
        std::erase_if(pendingRequests_, [&requester = message.from_, &budget = id](const auto& pending) { return pending.requester_ == requester && pending.budget_ == budget; });
        if (part < share.fraction_ && pendingRequests_.size() < maxPendingRequests) {
            pendingRequests_.push_back({ message.from_, id, share.fraction_ - part, now + pendingRequestLifetime });
            recall(id, message.from_, share.fraction_ - part, now);
        }
    }
    if (auto transfer = ledger_.transfer(message.from_, given, now))
        sendExpectingReply(std::move(transfer), now);
    else
        send(EscrowMessage { EscrowMessageKind::EmptyReply, ledger_.epoch(), ledger_.self(), message.from_ });
}

auto EscrowHolder::noteHolder(const BudgetId& id, const HolderId& holder) -> void
{
    auto& known = knownHolders_[id];
    std::erase(known, holder);
    known.push_back(holder);
    if (known.size() > maxKnownHolders)
        known.pop_front();
}

auto EscrowHolder::recall(const BudgetId& id, const HolderId& requester, Fraction fraction, MonotonicTime now) -> void
{
    const auto found = knownHolders_.find(id);
    if (found == knownHolders_.end())
        return;
    for (const auto& holder : found->second) {
        if (holder == requester || holder == ledger_.self())
            continue;
        EscrowMessage message { EscrowMessageKind::Recall, ledger_.epoch(), ledger_.self(), holder, 0, requester };
        message.shares_.push_back({ id, { fraction, 0 } });
        sendExpectingReply(std::move(message), now);
    }
}

auto EscrowHolder::handleRecall(const EscrowMessage& message, MonotonicTime now) -> void
{
    std::map<BudgetId, Fraction> given;
    for (const auto& [id, share] : message.shares_) {
        const auto part = std::min(share.fraction_, surplus(id, recallMarginPercent, now));
        // No minimum for concurrency limits: slots are whole units, and even a small fraction can complete one.
        const auto total = totals_.find(id);
        const auto least = total != totals_.end() && total->second.rate_ > 0 ? std::min(minUsefulFraction, share.fraction_) : 1;
        if (part >= least)
            given[id] = part;
    }
    sendExpectingReply(ledger_.transfer(message.recipient_, given, now), now);
    send(EscrowMessage { EscrowMessageKind::EmptyReply, ledger_.epoch(), ledger_.self(), message.from_ });
}

auto EscrowHolder::answerPing(const EscrowMessage& message, MonotonicTime now) -> void
{
    lastHeard_[message.from_] = now;
    auto pong = membership_.answerPing(message);
    // A ping from another epoch is not confirmed, but the reply shows the sender that this holder is up.
    send(pong ? std::move(*pong) : EscrowMessage { EscrowMessageKind::EmptyReply, ledger_.epoch(), ledger_.self(), message.from_ });
}

auto EscrowHolder::receive(const EscrowMessage& message, MonotonicTime now) -> void
{
    checkLease(now);
    if (message.to_ != ledger_.self())
        return;
    awaitingReply_.erase(message.from_);
    if (suspects_.erase(message.from_) > 0)
        coordinators_.clear();
    switch (message.kind_) {
    case EscrowMessageKind::Transfer:
        send(ledger_.receive(message, totals_, now));
        for (const auto& [budget, share] : message.shares_) {
            noteHolder(budget, message.from_);
            if (share.fraction_ >= minUsefulFraction)
                demands_[budget].sharesReceived();
        }
        return;
    case EscrowMessageKind::Acknowledge:
        ledger_.acknowledged(message);
        return;
    case EscrowMessageKind::ShareRequest:
    case EscrowMessageKind::ReserveRequest:
        if (mayTransfer(now) && message.epoch_ == ledger_.epoch())
            handleShareRequest(message, now);
        return;
    case EscrowMessageKind::Recall:
        if (mayTransfer(now) && message.epoch_ == ledger_.epoch())
            handleRecall(message, now);
        return;
    case EscrowMessageKind::Report:
        send(membership_.receiveReport(message, now));
        return;
    case EscrowMessageKind::ReportAcknowledge:
        membership_.reportAcknowledged(message);
        return;
    case EscrowMessageKind::Ping:
        answerPing(message, now);
        return;
    case EscrowMessageKind::Pong:
        membership_.receivePong(message);
        return;
    case EscrowMessageKind::EmptyReply:
    case EscrowMessageKind::NewEpoch:
        return;
    }
}

} // namespace sapphirepass
