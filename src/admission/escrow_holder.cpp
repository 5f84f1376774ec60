#include "admission/escrow_holder.h"

#include <algorithm>
#include <utility>

namespace sapphirepass {

namespace {
    // A peer that owes a reply for this long is suspected to be down.
    constexpr Duration replyTimeout = std::chrono::seconds(2);
    constexpr Duration heartbeatInterval = std::chrono::milliseconds(1'500);
    constexpr Duration heartbeatTimeout = std::chrono::seconds(5);
    constexpr Duration reportInterval = std::chrono::milliseconds(300);
    constexpr Duration pingInterval = std::chrono::seconds(5);
    // If the store has not confirmed the epoch for this long, holders confirm it to each other.
    constexpr Duration storeSilenceBeforePings = std::chrono::seconds(6);
    // New holders are collected for this long and become voters together, so that not every join opens an epoch.
    constexpr Duration joinDelay = std::chrono::seconds(5);
    constexpr Duration openingDelayPerRank = std::chrono::milliseconds(500);
    constexpr std::size_t maxOpeningRank = 20;
    constexpr Duration maxRetryAfter = std::chrono::seconds(1);
    // Minimum time between epochs; otherwise a peer that only one holder cannot reach would cause new epochs endlessly.
    constexpr Duration minEpochInterval = std::chrono::seconds(10);
}

EscrowHolder::EscrowHolder(const HolderId& self, MonotonicTime now)
    : ledger_(self)
    , membership_(self)
    , lastTick_(now)
{
}

auto EscrowHolder::setTotals(BudgetTotals totals, MonotonicTime now) -> void
{
    totals_ = std::move(totals);
    coordinators_.clear();
    for (const auto& [id, total] : totals_)
        ledger_.account(id, total, now);
}

auto EscrowHolder::trySpend(const BudgetId& id, std::int64_t amount, MonotonicTime now) -> bool
{
    checkLease(now);
    const auto total = totals_.find(id);
    if (total == totals_.end())
        return false;
    auto& account = ledger_.account(id, total->second, now);
    auto& demand = demands_[id];
    const bool spent = membership_.holdsLease(now) && account.trySpend(amount, now);
    demand.recordAttempt(amount, spent, now);
    const auto coordinator = spent ? std::nullopt : coordinatorOf(id);
    if (coordinator && demand.mayRequest(now))
        requestNeededFraction(id, *coordinator, now);
    return spent;
}

auto EscrowHolder::releaseSlots(const BudgetId& id, std::int64_t amount) -> void
{
    const auto found = ledger_.accounts().find(id);
    if (found != ledger_.accounts().end())
        found->second.releaseSlots(amount);
}

auto EscrowHolder::retryAfter(const BudgetId& id, std::int64_t amount) const -> Duration
{
    const auto found = ledger_.accounts().find(id);
    return found == ledger_.accounts().end() ? maxRetryAfter : std::min(maxRetryAfter, found->second.timeUntil(amount));
}

auto EscrowHolder::tick(MonotonicTime now) -> void
{
    checkLease(now);
    for (auto& [id, demand] : demands_)
        demand.tick(now - lastTick_);
    lastTick_ = now;
    for (auto& message : ledger_.resend(now))
        send(std::move(message));
    sendReport(now);
    sendPings(now);
    sendHeartbeat(now);
    issueUnheldShares(now);
    updateSuspects(now);
    if (mayTransfer(now))
        rebalance(now);
}

auto EscrowHolder::takeOutgoing() -> std::vector<EscrowMessage>
{
    return std::exchange(outgoing_, {});
}

auto EscrowHolder::checkLease(MonotonicTime now) -> void
{
    if (membership_.hasLeaseExpired(now))
        restart(now);
}

auto EscrowHolder::restart(MonotonicTime now) -> void
{
    const auto generation = ledger_.self().generation_ + 1;
    ledger_.restart(generation, now);
    membership_.restart(generation);
    coordinators_.clear();
    knownHolders_.clear();
    announcedTo_.clear();
    pendingRequests_.clear();
    awaitingReply_.clear();
    lastHeard_.clear();
    suspects_.clear();
    outgoing_.clear();
    epochDueSince_.reset();
}

auto EscrowHolder::send(std::optional<EscrowMessage> message) -> void
{
    if (message)
        outgoing_.push_back(std::move(*message));
}

auto EscrowHolder::sendExpectingReply(std::optional<EscrowMessage> message, MonotonicTime now) -> void
{
    if (message)
        awaitingReply_.try_emplace(message->to_, now);
    send(std::move(message));
}

auto EscrowHolder::sendTransfers(const TransferPlan& plan, MonotonicTime now) -> void
{
    for (const auto& [to, fractions] : plan)
        sendExpectingReply(ledger_.transfer(to, fractions, now), now);
}

auto EscrowHolder::sendReport(MonotonicTime now) -> void
{
    auto report = membership_.report();
    if (!report || now < lastReport_ + reportInterval)
        return;
    lastReport_ = now;
    sendExpectingReply(std::move(report), now);
}

auto EscrowHolder::sendPings(MonotonicTime now) -> void
{
    const auto confirmed = membership_.storeConfirmed();
    if (!confirmed || now < *confirmed + storeSilenceBeforePings || now < lastPings_ + pingInterval)
        return;
    lastPings_ = now;
    for (auto& ping : membership_.pings(now))
        send(std::move(ping));
}

// Each holder sends heartbeats to one voter, so that a crash is detected even if no other message is due.
auto EscrowHolder::monitorOf(const HolderId& holder) const -> std::optional<HolderId>
{
    const auto& voters = membership_.record().voters_;
    if (voters.size() < 2)
        return std::nullopt;
    const auto first = holder.generation_ % voters.size();
    return voters[first] == holder ? voters[(first + 1) % voters.size()] : voters[first];
}

auto EscrowHolder::sendHeartbeat(MonotonicTime now) -> void
{
    const auto monitor = monitorOf(ledger_.self());
    if (!monitor || ledger_.epoch() == 0 || now < lastHeartbeat_ + heartbeatInterval)
        return;
    lastHeartbeat_ = now;
    sendExpectingReply(EscrowMessage { EscrowMessageKind::Ping, ledger_.epoch(), ledger_.self(), *monitor, now.time_since_epoch().count() }, now);
}

auto EscrowHolder::updateSuspects(MonotonicTime now) -> void
{
    const auto before = suspects_.size();
    for (const auto& [peer, since] : awaitingReply_) {
        if (now > since + replyTimeout)
            suspects_.insert(peer);
    }
    if (now >= nextHeartbeatCheck_) {
        nextHeartbeatCheck_ = now + heartbeatInterval;
        for (const auto& holder : membership_.record().holders_) {
            if (holder != ledger_.self() && monitorOf(holder) == ledger_.self() && now > lastHeard_.try_emplace(holder, now).first->second + heartbeatTimeout)
                suspects_.insert(holder);
        }
    }
    if (suspects_.size() != before)
        coordinators_.clear();
}

auto EscrowHolder::issueUnheldShares(MonotonicTime now) -> void
{
    if (!membership_.holdsLease(now) || !membership_.isSettled(now))
        return;
    for (const auto& [id, total] : totals_) {
        const auto fraction = membership_.issue(id);
        if (fraction > 0)
            ledger_.account(id, total, now).credit({ fraction, 0 }, now);
    }
}

auto EscrowHolder::observe(const EpochRecord& record, MonotonicTime callStarted, MonotonicTime now) -> void
{
    checkLease(now);
    recordAbsent_ = false;
    const bool changed = record != membership_.record();
    const auto action = membership_.observe(record, callStarted, now);
    if (action == EpochAction::Enter) {
        membership_.epochEntered(ledger_.enterEpoch(record.epoch_, totals_));
        awaitingReply_.clear();
        suspects_.clear();
        lastHeard_.clear();
        epochDueSince_.reset();
        epochEnteredAt_ = now;
    }
    if (action == EpochAction::Restart)
        restart(now);
    if (!changed)
        return;
    coordinators_.clear();
    // The other holders would otherwise learn of the epoch only at their next read of the store.
    if (membership_.isIssuer() && action == EpochAction::Enter) {
        for (const auto& holder : record.holders_) {
            if (holder != ledger_.self())
                send(EscrowMessage { EscrowMessageKind::NewEpoch, record.epoch_, ledger_.self(), holder });
        }
    }
}

auto EscrowHolder::confirm(MonotonicTime callStarted, MonotonicTime now) -> void
{
    const auto record = membership_.record();
    observe(record, callStarted, now);
}

auto EscrowHolder::shouldOpenEpoch(MonotonicTime now) const -> bool
{
    const auto& record = membership_.record();
    const auto isListed = [&record](const HolderId& id) { return std::find(record.holders_.begin(), record.holders_.end(), id) != record.holders_.end(); };
    if (!record.complete_)
        return suspects_.contains(record.issuer_);
    if (now < epochEnteredAt_ + minEpochInterval)
        return false;
    if (std::any_of(suspects_.begin(), suspects_.end(), isListed))
        return true;
    return record.voters_.size() < std::min(maxVoters, record.holders_.size());
}

// Staggers the attempts of the holders by rank, so that their conditional writes rarely conflict.
auto EscrowHolder::openingDelay() const -> Duration
{
    const auto& holders = membership_.record().holders_;
    std::size_t rank = 0;
    for (const auto& holder : holders) {
        if (holder == ledger_.self() || rank == maxOpeningRank)
            break;
        rank += suspects_.contains(holder) ? 0 : 1;
    }
    const auto base = suspects_.empty() ? joinDelay : Duration::zero();
    return base + static_cast<Duration::rep>(rank) * openingDelayPerRank;
}

auto EscrowHolder::proposedRecord(MonotonicTime now) -> std::optional<EpochRecord>
{
    checkLease(now);
    if (leaving_ && membership_.isRegistered() && hasLeft())
        return membership_.withoutSelf();
    if (membership_.record().epoch_ == 0)
        return recordAbsent_ && !leaving_ ? std::optional(membership_.nextEpoch({})) : std::nullopt;
    if (!membership_.isRegistered())
        return leaving_ ? std::nullopt : std::optional(membership_.withSelf());
    if (auto completed = membership_.completedRecord())
        return completed;
    if (leaving_ || !shouldOpenEpoch(now)) {
        epochDueSince_.reset();
        return std::nullopt;
    }
    if (!epochDueSince_)
        epochDueSince_ = now;
    if (now < *epochDueSince_ + openingDelay())
        return std::nullopt;
    epochDueSince_.reset();
    return membership_.nextEpoch(suspects_);
}

auto EscrowHolder::leave() -> void
{
    leaving_ = true;
    // A leaving holder is no longer the coordinator of any budget.
    coordinators_.clear();
}

auto EscrowHolder::hasLeft() const -> bool
{
    const auto& accounts = ledger_.accounts();
    const bool empty = std::all_of(accounts.begin(), accounts.end(), [](const auto& entry) { return entry.second.fraction() == 0; });
    return empty && !ledger_.hasPendingTransfers();
}

} // namespace sapphirepass
