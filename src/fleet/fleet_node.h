// An instance's member of the fleet: a FleetCore behind a lock, a peer link and a thread that ticks.
#pragma once

#include "base/metrics.h"
#include "fleet/fleet_core.h"
#include "fleet/peer_link.h"
#include "fleet/request_gate.h"
#include "language/query.h"
#include "store/config_follower.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <thread>

namespace sapphirepass {

// Both may block; each is called on its own thread, never on the link's.
struct FleetSources {
    std::function<std::vector<PlatformInstance>()> instances_;
    // Appends a withdrawal to the log; false if it should be tried again.
    std::function<bool(const Withdrawal&)> makeDurable_;
};

// Thread-safe.
class FleetNode final : public RequestGate, public StoreObserver {
public:
    FleetNode(Member self, ConfigState& state, const Clock& clock, Metrics& metrics, const FleetOptions& options, FleetSources sources);
    ~FleetNode() override;
    FleetNode(const FleetNode&) = delete;
    auto operator=(const FleetNode&) -> FleetNode& = delete;

    // Receives over the link from now on; to be called before the link starts.
    auto attach(PeerLink& link) -> void;
    auto start() -> void;
    auto stop() -> void;
    auto announceLeaving() -> void;
    // Address of a peer by name, or of a seed "@IP:PORT".
    auto resolve(const std::string& name) const -> std::optional<SocketAddress>;

    auto checkGrant(const Result<Grant, Refusal>& granted) const -> Result<Grant, Refusal> override;
    auto shouldWatch() const -> bool override;
    auto callStarts() const -> MonotonicTime override { return clock_.now(); }
    auto storeAnswered(MonotonicTime started, const std::optional<LogHead>& head) -> void override;

    // Takes keys away at once, without the store; returns the hash to ask inForce() with.
    auto withdraw(const std::vector<Withdrawal>& withdrawals) -> std::uint64_t;
    // What is known now; each call asks again.
    auto inForce(const InForceAsk& ask) -> InForceCount;
    auto isCurrent() const -> bool;
    // Known and not leaving.
    auto isMember(const std::string& name) const -> bool;
    // All members, asked for anew; waits a moment for answers.
    auto describeMembers() -> Rows;

private:
    auto run() -> void;
    auto receive(PeerTopic topic, const InstanceId& from, const std::string& payload) -> void;
    auto refreshList() -> void;
    // After each change of the core, under the lock: what the gate reads without it.
    auto publish() -> void;
    auto flush(std::unique_lock<std::mutex> lock) -> void;
    auto settleWithdrawals() -> void;

    const Clock& clock_;
    Metrics& metrics_;
    FleetSources sources_;
    PeerLink* link_ = nullptr;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    FleetCore core_;
    std::vector<PlatformInstance> listed_;
    bool wasCurrent_ = false;
    std::size_t answersToAsk_ = 0;
    std::optional<MonotonicTime> pendingSince_;
    // Commands that the log took or refused; used by the store's thread only.
    std::set<std::string> settled_;
    std::atomic<std::int64_t> currentUntil_ { 0 };
    mutable std::mutex withdrawnMutex_;
    std::shared_ptr<const std::set<std::string>> withdrawn_ = std::make_shared<const std::set<std::string>>();
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

// show instances
class InstanceRows final : public RowSource {
public:
    explicit InstanceRows(FleetNode& node)
        : node_(node)
    {
    }

    auto subject() const -> std::string override { return "instances"; }
    auto rows() const -> Rows override { return node_.describeMembers(); }

private:
    FleetNode& node_;
};

} // namespace sapphirepass
