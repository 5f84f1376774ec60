// One instance's part in the escrow protocol: its shares, its lease, and the movement of shares to demand.
// A pure state machine: calls come in with the time, messages and wanted store updates go out.
#pragma once

#include "admission/escrow_demand.h"
#include "admission/escrow_ledger.h"
#include "admission/escrow_membership.h"

#include <deque>

namespace sapphirepass {

// Interval between calls of tick(); shares follow demand within ten of these.
inline constexpr Duration escrowTickInterval = std::chrono::milliseconds(100);

// Single-threaded.
class EscrowHolder {
public:
    EscrowHolder(const HolderId& self, MonotonicTime now);

    auto setTotals(BudgetTotals totals, MonotonicTime now) -> void;
    auto trySpend(const BudgetId& id, std::int64_t amount, MonotonicTime now) -> bool;
    auto releaseSlots(const BudgetId& id, std::int64_t amount) -> void;
    // Time until the present share could pay; at most a second, since shares move.
    auto retryAfter(const BudgetId& id, std::int64_t amount) const -> Duration;

    auto tick(MonotonicTime now) -> void;
    auto receive(const EscrowMessage& message, MonotonicTime now) -> void;
    auto takeOutgoing() -> std::vector<EscrowMessage>;

    // The share table as a store call that started then has shown it.
    auto observe(const EpochRecord& record, MonotonicTime callStarted, MonotonicTime now) -> void;
    // A store call that started then has shown that the table last observed is the latest.
    auto confirm(MonotonicTime callStarted, MonotonicTime now) -> void;
    // The store holds no share table.
    auto observeAbsent() -> void { absent_ = true; }
    // A change of the share table that this holder wants, to be written over the version last observed.
    auto proposedRecord(MonotonicTime now) -> std::optional<EpochRecord>;

    // Starts to hand all shares to others.
    auto leave() -> void;
    auto hasLeft() const -> bool;

    auto ledger() const -> const EscrowLedger& { return ledger_; }
    auto membership() const -> const EscrowMembership& { return membership_; }
    auto suspects() const -> const std::set<HolderId>& { return suspects_; }

private:
    struct Waiting {
        HolderId asker_;
        BudgetId budget_;
        Fraction fraction_ = 0;
        MonotonicTime expires_;
    };
    using Wanted = std::map<HolderId, std::map<BudgetId, Fraction>>;

    auto mayTransfer(MonotonicTime now) const -> bool { return membership_.holdsLease(now) && membership_.isReported(); }
    auto checkLease(MonotonicTime now) -> void;
    auto restart(MonotonicTime now) -> void;
    auto send(std::optional<EscrowMessage> message) -> void;
    auto sendExpectingAnswer(std::optional<EscrowMessage> message, MonotonicTime now) -> void;
    auto sendShares(const Wanted& wanted, MonotonicTime now) -> void;
    auto sendReport(MonotonicTime now) -> void;
    auto sendPings(MonotonicTime now) -> void;
    auto sendHeartbeat(MonotonicTime now) -> void;
    auto monitorOf(const HolderId& holder) const -> std::optional<HolderId>;
    auto issueSettled(MonotonicTime now) -> void;
    auto updateSuspects(MonotonicTime now) -> void;
    auto moveShares(MonotonicTime now) -> void;
    auto serveWaiting(Wanted& transfers, MonotonicTime now) -> void;
    auto askForNeed(const BudgetId& id, const HolderId& steward, MonotonicTime now) -> void;
    auto ask(const BudgetId& id, const HolderId& steward, Fraction fraction, MonotonicTime now) -> void;
    auto announceShares(MonotonicTime now) -> void;
    auto askReserve(const BudgetId& id, const HolderId& steward, Fraction fraction, MonotonicTime now) -> void;
    auto noteRecipient(const BudgetId& id, const HolderId& holder) -> void;
    auto answerAsk(const EscrowMessage& message, MonotonicTime now) -> void;
    auto answerPing(const EscrowMessage& message, MonotonicTime now) -> void;
    auto answerRecall(const EscrowMessage& message, MonotonicTime now) -> void;
    auto recall(const BudgetId& id, const HolderId& asker, Fraction fraction, MonotonicTime now) -> void;
    // Collects idle shares of a budget and hands them out; agreed on by all without messages.
    auto stewardOf(const BudgetId& id) -> std::optional<HolderId>;
    auto reserveOf(const BudgetTotal& total) const -> Fraction;
    auto surplus(const BudgetId& id, std::int64_t marginPercent, MonotonicTime now) -> Fraction;
    auto wantsNextEpoch(MonotonicTime now) const -> bool;
    auto openingDelay() const -> Duration;

    EscrowLedger ledger_;
    EscrowMembership membership_;
    BudgetTotals totals_;
    std::map<BudgetId, EscrowDemand> demands_;
    std::map<BudgetId, HolderId> stewards_;
    // The steward that knows of this holder's share.
    std::map<BudgetId, HolderId> announced_;
    // As steward: who was last given a share, for recalls; latest last.
    std::map<BudgetId, std::deque<HolderId>> recipients_;
    std::deque<Waiting> waiting_;
    // Peers from which an answer is due, since when.
    std::map<HolderId, MonotonicTime> awaited_;
    // As monitor: when each holder was heard of.
    std::map<HolderId, MonotonicTime> heardAt_;
    std::set<HolderId> suspects_;
    std::vector<EscrowMessage> outgoing_;
    MonotonicTime lastTick_;
    MonotonicTime movedAt_ {};
    MonotonicTime lastReport_ {};
    MonotonicTime lastPings_ {};
    MonotonicTime lastHeartbeat_ {};
    MonotonicTime nextMonitoring_ {};
    // Since when a next epoch is wanted.
    std::optional<MonotonicTime> wantedSince_;
    bool absent_ = false;
    bool leaving_ = false;
};

} // namespace sapphirepass
