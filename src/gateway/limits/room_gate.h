// Refuses requests that a service has no room for: lower priorities first, then workspaces beyond their fair share.
#pragma once

#include "base/metrics.h"
#include "gateway/declaration/declaration_type.h"
#include "gateway/fleet/fleet_view.h"
#include "gateway/requests/decision_log.h"

#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace sapphirepass {

struct RoomQuery {
    std::string service_;
    std::string workspace_;
    // 0 is the highest.
    int priority_ = 0;
    Duration latencyTarget_ {};
    Duration timeLeft_ {};
    // Wait for a slot and run time at the upstream that was chosen.
    Duration expectedWait_ {};
    Duration expectedRun_ {};
    // Whether runs of the route have shown its run time. One that is only assumed refuses nothing.
    bool isRunLearned_ = false;

    auto operator<=>(const RoomQuery&) const = default;
};

// Why a request is refused.
enum class RoomRefusal {
    // It cannot end within its time left.
    Time,
    // There is too little room for its priority.
    Priority,
    // Its workspace is beyond its fair share, and others of the priority are not.
    Workspace,
    // It would be late, and gives way to requests that would not.
    Late,
};

auto roomRefusalName(RoomRefusal refusal) -> std::string_view;

struct RoomVerdict {
    // Empty if the request is admitted.
    std::optional<RoomRefusal> refusal_;
    // When room is expected for the priority.
    Duration retryAfter_ {};

    auto isAdmitted() const -> bool { return !refusal_.has_value(); }
    auto operator<=>(const RoomVerdict&) const = default;
};

// What the gate holds about a service, for tests and operators.
struct RoomState {
    // Wait as a fraction of the time that callers have beside their run, up to their targets; decayed mean.
    double pressure_ = 0;
    // The fraction of the offered requests that is to be refused.
    double refusedShare_ = 0;
    // By priority, the fraction of the offered requests that is admitted.
    std::array<double, roomPriorities> admittedShares_ {};
    std::array<bool, roomPriorities> isRefusing_ {};

    auto operator<=>(const RoomState&) const = default;
};

// Every instance decides for itself, from the waits that it expects for its own requests and from the counts of the region's
// instances. No instance keeps state for others.
class RoomGate {
public:
    // The seed must differ between instances: it spreads the moments at which thresholds change.
    RoomGate(const Clock& clock, DecisionLog& log, Metrics& metrics, std::uint64_t seed);

    auto admit(const RoomQuery& query) -> RoomVerdict;
    // The declared rates are the weights of fair shares.
    auto setWorkspaces(const std::vector<DeclaredWorkspace>& workspaces) -> void;
    // Requests since the last call; empty unless there were any.
    auto takeForHeartbeat() -> std::vector<RoomUse>;
    // Takes in the heartbeat of an instance of the region.
    auto apply(const MemberReport& report) -> void;
    // To be called periodically, so that thresholds fall when no more requests come.
    auto update() -> void;
    auto state(const std::string& service) const -> RoomState;

private:
    // Requests of a workspace in the window. Peers name samples, so the count varies by more than its root.
    struct Requests {
        double count_ = 0;
        double variance_ = 0;
    };
    using Demand = std::unordered_map<std::uint64_t, Requests>;

    struct Counts {
        std::array<RoomCount, roomPriorities> priorities_ {};
        // Offered requests by priority and workspace.
        std::map<std::pair<std::uint8_t, std::uint64_t>, std::uint32_t> workspaces_;
    };
    struct Slice {
        MonotonicTime at_ {};
        Counts counts_;
    };
    // Counts of one instance in the last seconds, oldest first.
    using Slices = std::deque<Slice>;
    // What all instances together have offered and admitted.
    struct FleetUse {
        std::array<double, roomPriorities> offered_ {};
        // By priority and workspace.
        std::array<Demand, roomPriorities> demand_;
    };
    // An exponentially decayed mean.
    struct DecayedMean {
        double sum_ = 0;
        double weight_ = 0;
        MonotonicTime at_ {};

        auto decayTo(MonotonicTime now) -> void;
        auto record(double sample, MonotonicTime now) -> void;
        auto value() const -> double { return sum_ / (weight_ + 1); }
    };
    struct Share {
        double admitted_ = 1;
        bool isRefusing_ = false;
        MonotonicTime changedAt_ {};
        // Requests that a workspace with weight 1 may have admitted in the window.
        double perWeight_ = 0;
        Demand demand_;
        bool isAnyWithinShare_ = false;
        // The fraction of the priority's requests that would be late.
        DecayedMean late_;
    };
    struct Service {
        DecayedMean pressure_;
        double lastPressure_ = 0;
        // Pressure while nothing was refused. Empty if there was no such time yet.
        std::optional<double> usualPressure_;
        MonotonicTime firstSteppedAt_ {};
        // When the pressure was last not too low.
        MonotonicTime pressedAt_ {};
        double refusedShare_ = 0;
        std::array<Share, roomPriorities> shares_;
        Slices own_;
        Counts unsent_;
        std::map<std::string, Slices> peers_;
        MonotonicTime steppedAt_ {};
        MonotonicTime nextStepAt_ {};
        MonotonicTime usedAt_ {};
    };

    auto stepIfDue(const std::string& name, Service& service) -> void;
    auto fleetUse(const Service& service) const -> FleetUse;
    // By how much the fraction that peers refuse exceeds what this instance would refuse of the same requests.
    auto excessAtPeers(const Service& service) const -> double;
    auto learnUsualPressure(Service& service, double pressure, double elapsedSeconds, bool doPeersRefuse) const -> void;
    auto adjustRefusedShare(Service& service, double elapsedSeconds) -> void;
    // Divides what is admitted over the priorities.
    auto divideOverPriorities(const std::string& name, Service& service, const FleetUse& use) -> void;
    // Divides what a priority gets over its workspaces.
    auto divideOverWorkspaces(Share& share, double offered, Demand demand) const -> void;
    auto weightOf(std::uint64_t workspace) const -> double;
    // The probability at which a workspace's requests are admitted.
    static auto admittedShare(const Requests& requests, double perWeight, double weight) -> double;
    auto refusalOf(const RoomQuery& query, Share& share, std::uint64_t workspace) -> std::optional<RoomRefusal>;
    auto count(Service& service, std::size_t priority, std::uint64_t workspace, bool isAdmitted) -> void;
    // The workspaces to name to peers.
    auto sampleWorkspaces(const Counts& counts) -> std::vector<WorkspaceUse>;
    auto random() -> double;

    const Clock& clock_;
    DecisionLog& log_;
    Metrics& metrics_;
    std::mt19937_64 random_;
    std::map<std::string, Service> services_;
    std::unordered_map<std::uint64_t, double> weights_;
};

} // namespace sapphirepass
