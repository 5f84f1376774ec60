// The fleet's node behind its lock: what the request pipeline, the store's watch and a seed see of it.
#include "fleet/fleet_node.h"
#include "standin/memory_peers.h"
#include "standin/memory_store.h"
#include "store/command_service.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

// Without its thread: the test calls what the thread would.
struct Site {
    Site(standin::MemoryPeers& network, standin::MemoryStore& store, const std::string& name)
        : service_(store, state_, clock_)
        , node_({ { name, 7 }, "r", "d", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }, state_, clock_, metrics_, {},
              { [] { return std::vector<PlatformInstance> {}; }, [this](const Withdrawal& withdrawal) { return makeDurable(withdrawal); } })
        , link_(network.join({ name, 7 }))
        , follower_(store, state_)
    {
        node_.attach(*link_);
        follower_.setObserver(&node_);
    }

    auto makeDurable(const Withdrawal& withdrawal) -> bool
    {
        ++durableCalls_;
        return isOk(service_.submit({ "withdraw key " + withdrawal.key_, withdrawal.id_, withdrawal.who_, withdrawal.from_, CommandMode::Real, std::nullopt }));
    }

    int durableCalls_ = 0;
    ManualClock clock_;
    Metrics metrics_;
    ConfigState state_;
    CommandService service_;
    FleetNode node_;
    std::unique_ptr<PeerLink> link_;
    ConfigFollower follower_;
};

auto keyedGrant() -> Result<Grant, Refusal>
{
    Grant grant;
    grant.key_ = "k";
    return grant;
}

}

TEST_CASE("keyed requests wait for evidence, open ones do not", "[fleet]")
{
    standin::MemoryPeers network(1);
    standin::MemoryStore store;
    Site site(network, store, "a");
    const auto refused = site.node_.checkGrant(keyedGrant());
    REQUIRE(!isOk(refused));
    CHECK(errorOf(refused).executed_ == Executed::No);
    CHECK(errorOf(refused).kind_ == RefusalKind::Overloaded);
    CHECK(isOk(site.node_.checkGrant(Grant {})));
    // A key that is unknown here may have been issued meanwhile.
    CHECK(errorOf(site.node_.checkGrant(Refusal { RefusalKind::Unauthorized, "" })).kind_ == RefusalKind::Overloaded);
    REQUIRE(isOk(site.service_.submit({ "declare region x", "c1", "w", "f", CommandMode::Real, std::nullopt })));
    REQUIRE(site.follower_.followOnce(0ms));
    CHECK(isOk(site.node_.checkGrant(keyedGrant())));
    CHECK(errorOf(site.node_.checkGrant(Refusal { RefusalKind::Unauthorized, "" })).kind_ == RefusalKind::Unauthorized);
}

TEST_CASE("a withdrawal without the store is enforced at once and becomes durable once", "[fleet]")
{
    standin::MemoryPeers network(1);
    standin::MemoryStore store;
    Site site(network, store, "a");
    REQUIRE(isOk(site.service_.submit({ "declare workspace w rate 10 burst 5; issue key k workspace w", "c1", "w", "f", CommandMode::Real, std::nullopt })));
    REQUIRE(site.follower_.followOnce(0ms));
    store.setFaults({ true, 0ms, 0 });
    CHECK(site.node_.withdraw({ { "k", "c2", "tester", "127.0.0.1" } }) != 0);
    CHECK(errorOf(site.node_.checkGrant(keyedGrant())).kind_ == RefusalKind::Unauthorized);
    CHECK(!site.follower_.followOnce(0ms));
    CHECK(site.durableCalls_ == 0);
    store.setFaults({});
    for (int i = 0; i < 3; ++i)
        REQUIRE(site.follower_.followOnce(0ms));
    CHECK(site.durableCalls_ == 1);
    CHECK(site.state_.snapshot()->find<WithdrawnKey>("k") != nullptr);
}

TEST_CASE("a seed is resolved by its address, others by what is known of them", "[fleet]")
{
    standin::MemoryPeers network(1);
    standin::MemoryStore store;
    Site site(network, store, "a");
    CHECK(site.node_.resolve("@127.0.0.1:9001") == SocketAddress { "127.0.0.1", 9001 });
    CHECK(site.node_.resolve("a") == SocketAddress { "127.0.0.1", 2 });
    CHECK(!site.node_.resolve("b").has_value());
}

TEST_CASE("an instance that knows only a seed finds the fleet without store and list", "[fleet]")
{
    ManualClock clock;
    ConfigState knowing;
    ConfigState starting;
    REQUIRE(isOk(knowing.apply({ 1, { { 1, "x", "w", "f", "t", "declare region x" } } })));
    FleetCore old({ { "old", 1 }, "r", "d", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }, knowing, clock, {}, 1);
    FleetOptions options;
    options.seeds_ = { "@127.0.0.1:2" };
    FleetCore fresh({ { "fresh", 2 }, "r", "e", { "127.0.0.1", 3 }, { "127.0.0.1", 4 } }, starting, clock, options, 2);
    for (int step = 0; step < 100 && starting.snapshot()->revision() == 0; ++step) {
        clock.advance(100ms);
        fresh.tick();
        old.tick();
        for (const auto& sent : fresh.takeOutbound())
            old.receive({ "fresh", 2 }, sent.message_);
        for (const auto& sent : old.takeOutbound())
            fresh.receive({ "old", 1 }, sent.message_);
    }
    CHECK(starting.snapshot()->revision() == 1);
    CHECK(old.members().list().find("fresh") != nullptr);
}
