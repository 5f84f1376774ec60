// When one holder may spend, and when an issuer may issue again what earlier epochs left behind.
#pragma once

#include "admission/escrow_type.h"

#include <optional>
#include <set>

namespace sapphirepass {

// Voters of an epoch at most.
inline constexpr std::size_t maxVoters = 15;

// What the holder has to do after it has seen the share table.
enum class EpochStep {
    Stay,
    // Take over the shares to the epoch of the table and report them.
    Move,
    // The table no longer lists this life: forget all shares and register again.
    Restart,
};

class EscrowMembership {
public:
    explicit EscrowMembership(HolderId self);

    auto self() const -> const HolderId& { return self_; }
    auto epoch() const -> std::int64_t { return epoch_; }
    auto record() const -> const EpochRecord& { return record_; }
    auto isRegistered() const -> bool;
    // Whether this holder's lease is running.
    auto holdsLease(MonotonicTime now) const -> bool { return now < leaseEnd(now); }
    // Whether a lease that ran has ended, so that all shares are void.
    auto hasLapsed(MonotonicTime now) const -> bool { return confirmed_ && !holdsLease(now); }
    auto leaseEnd(MonotonicTime now) const -> MonotonicTime;

    // Takes in the table as a store call that started then has shown it.
    auto observe(const EpochRecord& record, MonotonicTime callStarted, MonotonicTime now) -> EpochStep;
    // Called after the step Move, with what is taken over.
    auto moved(std::vector<BudgetShare> carried) -> void;
    auto restart(std::uint64_t number) -> void;
    // Whether the issuer knows what this holder took over. Until then shares may be spent, but not sent on:
    // they end with this holder's lease, and what is sent on would outlive it.
    auto isReported() const -> bool { return reported_; }
    // The report to the issuer that is still to be acknowledged.
    auto report() const -> std::optional<EscrowMessage>;
    auto reportAcknowledged(const EscrowMessage& message) -> void;

    // Confirmation without the store. Pings count from the time at which they were sent.
    auto pings(MonotonicTime now) const -> std::vector<EscrowMessage>;
    auto answerPing(const EscrowMessage& ping) const -> std::optional<EscrowMessage>;
    auto receivePong(const EscrowMessage& pong) -> void;
    auto storeConfirmed() const -> std::optional<MonotonicTime> { return storeConfirmed_; }

    // The table that would open the next epoch with this holder as issuer.
    auto nextEpoch(const std::set<HolderId>& suspects) const -> EpochRecord;
    // The table with this holder registered.
    auto withSelf() const -> EpochRecord;
    auto withoutSelf() const -> EpochRecord;

    // The issuer's part.
    auto isIssuer() const -> bool { return epoch_ > 0 && record_.epoch_ == epoch_ && record_.issuer_ == self_; }
    // Takes in a report; the acknowledgement, or nothing if the reporter counts as lapsed already.
    auto receiveReport(const EscrowMessage& report, MonotonicTime now) -> std::optional<EscrowMessage>;
    // Whether all that is not reported has certainly lapsed.
    auto isSettled(MonotonicTime now) -> bool;
    // The fraction that nobody holds; the caller becomes its holder. Zero on every later call for the same budget.
    auto issue(const BudgetId& id) -> Fraction;
    // The table that marks the epoch as complete; nothing if it is not due.
    auto completedRecord() const -> std::optional<EpochRecord>;

    auto operator<=>(const EscrowMembership&) const = default;

private:
    auto majorityConfirmed(MonotonicTime now) const -> std::optional<MonotonicTime>;
    auto hasPromised(const HolderId& voter) const -> bool;
    auto hasMajorityPromised() const -> bool;
    auto allReported() const -> bool;
    auto startIssuing(MonotonicTime now) -> void;

    HolderId self_;
    EpochRecord record_;
    std::int64_t epoch_ = 0;
    // Whether the issuer knows what this holder took over; until then no lease is renewed.
    bool reported_ = false;
    // Whether a lease has ever started in this life.
    bool confirmed_ = false;
    std::vector<BudgetShare> carried_;
    std::optional<MonotonicTime> storeConfirmed_;
    std::map<HolderId, MonotonicTime> pongs_;

    // As issuer.
    MonotonicTime openedAt_;
    std::optional<MonotonicTime> promisedAt_;
    std::vector<HolderId> openedWith_;
    std::map<HolderId, std::vector<BudgetShare>> reports_;
    bool settled_ = false;
    std::set<BudgetId> issued_;
};

} // namespace sapphirepass
