// A store that falls silent while watches wait there: nothing is cut, nothing is refused.
#include "gateway/discovery_state.h"
#include "gateway/source_keepalive.h"
#include "platform/store_source.h"
#include "standin/kept_beliefs.h"
#include "standin/kept_log.h"
#include "standin/platform_store.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

TEST_CASE("a sign of life is asked for after a silence, and not sooner", "[source-pulse]")
{
    ManualClock clock;
    SourceKeepalive pulse(clock);
    std::uint64_t answers = 0;
    SECTION("silent")
    {
        clock.advance(500ms);
        CHECK_FALSE(pulse.isProbeDue(answers));
        clock.advance(100ms);
        CHECK(pulse.isProbeDue(answers));
        CHECK_FALSE(pulse.isProbeDue(answers));
        clock.advance(600ms);
        CHECK(pulse.isProbeDue(answers));
    }
    SECTION("busy")
    {
        for (int i = 0; i < 10; ++i) {
            clock.advance(500ms);
            CHECK_FALSE(pulse.isProbeDue(++answers));
        }
        clock.advance(600ms);
        CHECK(pulse.isProbeDue(answers));
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

    // What the store has been asked and has answered since.
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

TEST_CASE("a store that is away while watches wait is told as lost, and regained when it lives", "[source-pulse]")
{
    Fixture fixture;
    KeptBeliefs beliefs;
    fixture.start(beliefs);
    const auto lists = beliefs.lists_;
    const auto answers = fixture.source_.answers();
    const auto mood = GENERATE(StoreMood::Busy, StoreMood::Silent, StoreMood::Resetting);
    CAPTURE(static_cast<int>(mood));
    fixture.store_.setMood(mood);
    fixture.probe();
    REQUIRE(runUntil(fixture.loop_, [&] { return beliefs.lost_ == 3; }));
    CHECK(fixture.source_.answers() == answers);
    fixture.store_.setMood(StoreMood::Well);
    const auto regained = beliefs.regained_;
    fixture.probe();
    REQUIRE(runUntil(fixture.loop_, [&] { return beliefs.regained_ == regained + 3; }));
    CHECK(fixture.source_.answers() == answers + 1);
    // The watches have gone on.
    CHECK(beliefs.lists_ == lists);
    CHECK(fixture.store_.watches() == 3);
    fixture.store_.put("config", "main", declared(2));
    CHECK(runUntil(fixture.loop_, [&] { return beliefs.versions_.back() == 2; }));
}

TEST_CASE("a probe that succeeds says nothing of a feed that is refused", "[source-pulse]")
{
    Fixture fixture;
    KeptBeliefs beliefs;
    fixture.start(beliefs);
    fixture.store_.setMood(StoreMood::Busy);
    fixture.store_.cutWatches();
    REQUIRE(runUntil(fixture.loop_, [&] { return beliefs.lost_ >= 3; }));
    const auto calls = fixture.store_.calls();
    fixture.source_.probe();
    CHECK(beliefs.regained_ <= 3);
    CHECK(fixture.store_.calls() == calls);
}

TEST_CASE("an instance that knows nothing asks others for what they last heard, and says so when they cannot tell", "[source-pulse]")
{
    Fixture fixture;
    fixture.store_.setMood(StoreMood::Busy);
    // A holder that refuses as well.
    PlatformStore holder(fixture.loop_);
    const bool refuses = GENERATE(true, false);
    holder.put("config", "main", declared(7));
    holder.put("servers", "i-7", listed({ "127.0.0.1", 9000 }));
    holder.setMood(refuses ? StoreMood::Busy : StoreMood::Well);
    fixture.peers_.holders_ = { holder.address() };
    KeptBeliefs beliefs;
    fixture.source_.start(beliefs, { "e1", { "127.0.0.1", 7000 } }, fixture.peers_);
    if (refuses) {
        CHECK(runUntil(fixture.loop_, [&] { return beliefs.refusedByHolders_ >= 3; }));
        CHECK(beliefs.versions_.empty());
        return;
    }
    REQUIRE(runUntil(fixture.loop_, [&] { return beliefs.upstreams_.contains("i-7") && !beliefs.versions_.empty(); }));
    CHECK(beliefs.versions_.back() == 7);
    // The store itself is still lost, and asked again.
    CHECK(beliefs.lost_ >= 3);
    CHECK(beliefs.regained_ == 0);
    const auto asked = holder.calls();
    const auto calls = fixture.store_.calls();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.calls() > calls + 3; }));
    CHECK(holder.calls() <= asked + 3);
}

// Seen in a hunted day: the store was away for six seconds without a watch being cut, all entries lapsed, and each
// instance dropped all upstreams when they were told of it.
TEST_CASE("an entry that lapses in an outage that only a sign of life shows is kept", "[source-pulse]")
{
    Fixture fixture;
    ManualClock clock;
    KeptLog log;
    UpstreamSet upstreams(clock, { { "north-a", "north" } });
    FleetView fleet(clock, { 2s, 20s }, "e1");
    DiscoveryState beliefs(clock, upstreams, fleet, log);
    fixture.start(beliefs);
    REQUIRE(upstreams.size() == 1);
    const bool isProbed = GENERATE(true, false);
    fixture.store_.setMood(StoreMood::Busy);
    if (isProbed) {
        fixture.probe();
        REQUIRE(runUntil(fixture.loop_, [&] {
            clock.advance(1s);
            return beliefs.outageDuration(Feed::Upstreams) > 1s;
        }));
    }
    fixture.store_.setMood(StoreMood::Well);
    fixture.store_.remove("servers", "i-1");
    // Told after the upstreams' change, by another feed.
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.source_.position(Feed::Upstreams).currentRevision_ > fixture.source_.position(Feed::Evacuations).currentRevision_; }));
    // Without the probe nothing tells an outage from calm.
    CHECK(upstreams.size() == (isProbed ? 1U : 0U));
    clock.advance(2300ms);
    upstreams.removeExpired();
    CHECK(upstreams.size() == 0);
}
