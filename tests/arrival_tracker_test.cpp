// A feed whose response is still arriving must not be asked for again: over a slow link it would never be complete.
#include "gateway/feeds/arrival_tracker.h"
#include "platform/store_source.h"
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

TEST_CASE("a response is arriving while its bytes come without long pauses", "[arrival-tracker]")
{
    ManualClock clock;
    ArrivalTracker arrivals(clock);
    CHECK_FALSE(arrivals.isArriving(Feed::Declaration, 0));
    CHECK(arrivals.isArriving(Feed::Declaration, 100));
    CHECK_FALSE(arrivals.isArriving(Feed::Upstreams, 0));
    SECTION("bytes keep coming")
    {
        for (std::uint64_t bytes = 200; bytes < 1'200; bytes += 100) {
            clock.advance(200ms);
            CHECK(arrivals.isArriving(Feed::Declaration, bytes));
        }
    }
    SECTION("no more come")
    {
        clock.advance(200ms);
        CHECK(arrivals.isArriving(Feed::Declaration, 100));
        clock.advance(200ms);
        CHECK_FALSE(arrivals.isArriving(Feed::Declaration, 100));
    }
    SECTION("they come endlessly")
    {
        for (std::uint64_t bytes = 101; bytes < 150; ++bytes) {
            clock.advance(200ms);
            arrivals.isArriving(Feed::Declaration, bytes);
        }
        CHECK_FALSE(arrivals.isArriving(Feed::Declaration, 150));
    }
    SECTION("the next response arrives")
    {
        clock.advance(5s);
        CHECK(arrivals.isArriving(Feed::Declaration, 50));
        clock.advance(5s);
        arrivals.isArriving(Feed::Declaration, 0);
        CHECK(arrivals.isArriving(Feed::Declaration, 100));
    }
}

TEST_CASE("a source counts the bytes of a watch's response that is arriving", "[arrival-tracker]")
{
    asio::io_context loop;
    PlatformStore store(loop);
    store.put("config", "main", declared(1));
    NamedPeers peers;
    KeptBeliefs recorded;
    platform::StoreSource source(loop, store.address(), testStoreTimeout);
    source.start(recorded, { "e1", { "127.0.0.1", 7000 } }, peers);
    REQUIRE(runUntil(loop, [&] { return store.watches() == 3; }));
    CHECK(source.bytesArriving(Feed::Declaration) == 0);
    store.holdChanges("config");
    store.put("config", "main", declared(2));
    store.sendHeld(100);
    REQUIRE(runUntil(loop, [&] { return source.bytesArriving(Feed::Declaration) == 100; }));
    CHECK(source.bytesArriving(Feed::Upstreams) == 0);
    store.sendHeld(store.heldBytes());
    REQUIRE(runUntil(loop, [&] { return recorded.versions_.back() == 2; }));
    REQUIRE(runUntil(loop, [&] { return store.watches() == 3; }));
    CHECK(source.bytesArriving(Feed::Declaration) == 0);
    source.stop();
}

// The first response to the change is held back at one of the two gateways; what it asks for again is answered at once.
TEST_CASE("a change that is arriving is not asked for again, although others have it", "[arrival-tracker]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    ManualClock clock;
    fixture.gatewayClock_ = &clock;
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    SecondGateway second(fixture);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady() && second.gateway_->isReady() && fixture.store_.watches() == 6; }));
    auto large = declared(2);
    large["comment"] = std::string(1024 * 1024, 'c');
    fixture.store_.holdChanges("config", 1);
    fixture.store_.put("config", "main", large);
    const auto has = [&](const GatewaySettings& settings, int version) {
        return fixture.ask(settings.control_, "/metrics").find(fmt::format("gateway_declaration_version {}\n", version)) != std::string::npos;
    };
    const auto hasOne = [&](int version) { return has(fixture.settings_, version) || has(second.settings_, version); };
    const auto haveBoth = [&](int version) { return has(fixture.settings_, version) && has(second.settings_, version); };
    REQUIRE(runUntil(fixture.loop_, [&] { return hasOne(2); }));
    // Longer than an instance waits before it asks again, and a tick in each step.
    for (int step = 0; step < 12; ++step) {
        fixture.store_.sendHeld(1);
        asio::steady_timer tick(fixture.loop_, 250ms);
        bool hasTicked = false;
        tick.async_wait([&](NetError) { hasTicked = true; });
        REQUIRE(runUntil(fixture.loop_, [&] { return hasTicked; }));
        clock.advance(200ms);
    }
    CHECK_FALSE(haveBoth(2));
    fixture.store_.sendHeld(fixture.store_.heldBytes());
    CHECK(runUntil(fixture.loop_, [&] { return haveBoth(2); }));
}
