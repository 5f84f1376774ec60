// A fleet of escrow holders on one virtual clock, with a faulty network and store. Deterministic under a seed.
#pragma once

#include "admission/escrow_holder.h"
#include "standin/memory_peers.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace sapphirepass::standin {

// Holds admissions against rate and burst over every window of time at once.
class WindowCheck {
public:
    explicit WindowCheck(const BudgetTotal& total);

    // Counts one admitted unit; false if some window that ends now exceeds burst + rate * length.
    auto admit(MonotonicTime now) -> bool;

private:
    BudgetTotal total_;
    // Largest excess of any window that ends now over its rate, in units times nanoseconds per second.
    __int128 excess_ = 0;
    MonotonicTime last_ {};
};

struct FleetTraffic {
    std::size_t messages_ = 0;
    std::size_t bytes_ = 0;
    std::size_t storeCalls_ = 0;
};

class EscrowFleet {
public:
    EscrowFleet(std::uint64_t seed, BudgetTotals totals);

    // Adds an instance, or replaces the one of that index after a crash.
    auto start(std::size_t index) -> void;
    auto crash(std::size_t index) -> void;
    // A paused instance runs nothing, but its clock goes on; what is sent to it waits.
    auto setPaused(std::size_t index, bool paused) -> void { nodes_[index].paused_ = paused; }
    auto leave(std::size_t index) -> void;
    auto setFaults(const PeerFaults& faults) -> void { faults_ = faults; }
    auto setDelay(Duration least, Duration most) -> void;
    auto setOutage(bool outage) -> void { outage_ = outage; }
    auto setCut(std::size_t index, bool cut) -> void { nodes_[index].cut_ = cut; }
    // Longest step in which instances run and messages arrive.
    auto setGrain(Duration grain) -> void { grain_ = grain; }
    // Keeps the answer of a store read until the next advance of at least that instance.
    auto delayRead(std::size_t index) -> void;
    // Moves the clock on; instances run on the way.
    auto advance(Duration step) -> void;
    auto request(std::size_t index, const BudgetId& id) -> bool;

    auto now() const -> MonotonicTime { return now_; }
    auto size() const -> std::size_t { return nodes_.size(); }
    auto holder(std::size_t index) -> EscrowHolder& { return *nodes_[index].holder_; }
    auto isRunning(std::size_t index) const -> bool { return nodes_[index].holder_ != nullptr && !nodes_[index].paused_; }
    auto record() const -> const std::optional<EpochRecord>& { return record_; }
    auto traffic() const -> const FleetTraffic& { return traffic_; }
    auto setTotals(const BudgetTotals& totals) -> void;

private:
    struct Node {
        std::unique_ptr<EscrowHolder> holder_;
        bool paused_ = false;
        bool cut_ = false;
        MonotonicTime nextTick_ {};
        MonotonicTime nextSync_ {};
        // A read that started at a time has this answer.
        std::optional<std::pair<MonotonicTime, EpochRecord>> delayedRead_ {};
        std::vector<EscrowMessage> inbox_ {};
    };
    struct Travelling {
        MonotonicTime due_;
        std::uint64_t order_;
        EscrowMessage message_;

        auto operator>(const Travelling& other) const -> bool { return std::pair(due_, order_) > std::pair(other.due_, other.order_); }
    };

    auto run(std::size_t index) -> void;
    auto sync(Node& node) -> void;
    auto flush(Node& node) -> void;
    auto post(const EscrowMessage& message) -> void;
    auto deliverDue() -> void;
    auto chance(int percent) -> bool;
    auto findNode(const std::string& name) -> Node*;

    std::mt19937_64 random_;
    BudgetTotals totals_;
    std::vector<Node> nodes_;
    std::map<std::string, std::size_t> indexes_;
    std::priority_queue<Travelling, std::vector<Travelling>, std::greater<>> travelling_;
    std::optional<EpochRecord> record_;
    PeerFaults faults_;
    Duration leastDelay_ = std::chrono::milliseconds(1);
    Duration mostDelay_ = std::chrono::milliseconds(12);
    Duration grain_ = std::chrono::milliseconds(5);
    bool outage_ = false;
    std::uint64_t order_ = 0;
    std::uint64_t nextNumber_ = 1'000;
    FleetTraffic traffic_;
    MonotonicTime now_ { std::chrono::hours(1) };
};

} // namespace sapphirepass::standin
