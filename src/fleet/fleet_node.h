// Runs a FleetCore: adds locking, the peer link and a thread that calls tick().
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

// Both may block. listInstances_ is called on the node's thread and persistWithdrawal_ on the store's thread,
// never on the link's.
struct FleetCallbacks {
    std::function<std::vector<PlatformInstance>()> listInstances_;
    // Appends a withdrawal to the command log; false if it has to be retried.
    std::function<bool(const Withdrawal&)> persistWithdrawal_;
};

// Thread-safe.
class FleetNode final : public RequestGate, public StoreObserver {
public:
    FleetNode(Member self, ConfigState& state, const Clock& clock, Metrics& metrics, const FleetOptions& options, FleetCallbacks callbacks);
    ~FleetNode() override;
    FleetNode(const FleetNode&) = delete;
    auto operator=(const FleetNode&) -> FleetNode& = delete;

    // Sets the link and registers the handlers. Must be called before the link starts.
    auto attach(PeerLink& link) -> void;
    auto start() -> void;
    auto stop() -> void;
    auto announceLeaving() -> void;
    // Address of a member by name, or of a seed in the form "@IP:PORT".
    auto resolve(const std::string& name) const -> std::optional<SocketAddress>;

    auto checkGrant(const Result<Grant, Refusal>& granted) const -> Result<Grant, Refusal> override;
    auto shouldWatch() const -> bool override;
    auto callStarts() const -> MonotonicTime override { return clock_.now(); }
    auto storeAnswered(MonotonicTime started, const std::optional<LogHead>& head) -> void override;

    // Withdraws keys immediately, without the store; returns the withdrawal hash to pass to inForce().
    auto withdraw(const std::vector<Withdrawal>& withdrawals) -> std::uint64_t;
    // Returns what is known now, and queries the watchers again for the next call.
    auto inForce(const InForceAsk& ask) -> InForceStatus;
    auto isCurrent() const -> bool;
    // False only if the instance announced that it is leaving; unknown names count as members.
    auto isMember(const std::string& name) const -> bool;
    // Queries one watcher of each domain and waits briefly for the replies before it lists all members.
    auto describeMembers() -> Rows;

private:
    auto run() -> void;
    auto receive(PeerTopic topic, const InstanceId& from, const std::string& payload) -> void;
    auto refreshList() -> void;
    // Updates the metrics and the state that checkGrant() reads without the core's lock. Called with the lock
    // held after each change of the core.
    auto publish() -> void;
    auto flush(std::unique_lock<std::mutex> lock) -> void;
    auto persistWithdrawals() -> void;

    const Clock& clock_;
    Metrics& metrics_;
    FleetCallbacks callbacks_;
    PeerLink* link_ = nullptr;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    FleetCore core_;
    std::vector<PlatformInstance> listedInstances_;
    bool wasCurrent_ = false;
    std::size_t memberReplies_ = 0;
    std::optional<MonotonicTime> pendingSince_;
    // Withdrawal commands that the log accepted or rejected; accessed by the store's thread only.
    std::set<std::string> processedCommands_;
    std::atomic<std::int64_t> currentUntil_ { 0 };
    mutable std::mutex withdrawnKeysMutex_;
    std::shared_ptr<const std::set<std::string>> withdrawnKeys_ = std::make_shared<const std::set<std::string>>();
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

// Source of the operators' "show instances".
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
