// FleetNode as seen by the request pipeline, by the store watch and by an instance that joins through a seed.
#include "fleet/fleet_node.h"
#include "standin/memory_peers.h"
#include "standin/memory_store.h"
#include "store/command_service.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

// Instance whose FleetNode is not started; the test makes the calls that its thread would make.
struct TestInstance {
    TestInstance(standin::MemoryPeers& network, standin::MemoryStore& store, const std::string& name)
        : service_(store, state_, clock_)
        , node_({ { name, 7 }, "r", "d", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }, state_, clock_, metrics_, {},
              { [] { return std::vector<PlatformInstance> {}; }, [this](const Withdrawal& withdrawal) { return persistWithdrawal(withdrawal); } })
        , link_(network.join({ name, 7 }))
        , follower_(store, state_)
    {
        node_.attach(*link_);
        follower_.setObserver(&node_);
    }

    auto persistWithdrawal(const Withdrawal& withdrawal) -> bool
    {
        ++persistCalls_;
        return isOk(service_.submit({ "withdraw key " + withdrawal.key_, withdrawal.id_, withdrawal.who_, withdrawal.from_, CommandMode::Real, std::nullopt }));
    }

    int persistCalls_ = 0;
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

TEST_CASE("requests with a key are refused until the configuration is known to be current, requests without a key are not", "[fleet]")
{
    standin::MemoryPeers network(1);
    standin::MemoryStore store;
    TestInstance instance(network, store, "a");
    const auto refused = instance.node_.checkGrant(keyedGrant());
    REQUIRE(!isOk(refused));
    CHECK(errorOf(refused).executed_ == Executed::No);
    CHECK(errorOf(refused).kind_ == RefusalKind::Overloaded);
    CHECK(isOk(instance.node_.checkGrant(Grant {})));
    // A key that is unknown here may have been issued in the meantime.
    CHECK(errorOf(instance.node_.checkGrant(Refusal { RefusalKind::Unauthorized, "" })).kind_ == RefusalKind::Overloaded);
    REQUIRE(isOk(instance.service_.submit({ "declare region x", "c1", "w", "f", CommandMode::Real, std::nullopt })));
    REQUIRE(instance.follower_.followOnce(0ms));
    CHECK(isOk(instance.node_.checkGrant(keyedGrant())));
    CHECK(errorOf(instance.node_.checkGrant(Refusal { RefusalKind::Unauthorized, "" })).kind_ == RefusalKind::Unauthorized);
}

TEST_CASE("a withdrawal during a store outage is enforced immediately and persisted exactly once", "[fleet]")
{
    standin::MemoryPeers network(1);
    standin::MemoryStore store;
    TestInstance instance(network, store, "a");
    REQUIRE(isOk(instance.service_.submit({ "declare workspace w rate 10 burst 5; issue key k workspace w", "c1", "w", "f", CommandMode::Real, std::nullopt })));
    REQUIRE(instance.follower_.followOnce(0ms));
    store.setFaults({ true, 0ms, 0 });
    CHECK(instance.node_.withdraw({ { "k", "c2", "tester", "127.0.0.1" } }) != 0);
    CHECK(errorOf(instance.node_.checkGrant(keyedGrant())).kind_ == RefusalKind::Unauthorized);
    CHECK(!instance.follower_.followOnce(0ms));
    CHECK(instance.persistCalls_ == 0);
    store.setFaults({});
    for (int i = 0; i < 3; ++i)
        REQUIRE(instance.follower_.followOnce(0ms));
    CHECK(instance.persistCalls_ == 1);
    CHECK(instance.state_.snapshot()->find<WithdrawnKey>("k") != nullptr);
}

TEST_CASE("a seed resolves to the address in its name, a member to its reported peer address", "[fleet]")
{
    standin::MemoryPeers network(1);
    standin::MemoryStore store;
    TestInstance instance(network, store, "a");
    CHECK(instance.node_.resolve("@127.0.0.1:9001") == SocketAddress { "127.0.0.1", 9001 });
    CHECK(instance.node_.resolve("a") == SocketAddress { "127.0.0.1", 2 });
    CHECK(!instance.node_.resolve("b").has_value());
}

TEST_CASE("an instance that knows only a seed joins the fleet without the store or the platform's instance list", "[fleet]")
{
    ManualClock clock;
    ConfigState knownState;
    ConfigState emptyState;
    REQUIRE(isOk(knownState.apply({ 1, { { 1, "x", "w", "f", "t", "declare region x" } } })));
    FleetCore old({ { "old", 1 }, "r", "d", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } }, knownState, clock, {}, 1);
    FleetOptions options;
    options.seeds_ = { "@127.0.0.1:2" };
    FleetCore fresh({ { "fresh", 2 }, "r", "e", { "127.0.0.1", 3 }, { "127.0.0.1", 4 } }, emptyState, clock, options, 2);
    for (int step = 0; step < 100 && emptyState.snapshot()->revision() == 0; ++step) {
        clock.advance(100ms);
        fresh.tick();
        old.tick();
        for (const auto& sent : fresh.takeOutbound())
            old.receive({ "fresh", 2 }, sent.message_);
        for (const auto& sent : old.takeOutbound())
            fresh.receive({ "old", 1 }, sent.message_);
    }
    CHECK(emptyState.snapshot()->revision() == 1);
    CHECK(old.members().list().find("fresh") != nullptr);
}
