// What an instance knows of the others, and heartbeats as bytes.
#include "gateway/datagram_codec.h"
#include "gateway/feed_lag.h"
#include "gateway/fleet_view.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <random>
#include <set>

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
    fleet.updateMember(report("a"));
    fleet.updateMember(report("b", MemberPhase::Ready, "south"));
    fleet.updateMember(report("c", MemberPhase::Starting));
    fleet.updateMember(report("self"));
    fleet.addListedMember("d", { "127.0.0.1", 8001 });
    CHECK(fleet.allReadyMembers().size() == 2);
    CHECK(fleet.readyMembers("north").size() == 1);
    SECTION("one that stops is not named from that moment")
    {
        fleet.updateMember(report("a", MemberPhase::Stopping));
        CHECK(fleet.readyMembers("north").empty());
    }
    SECTION("one that falls silent is not named after a while, but keeps its share")
    {
        clock.advance(3s);
        fleet.removeSilent();
        CHECK(fleet.allReadyMembers().empty());
        CHECK(fleet.memberCount() == 5);
        clock.advance(20s);
        fleet.removeSilent();
        CHECK(fleet.memberCount() == 1);
    }
}

TEST_CASE("a feed is behind when one change that others have told stays away", "[feed-lag]")
{
    ManualClock clock;
    FeedLag lag(clock);
    const auto isDue = [&](std::uint64_t seenUpTo, std::uint64_t elsewhere) { return lag.isOverdue(Feed::Declaration, { seenUpTo, seenUpTo }, elsewhere); };
    SECTION("not before the change had time to come")
    {
        CHECK_FALSE(isDue(10, 12));
        clock.advance(600ms);
        CHECK_FALSE(isDue(10, 12));
        clock.advance(200ms);
        CHECK(isDue(10, 12));
        CHECK_FALSE(isDue(10, 12));
    }
    SECTION("not under a stream of changes that do come, each a little later")
    {
        for (std::uint64_t change = 10; change < 60; ++change) {
            CHECK_FALSE(isDue(change, change + 2));
            clock.advance(400ms);
        }
    }
    SECTION("a change that never was causes fewer and fewer calls")
    {
        int calls = 0;
        for (int second = 0; second < 600; ++second) {
            calls += isDue(10, 1'000'000) ? 1 : 0;
            clock.advance(1s);
        }
        CHECK(calls > 5);
        CHECK(calls < 45);
    }
    SECTION("the other feeds are counted for themselves")
    {
        CHECK_FALSE(isDue(10, 12));
        clock.advance(2s);
        CHECK_FALSE(lag.isOverdue(Feed::Upstreams, { 10, 10 }, 12));
        CHECK(isDue(10, 12));
    }
}

TEST_CASE("what instances that fell silent have told of changes is forgotten", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    auto heard = report("a");
    heard.lastChangeRevisions_ = { 7, 9, 0 };
    fleet.updateMember(heard);
    CHECK(fleet.newestRevisionReported(0) == 7);
    CHECK(fleet.newestRevisionReported(1) == 9);
    clock.advance(3s);
    CHECK(fleet.newestRevisionReported(1) == 0);
}

TEST_CASE("all instances in touch name the same keeper of a workspace", "[fleet-view]")
{
    ManualClock clock;
    std::set<std::string> keepers;
    for (const auto* workspace : { "acme", "beta", "gamma", "delta", "omega", "sigma" }) {
        std::set<std::string> named;
        for (int self = 0; self < 8; ++self) {
            FleetView fleet(clock, { 2s, 20s }, fmt::format("e{}", self));
            fleet.setReady(true);
            for (int other = 0; other < 8; ++other)
                fleet.updateMember(report(fmt::format("e{}", other)));
            named.insert(fleet.coordinatorOf(workspace)->name_);
        }
        CHECK(named.size() == 1);
        keepers.merge(named);
    }
    CHECK(keepers.size() > 1);
}

TEST_CASE("a keeper that stops or falls silent is followed by another", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    CHECK_FALSE(fleet.coordinatorOf("acme").has_value());
    fleet.updateMember(report("a"));
    CHECK(fleet.coordinatorOf("acme")->name_ == "a");
    fleet.setReady(true);
    fleet.updateMember(report("a", MemberPhase::Stopping));
    CHECK(fleet.coordinatorOf("acme")->name_ == "self");
}

TEST_CASE("an instance that hears less than half of the others is out of touch", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    for (const auto* name : { "a", "b", "c", "d" })
        fleet.updateMember(report(name));
    CHECK(fleet.hasQuorum());
    clock.advance(3s);
    CHECK_FALSE(fleet.hasQuorum());
    fleet.updateMember(report("a"));
    CHECK_FALSE(fleet.hasQuorum());
    fleet.updateMember(report("b"));
    CHECK(fleet.hasQuorum());
}

TEST_CASE("datagrams survive their encoding", "[fleet-view]")
{
    auto sent = report("a");
    sent.incarnation_ = 77;
    sent.domain_ = "north-a";
    sent.crashes_ = { { 9, 2 } };
    sent.knownPeers_ = { { "127.0.0.1", 8009 } };
    sent.lastChangeRevisions_ = { 5, 0, 1'000'000'000'000 };
    const auto datagram = GENERATE_COPY(PeerDatagram(sent), PeerDatagram(RateAsk { 5, "acme", 3 }), PeerDatagram(RateGrant { 5, "acme", 0, 250ms }));
    const auto received = decodeDatagram(encodeDatagram(datagram));
    REQUIRE(isOk(received));
    CHECK((valueOf(received) == datagram));
}

TEST_CASE("damaged datagrams are refused or read, never worse", "[fleet-view]")
{
    auto sent = report("a");
    sent.crashes_ = { { 9, 2 } };
    std::mt19937_64 random(20261203);
    int refused = 0;
    for (const auto& bytes : { encodeDatagram(sent), encodeDatagram(RateAsk { 5, "acme", 3 }), encodeDatagram(RateGrant { 5, "acme", 2, 0ms }) }) {
        for (int round = 0; round < 3'000; ++round) {
            auto damaged = bytes;
            for (auto flips = random() % 4 + 1; flips > 0; --flips)
                damaged[random() % damaged.size()] = static_cast<char>(random());
            damaged.resize(damaged.size() - random() % 3);
            const auto received = decodeDatagram(damaged);
            refused += isOk(received) ? 0 : 1;
            if (isOk(received) && std::holds_alternative<MemberReport>(valueOf(received)))
                CHECK_FALSE(std::get<MemberReport>(valueOf(received)).name_.empty());
        }
    }
    CHECK(refused > 0);
    CHECK_FALSE(isOk(decodeDatagram("")));
}
