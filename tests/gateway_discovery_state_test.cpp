// What an instance believes after news, cuts and outages of the platform's store.
#include "gateway/discovery_state.h"
#include "standin/kept_log.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    ManualClock clock_;
    UpstreamSet upstreams_ { clock_, { { "north-a", "north" } } };
    FleetView fleet_ { clock_, { 2s, 20s }, "self" };
    standin::KeptLog log_;
    DiscoveryState beliefs_ { clock_, upstreams_, fleet_, log_ };

    auto known() const -> std::size_t { return upstreams_.ofService("core").size(); }
    auto outage(Duration length) -> void
    {
        beliefs_.feedLost(Feed::Upstreams, "down");
        clock_.advance(length);
        beliefs_.feedRestored(Feed::Upstreams);
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

TEST_CASE("the version in force never goes back", "[beliefs]")
{
    Fixture fixture;
    fixture.beliefs_.declarationReceived(declaration(7));
    fixture.beliefs_.declarationReceived(declaration(5));
    CHECK(fixture.beliefs_.index()->declaration().version_ == 7);
    CHECK(fixture.log_.count(EventId::DeclarationRefused) == 1);
    fixture.beliefs_.declarationInvalid("damaged");
    CHECK(fixture.beliefs_.index()->declaration().version_ == 7);
    fixture.beliefs_.declarationReceived(declaration(9));
    CHECK(fixture.beliefs_.index()->declaration().version_ == 9);
}

TEST_CASE("an instance is ready only when everything was heard once", "[beliefs]")
{
    Fixture fixture;
    CHECK_FALSE(fixture.beliefs_.isComplete());
    fixture.beliefs_.declarationReceived(declaration(1));
    fixture.beliefs_.upstreamsListed({ entry("a") });
    fixture.beliefs_.domainsEvacuated({});
    CHECK_FALSE(fixture.beliefs_.isComplete());
    fixture.beliefs_.instancesListed({});
    CHECK(fixture.beliefs_.isComplete());
}

TEST_CASE("an upstream that is gone in calm is dropped at once", "[beliefs]")
{
    Fixture fixture;
    fixture.beliefs_.upstreamsListed({ entry("a"), entry("b") });
    SECTION("by an event") { fixture.beliefs_.upstreamRemoved("a"); }
    SECTION("by a list") { fixture.beliefs_.upstreamsListed({ entry("b") }); }
    SECTION("by a list after a watch that was cut")
    {
        fixture.outage(10ms);
        fixture.beliefs_.upstreamsListed({ entry("b") });
    }
    CHECK(fixture.known() == 1);
}

// An instance that asks the platform itself finds an outage by itself: half of the others may be cut off while it lives,
// and an upstream that leaves then must be dropped at once.
TEST_CASE("an entry that lapses in an outage that only the others notice is kept where news come through them", "[beliefs]")
{
    Fixture fixture;
    const bool isFollowing = GENERATE(true, false);
    fixture.beliefs_.feedSourceChanged(Feed::Upstreams, isFollowing ? std::optional(SocketAddress { "127.0.0.1", 9000 }) : std::nullopt);
    fixture.beliefs_.upstreamsListed({ entry("a"), entry("b") });
    const auto lostAt = GENERATE(as<std::set<std::string>> {}, std::set<std::string> { "x", "y" }, std::set<std::string> { "x" });
    for (const auto* name : { "x", "y", "z" }) {
        MemberReport report;
        report.name_ = name;
        report.isSourceLost_ = lostAt.contains(name);
        fixture.fleet_.updateMember(report);
    }
    fixture.beliefs_.noteFleetOutage();
    fixture.beliefs_.upstreamRemoved("a");
    CHECK(fixture.known() == (isFollowing && lostAt.size() == 2 ? 2 : 1));
}

TEST_CASE("an entry that lapsed in an outage is kept until living upstreams would be back", "[beliefs]")
{
    Fixture fixture;
    fixture.beliefs_.upstreamsListed({ entry("a"), entry("b") });
    fixture.outage(4s);
    const bool toldAsGone = GENERATE(false, true);
    const bool isBack = GENERATE(false, true);
    CAPTURE(toldAsGone, isBack);
    if (toldAsGone) {
        fixture.beliefs_.upstreamsListed({ entry("a"), entry("b") });
        fixture.clock_.advance(500ms);
        fixture.beliefs_.upstreamRemoved("a");
    } else {
        fixture.beliefs_.upstreamsListed({ entry("b") });
    }
    CHECK(fixture.known() == 2);
    fixture.clock_.advance(1s);
    fixture.upstreams_.removeExpired();
    CHECK(fixture.known() == 2);
    if (isBack)
        fixture.beliefs_.upstreamUpdated(entry("a"));
    fixture.clock_.advance(1500ms);
    fixture.upstreams_.removeExpired();
    CHECK(fixture.known() == (isBack ? 2 : 1));
}

TEST_CASE("an upstream that was draining before an outage is not kept", "[beliefs]")
{
    Fixture fixture;
    auto draining = entry("a");
    draining.state_ = UpstreamState::Draining;
    fixture.beliefs_.upstreamsListed({ draining });
    fixture.outage(4s);
    fixture.beliefs_.upstreamsListed({});
    CHECK(fixture.known() == 0);
}

TEST_CASE("an entry that cannot be read names no upstream", "[beliefs]")
{
    Fixture fixture;
    fixture.beliefs_.upstreamsListed({ entry("a"), entry("b") });
    fixture.beliefs_.upstreamEntryInvalid("a", "no state");
    CHECK(fixture.known() == 1);
}

TEST_CASE("another start under one id is another upstream", "[beliefs]")
{
    Fixture fixture;
    fixture.beliefs_.upstreamUpdated(entry("a", 1));
    const auto first = fixture.upstreams_.ofService("core").front();
    fixture.upstreams_.noteLoad(*first, { 4, 9, 4 });
    auto second = entry("a", 2);
    second.coldLeft_ = 3s;
    fixture.beliefs_.upstreamUpdated(second);
    REQUIRE(fixture.known() == 1);
    const auto now = fixture.upstreams_.ofService("core").front();
    CHECK(now != first);
    CHECK(first->retired_);
    CHECK(now->load_ == ReportedLoad {});
    CHECK(now->coldUntil_ == fixture.clock_.now() + 3s);
}
