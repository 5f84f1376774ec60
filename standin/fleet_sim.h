// Many FleetCores on one virtual clock, with delays, loss, cuts and a store. For tests and figures.
#pragma once

#include "fleet/fleet_core.h"
#include "fleet/peer_link.h"

#include <functional>
#include <queue>

namespace sapphirepass::standin {

struct SimOptions {
    std::size_t nodes_ = 12;
    std::size_t regions_ = 3;
    std::size_t domainsPerRegion_ = 2;
    // One way.
    std::chrono::microseconds withinDomain_ { 300 };
    std::chrono::microseconds betweenDomains_ { 1'500 };
    std::chrono::microseconds betweenRegions_ { 12'000 };
    // Of a hundred messages.
    int lost_ = 0;
    int doubled_ = 0;
    // Added to each delay, evenly from none to this.
    std::chrono::microseconds jitter_ { 200 };
    FleetOptions fleet_ {};
    std::uint64_t seed_ = 1;
};

// Of a call, its return and its finish over the payload: 290 were measured between 12 processes, the rest is
// for packet headers.
inline constexpr std::int64_t envelopeBytes = 336;

struct SimTraffic {
    std::int64_t messages_ = 0;
    // Sent, envelopes included.
    std::int64_t bytes_ = 0;

    auto operator<=>(const SimTraffic&) const = default;
};

class FleetSim {
public:
    explicit FleetSim(SimOptions options);

    // Lets virtual time pass.
    auto run(std::chrono::milliseconds time) -> void;
    // Runs until the condition holds, looked at every step; false if it does not hold within the time.
    auto runUntil(const std::function<bool()>& condition, std::chrono::milliseconds longest) -> bool;
    // An operator's command, accepted durably at a node.
    auto commit(const std::string& text, std::size_t at = 0) -> Revision;

    auto core(std::size_t node) -> FleetCore& { return *nodes_[node].core_; }
    auto state(std::size_t node) -> ConfigState& { return *nodes_[node].state_; }
    auto size() const -> std::size_t { return nodes_.size(); }
    auto clock() const -> const ManualClock& { return clock_; }
    // Region i holds the nodes i, i + regions, i + 2 * regions, ...
    auto regionOf(std::size_t node) const -> std::size_t { return node % options_.regions_; }
    auto domainOf(std::size_t node) const -> std::string { return nodes_[node].self_.domain_; }

    auto setStoreDown(bool down) -> void { storeDown_ = down; }
    auto setLost(int percent) -> void { options_.lost_ = percent; }
    // Cuts a region off from the others and, unless it is region 0, from the store.
    auto setRegionCut(std::size_t region, bool cut) -> void;
    auto setStoreCut(std::size_t node, bool cut) -> void { nodes_[node].storeCut_ = cut; }
    auto kill(std::size_t node) -> void { nodes_[node].dead_ = true; }
    // Another run under the same name, with nothing kept.
    auto restart(std::size_t node) -> void;
    // Messages that arrive at a paused node wait for its resumption.
    auto pause(std::size_t node) -> void { nodes_[node].paused_ = true; }
    auto resume(std::size_t node) -> void;

    // Nodes that are alive and have the revision in force.
    auto countAt(Revision revision) const -> std::size_t;
    auto living() const -> std::size_t;
    // When each node first had the revision in force, after its commit.
    auto delaysOf(Revision revision) const -> std::vector<Duration>;
    auto traffic(std::size_t node) const -> SimTraffic { return nodes_[node].traffic_; }
    auto clearTraffic() -> void;
    auto storeCalls() const -> std::int64_t { return storeCalls_; }
    auto watchingNodes() const -> std::size_t;

private:
    struct Node {
        Member self_ {};
        std::unique_ptr<ConfigState> state_ {};
        std::unique_ptr<FleetCore> core_ {};
        bool dead_ = false;
        bool paused_ = false;
        bool storeCut_ = false;
        // When the open watch was started.
        std::optional<MonotonicTime> watch_ {};
        MonotonicTime nextWatch_ {};
        std::uint64_t run_ = 1;
        Revision seen_ = 0;
        std::map<Revision, MonotonicTime> reached_ {};
        std::vector<std::function<void()>> held_ {};
        SimTraffic traffic_ {};
    };

    struct Event {
        MonotonicTime at_;
        std::uint64_t order_;
        std::function<void()> action_;

        auto operator<(const Event& other) const -> bool { return std::tie(other.at_, other.order_) < std::tie(at_, order_); }
    };

    auto at(MonotonicTime time, std::function<void()> action) -> void;
    auto startNode(std::size_t node) -> void;
    auto tick(std::size_t node) -> void;
    auto watchStore(std::size_t node) -> void;
    auto answerWatch(std::size_t node, bool withHead) -> void;
    auto flush(std::size_t node) -> void;
    auto deliver(std::size_t from, const std::string& name, const PeerMessage& message) -> void;
    auto act(std::size_t node, const std::function<void()>& action) -> void;
    auto delay(std::size_t from, std::size_t to) -> Duration;
    auto isCut(std::size_t a, std::size_t b) const -> bool;
    auto reachesStore(std::size_t node) const -> bool;
    auto chance(int percent) -> bool;

    SimOptions options_;
    ManualClock clock_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::map<std::string, std::size_t> byName_;
    MemberListPtr list_;
    LogHead head_;
    std::map<Revision, MonotonicTime> committed_;
    bool storeDown_ = false;
    std::set<std::size_t> cutRegions_;
    std::int64_t storeCalls_ = 0;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
};

} // namespace sapphirepass::standin
