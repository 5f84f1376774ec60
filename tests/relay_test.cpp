// Replication among many simulated instances on a virtual clock: a table of single faults, and property tests
// of reordering, loss and duplication.
#include "standin/fleet_sim.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace sapphirepass;
using namespace std::chrono_literals;
using standin::FleetSim;
using standin::SimOptions;

namespace {

constexpr auto inForceLimit = 5'000ms;

auto fleetOf(std::size_t nodes) -> SimOptions
{
    SimOptions options;
    options.nodes_ = nodes;
    return options;
}

auto allAtRevision(FleetSim& sim, Revision revision) -> bool
{
    return sim.countAt(revision) == sim.living();
}

auto hashesAgree(FleetSim& sim) -> bool
{
    for (std::size_t i = 1; i < sim.size(); ++i) {
        if (sim.state(i).snapshot()->stateHash() != sim.state(0).snapshot()->stateHash())
            return false;
    }
    return true;
}

auto watchersOf(FleetSim& sim, const std::string& domain) -> std::vector<std::size_t>
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < sim.size(); ++i) {
        if (sim.domainOf(i) == domain && sim.core(i).watcherRank() < 12 && sim.core(i).shouldWatchStore())
            found.push_back(i);
    }
    return found;
}

struct FaultCase {
    const char* name_;
    void (*inject_)(FleetSim&);
};

const std::array faultCases {
    FaultCase { "nothing", [](FleetSim&) {} },
    FaultCase { "a watcher dies", [](FleetSim& sim) { sim.kill(watchersOf(sim, "r1-1").front()); } },
    FaultCase { "both watchers of a domain die", [](FleetSim& sim) { for (const auto node : watchersOf(sim, "r1-1")) sim.kill(node); } },
    FaultCase { "a domain's watchers lose the store", [](FleetSim& sim) { for (const auto node : watchersOf(sim, "r2-0")) sim.setStoreCut(node, true); } },
    FaultCase { "two regions lose the store", [](FleetSim& sim) { for (std::size_t i = 0; i < sim.size(); ++i) sim.setStoreCut(i, sim.regionOf(i) != 0); } },
    FaultCase { "a fifth of the messages is lost", [](FleetSim& sim) { sim.setLost(20); } },
    FaultCase { "a whole region dies", [](FleetSim& sim) { for (std::size_t i = 1; i < sim.size(); i += 3) sim.kill(i); } },
    FaultCase { "an instance restarts", [](FleetSim& sim) { sim.restart(5); } },
};

}

TEST_CASE("a commit is in force on all instances within the time limit under each fault", "[fleet]")
{
    for (const auto& fault : faultCases) {
        INFO(fault.name_);
        FleetSim sim(fleetOf(60));
        sim.commit("declare region a");
        sim.run(15'000ms);
        REQUIRE(allAtRevision(sim, 1));
        fault.inject_(sim);
        const auto revision = sim.commit("declare region b");
        CHECK(sim.runUntil([&] { return allAtRevision(sim, revision); }, inForceLimit));
    }
}

TEST_CASE("the number of store watches does not grow with the size of the fleet", "[fleet]")
{
    for (const std::size_t nodes : { 60, 240 }) {
        FleetSim sim(fleetOf(nodes));
        sim.commit("declare region a");
        sim.run(15'000ms);
        // Two in each of six domains.
        CHECK(sim.watchingNodes() <= 12);
        CHECK(sim.watchingNodes() >= 6);
    }
}

TEST_CASE("an instance gets its configuration from a peer while the store is down", "[fleet]")
{
    FleetSim sim(fleetOf(12));
    sim.commit("declare region a");
    sim.run(5'000ms);
    sim.setStoreDown(true);
    sim.restart(3);
    CHECK(sim.state(3).snapshot()->revision() == 0);
    CHECK(sim.runUntil([&] { return allAtRevision(sim, 1); }, inForceLimit));
}

TEST_CASE("an instance that is too many entries behind catches up from a snapshot", "[fleet]")
{
    FleetSim sim(fleetOf(12));
    sim.setLost(5);
    sim.run(5'000ms);
    sim.pause(7);
    for (int i = 0; i < 700; ++i)
        sim.commit(fmt::format("declare workspace w{} rate 100 burst 50", i));
    sim.run(5'000ms);
    sim.setStoreDown(true);
    sim.restart(7);
    CHECK(sim.runUntil([&] { return allAtRevision(sim, 700) && hashesAgree(sim); }, inForceLimit));
}

TEST_CASE("a different state hash at the same revision is counted as a divergence", "[fleet]")
{
    FleetSim sim(fleetOf(12));
    sim.run(2'000ms);
    const LogHead other { 1, { { 1, "x", "w", "f", "t", "declare region elsewhere" } } };
    REQUIRE(isOk(sim.state(4).apply(other)));
    sim.commit("declare region a");
    sim.run(10'000ms);
    std::int64_t divergenceCount = 0;
    for (std::size_t i = 0; i < sim.size(); ++i)
        divergenceCount += sim.core(i).relay().divergences();
    CHECK(divergenceCount > 0);
}

TEST_CASE("instances that cannot parse a command keep their revision and are no longer current", "[fleet]")
{
    FleetSim sim(fleetOf(12));
    sim.commit("declare region a");
    sim.run(5'000ms);
    sim.commit("teleport region a");
    sim.run(15'000ms);
    for (std::size_t i = 0; i < sim.size(); ++i) {
        CHECK(sim.state(i).snapshot()->revision() == 1);
        CHECK(!sim.core(i).isCurrent());
    }
    // The log is retried with a delay, not immediately.
    sim.clearTraffic();
    sim.run(10'000ms);
    CHECK(sim.storeCalls() <= 12 * 20);
}

TEST_CASE("entries that cannot be applied are pulled again only after the retry delay", "[fleet]")
{
    const auto [text, hash] = GENERATE(table<std::string, std::uint64_t>({ { "teleport region a", 0 }, { "declare region a", 12'345 } }));
    CAPTURE(text);
    ManualClock clock;
    ConfigState state;
    std::mt19937_64 random(20261203);
    Member self;
    self.id_ = { "e1", 1 };
    const MemberTable members(self, clock);
    Relay relay(state, members, clock, {}, random);
    Digest ahead;
    ahead.revision_ = 1;
    REQUIRE(relay.reconcile("e2", ahead).size() == 1);
    relay.receive("e2", EntryBatch { LogHead { 1, { { 1, "x", "w", "f", "t", text, hash } } }, 0 });
    CHECK(relay.revision() == 0);
    clock.advance(9s);
    CHECK(relay.reconcile("e2", ahead).empty());
    clock.advance(1s);
    CHECK(relay.reconcile("e2", ahead).size() == 1);
}

TEST_CASE("under reordering, loss and duplication all instances converge and no revision decreases", "[fleet]")
{
    rc::check([] {
        SimOptions options;
        options.nodes_ = *rc::gen::inRange<std::size_t>(3, 30);
        options.lost_ = *rc::gen::inRange(0, 30);
        options.doubled_ = *rc::gen::inRange(0, 30);
        options.jitter_ = std::chrono::microseconds(*rc::gen::inRange(0, 2'000'000));
        options.seed_ = *rc::gen::arbitrary<std::uint64_t>();
        FleetSim sim(options);
        std::vector<Revision> last(sim.size(), 0);
        Revision revision = 0;
        for (int step = 0; step < 15; ++step) {
            const auto node = *rc::gen::inRange<std::size_t>(0, sim.size());
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
            case 1:
                revision = sim.commit(fmt::format("declare region r{}", step), node);
                break;
            case 2:
                sim.restart(node);
                last[node] = 0;
                break;
            case 3:
                sim.setStoreDown(true);
                break;
            case 4:
                sim.setStoreDown(false);
                break;
            default:
                sim.setRegionCut(node % 3, step % 2 == 0);
            }
            sim.run(std::chrono::milliseconds(*rc::gen::inRange(0, 2'000)));
            for (std::size_t i = 0; i < sim.size(); ++i) {
                const auto now = sim.state(i).snapshot()->revision();
                RC_ASSERT(now >= last[i]);
                last[i] = now;
            }
        }
        sim.setStoreDown(false);
        for (std::size_t region = 0; region < 3; ++region)
            sim.setRegionCut(region, false);
        RC_ASSERT(sim.runUntil([&] { return allAtRevision(sim, revision) && hashesAgree(sim); }, 60'000ms));
    });
}
