// The platform's store returns from a copy that is some seconds old: revisions go back and are given out again, and what
// was written since is gone until it is written anew.
#include "loop/caller_listener.h"
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const SocketAddress anyUpstream { "127.0.0.1", 9000 };

// An instance's feeds, read from the store.
struct SourceFixture {
    SourceFixture()
    {
        store_.put("config", "main", declared(1));
        for (const auto* id : { "i-0", "i-1", "i-2" })
            store_.put("servers", id, listed(anyUpstream));
    }
    ~SourceFixture() { source_.stop(); }
    SourceFixture(const SourceFixture&) = delete;
    auto operator=(const SourceFixture&) -> SourceFixture& = delete;

    auto start() -> void
    {
        source_.start(recorded_, { "e1", { "127.0.0.1", 7000 } }, peers_);
        REQUIRE(runUntil(loop_, [this] { return recorded_.isComplete() && store_.watches() == 3; }));
    }
    // Writes changes that the copy does not have, so that revisions go back by as many.
    auto writeAfterCopy(int count) -> void
    {
        store_.copy();
        for (int i = 0; i < count; ++i)
            store_.put("servers", "i-2", listed(anyUpstream));
        REQUIRE(runUntil(loop_, [this] { return source_.position(Feed::Upstreams).current_.number_ == static_cast<std::uint64_t>(store_.revision()) && store_.watches() == 3; }));
    }

    asio::io_context loop_;
    PlatformStore store_ { loop_ };
    KeptBeliefs recorded_;
    NamedPeers peers_;
    platform::StoreSource source_ { loop_, store_.address(), 300ms };
};

}

TEST_CASE("feeds follow a store that returns from a copy, though its revisions are lower", "[store-restore]")
{
    SourceFixture fixture;
    fixture.start();
    fixture.writeAfterCopy(400);
    fixture.store_.restore();
    fixture.store_.put("config", "main", declared(2));
    fixture.store_.remove("servers", "i-1");
    CHECK(runUntil(fixture.loop_, [&] { return fixture.recorded_.versions_.back() == 2 && !fixture.recorded_.upstreams_.contains("i-1"); }));
}

// The store accepts a watch from the known revision, and would never send the changes of the new era up to it.
TEST_CASE("a revision that is given out again for another change is not taken for the known one", "[store-restore]")
{
    SourceFixture fixture;
    fixture.start();
    fixture.writeAfterCopy(3);
    const auto known = fixture.store_.revision();
    fixture.store_.restore();
    fixture.store_.remove("servers", "i-1");
    while (fixture.store_.revision() < known)
        fixture.store_.put("evacuations", "north-b", json::object());
    REQUIRE(fixture.store_.revision() == known);
    CHECK(runUntil(fixture.loop_, [&] { return !fixture.recorded_.upstreams_.contains("i-1") && fixture.recorded_.evacuated_.contains("north-b"); }));
}

TEST_CASE("two restores in a row are followed", "[store-restore]")
{
    SourceFixture fixture;
    fixture.start();
    fixture.writeAfterCopy(50);
    fixture.store_.restore();
    const bool isSeenBetween = GENERATE(true, false);
    CAPTURE(isSeenBetween);
    if (isSeenBetween) {
        fixture.store_.put("config", "main", declared(2));
        REQUIRE(runUntil(fixture.loop_, [&] { return fixture.recorded_.versions_.back() == 2; }));
    }
    fixture.store_.restore();
    fixture.store_.put("config", "main", declared(3));
    CHECK(runUntil(fixture.loop_, [&] { return fixture.recorded_.versions_.back() == 3; }));
}

TEST_CASE("the instance's own entry is written again after a restore that lost it", "[store-restore]")
{
    SourceFixture fixture;
    fixture.store_.copy();
    fixture.start();
    REQUIRE(fixture.store_.created(platform::instanceKind) == 1);
    fixture.store_.restore();
    CHECK(runUntil(fixture.loop_, [&] { return fixture.store_.objects(platform::instanceKind) == 1; }));
    CHECK(fixture.store_.created(platform::instanceKind) == 2);
}

TEST_CASE("a gateway serves by a manifest that is written after a restore", "[store-restore][gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady() && fixture.store_.watches() == 3; }));
    fixture.store_.copy();
    auto withdrawn = declared(2);
    withdrawn["tenants"][0]["api_keys"] = { "another" };
    fixture.store_.put("config", "main", withdrawn);
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    const auto statusOf = [&](const std::string& status) {
        const auto before = client.count("HTTP/1.1 ");
        client.send(order);
        return runUntil(fixture.loop_, [&] { return client.count("HTTP/1.1 ") > before; }) && client.received().substr(client.received().rfind("HTTP/1.1 ")).starts_with("HTTP/1.1 " + status);
    };
    REQUIRE(runUntil(fixture.loop_, [&] { return statusOf("401"); }));
    // The copy has the key still; it stays withdrawn.
    fixture.store_.restore();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.watches() == 3; }));
    CHECK(statusOf("401"));
    fixture.store_.put("config", "main", withdrawn);
    auto given = declared(3);
    given["tenants"][0]["api_keys"] = { "secret" };
    fixture.store_.put("config", "main", given);
    CHECK(runUntil(fixture.loop_, [&] { return statusOf("200"); }));
}

// Of two instances only one sees the restore itself; the other's watch stays open, as a silent connection does.
TEST_CASE("an instance whose watches stay open learns of a restore from another", "[store-restore][gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    SecondGateway second(fixture);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady() && second.gateway_->isReady(); }));
    fixture.store_.copy();
    for (int version = 2; version < 40; ++version)
        fixture.store_.put("config", "main", declared(version));
    const auto isAt = [&](const GatewaySettings& settings, int version) {
        return fixture.ask(settings.control_, "/metrics").find(fmt::format("gateway_declaration_version {}\n", version)) != std::string::npos;
    };
    REQUIRE(runUntil(fixture.loop_, [&] { return isAt(fixture.settings_, 39) && isAt(second.settings_, 39); }));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.watches() == 6; }));
    fixture.store_.swallowWatches("config", 1);
    fixture.store_.restore();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.isSwallowed("config"); }));
    fixture.store_.put("config", "main", declared(40));
    CHECK(runUntil(fixture.loop_, [&] { return isAt(fixture.settings_, 40) && isAt(second.settings_, 40); }));
}
