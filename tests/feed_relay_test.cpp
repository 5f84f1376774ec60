// Instances that follow feeds at another instance, over loopback.
#include "platform/wire_names.h"
#include "standin/kept_beliefs.h"
#include "standin/peer_pages.h"
#include "standin/platform_store.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

// A watcher that reads from the store and a follower that reads from the watcher. The follower reaches the store at an
// address of its own.
struct RelayFixture {
    RelayFixture()
    {
        for (auto* store : { &store_, &farStore_ }) {
            store->put("config", "main", declared(1));
            for (const auto* id : { "i-0", "i-1", "i-2" })
                store->put("servers", id, listed({ "127.0.0.1", 7001 }));
        }
        address_ = freeAddress();
        REQUIRE(listener_->listen(address_).empty());
        watcher_.start(watcherSink_, { "e1", { "127.0.0.1", 7000 } }, noPeers_);
        REQUIRE(runUntil(loop_, [this] { return watcherSink_.isComplete(); }));
        peers_.peers_ = { address_ };
        follower_.start(followerSink_, { "e2", { "127.0.0.1", 7002 } }, peers_);
        REQUIRE(runUntil(loop_, [this] { return followerSink_.isComplete(); }));
    }

    asio::io_context loop_;
    SystemClock clock_;
    PlatformStore store_ { loop_ };
    // The store as the follower reaches it. A change is visible here only if the test puts it here as well.
    PlatformStore farStore_ { loop_ };
    NamedPeers noPeers_;
    NamedPeers peers_;
    KeptBeliefs watcherSink_;
    KeptBeliefs followerSink_;
    platform::StoreSource watcher_ { loop_, store_.address(), 300ms };
    platform::StoreSource follower_ { loop_, farStore_.address(), 300ms };
    PeerPages pages_ { watcher_ };
    std::unique_ptr<CallerListener> listener_ = std::make_unique<CallerListener>(loop_, pages_, clock_);
    SocketAddress address_;
};

}

// A watcher once passed such entries on as they were: what ended it or stopped its feed did the same to its followers.
TEST_CASE("a follower gets later changes although an entry of another writer cannot be read", "[feed-relay][odd-entries]")
{
    RelayFixture fixture;
    const auto spec = GENERATE(std::string(200'000, '[') + std::string(200'000, ']'), std::string("{\"status\":{\"cold_left_s\":1e400}}"), std::string("{\"info\":{\"zone\":\"\\ud83d\"}}"), std::string("\"\xff\""));
    CAPTURE(spec.substr(0, 40));
    fixture.store_.putText("servers", "i-other", spec);
    fixture.store_.remove("servers", "i-0");
    CHECK(runUntil(fixture.loop_, [&] { return !fixture.followerSink_.upstreams_.contains("i-0"); }));
    CHECK(fixture.followerSink_.unreadable_ > 0);
    CHECK(fixture.watcherSink_.lost_ == 0);
    CHECK(fixture.followerSink_.lost_ == 0);
}

TEST_CASE("a follower receives every change from its watcher without calling the store", "[feed-relay]")
{
    RelayFixture fixture;
    const auto calls = fixture.follower_.calls();
    CHECK(fixture.followerSink_.follows_.at(Feed::Upstreams) == fixture.address_);
    fixture.store_.put("config", "main", declared(2));
    fixture.store_.remove("servers", "i-1");
    fixture.store_.put("servers", "i-9", listed({ "127.0.0.1", 7009 }));
    fixture.store_.put("evacuations", "north-a", {});
    REQUIRE(runUntil(fixture.loop_, [&] {
        const auto& recorded = fixture.followerSink_;
        return recorded.versions_.back() == 2 && recorded.evacuated_.contains("north-a") && recorded.upstreams_ == std::set<std::string> { "i-0", "i-2", "i-9" };
    }));
    fixture.store_.remove("evacuations", "north-a");
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.followerSink_.evacuated_.empty(); }));
    CHECK(fixture.follower_.calls() == calls);
    CHECK(fixture.followerSink_.lost_ == 0);
    CHECK(fixture.follower_.position(Feed::Declaration) == fixture.watcher_.position(Feed::Declaration));
}

TEST_CASE("a follower whose watcher loses the store reads from the store directly", "[feed-relay]")
{
    RelayFixture fixture;
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.pages_.asked_ >= 6 && fixture.store_.watches() == 3; }));
    fixture.farStore_.put("config", "main", declared(5));
    fixture.store_.setMood(StoreMood::Busy);
    fixture.store_.cutWatches();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.followerSink_.versions_.back() == 5; }));
    CHECK(fixture.followerSink_.follows_.at(Feed::Declaration) == std::nullopt);
}

TEST_CASE("a follower whose watcher stops misses no change", "[feed-relay]")
{
    RelayFixture fixture;
    const bool isCut = GENERATE(true, false);
    CAPTURE(isCut);
    fixture.farStore_.put("config", "main", declared(5));
    fixture.farStore_.remove("servers", "i-2");
    if (isCut)
        fixture.listener_.reset();
    fixture.peers_.peers_.clear();
    if (!isCut)
        fixture.store_.put("servers", "i-3", listed({ "127.0.0.1", 7003 }));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.followerSink_.versions_.back() == 5 && !fixture.followerSink_.upstreams_.contains("i-2"); }));
}

TEST_CASE("a follower that lags behind reads from the store, then returns to its watcher", "[feed-relay]")
{
    RelayFixture fixture;
    // The follower's watches at the watcher, and the watcher's three at the store.
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.pages_.asked_ >= 6 && fixture.store_.watches() == 3; }));
    fixture.farStore_.put("config", "main", declared(5));
    fixture.follower_.reconnect(Feed::Declaration, {});
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.followerSink_.versions_.back() == 5; }));
    CHECK(fixture.followerSink_.follows_.at(Feed::Declaration) == std::nullopt);
    for (int version = 6; version < 10; ++version) {
        fixture.farStore_.put("config", "main", declared(version));
        REQUIRE(runUntil(fixture.loop_, [&] { return fixture.followerSink_.versions_.back() == static_cast<std::uint64_t>(version) || fixture.followerSink_.follows_.at(Feed::Declaration); }));
    }
    CHECK(runUntil(fixture.loop_, [&] { return fixture.followerSink_.follows_.at(Feed::Declaration) == fixture.address_; }));
}

TEST_CASE("a watcher that lags behind refuses its followers until the store answers it again", "[feed-relay]")
{
    RelayFixture fixture;
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.pages_.asked_ >= 6 && fixture.store_.watches() == 3; }));
    fixture.farStore_.put("config", "main", declared(5));
    fixture.store_.swallowWatches("config", 1);
    fixture.watcher_.reconnect(Feed::Declaration, {});
    CHECK(runUntil(fixture.loop_, [&] { return fixture.followerSink_.versions_.back() == 5; }));
    CHECK(fixture.followerSink_.lost_ == 0);
}

TEST_CASE("a watcher that is behind the follower's position brings nothing back", "[feed-relay]")
{
    RelayFixture fixture;
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.pages_.asked_ >= 6 && fixture.store_.watches() == 3; }));
    // The follower reads from the store and receives changes that its watcher has not received.
    fixture.peers_.peers_.clear();
    for (int number = 0; number < 20; ++number)
        fixture.farStore_.put("servers", "i-2", listed({ "127.0.0.1", static_cast<std::uint16_t>(7100 + number) }));
    fixture.farStore_.remove("servers", "i-1");
    fixture.follower_.reconnect(Feed::Upstreams, {});
    REQUIRE(runUntil(fixture.loop_, [&] { return !fixture.followerSink_.upstreams_.contains("i-1"); }));
    REQUIRE(fixture.follower_.position(Feed::Upstreams).current_ > fixture.watcher_.position(Feed::Upstreams).current_);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.farStore_.watches() == 3; }));
    // The follower's watch there is cut, so that it turns to the watcher.
    const auto asked = fixture.pages_.asked_;
    const auto known = fixture.follower_.position(Feed::Upstreams).current_;
    fixture.peers_.peers_ = { fixture.address_ };
    fixture.farStore_.cutWatches();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.pages_.asked_ > asked + 3 && fixture.followerSink_.follows_.at(Feed::Upstreams) == fixture.address_; }));
    // A change at the watcher with a lower revision than the follower has seen.
    fixture.store_.put("servers", "i-1", listed({ "127.0.0.1", 7001 }));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.watcher_.position(Feed::Upstreams).current_.number_ == static_cast<std::uint64_t>(fixture.store_.revision()); }));
    const auto after = fixture.pages_.asked_;
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.pages_.asked_ > after; }));
    CHECK_FALSE(fixture.followerSink_.upstreams_.contains("i-1"));
    CHECK(fixture.followerSink_.everListed_.count("i-1") == 1);
    CHECK(fixture.follower_.position(Feed::Upstreams).current_ == known);
}

TEST_CASE("a follower whose revision is no longer in the history has to list again", "[feed-relay]")
{
    asio::io_context loop;
    platform::ObjectMirror mirror(loop);
    std::vector<HttpResponse> answers;
    const auto ask = [&](const std::string& query) { return mirror.answer(query, {}, [&](HttpResponse response) { answers.push_back(std::move(response)); }); };
    ask("");
    REQUIRE(answers.size() == 1);
    CHECK(answers.back().result_int() == 503);
    mirror.replace({ { "a", "{}" } }, 100);
    mirror.setLive(true);
    for (std::int64_t revision = 101; revision < 500; ++revision)
        mirror.apply({ { "a", "{\"n\":1}", false } }, revision);
    ask("watch=100&wait_ms=1000");
    CHECK(answers.back().result_int() == 410);
    ask("watch=498&wait_ms=1000");
    CHECK(answers.back().body() == R"({"events":[{"deleted":false,"object":{"n":1}}],"current_rev":499})");
    ask("");
    CHECK(answers.back().body() == R"({"items":[{"n":1}],"more":false,"current_rev":499})");
    SECTION("a waiting watch is answered without changes after its wait time")
    {
        ask("watch=499&wait_ms=5");
        REQUIRE(runUntil(loop, [&] { return answers.size() == 5; }));
        CHECK(answers.back().body() == R"({"events":[],"current_rev":499})");
    }
    SECTION("a cancelled watch gets no answer, a waiting one is refused when the store is lost")
    {
        const auto leaving = ask("watch=499&wait_ms=20000");
        const auto staying = ask("watch=499&wait_ms=20000");
        leaving->cancel();
        mirror.setLive(false);
        REQUIRE(answers.size() == 5);
        CHECK(answers.back().result_int() == 503);
    }
    SECTION("differences in a new list are reported as changes")
    {
        mirror.replace({ { "b", "{\"n\":2}" } }, 600);
        ask("watch=499&wait_ms=1000");
        CHECK(answers.back().body() == R"({"events":[{"deleted":true,"object":{"n":1}},{"deleted":false,"object":{"n":2}}],"current_rev":600})");
    }
    SECTION("a query with an invalid watch revision is answered as a list")
    {
        ask("watch=abc");
        CHECK(answers.back().result_int() == 200);
        CHECK(answers.back().body().starts_with("{\"items\""));
    }
}

// The watcher has noticed a restore of the store; the follower learns of it only from the watcher. The revision that the
// follower knows has been given out again for another change.
TEST_CASE("a follower lists anew after its watcher has noticed a restore", "[feed-relay][store-restore]")
{
    RelayFixture fixture;
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.pages_.asked_ >= 6 && fixture.store_.watches() == 3; }));
    const auto calls = fixture.follower_.calls();
    fixture.store_.copy();
    fixture.store_.put("servers", "i-9", listed({ "127.0.0.1", 7009 }));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.followerSink_.upstreams_.contains("i-9"); }));
    const auto known = fixture.follower_.position(Feed::Upstreams).current_;
    fixture.store_.restore();
    fixture.store_.remove("servers", "i-1");
    REQUIRE(static_cast<std::uint64_t>(fixture.store_.revision()) == known.number_);
    CHECK(runUntil(fixture.loop_, [&] { return fixture.followerSink_.upstreams_ == std::set<std::string> { "i-0", "i-2" }; }));
    CHECK(fixture.follower_.position(Feed::Upstreams).current_ == StoreRevision { known.era_ + 1, known.number_ });
    // One call of its own at most: it writes its entry again.
    CHECK(fixture.follower_.calls() <= calls + 1);
    CHECK(fixture.followerSink_.eras_.size() == 3);
}

// The follower has noticed the restore itself, its watcher has not: what the watcher says is stale.
TEST_CASE("a follower does not go back to an older era of its watcher", "[feed-relay][store-restore]")
{
    RelayFixture fixture;
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.pages_.asked_ >= 6 && fixture.store_.watches() == 3; }));
    fixture.farStore_.copy();
    fixture.farStore_.restore();
    fixture.farStore_.put("config", "main", declared(5));
    fixture.follower_.reconnect(Feed::Declaration, { fixture.farStore_.era(), 1 });
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.followerSink_.versions_.back() == 5; }));
    fixture.store_.put("config", "main", declared(4));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.watcherSink_.versions_.back() == 4; }));
    fixture.farStore_.put("config", "main", declared(6));
    CHECK(runUntil(fixture.loop_, [&] { return fixture.followerSink_.versions_.back() == 6; }));
    CHECK(std::count(fixture.followerSink_.versions_.begin(), fixture.followerSink_.versions_.end(), 4U) == 0);
    CHECK(fixture.follower_.position(Feed::Declaration).current_.era_ == fixture.farStore_.era());
}

TEST_CASE("an era that the store does not confirm costs one list", "[feed-relay][store-restore]")
{
    RelayFixture fixture;
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.pages_.asked_ >= 6 && fixture.store_.watches() == 3; }));
    const auto calls = fixture.watcher_.calls();
    fixture.watcher_.reconnect(Feed::Declaration, { 1'000'000, 1 });
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.watches() == 3; }));
    fixture.store_.put("config", "main", declared(2));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.watcherSink_.versions_.back() == 2; }));
    CHECK(fixture.watcher_.calls() <= calls + 3);
    CHECK(fixture.watcherSink_.eras_.empty());
}

// An instance of a build that knows no eras answers without them.
TEST_CASE("stores and instances that name no era are followed as before", "[feed-relay][store-restore]")
{
    asio::io_context loop;
    PlatformStore store(loop);
    store.hideEra();
    store.put("config", "main", declared(1));
    KeptBeliefs recorded;
    const NamedPeers peers;
    platform::StoreSource source(loop, store.address(), 300ms);
    source.start(recorded, { "e1", { "127.0.0.1", 7000 } }, peers);
    REQUIRE(runUntil(loop, [&] { return recorded.isComplete() && store.watches() == 3; }));
    store.put("config", "main", declared(2));
    CHECK(runUntil(loop, [&] { return recorded.versions_.back() == 2; }));
    CHECK(source.position(Feed::Declaration).current_.era_ == 0);
    source.stop();
}

// On a day of 195 instances a third of them lost the store. Followers of two watchers that both refused them went on from
// peer to peer for 4 s, listed all objects at each, and sent requests to upstreams that had left.
TEST_CASE("a follower whose watchers both refuse it reads from the store next, without a list", "[feed-relay]")
{
    RelayFixture fixture;
    PeerPages secondPages(fixture.watcher_);
    CallerListener second(fixture.loop_, secondPages, fixture.clock_);
    const auto secondAddress = freeAddress();
    REQUIRE(second.listen(secondAddress).empty());
    fixture.peers_.peers_ = { fixture.address_, secondAddress };
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.pages_.asked_ >= 6 && fixture.store_.watches() == 3; }));
    // The follower's position is one of this store, as if both addresses were of the same store.
    for (int i = 0; i < 3; ++i)
        fixture.farStore_.put("servers", "i-2", listed({ "127.0.0.1", 7001 }));
    const auto lists = fixture.farStore_.lists();
    const auto peerLists = fixture.pages_.lists_;
    fixture.store_.setMood(StoreMood::Busy);
    fixture.store_.cutWatches();
    fixture.farStore_.remove("servers", "i-1");
    CHECK(runUntil(fixture.loop_, [&] { return !fixture.followerSink_.upstreams_.contains("i-1"); }));
    CHECK(fixture.followerSink_.follows_.at(Feed::Upstreams) == std::nullopt);
    CHECK(fixture.pages_.lists_ == peerLists);
    CHECK(secondPages.lists_ == 0);
    // One refused watch of each feed.
    CHECK(secondPages.asked_ <= 3);
    CHECK(fixture.farStore_.lists() == lists);
    CHECK(runUntil(fixture.loop_, [&] { return fixture.followerSink_.regained_ >= 3; }));
}

// The same revisions go back without a newer era, as at a server that lags: its list must not replace newer objects.
TEST_CASE("a list that is older than the feed's position is rejected", "[feed-relay]")
{
    asio::io_context loop;
    PlatformStore store(loop);
    store.hideEra();
    store.put("config", "main", declared(1));
    store.put("servers", "i-0", listed({ "127.0.0.1", 7001 }));
    store.put("servers", "i-1", listed({ "127.0.0.1", 7001 }));
    KeptBeliefs recorded;
    const NamedPeers peers;
    platform::StoreSource source(loop, store.address(), 300ms);
    source.start(recorded, { "e1", { "127.0.0.1", 7000 } }, peers);
    REQUIRE(runUntil(loop, [&] { return recorded.isComplete() && store.watches() == 3; }));
    store.copy();
    store.remove("servers", "i-1");
    REQUIRE(runUntil(loop, [&] { return !recorded.upstreams_.contains("i-1") && store.watches() == 3; }));
    const auto known = source.position(Feed::Upstreams).current_;
    const auto lists = store.lists();
    store.restore();
    REQUIRE(runUntil(loop, [&] { return recorded.lost_ > 0 && store.lists() > lists; }));
    CHECK_FALSE(recorded.upstreams_.contains("i-1"));
    CHECK(recorded.everListed_.count("i-1") == 1);
    CHECK(source.position(Feed::Upstreams).current_ == known);
    source.stop();
}
