// A store that stops answering while watches wait there, without any connection being cut or refused.
#include "gateway/feeds/discovery_state.h"
#include "gateway/feeds/source_keepalive.h"
#include "platform/store_source.h"
#include "standin/kept_beliefs.h"
#include "standin/kept_log.h"
#include "standin/platform_store.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

TEST_CASE("a keepalive probe is due only after a period without answers", "[source-keepalive]")
{
    ManualClock clock;
    SourceKeepalive keepalive(clock);
    std::uint64_t answers = 0;
    SECTION("idle")
    {
        clock.advance(500ms);
        CHECK_FALSE(keepalive.isProbeDue(answers));
        clock.advance(100ms);
        CHECK(keepalive.isProbeDue(answers));
        CHECK_FALSE(keepalive.isProbeDue(answers));
        clock.advance(600ms);
        CHECK(keepalive.isProbeDue(answers));
    }
    SECTION("busy")
    {
        for (int i = 0; i < 10; ++i) {
            clock.advance(500ms);
            CHECK_FALSE(keepalive.isProbeDue(++answers));
        }
        clock.advance(600ms);
        CHECK(keepalive.isProbeDue(answers));
    }
}

namespace {

struct Fixture {
    Fixture()
    {
        store_.put("config", "main", declared(1));
        store_.put("servers", "i-1", listed({ "127.0.0.1", 9000 }));
    }
    ~Fixture() { source_.stop(); }
    Fixture(const Fixture&) = delete;
    auto operator=(const Fixture&) -> Fixture& = delete;

    auto start(DiscoverySink& sink) -> void
    {
        source_.start(sink, { "e1", { "127.0.0.1", 7000 } }, peers_);
        REQUIRE(runUntil(loop_, [this] { return store_.watches() == 3; }));
    }

    // Sends a liveness probe and waits until the store has received it.
    auto probe() -> void
    {
        const auto before = store_.calls();
        source_.probe();
        REQUIRE(runUntil(loop_, [&] { return store_.calls() > before; }));
    }

    asio::io_context loop_;
    PlatformStore store_ { loop_ };
    NamedPeers peers_;
    platform::StoreSource source_ { loop_, store_.address(), 300ms };
};

}

TEST_CASE("a probe detects the loss and the recovery of the store while watches are idle", "[source-keepalive]")
{
    Fixture fixture;
    KeptBeliefs recorded;
    fixture.start(recorded);
    const auto lists = recorded.lists_;
    const auto answers = fixture.source_.answers();
    const auto mood = GENERATE(StoreMood::Busy, StoreMood::Silent, StoreMood::Resetting);
    CAPTURE(static_cast<int>(mood));
    fixture.store_.setMood(mood);
    fixture.probe();
    REQUIRE(runUntil(fixture.loop_, [&] { return recorded.lost_ == 3; }));
    CHECK(fixture.source_.answers() == answers);
    fixture.store_.setMood(StoreMood::Well);
    const auto regained = recorded.regained_;
    fixture.probe();
    REQUIRE(runUntil(fixture.loop_, [&] { return recorded.regained_ == regained + 3; }));
    CHECK(fixture.source_.answers() == answers + 1);
    // The watches have continued.
    CHECK(recorded.lists_ == lists);
    CHECK(fixture.store_.watches() == 3);
    fixture.store_.put("config", "main", declared(2));
    CHECK(runUntil(fixture.loop_, [&] { return recorded.versions_.back() == 2; }));
}

TEST_CASE("a probe does not restore a feed whose calls are refused", "[source-keepalive]")
{
    Fixture fixture;
    KeptBeliefs recorded;
    fixture.start(recorded);
    fixture.store_.setMood(StoreMood::Busy);
    fixture.store_.cutWatches();
    REQUIRE(runUntil(fixture.loop_, [&] { return recorded.lost_ >= 3; }));
    const auto calls = fixture.store_.calls();
    fixture.source_.probe();
    CHECK(recorded.regained_ <= 3);
    CHECK(fixture.store_.calls() == calls);
}

TEST_CASE("an instance without state gets the last known state from others, and reports when they cannot provide it", "[source-keepalive]")
{
    Fixture fixture;
    fixture.store_.setMood(StoreMood::Busy);
    // An instance that provides its last known state, or refuses as well.
    PlatformStore bootstrapPeer(fixture.loop_);
    const bool refuses = GENERATE(true, false);
    bootstrapPeer.put("config", "main", declared(7));
    bootstrapPeer.put("servers", "i-7", listed({ "127.0.0.1", 9000 }));
    bootstrapPeer.setMood(refuses ? StoreMood::Busy : StoreMood::Well);
    fixture.peers_.holders_ = { bootstrapPeer.address() };
    KeptBeliefs recorded;
    fixture.source_.start(recorded, { "e1", { "127.0.0.1", 7000 } }, fixture.peers_);
    if (refuses) {
        CHECK(runUntil(fixture.loop_, [&] { return recorded.refusedByHolders_ >= 3; }));
        CHECK(recorded.versions_.empty());
        return;
    }
    REQUIRE(runUntil(fixture.loop_, [&] { return recorded.upstreams_.contains("i-7") && !recorded.versions_.empty(); }));
    CHECK(recorded.versions_.back() == 7);
    // The store itself is still lost, and retried.
    CHECK(recorded.lost_ >= 3);
    CHECK(recorded.regained_ == 0);
    const auto bootstrapCalls = bootstrapPeer.calls();
    const auto calls = fixture.store_.calls();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.calls() > calls + 3; }));
    CHECK(bootstrapPeer.calls() <= bootstrapCalls + 3);
}

// The store was down for six seconds without a watch being cut. All entries expired, and each instance removed all
// upstreams when it received the removals.
TEST_CASE("an entry that expires in an outage that only a probe detects is kept", "[source-keepalive]")
{
    Fixture fixture;
    ManualClock clock;
    KeptLog log;
    UpstreamSet upstreams(clock, { { "north-a", "north" } });
    FleetView fleet(clock, { 2s, 20s }, "e1");
    DiscoveryState state(clock, upstreams, fleet, log, 2s);
    fixture.start(state);
    REQUIRE(upstreams.size() == 1);
    const bool isProbed = GENERATE(true, false);
    fixture.store_.setMood(StoreMood::Busy);
    if (isProbed) {
        fixture.probe();
        REQUIRE(runUntil(fixture.loop_, [&] {
            clock.advance(1s);
            return state.outageDuration(Feed::Upstreams) > 1s;
        }));
    }
    fixture.store_.setMood(StoreMood::Well);
    fixture.store_.remove("servers", "i-1");
    // Wait until the upstreams feed has received the removal.
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.source_.position(Feed::Upstreams).current_ > fixture.source_.position(Feed::Evacuations).current_; }));
    // Without the probe the outage cannot be told apart from normal operation.
    CHECK(upstreams.size() == (isProbed ? 1U : 0U));
    clock.advance(2300ms);
    upstreams.removeExpired();
    CHECK(upstreams.size() == 0);
}

// A declaration of a megabyte takes longer over a small link than a probe that waits behind it may take.
TEST_CASE("a store that is sending a response is not lost because a probe gets no answer", "[source-keepalive]")
{
    Fixture fixture;
    KeptBeliefs recorded;
    fixture.start(recorded);
    auto large = declared(2);
    large["comment"] = std::string(1024 * 1024, 'c');
    fixture.store_.holdChanges("config");
    fixture.store_.swallowCopies();
    fixture.store_.put("config", "main", large);
    REQUIRE(fixture.store_.heldBytes() > large["comment"].get_ref<const std::string&>().size());
    constexpr std::size_t piece = 1;
    // A further probe is only sent when the one before has ended.
    const auto endProbe = [&](std::size_t bytes) {
        fixture.probe();
        const auto calls = fixture.store_.calls();
        return runUntil(fixture.loop_, [&] {
            fixture.store_.sendHeld(bytes);
            fixture.source_.probe();
            return fixture.store_.calls() > calls;
        });
    };
    REQUIRE(endProbe(piece));
    REQUIRE(fixture.store_.heldBytes() > 0);
    CHECK(recorded.lost_ == 0);
    SECTION("the rest arrives")
    {
        fixture.store_.sendHeld(fixture.store_.heldBytes());
        CHECK(runUntil(fixture.loop_, [&] { return recorded.versions_.back() == 2; }));
    }
    SECTION("nothing more arrives")
    {
        CHECK(runUntil(fixture.loop_, [&] {
            fixture.source_.probe();
            return recorded.lost_ == 3;
        }));
    }
}
