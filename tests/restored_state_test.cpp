// What an instance knows does not fall back when the platform's store returns from an older copy.
#include "gateway/feeds/discovery_state.h"
#include "gateway/feeds/feed_lag.h"
#include "gateway/feeds/feed_source_selector.h"
#include "gateway/fleet/datagram_codec.h"
#include "gateway/placement/placement.h"
#include "gateway/upstreams/cold_detector.h"
#include "standin/kept_log.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

auto entry(const std::string& id, std::int64_t sequence = 1, UpstreamState state = UpstreamState::Ready, std::int64_t born = 1) -> UpstreamEntry
{
    return { id, born, "core", { "127.0.0.1", 9000 }, "north-a", 4, state, 0s, sequence };
}

struct Fixture {
    Fixture()
    {
        discovery_.upstreamsListed({ entry("a"), entry("b") });
        discovery_.domainsEvacuated({});
    }

    auto restore(const std::vector<UpstreamEntry>& copy) -> void
    {
        discovery_.storeRestored(Feed::Upstreams, ++era_);
        discovery_.upstreamsListed(copy);
    }
    auto isUsed(const std::string& id) const -> bool
    {
        const auto found = upstreams_.byId().find(id);
        return found != upstreams_.byId().end() && upstreams_.isEligible(*found->second);
    }
    auto pass(Duration time) -> void
    {
        clock_.advance(time);
        upstreams_.removeExpired();
        discovery_.releaseKeptEvacuations();
    }

    ManualClock clock_;
    UpstreamSet upstreams_ { clock_, { { "north-a", "north" } } };
    FleetView fleet_ { clock_, { 2s, 20s }, "self" };
    standin::KeptLog log_;
    DiscoveryState discovery_ { clock_, upstreams_, fleet_, log_, 2s };
    std::uint64_t era_ = 1;
};

}

TEST_CASE("an upstream that has left is not used again because a copy still lists it", "[restored-state]")
{
    Fixture fixture;
    fixture.discovery_.upstreamRemoved("a");
    REQUIRE_FALSE(fixture.isUsed("a"));
    fixture.restore({ entry("a"), entry("b") });
    CHECK_FALSE(fixture.isUsed("a"));
    CHECK(fixture.isUsed("b"));
    SECTION("also where another watcher lists the copy again")
    {
        fixture.discovery_.upstreamsListed({ entry("a"), entry("b") });
        CHECK_FALSE(fixture.isUsed("a"));
    }
    SECTION("until it reports again, as it had only expired")
    {
        fixture.discovery_.upstreamUpdated(entry("a", 2));
        CHECK(fixture.isUsed("a"));
    }
    SECTION("until its next list has a newer report of it")
    {
        fixture.discovery_.upstreamsListed({ entry("a", 2), entry("b") });
        CHECK(fixture.isUsed("a"));
    }
    SECTION("until it has been listed for so long that it must be alive")
    {
        fixture.pass(4s);
        CHECK_FALSE(fixture.isUsed("a"));
        fixture.pass(2s);
        CHECK(fixture.isUsed("a"));
    }
    SECTION("nor when its entry in the copy expires")
    {
        fixture.discovery_.upstreamRemoved("a");
        fixture.pass(10s);
        CHECK_FALSE(fixture.isUsed("a"));
    }
}

TEST_CASE("a drain is final for a start, whatever a copy says", "[restored-state]")
{
    Fixture fixture;
    fixture.discovery_.upstreamUpdated(entry("a", 5, UpstreamState::Draining));
    SECTION("while its entry is known")
    {
        fixture.restore({ entry("a"), entry("b") });
        CHECK_FALSE(fixture.isUsed("a"));
        fixture.pass(10s);
        CHECK_FALSE(fixture.isUsed("a"));
    }
    SECTION("after its entry was removed")
    {
        fixture.discovery_.upstreamRemoved("a");
        fixture.restore({ entry("a", 9), entry("b") });
        fixture.pass(10s);
        CHECK_FALSE(fixture.isUsed("a"));
    }
    SECTION("but not for a new start under the same id")
    {
        fixture.discovery_.upstreamUpdated(entry("a", 1, UpstreamState::Ready, 2));
        CHECK(fixture.isUsed("a"));
    }
}

TEST_CASE("an upstream that the copy lacks has the time to register again", "[restored-state]")
{
    Fixture fixture;
    fixture.restore({ entry("b") });
    CHECK(fixture.isUsed("a"));
    const bool registers = GENERATE(true, false);
    CAPTURE(registers);
    fixture.pass(1s);
    if (registers)
        fixture.discovery_.upstreamUpdated(entry("a", 3));
    fixture.pass(2s);
    CHECK(fixture.isUsed("a") == registers);
}

TEST_CASE("the entry of an earlier start in a copy does not replace the later one", "[restored-state]")
{
    Fixture fixture;
    fixture.discovery_.upstreamUpdated(entry("a", 1, UpstreamState::Ready, 7));
    fixture.restore({ entry("a", 50, UpstreamState::Ready, 1), entry("b") });
    REQUIRE(fixture.isUsed("a"));
    CHECK(fixture.upstreams_.byId().at("a")->entry_.startTimeMs_ == 7);
}

TEST_CASE("a cold upstream stays cold through a restore", "[restored-state]")
{
    Fixture fixture;
    auto cold = entry("a", 2);
    cold.coldLeft_ = 20s;
    fixture.discovery_.upstreamUpdated(cold);
    REQUIRE(fixture.upstreams_.coldCount() == 1);
    fixture.restore({ entry("a"), entry("b") });
    CHECK(fixture.upstreams_.coldCount() == 1);
}

TEST_CASE("an evacuation that a copy lacks stays until it is written again or for a bounded time", "[restored-state]")
{
    Fixture fixture;
    fixture.discovery_.domainsEvacuated({ "north-a" });
    REQUIRE_FALSE(fixture.isUsed("a"));
    fixture.discovery_.storeRestored(Feed::Evacuations, 2);
    fixture.discovery_.domainsEvacuated({});
    CHECK_FALSE(fixture.isUsed("a"));
    SECTION("a second restore does not end it")
    {
        fixture.pass(10s);
        fixture.discovery_.storeRestored(Feed::Evacuations, 3);
        fixture.discovery_.domainsEvacuated({});
        fixture.pass(10s);
        CHECK_FALSE(fixture.isUsed("a"));
    }
    SECTION("what the operator writes again is taken back by the operator")
    {
        fixture.discovery_.domainsEvacuated({ "north-a" });
        fixture.pass(20s);
        CHECK_FALSE(fixture.isUsed("a"));
        fixture.discovery_.domainsEvacuated({});
        CHECK(fixture.isUsed("a"));
    }
    SECTION("one that is never written again ends")
    {
        fixture.pass(20s);
        CHECK(fixture.isUsed("a"));
    }
}

TEST_CASE("revisions of an older era are behind all revisions of a newer one", "[restored-state]")
{
    FeedProgress progress;
    CHECK(progress.recordEra(3) == EraOrder::Newer);
    CHECK(progress.advanceTo(500));
    progress.noteChange(480);
    CHECK(progress.recordEra(3) == EraOrder::Same);
    CHECK(progress.recordEra(2) == EraOrder::Older);
    CHECK(progress.recordEra(0) == EraOrder::Older);
    CHECK(progress.position() == FeedPosition { { 3, 480 }, { 3, 500 } });
    CHECK(progress.recordEra(4) == EraOrder::Newer);
    CHECK(progress.position() == FeedPosition { { 4, 0 }, { 4, 0 } });
    CHECK(progress.advanceTo(20));
    CHECK(StoreRevision { 4, 20 } > StoreRevision { 3, 500 });
}

TEST_CASE("a feed lags behind a newer era, whatever its revision number", "[restored-state]")
{
    ManualClock clock;
    FeedLag lag(clock);
    const FeedPosition own { { 1, 500 }, { 1, 500 } };
    CHECK_FALSE(lag.isOverdue(Feed::Upstreams, own, { 2, 20 }));
    clock.advance(1s);
    CHECK(lag.isOverdue(Feed::Upstreams, own, { 2, 20 }));
    // An instance that has not noticed the restore, or a build that knows no eras.
    const FeedPosition renewed { { 2, 20 }, { 2, 20 } };
    CHECK_FALSE(lag.isOverdue(Feed::Upstreams, renewed, { 1, 900 }));
    clock.advance(1s);
    CHECK_FALSE(lag.isOverdue(Feed::Upstreams, renewed, { 0, 900 }));
}

TEST_CASE("a heartbeat without eras counts as era 0", "[restored-state]")
{
    MemberReport report;
    report.name_ = "old";
    report.peer_ = { "127.0.0.1", 8001 };
    report.lastChangeRevisions_ = { { { 0, 900 }, { 0, 901 }, { 0, 0 } } };
    const auto decoded = decodeDatagram(encodeDatagram(report));
    REQUIRE(isOk(decoded));
    CHECK(std::get<MemberReport>(valueOf(decoded)) == report);
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    fleet.updateMember(report);
    auto renewed = report;
    renewed.name_ = "new";
    renewed.lastChangeRevisions_ = { { { 2, 30 }, { 2, 31 }, { 2, 0 } } };
    fleet.updateMember(renewed);
    CHECK(fleet.newestRevisionReported(0) == StoreRevision { 2, 30 });
}

TEST_CASE("a paused upstream gets no requests and no probes until its pause ends", "[restored-state]")
{
    Fixture fixture;
    auto& a = *fixture.upstreams_.byId().at("a");
    fixture.upstreams_.recordPause(a, 3s);
    fixture.upstreams_.recordPause(a, 1s);
    fixture.fleet_.setReady(true);
    fixture.fleet_.setSourceLost(true);
    Placer placer(fixture.clock_, fixture.upstreams_, fixture.fleet_, "north");
    ColdDetector detector(fixture.clock_, fixture.upstreams_, fixture.fleet_);
    PlacementQuery query;
    query.service_ = "core";
    query.typicalResponseTime_ = 100ms;
    query.maxQueueWait_ = 1s;
    const auto chosen = [&] {
        std::set<std::string> ids;
        for (query.requestHash_ = 0; query.requestHash_ < 50; ++query.requestHash_) {
            const auto result = placer.place(query);
            if (const auto* placement = std::get_if<Placement>(&result))
                ids.insert(placement->upstream_->entry_.id_);
        }
        return ids;
    };
    CHECK(chosen() == std::set<std::string> { "b" });
    CHECK(detector.takeDueProbes().size() == 1);
    CHECK(placer.shortestPause(query) == Duration(3s));
    fixture.clock_.advance(2900ms);
    CHECK(chosen() == std::set<std::string> { "b" });
    CHECK(detector.takeDueProbes().size() == 1);
    SECTION("the pause ends in time")
    {
        fixture.clock_.advance(200ms);
        CHECK(chosen() == std::set<std::string> { "a", "b" });
        CHECK(placer.shortestPause(query) == std::nullopt);
    }
    SECTION("a restart under the same id ends it")
    {
        fixture.discovery_.upstreamUpdated(entry("a", 1, UpstreamState::Ready, 2));
        CHECK(chosen() == std::set<std::string> { "a", "b" });
    }
    SECTION("an entry that expired and is back does not end it")
    {
        fixture.discovery_.upstreamRemoved("a");
        fixture.discovery_.upstreamUpdated(entry("a", 2));
        CHECK(chosen() == std::set<std::string> { "b" });
    }
}
