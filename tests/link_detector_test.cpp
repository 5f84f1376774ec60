// LinkDetector: loss of an instance's own links as opposed to failures of upstreams.
#include "gateway/limits/limits.h"
#include "gateway/upstreams/link_detector.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

const std::map<std::string, std::string> regionOfDomain { { "north-a", "north" }, { "north-b", "north" }, { "south-a", "south" }, { "south-b", "south" } };

// Upstreams n0 to n5 and s0 to s5, half of them in each failure domain of their region.
struct Fixture {
    Fixture()
    {
        for (const auto* region : { "north", "south" }) {
            for (int i = 0; i < 6; ++i)
                upstreams_.put({ fmt::format("{}{}", region[0], i), 1, "core", { "127.0.0.1", 9000 }, fmt::format("{}-{}", region, i % 2 == 0 ? "a" : "b"), 4, UpstreamState::Ready, 0s });
        }
        upstreams_.setColdDuration("core", 3s);
        clock_.advance(10s);
    }

    auto upstream(const std::string& id) -> Upstream& { return *upstreams_.byId().at(id); }

    // An attempt to connect that ends after the given time.
    auto connect(const std::string& id, bool isConnected, Duration took = 1ms) -> void
    {
        const auto startedAt = clock_.now();
        clock_.advance(took);
        links_.recordConnect(upstream(id), startedAt, isConnected);
        if (!isConnected)
            upstreams_.noteAttempt(upstream(id), AttemptHealth::Lost);
    }

    // Plays the prober: all connections to the named regions fail, others succeed.
    auto run(Duration span, const std::set<std::string>& cutRegions) -> void
    {
        for (Duration played {}; played < span; played += 50ms) {
            clock_.advance(50ms);
            links_.update();
            for (const auto& upstream : links_.takeDueProbes())
                links_.recordConnect(*upstream, clock_.now(), !cutRegions.contains(upstream->region_));
        }
    }

    auto cutAll() -> void
    {
        for (const auto* id : { "n0", "n1", "n2" })
            connect(id, false);
        run(1s, { "north", "south" });
    }

    ManualClock clock_;
    UpstreamSet upstreams_ { clock_, regionOfDomain };
    std::vector<LinkChange> changes_;
    LinkDetector links_ { clock_, upstreams_, [this](const LinkChange& change) { changes_.push_back(change); } };
};

using Regions = std::set<std::string>;

}

TEST_CASE("connections that fail at several upstreams and at all probes are a loss of links", "[links]")
{
    Fixture fixture;
    const auto took = GENERATE(Duration(1ms), Duration(400ms));
    for (const auto* id : { "n0", "n1", "n2" })
        fixture.connect(id, false, took);
    CHECK(fixture.links_.isCutOff());
    CHECK(fixture.links_.state("north") == LinkState::Suspected);
    fixture.run(600ms, { "north", "south" });
    CHECK(fixture.links_.state("north") == LinkState::Unreachable);
    CHECK(fixture.links_.state("south") == LinkState::Unreachable);
    CHECK(fixture.links_.unreachableRegions() == Regions { "north", "south" });
}

TEST_CASE("failures of upstreams are no loss of links", "[links]")
{
    Fixture fixture;
    SECTION("two upstreams that crash")
    {
        for (int i = 0; i < 20; ++i)
            fixture.connect(i % 2 == 0 ? "n0" : "n1", false);
        CHECK(fixture.links_.state("north") == LinkState::Reachable);
    }
    SECTION("a failure domain that loses power")
    {
        for (const auto* id : { "n0", "n2", "n4" })
            fixture.connect(id, false);
        CHECK(fixture.links_.state("north") == LinkState::Reachable);
    }
    SECTION("a connection that succeeds in between")
    {
        for (const auto* id : { "n0", "n1" })
            fixture.connect(id, false);
        fixture.connect("n5", true);
        fixture.connect("n2", false);
        CHECK(fixture.links_.state("north") == LinkState::Reachable);
    }
    SECTION("an attempt that began before the last success")
    {
        const auto startedAt = fixture.clock_.now();
        fixture.connect("n5", true);
        for (const auto* id : { "n0", "n1", "n2" })
            fixture.links_.recordConnect(fixture.upstream(id), startedAt, false);
        CHECK(fixture.links_.state("north") == LinkState::Reachable);
    }
    SECTION("a suspicion that a probe refutes, with the conclusions about the upstreams kept")
    {
        for (const auto* id : { "n0", "n1", "n2" })
            fixture.connect(id, false);
        REQUIRE(fixture.links_.state("north") == LinkState::Suspected);
        fixture.run(100ms, {});
        CHECK(fixture.links_.unreachableRegions().empty());
        CHECK(fixture.upstream("n0").consecutiveLosses_ == 1);
    }
}

TEST_CASE("a loss of the links to one region leaves the others reachable", "[links]")
{
    Fixture fixture;
    for (const auto* id : { "n0", "n1", "n2" })
        fixture.connect(id, false);
    fixture.run(600ms, { "north" });
    CHECK(fixture.links_.unreachableRegions() == Regions { "north" });
    CHECK_FALSE(fixture.links_.isCutOff());
}

TEST_CASE("after a loss of links, upstreams are known as they were before", "[links]")
{
    Fixture fixture;
    fixture.upstreams_.noteCold("n1", 20s);
    const auto known = fixture.upstream("n1").coldUntil_;
    for (int round = 0; round < 3; ++round) {
        for (const auto* id : { "n0", "n1", "n2" })
            fixture.connect(id, false);
    }
    REQUIRE(fixture.upstream("n0").coldUntil_ > fixture.clock_.now());
    fixture.upstreams_.noteCold("n2", 30s);
    for (const auto& change : fixture.changes_)
        fixture.upstreams_.revertLosses(change.region_, change.since_);
    CHECK(fixture.upstream("n0").coldUntil_ <= fixture.clock_.now());
    CHECK(fixture.upstream("n0").ejectedUntil_ <= fixture.clock_.now());
    CHECK(fixture.upstream("n0").failureRate_ < 0.01);
    CHECK(fixture.upstream("n1").coldUntil_ == known);
    // What others have said meanwhile holds.
    CHECK(fixture.upstream("n2").coldUntil_ == fixture.clock_.now() + 30s);
}

TEST_CASE("requests are not blamed for connections that were lost with the links", "[links][crashes]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    CrashTracker crashes(clock, fleet);
    crashes.recordLostConnection(7, "n0");
    clock.advance(5s);
    const auto cutAt = clock.now();
    for (const auto* id : { "n1", "n2", "n3" })
        crashes.recordLostConnection(7, id);
    crashes.recordLostConnection(8, "n1");
    REQUIRE(crashes.isBlocked(7));
    crashes.revertLosses(cutAt);
    CHECK_FALSE(crashes.isBlocked(7));
    CHECK(crashes.counts() == std::vector<CrashCount> { { 7, 1 } });
}

TEST_CASE("when links are back, a growing part of the requests is sent directly", "[links]")
{
    Fixture fixture;
    fixture.cutAll();
    REQUIRE(fixture.links_.isCutOff());
    while (fixture.links_.state("north") == LinkState::Unreachable)
        fixture.run(50ms, {});
    REQUIRE(fixture.links_.state("north") == LinkState::Recovering);
    const auto direct = [&fixture] {
        int count = 0;
        for (std::uint64_t hash = 0; hash < 1'000; ++hash)
            count += fixture.links_.unreachableRegions(hash).contains("north") ? 0 : 1;
        return count;
    };
    const int first = direct();
    CHECK(first < 400);
    fixture.run(500ms, {});
    CHECK(direct() > first);
    fixture.run(600ms, {});
    CHECK(fixture.links_.state("north") == LinkState::Reachable);
    CHECK(direct() == 1'000);
}

TEST_CASE("links that come and go each second change the state ever more rarely", "[links]")
{
    Fixture fixture;
    fixture.cutAll();
    fixture.changes_.clear();
    for (int i = 0; i < 30; ++i) {
        fixture.run(1s, {});
        // Requests that are sent directly fail at once.
        if (fixture.links_.state("north") == LinkState::Recovering || fixture.links_.state("north") == LinkState::Reachable) {
            for (const auto* id : { "n0", "n1", "n2" })
                fixture.connect(id, false);
        }
        fixture.run(1s, { "north", "south" });
    }
    const auto recoveries = std::count_if(fixture.changes_.begin(), fixture.changes_.end(), [](const auto& change) { return change.region_ == "north" && change.state_ == LinkState::Recovering; });
    CHECK(recoveries < 8);
    fixture.run(8s, {});
    CHECK(fixture.links_.state("north") == LinkState::Reachable);
}

TEST_CASE("open connections count as working only while responses arrive after the loss", "[links]")
{
    Fixture fixture;
    fixture.links_.recordResponse(fixture.upstream("n0"));
    fixture.cutAll();
    CHECK_FALSE(fixture.links_.doOpenConnectionsWork("north"));
    fixture.links_.recordResponse(fixture.upstream("n0"));
    CHECK(fixture.links_.doOpenConnectionsWork("north"));
    fixture.clock_.advance(2s);
    CHECK_FALSE(fixture.links_.doOpenConnectionsWork("north"));
}

TEST_CASE("attempts that were under way during a loss of links say nothing about upstreams", "[links]")
{
    Fixture fixture;
    const auto before = fixture.clock_.now();
    fixture.cutAll();
    CHECK(fixture.links_.wasUnreachableSince("north", before));
    fixture.run(5s, {});
    CHECK(fixture.links_.wasUnreachableSince("north", before));
    CHECK_FALSE(fixture.links_.wasUnreachableSince("north", fixture.clock_.now() - 1s));
}

TEST_CASE("while a region is out of reach, probes are few", "[links]")
{
    Fixture fixture;
    fixture.cutAll();
    std::size_t probes = 0;
    for (int i = 0; i < 100; ++i) {
        fixture.clock_.advance(100ms);
        for (const auto& upstream : fixture.links_.takeDueProbes()) {
            ++probes;
            fixture.links_.recordConnect(*upstream, fixture.clock_.now(), false);
        }
    }
    // Two a region, four times a second, for ten seconds.
    CHECK(probes <= 160);
    CHECK(probes >= 100);
}
