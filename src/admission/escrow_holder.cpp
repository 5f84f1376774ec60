#include "admission/escrow_holder.h"

#include <algorithm>
#include <utility>

namespace sapphirepass {

namespace {
    // Unanswered for this long, a peer counts as gone.
    constexpr Duration suspectAfter = std::chrono::seconds(2);
    constexpr Duration heartbeatInterval = std::chrono::milliseconds(1'500);
    constexpr Duration silentAfter = std::chrono::seconds(5);
    constexpr Duration reportInterval = std::chrono::milliseconds(300);
    constexpr Duration pingInterval = std::chrono::seconds(5);
    // Without a word from the store for this long, holders confirm their epoch to each other.
    constexpr Duration pingAfter = std::chrono::seconds(6);
    // New holders become voters together, so that joins do not open an epoch each.
    constexpr Duration joinDelay = std::chrono::seconds(5);
    constexpr Duration openingStep = std::chrono::milliseconds(500);
    constexpr std::size_t longestOpeningRank = 20;
    constexpr Duration longestRetry = std::chrono::seconds(1);
    // A peer that only one holder cannot reach must not open epochs without end.
    constexpr Duration epochInterval = std::chrono::seconds(10);
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
    stewards_.clear();
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
    demand.offered(amount, spent, now);
    const auto steward = spent ? std::nullopt : stewardOf(id);
    if (steward && demand.mayAsk(now))
        askForNeed(id, *steward, now);
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
    return found == ledger_.accounts().end() ? longestRetry : std::min(longestRetry, found->second.timeUntil(amount));
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
    issueSettled(now);
    updateSuspects(now);
    if (mayTransfer(now))
        moveShares(now);
}

auto EscrowHolder::takeOutgoing() -> std::vector<EscrowMessage>
{
    return std::exchange(outgoing_, {});
}

auto EscrowHolder::checkLease(MonotonicTime now) -> void
{
    if (membership_.hasLapsed(now))
        restart(now);
}

auto EscrowHolder::restart(MonotonicTime now) -> void
{
    const auto number = ledger_.self().generation_ + 1;
    ledger_.restart(number, now);
    membership_.restart(number);
    stewards_.clear();
    recipients_.clear();
    announced_.clear();
    waiting_.clear();
    awaited_.clear();
    heardAt_.clear();
    suspects_.clear();
    outgoing_.clear();
    wantedSince_.reset();
}

auto EscrowHolder::send(std::optional<EscrowMessage> message) -> void
{
    if (message)
        outgoing_.push_back(std::move(*message));
}

auto EscrowHolder::sendExpectingAnswer(std::optional<EscrowMessage> message, MonotonicTime now) -> void
{
    if (message)
        awaited_.try_emplace(message->to_, now);
    send(std::move(message));
}

auto EscrowHolder::sendShares(const Wanted& wanted, MonotonicTime now) -> void
{
    for (const auto& [to, fractions] : wanted)
        sendExpectingAnswer(ledger_.transfer(to, fractions, now), now);
}

auto EscrowHolder::sendReport(MonotonicTime now) -> void
{
    auto report = membership_.report();
    if (!report || now < lastReport_ + reportInterval)
        return;
    lastReport_ = now;
    sendExpectingAnswer(std::move(report), now);
}

auto EscrowHolder::sendPings(MonotonicTime now) -> void
{
    const auto confirmed = membership_.storeConfirmed();
    if (!confirmed || now < *confirmed + pingAfter || now < lastPings_ + pingInterval)
        return;
    lastPings_ = now;
    for (auto& ping : membership_.pings(now))
        send(std::move(ping));
}

// Each holder reports to one voter, so that a crash is noticed even where nothing is asked of it.
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
    sendExpectingAnswer(EscrowMessage { EscrowMessageKind::Ping, ledger_.epoch(), ledger_.self(), *monitor, now.time_since_epoch().count() }, now);
}

auto EscrowHolder::updateSuspects(MonotonicTime now) -> void
{
    const auto before = suspects_.size();
    for (const auto& [peer, since] : awaited_) {
        if (now > since + suspectAfter)
            suspects_.insert(peer);
    }
    if (now >= nextMonitoring_) {
        nextMonitoring_ = now + heartbeatInterval;
        for (const auto& holder : membership_.record().holders_) {
            if (holder != ledger_.self() && monitorOf(holder) == ledger_.self() && now > heardAt_.try_emplace(holder, now).first->second + silentAfter)
                suspects_.insert(holder);
        }
    }
    if (suspects_.size() != before)
        stewards_.clear();
}

auto EscrowHolder::issueSettled(MonotonicTime now) -> void
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
    absent_ = false;
    const bool changed = record != membership_.record();
    const auto step = membership_.observe(record, callStarted, now);
    if (step == EpochStep::Move) {
        membership_.moved(ledger_.moveTo(record.epoch_, totals_));
        awaited_.clear();
        suspects_.clear();
        heardAt_.clear();
        wantedSince_.reset();
        movedAt_ = now;
    }
    if (step == EpochStep::Restart)
        restart(now);
    if (!changed)
        return;
    stewards_.clear();
    // Tells the others at once, rather than when they next ask the store.
    if (membership_.isIssuer() && step == EpochStep::Move) {
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

auto EscrowHolder::wantsNextEpoch(MonotonicTime now) const -> bool
{
    const auto& record = membership_.record();
    const auto isListed = [&record](const HolderId& id) { return std::find(record.holders_.begin(), record.holders_.end(), id) != record.holders_.end(); };
    if (!record.complete_)
        return suspects_.contains(record.issuer_);
    if (now < movedAt_ + epochInterval)
        return false;
    if (std::any_of(suspects_.begin(), suspects_.end(), isListed))
        return true;
    return record.voters_.size() < std::min(maxVoters, record.holders_.size());
}

// Spreads the attempts of several holders, so that one conditional update mostly wins alone.
auto EscrowHolder::openingDelay() const -> Duration
{
    const auto& holders = membership_.record().holders_;
    std::size_t rank = 0;
    for (const auto& holder : holders) {
        if (holder == ledger_.self() || rank == longestOpeningRank)
            break;
        rank += suspects_.contains(holder) ? 0 : 1;
    }
    const auto base = suspects_.empty() ? joinDelay : Duration::zero();
    return base + static_cast<Duration::rep>(rank) * openingStep;
}

auto EscrowHolder::proposedRecord(MonotonicTime now) -> std::optional<EpochRecord>
{
    checkLease(now);
    if (leaving_ && membership_.isRegistered() && hasLeft())
        return membership_.withoutSelf();
    if (membership_.record().epoch_ == 0)
        return absent_ && !leaving_ ? std::optional(membership_.nextEpoch({})) : std::nullopt;
    if (!membership_.isRegistered())
        return leaving_ ? std::nullopt : std::optional(membership_.withSelf());
    if (auto completed = membership_.completedRecord())
        return completed;
    if (leaving_ || !wantsNextEpoch(now)) {
        wantedSince_.reset();
        return std::nullopt;
    }
    if (!wantedSince_)
        wantedSince_ = now;
    if (now < *wantedSince_ + openingDelay())
        return std::nullopt;
    wantedSince_.reset();
    return membership_.nextEpoch(suspects_);
}

auto EscrowHolder::leave() -> void
{
    leaving_ = true;
    // This holder collects for no limit any more.
    stewards_.clear();
}

auto EscrowHolder::hasLeft() const -> bool
{
    const auto& accounts = ledger_.accounts();
    const bool empty = std::all_of(accounts.begin(), accounts.end(), [](const auto& entry) { return entry.second.fraction() == 0; });
    return empty && !ledger_.isSending();
}

} // namespace sapphirepass
