// An instance's discovery state after updates, cut watches and outages of the platform's store.
#include "gateway/feeds/discovery_state.h"
#include "standin/kept_log.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr Duration drainTime = 2s;

struct Fixture {
    ManualClock clock_;
    UpstreamSet upstreams_ { clock_, { { "north-a", "north" } } };
    FleetView fleet_ { clock_, { 2s, 20s }, "self" };
    standin::KeptLog log_;
    DiscoveryState discovery_ { clock_, upstreams_, fleet_, log_, drainTime };

    auto known() const -> std::size_t { return upstreams_.ofService("core").size(); }
    auto outage(Duration length, FeedLoss loss = FeedLoss::PlatformDown) -> void
    {
        discovery_.feedLost(Feed::Upstreams, loss, "down");
        clock_.advance(length);
        discovery_.feedRestored(Feed::Upstreams);
    }
};

auto entry(const std::string& id, std::int64_t born = 1) -> UpstreamEntry
{
    return { id, born, "core", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s };
}

auto declaration(std::uint64_t version) -> Declaration
{
    Declaration result;
    result.version_ = version;
    return result;
}

}

TEST_CASE("the declaration version in force never decreases", "[discovery-state]")
{
    Fixture fixture;
    fixture.discovery_.declarationReceived(declaration(7));
    fixture.discovery_.declarationReceived(declaration(5));
    CHECK(fixture.discovery_.index()->declaration().version_ == 7);
    CHECK(fixture.log_.count(EventId::DeclarationRefused) == 1);
    fixture.discovery_.declarationInvalid("damaged");
    CHECK(fixture.discovery_.index()->declaration().version_ == 7);
    fixture.discovery_.declarationReceived(declaration(9));
    CHECK(fixture.discovery_.index()->declaration().version_ == 9);
}

TEST_CASE("an instance is ready only after every feed has delivered its first state", "[discovery-state]")
{
    Fixture fixture;
    CHECK_FALSE(fixture.discovery_.isComplete());
    fixture.discovery_.declarationReceived(declaration(1));
    fixture.discovery_.upstreamsListed({ entry("a") });
    fixture.discovery_.domainsEvacuated({});
    CHECK_FALSE(fixture.discovery_.isComplete());
    fixture.discovery_.instancesListed({});
    CHECK(fixture.discovery_.isComplete());
}

TEST_CASE("without an outage a removed upstream is dropped immediately", "[discovery-state]")
{
    Fixture fixture;
    fixture.discovery_.upstreamsListed({ entry("a"), entry("b") });
    SECTION("by a removal event") { fixture.discovery_.upstreamRemoved("a"); }
    SECTION("missing from a list") { fixture.discovery_.upstreamsListed({ entry("b") }); }
    SECTION("missing from a list after a watch was cut")
    {
        fixture.outage(10ms);
        fixture.discovery_.upstreamsListed({ entry("b") });
    }
    CHECK(fixture.known() == 1);
}

// An instance that watches the platform itself detects an outage on its own. Half of the others may be cut off while the
// platform is up, and an upstream that leaves then must be removed immediately.
TEST_CASE("an entry that expires in an outage seen only by the peers is kept if the feed is read from a peer", "[discovery-state]")
{
    Fixture fixture;
    const bool isFollowing = GENERATE(true, false);
    fixture.discovery_.feedSourceChanged(Feed::Upstreams, isFollowing ? std::optional(SocketAddress { "127.0.0.1", 9000 }) : std::nullopt);
    fixture.discovery_.upstreamsListed({ entry("a"), entry("b") });
    const auto sourceLostAt = GENERATE(as<std::set<std::string>> {}, std::set<std::string> { "x", "y" }, std::set<std::string> { "x" });
    for (const auto* name : { "x", "y", "z" }) {
        MemberReport report;
        report.name_ = name;
        report.isSourceLost_ = sourceLostAt.contains(name);
        fixture.fleet_.updateMember(report);
    }
    fixture.discovery_.noteFleetOutage();
    fixture.discovery_.upstreamRemoved("a");
    CHECK(fixture.known() == (isFollowing && sourceLostAt.size() == 2 ? 2 : 1));
}

TEST_CASE("an entry that expired in an outage is kept until live upstreams have had time to register again", "[discovery-state]")
{
    Fixture fixture;
    fixture.discovery_.upstreamsListed({ entry("a"), entry("b") });
    fixture.outage(4s);
    const bool isRemovedByEvent = GENERATE(false, true);
    const bool isRegisteredAgain = GENERATE(false, true);
    CAPTURE(isRemovedByEvent, isRegisteredAgain);
    if (isRemovedByEvent) {
        fixture.discovery_.upstreamsListed({ entry("a"), entry("b") });
        fixture.clock_.advance(500ms);
        fixture.discovery_.upstreamRemoved("a");
    } else {
        fixture.discovery_.upstreamsListed({ entry("b") });
    }
    CHECK(fixture.known() == 2);
    fixture.clock_.advance(1s);
    fixture.upstreams_.removeExpired();
    CHECK(fixture.known() == 2);
    if (isRegisteredAgain)
        fixture.discovery_.upstreamUpdated(entry("a"));
    fixture.clock_.advance(1500ms);
    fixture.upstreams_.removeExpired();
    CHECK(fixture.known() == (isRegisteredAgain ? 2 : 1));
}

// The platform was available all the time, so the removal is real.
TEST_CASE("an upstream that leaves while only calls of this instance fail is dropped at once", "[discovery-state]")
{
    Fixture fixture;
    fixture.discovery_.upstreamsListed({ entry("a"), entry("b") });
    fixture.outage(6s, FeedLoss::CallFailed);
    const bool isRemovedByEvent = GENERATE(false, true);
    CAPTURE(isRemovedByEvent);
    if (isRemovedByEvent)
        fixture.discovery_.upstreamRemoved("a");
    else
        fixture.discovery_.upstreamsListed({ entry("b") });
    CHECK(fixture.known() == 1);
}

TEST_CASE("an entry that expired in an outage is kept also if calls failed for other reasons before or after", "[discovery-state]")
{
    Fixture fixture;
    fixture.discovery_.upstreamsListed({ entry("a"), entry("b") });
    const auto first = GENERATE(FeedLoss::CallFailed, FeedLoss::PlatformDown);
    fixture.discovery_.feedLost(Feed::Upstreams, first, "first");
    fixture.clock_.advance(1s);
    fixture.discovery_.feedLost(Feed::Upstreams, first == FeedLoss::CallFailed ? FeedLoss::PlatformDown : FeedLoss::CallFailed, "second");
    fixture.clock_.advance(3s);
    fixture.discovery_.feedRestored(Feed::Upstreams);
    fixture.discovery_.upstreamsListed({ entry("b") });
    CHECK(fixture.known() == 2);
    // The next loss is judged by itself.
    fixture.clock_.advance(3s);
    fixture.discovery_.removeExpiredUpstreams();
    REQUIRE(fixture.known() == 1);
    fixture.outage(4s, FeedLoss::CallFailed);
    fixture.discovery_.upstreamsListed({});
    CHECK(fixture.known() == 0);
}

// The peer still reads from the platform, so the removal may be real.
TEST_CASE("an upstream that a follower hears removed in an outage of others is dropped within the drain time", "[discovery-state]")
{
    Fixture fixture;
    fixture.discovery_.feedSourceChanged(Feed::Upstreams, SocketAddress { "127.0.0.1", 9000 });
    fixture.discovery_.upstreamsListed({ entry("a"), entry("b") });
    for (const auto* name : { "x", "y", "z" }) {
        MemberReport report;
        report.name_ = name;
        report.isSourceLost_ = true;
        fixture.fleet_.updateMember(report);
    }
    fixture.discovery_.noteFleetOutage();
    fixture.discovery_.upstreamRemoved("a");
    CHECK(fixture.known() == 2);
    for (Duration passed {}; passed < drainTime / 2; passed += 200ms) {
        fixture.clock_.advance(200ms);
        fixture.discovery_.noteFleetOutage();
        fixture.discovery_.removeExpiredUpstreams();
    }
    CHECK(fixture.known() == 1);
}

TEST_CASE("no series of outages keeps an upstream beyond the grace period after its removal was received", "[discovery-state]")
{
    rc::prop("removed within 2.2 s and a tick", [] {
        Fixture fixture;
        fixture.discovery_.upstreamsListed({ entry("a"), entry("b") });
        std::optional<MonotonicTime> removedAt;
        const auto steps = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 7));
        for (const int step : steps) {
            if (step == 0)
                fixture.discovery_.feedLost(Feed::Upstreams, FeedLoss::PlatformDown, "down");
            if (step == 1)
                fixture.discovery_.feedLost(Feed::Upstreams, FeedLoss::CallFailed, "refused");
            if (step == 2)
                fixture.discovery_.feedRestored(Feed::Upstreams);
            if (step == 3 && !removedAt) {
                fixture.discovery_.upstreamRemoved("a");
                removedAt = fixture.clock_.now();
            }
            if (step == 4 && removedAt)
                fixture.discovery_.upstreamsListed({ entry("b") });
            if (step == 5)
                fixture.discovery_.noteFleetOutage();
            fixture.clock_.advance(200ms);
            fixture.discovery_.removeExpiredUpstreams();
            if (removedAt && fixture.clock_.now() - *removedAt > 2200ms)
                RC_ASSERT(fixture.known() == 1U);
        }
    });
}

TEST_CASE("an upstream that was draining before an outage is not kept", "[discovery-state]")
{
    Fixture fixture;
    auto draining = entry("a");
    draining.state_ = UpstreamState::Draining;
    fixture.discovery_.upstreamsListed({ draining });
    fixture.outage(4s);
    fixture.discovery_.upstreamsListed({});
    CHECK(fixture.known() == 0);
}

TEST_CASE("an entry that cannot be decoded removes its upstream", "[discovery-state]")
{
    Fixture fixture;
    fixture.discovery_.upstreamsListed({ entry("a"), entry("b") });
    fixture.discovery_.upstreamEntryInvalid("a", "no state");
    CHECK(fixture.known() == 1);
}

TEST_CASE("an upstream that restarts under the same id is treated as a new one", "[discovery-state]")
{
    Fixture fixture;
    fixture.discovery_.upstreamUpdated(entry("a", 1));
    const auto first = fixture.upstreams_.ofService("core").front();
    fixture.upstreams_.noteLoad(*first, { 4, 9, 4 });
    auto second = entry("a", 2);
    second.coldLeft_ = 3s;
    fixture.discovery_.upstreamUpdated(second);
    REQUIRE(fixture.known() == 1);
    const auto now = fixture.upstreams_.ofService("core").front();
    CHECK(now != first);
    CHECK(first->retired_);
    CHECK(now->load_ == ReportedLoad {});
    CHECK(now->coldUntil_ == fixture.clock_.now() + 3s);
}
