// Key withdrawals while the store is down, and refusal of keyed requests by instances that cannot know
// whether they are current.
#include "standin/fleet_sim.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace sapphirepass;
using namespace std::chrono_literals;
using standin::FleetSim;
using standin::SimOptions;

namespace {

const Withdrawal withdrawal { "k", "c9", "tester", "127.0.0.1" };

auto makeSim(std::size_t nodes = 24) -> FleetSim
{
    SimOptions options;
    options.nodes_ = nodes;
    return FleetSim(options);
}

auto prepare(FleetSim& sim) -> void
{
    sim.commit("declare workspace w rate 100 burst 50; declare key k workspace w salt 00 hash 00");
    sim.run(15'000ms);
}

auto countCurrent(FleetSim& sim, std::size_t region) -> std::size_t
{
    std::size_t count = 0;
    for (std::size_t i = region; i < sim.size(); i += 3)
        count += sim.core(i).isCurrent() ? 1 : 0;
    return count;
}

auto isEnforced(FleetSim& sim, std::size_t node, const std::string& key) -> bool
{
    return sim.core(node).withdrawals().isWithdrawn(key) || sim.state(node).snapshot()->find<WithdrawnKey>(key) != nullptr;
}

auto countEnforcing(FleetSim& sim) -> std::size_t
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < sim.size(); ++i)
        count += isEnforced(sim, i, "k") ? 1 : 0;
    return count;
}

}

TEST_CASE("only instances that can confirm that they are current serve keyed requests", "[fleet]")
{
    struct Case {
        const char* name_;
        bool storeDown_;
        std::optional<std::size_t> cut_;
        // Number of instances, out of eight, that serve keyed requests in regions 0, 1 and 2. The store is in
        // region 0.
        std::array<std::size_t, 3> serving_;
    };
    const std::array cases {
        Case { "nothing fails", false, std::nullopt, { 8, 8, 8 } },
        Case { "the store answers nobody", true, std::nullopt, { 8, 8, 8 } },
        Case { "a region is cut off", false, 1, { 8, 0, 8 } },
        Case { "the store's region is cut off", false, 0, { 8, 8, 8 } },
        Case { "a region is cut off and the store is down", true, 2, { 8, 8, 0 } },
    };
    for (const auto& test : cases) {
        INFO(test.name_);
        auto sim = makeSim();
        prepare(sim);
        sim.setStoreDown(test.storeDown_);
        if (test.cut_)
            sim.setRegionCut(*test.cut_, true);
        sim.run(freshnessLimit + 5'000ms);
        for (std::size_t region = 0; region < 3; ++region)
            CHECK(countCurrent(sim, region) == test.serving_.at(region));
        sim.setStoreDown(false);
        sim.setRegionCut(0, false);
        sim.setRegionCut(1, false);
        sim.setRegionCut(2, false);
        sim.run(10'000ms);
        CHECK(countCurrent(sim, 0) + countCurrent(sim, 1) + countCurrent(sim, 2) == sim.size());
    }
}

TEST_CASE("a store outage of an hour with message loss does not interrupt service", "[fleet]")
{
    SimOptions options;
    options.nodes_ = 12;
    options.lost_ = 20;
    FleetSim sim(options);
    prepare(sim);
    sim.setStoreDown(true);
    std::size_t refusing = 0;
    for (int second = 0; second < 3'600; ++second) {
        sim.run(1'000ms);
        for (std::size_t i = 0; i < sim.size(); ++i)
            refusing += sim.core(i).isCurrent() ? 0 : 1;
    }
    CHECK(refusing == 0);
}

TEST_CASE("a resumed instance serves no keyed request before it has received new information", "[fleet]")
{
    for (const bool storeDown : { false, true }) {
        auto sim = makeSim();
        prepare(sim);
        sim.setStoreDown(storeDown);
        sim.run(2'000ms);
        sim.pause(4);
        sim.run(30'000ms);
        sim.core(0).withdraw(withdrawal);
        sim.run(5'000ms);
        CHECK(!sim.core(4).isCurrent());
        // Messages buffered during the pause are handled immediately, but prove nothing about the time after
        // they were sent.
        sim.resume(4);
        CHECK((!sim.core(4).isCurrent() || isEnforced(sim, 4, "k")));
        CHECK(sim.runUntil([&] { return sim.core(4).isCurrent(); }, 5'000ms));
        CHECK(isEnforced(sim, 4, "k"));
    }
}

TEST_CASE("a key withdrawn during a store outage is enforced on all instances and stays withdrawn", "[fleet]")
{
    auto sim = makeSim(100);
    prepare(sim);
    sim.setLost(20);
    sim.setStoreDown(true);
    sim.core(17).withdraw(withdrawal);
    CHECK(sim.runUntil([&] { return countEnforcing(sim) == sim.size(); }, 5'000ms));
    sim.restart(40);
    CHECK(sim.runUntil([&] { return countEnforcing(sim) == sim.size(); }, 5'000ms));
    // The emergency withdrawal is removed once the durable one is applied.
    sim.setStoreDown(false);
    sim.commit("withdraw key k");
    CHECK(sim.runUntil([&] { return sim.countAt(2) == sim.size(); }, 5'000ms));
    sim.run(5'000ms);
    for (std::size_t i = 0; i < sim.size(); ++i) {
        CHECK(isEnforced(sim, i, "k"));
        CHECK(sim.core(i).withdrawals().size() == 0);
    }
}

TEST_CASE("the in-force query counts the instances that have a revision and lists those that do not", "[fleet]")
{
    auto sim = makeSim(100);
    prepare(sim);
    sim.kill(50);
    sim.kill(51);
    const auto revision = sim.commit("declare region x", 3);
    const InForceAsk ask { revision, 0 };
    const auto query = [&] {
        sim.core(3).askInForce(ask);
        sim.run(300ms);
        return sim.core(3).inForce(ask);
    };
    InForceStatus count;
    for (int attempt = 0; attempt < 10 && count.confirmed_ < 98; ++attempt)
        count = query();
    CHECK(count.confirmed_ == 98);
    CHECK(count.total_ == 100);
    CHECK(count.missing_ == std::vector<std::string> { "e0050", "e0051" });
}

TEST_CASE("an instance that announces its leave is removed from the member list", "[fleet]")
{
    auto sim = makeSim();
    prepare(sim);
    sim.core(6).announceLeaving();
    sim.run(1'000ms);
    CHECK(sim.core(0).members().list().find("e0006") == nullptr);
    sim.kill(6);
    sim.restart(6);
    CHECK(sim.runUntil([&] { return sim.core(0).members().list().find("e0006") != nullptr; }, 40'000ms));
}

TEST_CASE("an instance that enforces a withdrawal never accepts the key again", "[fleet]")
{
    rc::check([] {
        SimOptions options;
        options.nodes_ = *rc::gen::inRange<std::size_t>(3, 20);
        options.lost_ = *rc::gen::inRange(0, 30);
        options.seed_ = *rc::gen::arbitrary<std::uint64_t>();
        FleetSim sim(options);
        prepare(sim);
        std::vector<bool> wasEnforced(sim.size(), false);
        bool durable = false;
        sim.core(*rc::gen::inRange<std::size_t>(0, sim.size())).withdraw(withdrawal);
        for (int step = 0; step < 12; ++step) {
            sim.setRegionCut(*rc::gen::inRange<std::size_t>(0, 3), *rc::gen::arbitrary<bool>());
            sim.setStoreDown(*rc::gen::arbitrary<bool>());
            if (!durable && *rc::gen::inRange(0, 5) == 0) {
                sim.commit("withdraw key k");
                durable = true;
            }
            sim.run(std::chrono::milliseconds(*rc::gen::inRange(0, 4'000)));
            for (std::size_t i = 0; i < sim.size(); ++i) {
                RC_ASSERT(!wasEnforced[i] || isEnforced(sim, i, "k"));
                wasEnforced[i] = isEnforced(sim, i, "k");
            }
        }
    });
}
