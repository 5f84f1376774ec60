// The escrow protocol in the daemon: one holder, driven by a clock, the peer link and the store.
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

// Store object that holds the share table.
inline constexpr auto shareTableObject = "admission/shares";

// Thread-safe.
class EscrowBudgets final : public Budgets {
public:
    // Takes the link's budget topic; to be made before the link starts.
    EscrowBudgets(const Clock& clock, const InstanceId& self, PeerLink& peers, ObjectStore& store, const ConfigState& config, Metrics& metrics);
    ~EscrowBudgets() override;
    EscrowBudgets(const EscrowBudgets&) = delete;
    auto operator=(const EscrowBudgets&) -> EscrowBudgets& = delete;

    auto trySpend(const BudgetId& id, std::int64_t amount) -> bool override;
    auto releaseSlots(const BudgetId& id, std::int64_t amount) -> void override;
    auto retryAfter(const BudgetId& id) const -> Duration;

    auto start() -> void;
    // Hands the shares to other instances, for at most that long, and ends.
    auto leave(std::chrono::milliseconds longest) -> void;
    auto stop() -> void;

    // What the threads do regularly; for tests without threads.
    auto tickOnce() -> void;
    // One read of the share table and at most one write; false if the store did not answer.
    auto syncOnce() -> bool;
    // Whether the share table should be read again soon.
    auto isSyncUrgent() const -> bool;
    auto hasLeft() const -> bool;

private:
    auto runTicks() -> void;
    auto runSyncs() -> void;
    auto receive(const InstanceId& from, const std::string& payload) -> void;
    auto refreshTotals() -> void;
    auto readTable() -> std::optional<StoreError>;
    auto writeWanted() -> bool;
    auto observe(const std::string& value, ObjectVersion version, MonotonicTime started) -> void;
    // Sends what the holder wants sent; called without the lock.
    auto flush() -> void;
    auto report() -> void;

    const Clock& clock_;
    const InstanceId self_;
    PeerLink& peers_;
    ObjectStore& store_;
    const ConfigState& config_;
    Metrics& metrics_;

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    EscrowHolder holder_;
    Revision revision_ = 0;
    // As last read.
    ObjectVersion version_ = absentVersion;
    bool urgent_ = true;
    bool stopping_ = false;
    std::uint64_t life_;
    std::int64_t loggedEpoch_ = 0;
    std::thread ticks_;
    std::thread syncs_;
};

// Holds workspaces to rate and burst by the shares of this instance.
class EscrowAdmitter final : public Admitter {
public:
    explicit EscrowAdmitter(EscrowBudgets& budgets);

    auto admit(const Workspace& workspace) -> Result<Done, Refusal> override;

private:
    EscrowBudgets& budgets_;
};

} // namespace sapphirepass
