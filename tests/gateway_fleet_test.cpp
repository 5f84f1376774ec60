// What an instance knows of the others, and heartbeats as bytes.
#include "gateway/fleet_view.h"
#include "gateway/heartbeat_codec.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <random>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

auto report(const std::string& name, MemberPhase phase = MemberPhase::Ready, const std::string& region = "north") -> MemberReport
{
    MemberReport result;
    result.name_ = name;
    result.region_ = region;
    result.phase_ = phase;
    result.front_ = { "127.0.0.1", 8000 };
    result.peer_ = { "127.0.0.1", 8001 };
    return result;
}

}

TEST_CASE("only instances that are ready and were heard of late are named", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    fleet.hear(report("a"));
    fleet.hear(report("b", MemberPhase::Ready, "south"));
    fleet.hear(report("c", MemberPhase::Starting));
    fleet.hear(report("self"));
    fleet.expect("d", { "127.0.0.1", 8001 });
    CHECK(fleet.anyReadyMembers().size() == 2);
    CHECK(fleet.readyMembers("north").size() == 1);
    SECTION("one that stops is not named from that moment")
    {
        fleet.hear(report("a", MemberPhase::Stopping));
        CHECK(fleet.readyMembers("north").empty());
    }
    SECTION("one that falls silent is not named after a while, but keeps its share")
    {
        clock.advance(3s);
        fleet.forgetSilent();
        CHECK(fleet.anyReadyMembers().empty());
        CHECK(fleet.spenders() == 5);
        clock.advance(20s);
        fleet.forgetSilent();
        CHECK(fleet.spenders() == 1);
    }
}

TEST_CASE("shares of a limit follow demand and add up to the whole", "[fleet-view]")
{
    rc::prop("any demands of up to ten instances", []() {
        const auto demands = *rc::gen::container<std::vector<double>>(10, rc::gen::map(rc::gen::inRange(0, 1000), [](int n) { return n / 10.0; }));
        ManualClock clock;
        double sum = 0;
        for (std::size_t self = 0; self < demands.size(); ++self) {
            FleetView fleet(clock, { 2s, 20s }, fmt::format("e{}", self));
            for (std::size_t other = 0; other < demands.size(); ++other) {
                auto heard = report(fmt::format("e{}", other));
                heard.demands_ = { { "acme", demands[other] } };
                fleet.hear(heard);
            }
            fleet.setOwnDemand("acme", demands[self]);
            sum += fleet.shareOf("acme");
        }
        RC_ASSERT(sum > 0.999);
        RC_ASSERT(sum < 1.001);
    });
}

TEST_CASE("an instance out of touch with most others never raises its share", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    for (int i = 0; i < 9; ++i) {
        auto heard = report(fmt::format("e{}", i));
        heard.demands_ = { { "acme", 10 } };
        fleet.hear(heard);
    }
    fleet.setOwnDemand("acme", 10);
    const auto before = fleet.shareOf("acme");
    clock.advance(5s);
    fleet.setOwnDemand("acme", 500);
    CHECK(fleet.shareOf("acme") <= before);
}

TEST_CASE("heartbeats survive their encoding", "[fleet-view]")
{
    auto sent = report("a");
    sent.incarnation_ = 77;
    sent.domain_ = "north-a";
    sent.demands_ = { { "acme", 12.5 }, { "beta", 0.25 } };
    sent.crashes_ = { { 9, 2 } };
    sent.known_ = { { "127.0.0.1", 8009 } };
    const auto received = decodeHeartbeat(encodeHeartbeat(sent));
    REQUIRE(isOk(received));
    CHECK(valueOf(received) == sent);
}

TEST_CASE("damaged heartbeats are refused or read, never worse", "[fleet-view]")
{
    auto sent = report("a");
    sent.demands_ = { { "acme", 12.5 } };
    const auto bytes = encodeHeartbeat(sent);
    std::mt19937_64 random(20261203);
    int refused = 0;
    for (int round = 0; round < 5'000; ++round) {
        auto damaged = bytes;
        for (auto flips = random() % 4 + 1; flips > 0; --flips)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        damaged.resize(damaged.size() - random() % 3);
        const auto received = decodeHeartbeat(damaged);
        refused += isOk(received) ? 0 : 1;
        if (isOk(received)) {
            for (const auto& demand : valueOf(received).demands_)
                CHECK(demand.perSecond_ >= 0);
        }
    }
    CHECK(refused > 0);
    CHECK_FALSE(isOk(decodeHeartbeat("")));
}
