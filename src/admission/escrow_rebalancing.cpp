// The movement of shares towards demand: asks, recalls and returns.
#include "admission/escrow_holder.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // What a holder keeps above its demand, in percent of it.
    constexpr std::int64_t usualMargin = 115;
    // The same while another holder is short.
    constexpr std::int64_t recallMargin = 103;
    // A holder asks below this and gives back above returnMargin.
    constexpr std::int64_t askMargin = 105;
    constexpr std::int64_t returnMargin = 170;
    // Smaller fractions are not sent on a recall.
    constexpr Fraction worthwhile = fullFraction / 100;
    constexpr Duration askLifetime = std::chrono::seconds(1);
    constexpr std::size_t maxWaiting = 1'024;
    constexpr std::size_t maxRecipients = 64;
    // All holders together keep at most this part of an idle burst in reserve.
    constexpr std::int64_t reserveDivisor = 4;
    constexpr std::int64_t leastReserveUnits = 2;

    auto rankOf(const BudgetId& id, const HolderId& holder) -> std::uint64_t
    {
        // FNV-1a: equal on every instance, unlike std::hash.
        std::uint64_t hash = 14'695'981'039'346'656'037U + static_cast<std::uint64_t>(id.kind_);
        for (const auto& text : { id.name_, std::string("/"), holder.name_ }) {
            for (const char c : text)
                hash = (hash ^ static_cast<unsigned char>(c)) * 1'099'511'628'211U;
        }
        return (hash ^ (hash >> 29U)) * 11'400'714'819'323'198'485U;
    }
}

auto EscrowHolder::stewardOf(const BudgetId& id) -> std::optional<HolderId>
{
    const auto cached = stewards_.find(id);
    if (cached != stewards_.end())
        return cached->second;
    std::optional<HolderId> best;
    for (const auto& voter : membership_.record().voters_) {
        const bool usable = !suspects_.contains(voter) && !(leaving_ && voter == ledger_.self());
        if (usable && (!best || rankOf(id, voter) > rankOf(id, *best)))
            best = voter;
    }
    if (best)
        stewards_.emplace(id, *best);
    return best;
}

auto EscrowHolder::reserveOf(const BudgetTotal& total) const -> Fraction
{
    const auto holders = static_cast<std::int64_t>(std::max<std::size_t>(1, membership_.record().holders_.size()));
    if (leaving_ || total.burst_ < leastReserveUnits * reserveDivisor * holders)
        return 0;
    return fullFraction / (reserveDivisor * holders);
}

auto EscrowHolder::surplus(const BudgetId& id, std::int64_t marginPercent, MonotonicTime now) -> Fraction
{
    const auto found = ledger_.accounts().find(id);
    if (found == ledger_.accounts().end())
        return 0;
    const auto& account = found->second;
    // A reserve gives way to another holder's demand.
    const auto& demand = demands_[id];
    const auto need = marginPercent == recallMargin ? demand.inUse(account, marginPercent, now) : demand.need(account, marginPercent, reserveOf(account.total()));
    return std::max<Fraction>(0, account.fraction() - (leaving_ ? 0 : need));
}

auto EscrowHolder::moveShares(MonotonicTime now) -> void
{
    Wanted transfers;
    serveWaiting(transfers, now);
    announceShares(now);
    for (const auto& [id, total] : totals_) {
        const auto steward = stewardOf(id);
        if (!steward)
            continue;
        const bool isSteward = *steward == ledger_.self();
        const auto held = ledger_.account(id, total, now).fraction();
        if (!isSteward && surplus(id, returnMargin, now) > 0) {
            transfers[*steward][id] = surplus(id, usualMargin, now);
            continue;
        }
        auto& demand = demands_[id];
        if (leaving_ || !demand.mayAsk(now))
            continue;
        const auto& account = ledger_.account(id, total, now);
        if (held < demand.need(account, askMargin, 0) && demand.isRunningShort(account))
            askForNeed(id, *steward, now);
        else if (!isSteward && held < reserveOf(total) && demand.mayAskReserve(now))
            askReserve(id, *steward, reserveOf(total) - held, now);
    }
    sendShares(transfers, now);
}

auto EscrowHolder::askForNeed(const BudgetId& id, const HolderId& steward, MonotonicTime now) -> void
{
    const auto& account = ledger_.account(id, totals_.at(id), now);
    ask(id, steward, demands_[id].need(account, usualMargin, reserveOf(account.total())), now);
}

auto EscrowHolder::ask(const BudgetId& id, const HolderId& steward, Fraction fraction, MonotonicTime now) -> void
{
    const auto found = ledger_.accounts().find(id);
    const auto held = found == ledger_.accounts().end() ? 0 : found->second.fraction();
    demands_[id].asked(now);
    if (fraction <= held)
        return;
    if (steward == ledger_.self()) {
        recall(id, steward, fraction - held, now);
        return;
    }
    EscrowMessage message { EscrowMessageKind::Ask, ledger_.epoch(), ledger_.self(), steward };
    message.shares_.push_back({ id, { fraction - held, 0 } });
    sendExpectingAnswer(std::move(message), now);
}

// A new steward learns who holds shares that it may recall.
auto EscrowHolder::announceShares(MonotonicTime now) -> void
{
    std::map<HolderId, EscrowMessage> messages;
    for (const auto& [id, account] : ledger_.accounts()) {
        const auto steward = stewardOf(id);
        if (account.fraction() == 0 || !steward || *steward == ledger_.self())
            continue;
        auto& announced = announced_[id];
        if (announced == *steward)
            continue;
        announced = *steward;
        auto& message = messages.try_emplace(*steward, EscrowMessage { EscrowMessageKind::AskReserve, ledger_.epoch(), ledger_.self(), *steward }).first->second;
        message.shares_.push_back({ id, {} });
    }
    for (auto& [steward, message] : messages)
        sendExpectingAnswer(std::move(message), now);
}

auto EscrowHolder::askReserve(const BudgetId& id, const HolderId& steward, Fraction fraction, MonotonicTime now) -> void
{
    demands_[id].askedReserve(now);
    EscrowMessage message { EscrowMessageKind::AskReserve, ledger_.epoch(), ledger_.self(), steward };
    message.shares_.push_back({ id, { fraction, 0 } });
    sendExpectingAnswer(std::move(message), now);
}

auto EscrowHolder::serveWaiting(Wanted& transfers, MonotonicTime now) -> void
{
    std::erase_if(waiting_, [now](const auto& waiting) { return waiting.expires_ <= now; });
    std::map<BudgetId, Fraction> left;
    for (auto& waiting : waiting_) {
        const auto available = left.try_emplace(waiting.budget_, surplus(waiting.budget_, recallMargin, now)).first;
        const auto given = std::min(available->second, waiting.fraction_);
        if (given <= 0)
            continue;
        available->second -= given;
        waiting.fraction_ -= given;
        transfers[waiting.asker_][waiting.budget_] += given;
    }
    std::erase_if(waiting_, [](const auto& waiting) { return waiting.fraction_ <= 0; });
}

auto EscrowHolder::answerAsk(const EscrowMessage& message, MonotonicTime now) -> void
{
    std::map<BudgetId, Fraction> given;
    for (const auto& [id, share] : message.shares_) {
        const bool reserveOnly = message.kind_ == EscrowMessageKind::AskReserve;
        const auto part = std::min(share.fraction_, surplus(id, reserveOnly ? usualMargin : recallMargin, now));
        if (part > 0)
            given[id] = part;
        noteRecipient(id, message.from_);
        if (reserveOnly)
            continue;
        std::erase_if(waiting_, [&asker = message.from_, &budget = id](const auto& waiting) { return waiting.asker_ == asker && waiting.budget_ == budget; });
        if (part < share.fraction_ && waiting_.size() < maxWaiting) {
            waiting_.push_back({ message.from_, id, share.fraction_ - part, now + askLifetime });
            recall(id, message.from_, share.fraction_ - part, now);
        }
    }
    if (auto transfer = ledger_.transfer(message.from_, given, now))
        sendExpectingAnswer(std::move(transfer), now);
    else
        send(EscrowMessage { EscrowMessageKind::Shortfall, ledger_.epoch(), ledger_.self(), message.from_ });
}

auto EscrowHolder::noteRecipient(const BudgetId& id, const HolderId& holder) -> void
{
    auto& recipients = recipients_[id];
    std::erase(recipients, holder);
    recipients.push_back(holder);
    if (recipients.size() > maxRecipients)
        recipients.pop_front();
}

auto EscrowHolder::recall(const BudgetId& id, const HolderId& asker, Fraction fraction, MonotonicTime now) -> void
{
    const auto found = recipients_.find(id);
    if (found == recipients_.end())
        return;
    for (const auto& holder : found->second) {
        if (holder == asker || holder == ledger_.self())
            continue;
        EscrowMessage message { EscrowMessageKind::Recall, ledger_.epoch(), ledger_.self(), holder, 0, asker };
        message.shares_.push_back({ id, { fraction, 0 } });
        sendExpectingAnswer(std::move(message), now);
    }
}

auto EscrowHolder::answerRecall(const EscrowMessage& message, MonotonicTime now) -> void
{
    std::map<BudgetId, Fraction> given;
    for (const auto& [id, share] : message.shares_) {
        const auto part = std::min(share.fraction_, surplus(id, recallMargin, now));
        // Slots are whole, so there every part counts.
        const auto total = totals_.find(id);
        const auto least = total != totals_.end() && total->second.rate_ > 0 ? std::min(worthwhile, share.fraction_) : 1;
        if (part >= least)
            given[id] = part;
    }
    sendExpectingAnswer(ledger_.transfer(message.other_, given, now), now);
    send(EscrowMessage { EscrowMessageKind::Shortfall, ledger_.epoch(), ledger_.self(), message.from_ });
}

auto EscrowHolder::answerPing(const EscrowMessage& message, MonotonicTime now) -> void
{
    heardAt_[message.from_] = now;
    auto pong = membership_.answerPing(message);
    // In another epoch the sender is not confirmed, but learns that this holder runs.
    send(pong ? std::move(*pong) : EscrowMessage { EscrowMessageKind::Shortfall, ledger_.epoch(), ledger_.self(), message.from_ });
}

auto EscrowHolder::receive(const EscrowMessage& message, MonotonicTime now) -> void
{
    checkLease(now);
    if (message.to_ != ledger_.self())
        return;
    awaited_.erase(message.from_);
    if (suspects_.erase(message.from_) > 0)
        stewards_.clear();
    switch (message.kind_) {
    case EscrowMessageKind::Transfer:
        send(ledger_.receive(message, totals_, now));
        for (const auto& [budget, share] : message.shares_) {
            noteRecipient(budget, message.from_);
            if (share.fraction_ >= worthwhile)
                demands_[budget].credited();
        }
        return;
    case EscrowMessageKind::Acknowledge:
        ledger_.acknowledged(message);
        return;
    case EscrowMessageKind::Ask:
    case EscrowMessageKind::AskReserve:
        if (mayTransfer(now) && message.epoch_ == ledger_.epoch())
            answerAsk(message, now);
        return;
    case EscrowMessageKind::Recall:
        if (mayTransfer(now) && message.epoch_ == ledger_.epoch())
            answerRecall(message, now);
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
    case EscrowMessageKind::Shortfall:
    case EscrowMessageKind::NewEpoch:
        return;
    }
}

} // namespace sapphirepass
