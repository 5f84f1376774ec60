// Runs one escrow holder on the clock, the peer link and the store of an instance.
#pragma once

#include "admission/admitter.h"
#include "admission/escrow_holder.h"
#include "base/metrics.h"
#include "config/config_state.h"
#include "fleet/peer_link.h"
#include "store/object_store.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace sapphirepass {

// Store object that holds the epoch record.
inline constexpr auto epochRecordObject = "admission/shares";

// Thread-safe.
class EscrowBudgets final : public Budgets {
public:
    // Subscribes to the budget topic of the peer link; to be constructed before the link starts.
    EscrowBudgets(const Clock& clock, const InstanceId& self, PeerLink& peers, ObjectStore& store, const ConfigState& config, Metrics& metrics);
    ~EscrowBudgets() override;
    EscrowBudgets(const EscrowBudgets&) = delete;
    auto operator=(const EscrowBudgets&) -> EscrowBudgets& = delete;

    auto trySpend(const BudgetId& id, std::int64_t amount) -> bool override;
    auto releaseSlots(const BudgetId& id, std::int64_t amount) -> void override;
    auto retryAfter(const BudgetId& id) const -> Duration;

    auto start() -> void;
    // Transfers the shares to other instances and unregisters; gives up on the transfers after the given time.
    auto leave(std::chrono::milliseconds timeout) -> void;
    auto stop() -> void;

    // One iteration of each thread; public for tests that run without threads.
    auto tickOnce() -> void;
    // Reads the epoch record once and writes it at most once; false if the read failed.
    auto syncOnce() -> bool;
    // Whether the epoch record should be read again soon.
    auto isSyncUrgent() const -> bool;
    auto hasLeft() const -> bool;

private:
    auto runTicks() -> void;
    auto runSyncs() -> void;
    auto receive(const InstanceId& from, const std::string& payload) -> void;
    auto refreshTotals() -> void;
    auto readRecord() -> std::optional<StoreError>;
    auto writeProposedRecord() -> bool;
    auto observe(const std::string& value, ObjectVersion version, MonotonicTime started) -> void;
    // Sends the holder's outgoing messages. Takes the lock, so it must be called without it.
    auto sendOutgoing() -> void;
    // Logs changes of epoch and generation, and updates the metrics.
    auto publishState() -> void;

    const Clock& clock_;
    const InstanceId self_;
    PeerLink& peers_;
    ObjectStore& store_;
    const ConfigState& config_;
    Metrics& metrics_;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    EscrowHolder holder_;
    Revision totalsRevision_ = 0;
    // Version of the epoch record last read or written.
    ObjectVersion recordVersion_ = absentVersion;
    bool syncUrgent_ = true;
    bool stopping_ = false;
    std::uint64_t loggedGeneration_;
    std::int64_t loggedEpoch_ = 0;
    std::thread tickThread_;
    std::thread syncThread_;
};

// Enforces rate and burst of workspaces with this instance's shares.
class EscrowAdmitter final : public Admitter {
public:
    explicit EscrowAdmitter(EscrowBudgets& budgets);

    auto admit(const Workspace& workspace) -> Result<Done, Refusal> override;

private:
    EscrowBudgets& budgets_;
};

} // namespace sapphirepass
