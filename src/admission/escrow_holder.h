// One instance's side of the escrow protocol: its shares, its lease, and the rebalancing of shares to where they
// are needed. A pure state machine: it is called with the current time, and returns messages and proposed updates
// of the store; it does no I/O.
#pragma once

#include "admission/escrow_demand.h"
#include "admission/escrow_ledger.h"
#include "admission/escrow_membership.h"

#include <deque>

namespace sapphirepass {

// Interval between calls of tick(); shares follow demand within ten intervals.
inline constexpr Duration escrowTickInterval = std::chrono::milliseconds(100);

// Single-threaded.
class EscrowHolder {
public:
    EscrowHolder(const HolderId& self, MonotonicTime now);

    auto setTotals(BudgetTotals totals, MonotonicTime now) -> void;
    auto trySpend(const BudgetId& id, std::int64_t amount, MonotonicTime now) -> bool;
    auto releaseSlots(const BudgetId& id, std::int64_t amount) -> void;
    // Time until this holder's share covers the amount; at most one second, since shares can arrive meanwhile.
    auto retryAfter(const BudgetId& id, std::int64_t amount) const -> Duration;

    auto tick(MonotonicTime now) -> void;
    auto receive(const EscrowMessage& message, MonotonicTime now) -> void;
    auto takeOutgoing() -> std::vector<EscrowMessage>;

    // Processes the epoch record that a store call returned; callStarted is the start of that call.
    auto observe(const EpochRecord& record, MonotonicTime callStarted, MonotonicTime now) -> void;
    // A store call that started at callStarted has shown that the last observed record is still current.
    auto confirm(MonotonicTime callStarted, MonotonicTime now) -> void;
    // The store holds no epoch record.
    auto observeAbsent() -> void { recordAbsent_ = true; }
    // A change of the epoch record that this holder proposes, to be written over the version last observed; nothing
    // if it proposes none.
    auto proposedRecord(MonotonicTime now) -> std::optional<EpochRecord>;

    // Starts to transfer all shares to other holders.
    auto leave() -> void;
    auto hasLeft() const -> bool;

    auto ledger() const -> const EscrowLedger& { return ledger_; }
    auto membership() const -> const EscrowMembership& { return membership_; }
    auto suspects() const -> const std::set<HolderId>& { return suspects_; }

private:
    struct PendingRequest {
        HolderId requester_;
        BudgetId budget_;
        Fraction fraction_ = 0;
        MonotonicTime expires_;
    };
    using TransferPlan = std::map<HolderId, std::map<BudgetId, Fraction>>;

    auto mayTransfer(MonotonicTime now) const -> bool { return membership_.holdsLease(now) && membership_.isReported(); }
    auto checkLease(MonotonicTime now) -> void;
    auto restart(MonotonicTime now) -> void;
    auto send(std::optional<EscrowMessage> message) -> void;
    auto sendExpectingReply(std::optional<EscrowMessage> message, MonotonicTime now) -> void;
    auto sendTransfers(const TransferPlan& plan, MonotonicTime now) -> void;
    auto sendReport(MonotonicTime now) -> void;
    auto sendPings(MonotonicTime now) -> void;
    auto sendHeartbeat(MonotonicTime now) -> void;
    auto monitorOf(const HolderId& holder) const -> std::optional<HolderId>;
    auto issueUnheldShares(MonotonicTime now) -> void;
    auto updateSuspects(MonotonicTime now) -> void;
    auto rebalance(MonotonicTime now) -> void;
    auto servePendingRequests(TransferPlan& transfers, MonotonicTime now) -> void;
    auto requestNeededFraction(const BudgetId& id, const HolderId& coordinator, MonotonicTime now) -> void;
    auto requestFraction(const BudgetId& id, const HolderId& coordinator, Fraction fraction, MonotonicTime now) -> void;
    auto announceShares(MonotonicTime now) -> void;
    auto requestReserve(const BudgetId& id, const HolderId& coordinator, Fraction fraction, MonotonicTime now) -> void;
    auto noteHolder(const BudgetId& id, const HolderId& holder) -> void;
    auto handleShareRequest(const EscrowMessage& message, MonotonicTime now) -> void;
    auto answerPing(const EscrowMessage& message, MonotonicTime now) -> void;
    auto handleRecall(const EscrowMessage& message, MonotonicTime now) -> void;
    auto recall(const BudgetId& id, const HolderId& requester, Fraction fraction, MonotonicTime now) -> void;
    // The holder that collects idle shares of a budget and distributes them. Chosen by rendezvous hashing over the
    // voters, so holders agree on it without messages.
    auto coordinatorOf(const BudgetId& id) -> std::optional<HolderId>;
    auto reserveOf(const BudgetTotal& total) const -> Fraction;
    auto surplus(const BudgetId& id, std::int64_t marginPercent, MonotonicTime now) -> Fraction;
    auto shouldOpenEpoch(MonotonicTime now) const -> bool;
    auto openingDelay() const -> Duration;

    EscrowLedger ledger_;
    EscrowMembership membership_;
    BudgetTotals totals_;
    std::map<BudgetId, EscrowDemand> demands_;
    std::map<BudgetId, HolderId> coordinators_;
    // The coordinator to which this holder has announced its share, by budget.
    std::map<BudgetId, HolderId> announcedTo_;
    // As coordinator: holders known to have a share, for recalls; most recent last.
    std::map<BudgetId, std::deque<HolderId>> knownHolders_;
    std::deque<PendingRequest> pendingRequests_;
    // Peers that owe a reply, and since when.
    std::map<HolderId, MonotonicTime> awaitingReply_;
    // As monitor: time of the last heartbeat from each holder.
    std::map<HolderId, MonotonicTime> lastHeard_;
    std::set<HolderId> suspects_;
    std::vector<EscrowMessage> outgoing_;
    MonotonicTime lastTick_;
    MonotonicTime epochEnteredAt_ {};
    MonotonicTime lastReport_ {};
    MonotonicTime lastPings_ {};
    MonotonicTime lastHeartbeat_ {};
    MonotonicTime nextHeartbeatCheck_ {};
    // Since when this holder has wanted to open the next epoch.
    std::optional<MonotonicTime> epochDueSince_;
    bool recordAbsent_ = false;
    bool leaving_ = false;
};

} // namespace sapphirepass
