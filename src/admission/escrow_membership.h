// Lease and epoch of one holder: decides when the holder may spend, and when an issuer may issue the unreported
// shares of earlier epochs again.
#pragma once

#include "admission/escrow_type.h"

#include <optional>
#include <set>

namespace sapphirepass {

// Maximum number of voters of an epoch.
inline constexpr std::size_t maxVoters = 15;

// What the holder has to do after it has read the epoch record.
enum class EpochAction {
    None,
    // Carry the shares over to the epoch of the record and report them.
    Enter,
    // The record no longer accounts for the shares of this generation: drop them and register again.
    Restart,
};

class EscrowMembership {
public:
    explicit EscrowMembership(HolderId self);

    auto self() const -> const HolderId& { return self_; }
    auto epoch() const -> std::int64_t { return epoch_; }
    auto record() const -> const EpochRecord& { return record_; }
    auto isRegistered() const -> bool;
    // Whether this holder's lease is valid.
    auto holdsLease(MonotonicTime now) const -> bool { return now < leaseEnd(now); }
    // Whether a lease was valid before and has expired, which voids all shares.
    auto hasLeaseExpired(MonotonicTime now) const -> bool { return confirmed_ && !holdsLease(now); }
    auto leaseEnd(MonotonicTime now) const -> MonotonicTime;

    // Processes the epoch record that a store call returned; callStarted is the start of that call.
    auto observe(const EpochRecord& record, MonotonicTime callStarted, MonotonicTime now) -> EpochAction;
    // To be called after EpochAction::Enter, with the shares carried over.
    auto epochEntered(std::vector<BudgetShare> carriedShares) -> void;
    auto restart(std::uint64_t generation) -> void;
    // Whether the issuer knows the shares that this holder carried over. Until then shares may be spent but not
    // transferred: they expire with this holder's lease, and a transferred share would outlive it.
    auto isReported() const -> bool { return reported_; }
    // The report to the issuer, while it is not yet acknowledged.
    auto report() const -> std::optional<EscrowMessage>;
    auto reportAcknowledged(const EscrowMessage& message) -> void;

    // Confirmation of the epoch without the store. A pong counts from the time at which its ping was sent.
    auto pings(MonotonicTime now) const -> std::vector<EscrowMessage>;
    auto answerPing(const EscrowMessage& ping) const -> std::optional<EscrowMessage>;
    auto receivePong(const EscrowMessage& pong) -> void;
    auto storeConfirmed() const -> std::optional<MonotonicTime> { return storeConfirmed_; }

    // The record that opens the next epoch with this holder as issuer.
    auto nextEpoch(const std::set<HolderId>& suspects) const -> EpochRecord;
    // The record with this holder registered.
    auto withSelf() const -> EpochRecord;
    auto withoutSelf() const -> EpochRecord;

    // Functions of the issuer.
    auto isIssuer() const -> bool { return epoch_ > 0 && record_.epoch_ == epoch_ && record_.issuer_ == self_; }
    // Processes a report and returns the acknowledgement; nothing if the reporter's shares already count as expired.
    auto receiveReport(const EscrowMessage& report, MonotonicTime now) -> std::optional<EscrowMessage>;
    // Whether all shares that are not reported have certainly expired.
    auto isSettled(MonotonicTime now) -> bool;
    // Returns the fraction that nobody holds; the caller becomes its holder. Zero on later calls for the same budget.
    auto issue(const BudgetId& id) -> Fraction;
    // The record that marks the epoch as complete; nothing before the epoch is settled or once it is marked.
    auto completedRecord() const -> std::optional<EpochRecord>;

    auto operator<=>(const EscrowMembership&) const = default;

private:
    // The latest time at which a majority of the voters confirmed the epoch.
    auto majorityConfirmed(MonotonicTime now) const -> std::optional<MonotonicTime>;
    auto hasPromised(const HolderId& voter) const -> bool;
    auto hasMajorityPromised() const -> bool;
    auto allReported() const -> bool;
    auto startIssuing(MonotonicTime now) -> void;

    HolderId self_;
    EpochRecord record_;
    std::int64_t epoch_ = 0;
    // Whether the issuer knows the shares carried over; until then the lease is not renewed.
    bool reported_ = false;
    // Whether a lease has ever been valid in this generation.
    bool confirmed_ = false;
    std::vector<BudgetShare> carriedShares_;
    std::optional<MonotonicTime> storeConfirmed_;
    std::map<HolderId, MonotonicTime> pongs_;

    // State of the issuer.
    MonotonicTime openedAt_;
    // When a majority of the voters of every earlier epoch had promised to confirm that epoch no more.
    std::optional<MonotonicTime> promisedAt_;
    std::vector<HolderId> holdersAtOpening_;
    std::map<HolderId, std::vector<BudgetShare>> reports_;
    bool settled_ = false;
    std::set<BudgetId> issued_;
};

} // namespace sapphirepass
