// FeedSourceSelector, FeedProgress and ChangeHistory.
#include "gateway/feeds/change_history.h"
#include "gateway/feeds/feed_source_selector.h"
#include "standin/kept_beliefs.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace sapphirepass::standin;

TEST_CASE("a feed fails over from peer to peer to the platform and back after consecutive answers", "[feed-source-selector]")
{
    NamedPeers peers;
    const SocketAddress a { "127.0.0.1", 1 };
    const SocketAddress b { "127.0.0.1", 2 };
    peers.peers_ = { a, b };
    FeedSourceSelector route(peers);
    CHECK(route.current() == a);
    route.noteFailure();
    CHECK(route.current() == b);
    route.noteFailure();
    CHECK(route.current() == std::nullopt);
    SECTION("a failure of the platform leads back to the first peer")
    {
        route.noteFailure();
        CHECK(route.current() == a);
    }
    SECTION("consecutive answers lead back; a failure resets the count")
    {
        for (int answer = 0; answer < 3; ++answer)
            route.noteAnswer();
        CHECK(route.current() == std::nullopt);
        route.noteFailure();
        for (int answer = 0; answer < 3; ++answer)
            route.noteAnswer();
        route.noteFailure();
        CHECK(route.current() == b);
        for (int answer = 0; answer < 4; ++answer)
            route.noteAnswer();
        CHECK(route.current() == a);
    }
    SECTION("without peers the feed always reads from the platform")
    {
        peers.peers_.clear();
        for (int failure = 0; failure < 4; ++failure) {
            CHECK(route.current() == std::nullopt);
            route.noteFailure();
        }
    }
    SECTION("it can be switched to the platform directly")
    {
        route.noteFailure();
        route.switchToPlatform();
        CHECK(route.current() == std::nullopt);
    }
}

TEST_CASE("the position of a feed never decreases", "[feed-source-selector]")
{
    FeedProgress progress;
    CHECK(progress.advanceTo(10));
    progress.noteChange(8);
    progress.noteChange(3);
    CHECK(progress.advanceTo(10));
    CHECK_FALSE(progress.advanceTo(9));
    CHECK(progress.position() == FeedPosition { { 0, 8 }, { 0, 10 } });
}

TEST_CASE("a follower that applies all changes has the same objects", "[feed-source-selector]")
{
    rc::prop("any lists and changes, fetched at any time", [] {
        ChangeHistory history;
        ChangeHistory::Objects followed;
        std::int64_t seen = 0;
        std::int64_t revision = 1;
        history.replace({}, revision);
        for (int step = 0; step < 300; ++step) {
            revision += *rc::gen::inRange(1, 3);
            const auto name = std::string(1, *rc::gen::inRange('a', 'f'));
            if (*rc::gen::inRange(0, 10) == 0) {
                auto objects = history.objects();
                objects.erase(name);
                objects["new"] = std::to_string(revision);
                history.replace(objects, revision);
            } else {
                history.apply({ { name, std::to_string(revision), *rc::gen::arbitrary<bool>() } }, revision);
            }
            if (*rc::gen::inRange(0, 4) != 0)
                continue;
            if (!history.hasChangesSince(seen)) {
                followed = history.objects();
            } else {
                for (const auto& change : history.after(seen)) {
                    if (change.isDeleted_)
                        followed.erase(change.name_);
                    else
                        followed[change.name_] = change.object_;
                }
            }
            seen = history.revision();
            RC_ASSERT(followed == history.objects());
        }
    });
}

TEST_CASE("a history stays within its memory bound and reports which changes it no longer has", "[feed-source-selector]")
{
    ChangeHistory history;
    history.replace({ { "a", "" } }, 1);
    const std::string large(100'000, 'x');
    for (std::int64_t revision = 2; revision < 40; ++revision)
        history.apply({ { "a", large, false } }, revision);
    CHECK_FALSE(history.hasChangesSince(1));
    std::size_t kept = 0;
    for (const auto& change : history.after(1))
        kept += change.object_.size();
    CHECK(kept <= 1024 * 1024);
    CHECK(kept > 500'000);
}
