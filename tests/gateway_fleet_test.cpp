// FleetView, FeedLag and the encoding of datagrams.
#include "gateway/feeds/feed_lag.h"
#include "gateway/fleet/datagram_codec.h"
#include "gateway/fleet/fleet_view.h"
#include "gateway/hashing.h"

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

TEST_CASE("only ready instances with recent heartbeats are listed", "[fleet-view]")
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
    SECTION("an instance that stops is no longer listed")
    {
        fleet.updateMember(report("a", MemberPhase::Stopping));
        CHECK(fleet.readyMembers("north").empty());
    }
    SECTION("an instance that falls silent is no longer listed after the timeout, but keeps its share of limits")
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

TEST_CASE("a feed is behind when a change reported by others does not arrive in time", "[feed-lag]")
{
    ManualClock clock;
    FeedLag lag(clock);
    const auto isDue = [&](std::uint64_t current, std::uint64_t reported) { return lag.isOverdue(Feed::Declaration, { { 1, current }, { 1, current } }, { 1, reported }); };
    SECTION("not before the change has had time to arrive")
    {
        CHECK_FALSE(isDue(10, 12));
        clock.advance(600ms);
        CHECK_FALSE(isDue(10, 12));
        clock.advance(200ms);
        CHECK(isDue(10, 12));
        CHECK_FALSE(isDue(10, 12));
    }
    SECTION("not during a stream of changes that arrive slightly late")
    {
        for (std::uint64_t change = 10; change < 60; ++change) {
            CHECK_FALSE(isDue(change, change + 2));
            clock.advance(400ms);
        }
    }
    SECTION("a change that never happened causes calls with backoff")
    {
        int calls = 0;
        for (int second = 0; second < 600; ++second) {
            calls += isDue(10, 1'000'000) ? 1 : 0;
            clock.advance(1s);
        }
        CHECK(calls > 5);
        CHECK(calls < 45);
    }
    SECTION("feeds are tracked independently")
    {
        CHECK_FALSE(isDue(10, 12));
        clock.advance(2s);
        CHECK_FALSE(lag.isOverdue(Feed::Upstreams, { { 1, 10 }, { 1, 10 } }, { 1, 12 }));
        CHECK(isDue(10, 12));
    }
}

// A watcher that was still reading a megabyte from the store was overtaken by all its followers at once.
TEST_CASE("a follower gives a live instance that is behind as well time to get a change", "[feed-lag]")
{
    ManualClock clock;
    FeedLag lag(clock);
    const auto isDue = [&](std::optional<StoreRevision> followed) { return lag.isOverdue(Feed::Declaration, { { 1, 10 }, { 1, 10 } }, { 1, 12 }, followed); };
    CHECK_FALSE(isDue(StoreRevision { 1, 10 }));
    clock.advance(800ms);
    SECTION("as long as that has not got it either")
    {
        CHECK_FALSE(isDue(StoreRevision { 1, 10 }));
        clock.advance(700ms);
        CHECK(isDue(StoreRevision { 1, 10 }));
    }
    SECTION("not once that has it")
    {
        CHECK(isDue(StoreRevision { 1, 12 }));
    }
    SECTION("not once that has fallen silent")
    {
        CHECK(isDue(std::nullopt));
    }
}

TEST_CASE("the revision of an instance counts only while its heartbeats come", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    auto heartbeat = report("a");
    heartbeat.control_ = { "127.0.0.1", 8002 };
    heartbeat.lastChangeRevisions_ = { { { 0, 7 }, {}, {} } };
    fleet.updateMember(heartbeat);
    CHECK(fleet.revisionReportedBy({ "127.0.0.1", 8002 }, 0) == StoreRevision { 0, 7 });
    CHECK_FALSE(fleet.revisionReportedBy({ "127.0.0.1", 8003 }, 0));
    clock.advance(1'100ms);
    CHECK_FALSE(fleet.revisionReportedBy({ "127.0.0.1", 8002 }, 0));
}

TEST_CASE("revisions reported by instances that fell silent are ignored", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    auto heartbeat = report("a");
    heartbeat.lastChangeRevisions_ = { { { 0, 7 }, { 0, 9 }, {} } };
    fleet.updateMember(heartbeat);
    CHECK(fleet.newestRevisionReported(0).number_ == 7);
    CHECK(fleet.newestRevisionReported(1).number_ == 9);
    clock.advance(3s);
    CHECK(fleet.newestRevisionReported(1) == StoreRevision {});
}

TEST_CASE("all connected instances choose the same coordinator for a workspace", "[fleet-view]")
{
    ManualClock clock;
    std::set<std::string> coordinators;
    for (const auto* workspace : { "acme", "beta", "gamma", "delta", "omega", "sigma" }) {
        std::set<std::string> chosen;
        for (int self = 0; self < 8; ++self) {
            FleetView fleet(clock, { 2s, 20s }, fmt::format("e{}", self));
            fleet.setReady(true);
            for (int other = 0; other < 8; ++other)
                fleet.updateMember(report(fmt::format("e{}", other)));
            chosen.insert(fleet.coordinatorOf(workspace)->name_);
        }
        CHECK(chosen.size() == 1);
        coordinators.merge(chosen);
    }
    CHECK(coordinators.size() > 1);
}

TEST_CASE("another instance takes over from a coordinator that stops", "[fleet-view]")
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

TEST_CASE("an instance that receives heartbeats from less than half of the others has no quorum", "[fleet-view]")
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

TEST_CASE("an instance that most of the others no longer hear has no quorum", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    FleetView other(clock, { 2s, 20s }, "a");
    other.updateMember(report("self"));
    other.updateMember(report("b"));
    CHECK(other.silentMembers().empty());
    clock.advance(3s);
    other.updateMember(report("b"));
    REQUIRE(other.silentMembers().size() == 1);
    const auto hear = [&](const std::string& name, bool isHeard) {
        auto heartbeat = report(name);
        if (!isHeard)
            heartbeat.silentMembers_ = other.silentMembers();
        fleet.updateMember(heartbeat);
    };
    hear("a", false);
    hear("b", true);
    hear("c", true);
    CHECK(fleet.hasQuorum());
    hear("b", false);
    CHECK_FALSE(fleet.hasQuorum());
    hear("a", true);
    CHECK(fleet.hasQuorum());
    // Instances that stop, and those whose heartbeats arrive again, do not count as silent.
    other.updateMember(report("b", MemberPhase::Stopping));
    other.updateMember(report("self"));
    clock.advance(1s);
    CHECK(other.silentMembers().empty());
}

TEST_CASE("the silent instances that a heartbeat names are few, the latest first", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    for (int i = 0; i < 100; ++i) {
        fleet.updateMember(report(fmt::format("e{}", i)));
        clock.advance(10ms);
    }
    clock.advance(3s);
    const auto named = fleet.silentMembers();
    CHECK(named.size() == 16);
    CHECK(named.front() == stableHash("e99"));
}

TEST_CASE("decoding an encoded datagram yields the same datagram", "[fleet-view]")
{
    auto sent = report("a");
    sent.incarnation_ = 77;
    sent.wantsPeers_ = true;
    sent.silentMembers_ = { 3, 0xffffffffffffffff };
    sent.domain_ = "north-a";
    sent.crashes_ = { { 9, 2 } };
    sent.knownPeers_ = { { "127.0.0.1", 8009 } };
    sent.lastChangeRevisions_ = { { { 3, 5 }, {}, { 2, 1'000'000'000'000 } } };
    sent.limitNotices_ = { { "i-1", 7, 4.9, 120ms }, { "i-2", 8, std::nullopt, 4s } };
    sent.observations_ = { { 5, 6, { 3, 1, 6, 1.5 }, 40ms, true }, { 7, 0, { 0, 0, 6, 0.5 }, 390ms, false } };
    const auto datagram = GENERATE_COPY(PeerDatagram(sent), PeerDatagram(RateAsk { 5, "acme", 3 }), PeerDatagram(RateGrant { 5, "acme", 0, 250ms }), PeerDatagram(LimitAsk { { 6, "i-1@7", 2 }, { "i-1", 7, 4.9, 120ms } }), PeerDatagram(LimitGrant { { 6, "i-1@7", 1, 250ms }, { "i-1", 7, std::nullopt, 4s } }));
    const auto received = decodeDatagram(encodeDatagram(datagram));
    REQUIRE(isOk(received));
    CHECK((valueOf(received) == datagram));
}

TEST_CASE("decoding a damaged datagram fails cleanly or yields a valid one", "[fleet-view]")
{
    auto sent = report("a");
    sent.crashes_ = { { 9, 2 } };
    sent.observations_ = { { 5, 6, { 3, 1, 6, 1.5 }, 40ms, true } };
    std::mt19937_64 random(20261203);
    int refused = 0;
    for (const auto& bytes : { encodeDatagram(sent), encodeDatagram(RateAsk { 5, "acme", 3 }), encodeDatagram(RateGrant { 5, "acme", 2, 0ms }), encodeDatagram(LimitAsk { { 6, "i-1@7", 2 }, { "i-1", 7, 4.9, 120ms } }) }) {
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

// Lists of all instances to all others made the bytes grow with the cube of the fleet.
TEST_CASE("the peers that an instance names are few in a large fleet, and all come in turn", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    constexpr std::size_t others = 919;
    for (std::size_t i = 0; i < others; ++i) {
        auto heartbeat = report(fmt::format("e{}", i));
        heartbeat.peer_ = { fmt::format("10.0.{}.{}", i / 250, i % 250), 7000 };
        fleet.updateMember(heartbeat);
    }
    std::set<SocketAddress> named;
    std::uint64_t round = 0;
    for (; round < 150; ++round) {
        const auto chosen = fleet.sampleLivePeers(round, 64);
        CHECK(std::set<SocketAddress>(chosen.begin(), chosen.end()).size() == 64);
        named.insert(chosen.begin(), chosen.end());
    }
    CHECK(named.size() == others);
    auto heartbeat = report("self");
    heartbeat.knownPeers_ = fleet.sampleLivePeers(round, 64);
    CHECK(encodeDatagram(heartbeat).size() < 1'400);
}

// After a partition that outlasts the reservations, no instance knows one of the other side.
TEST_CASE("instances that fell silent are tried again for hours, those that stopped are not", "[fleet-view]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    auto cut = report("cut");
    cut.peer_ = { "10.0.0.1", 7000 };
    auto stopped = report("stopped", MemberPhase::Stopping);
    stopped.peer_ = { "10.0.0.2", 7000 };
    fleet.updateMember(cut);
    fleet.updateMember(stopped);
    CHECK(fleet.sampleLostPeers(1, 3).empty());
    clock.advance(30s);
    fleet.removeSilent();
    REQUIRE(fleet.memberCount() == 1);
    CHECK(fleet.sampleLostPeers(1, 3) == std::vector<SocketAddress> { cut.peer_ });
    SECTION("until it is heard again")
    {
        clock.advance(1h);
        fleet.updateMember(cut);
        CHECK(fleet.sampleLostPeers(2, 3).empty());
    }
    SECTION("not for ever")
    {
        clock.advance(4h);
        fleet.removeSilent();
        CHECK(fleet.sampleLostPeers(2, 3).empty());
    }
}
