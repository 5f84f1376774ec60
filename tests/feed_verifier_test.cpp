// When a feed that waits for changes is verified.
#include "gateway/feeds/feed_verifier.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

// The declaration's feed at a revision, the others at 5.
auto at(std::uint64_t number) -> FeedVerifier::Positions
{
    const FeedPosition others { { 1, 5 }, { 1, 5 } };
    return { FeedPosition { { 1, number }, { 1, number } }, others, others };
}

}

TEST_CASE("a feed is verified once the platform is known to be ahead of it for a moment", "[feeds]")
{
    ManualClock clock;
    FeedVerifier verifier(clock);
    const auto feed = Feed::Declaration;
    CHECK_FALSE(verifier.isDue(feed, at(5), { 1, 5 }));
    clock.advance(10s);
    CHECK_FALSE(verifier.isDue(feed, at(5), { 1, 6 }));
    clock.advance(200ms);
    CHECK(verifier.isDue(feed, at(5), { 1, 6 }));
    CHECK_FALSE(verifier.isDue(feed, at(5), { 1, 6 }));
    CHECK(verifier.unverifiedFor(feed) == 200ms);
    SECTION("a change that arrives meanwhile ends it")
    {
        CHECK_FALSE(verifier.isDue(feed, at(6), { 1, 6 }));
        CHECK(verifier.unverifiedFor(feed) == 0ms);
    }
    SECTION("it is verified again until the feed has come so far, at a bounded rate")
    {
        int calls = 0;
        for (int i = 0; i < 100; ++i) {
            clock.advance(100ms);
            calls += verifier.isDue(feed, at(5), { 1, 6 + static_cast<std::uint64_t>(i) }) ? 1 : 0;
        }
        CHECK(calls >= 16);
        CHECK(calls <= 17);
    }
    SECTION("each feed for itself, and a newer era counts as ahead")
    {
        CHECK(verifier.unverifiedFor(Feed::Upstreams) == 0ms);
        CHECK_FALSE(verifier.isDue(Feed::Upstreams, at(5), { 2, 3 }));
        clock.advance(200ms);
        CHECK(verifier.isDue(Feed::Upstreams, at(5), { 2, 3 }));
    }
}

TEST_CASE("a revision that another feed has received needs no verification, one after a gap does", "[feeds]")
{
    ManualClock clock;
    FeedVerifier verifier(clock);
    const auto isDue = [&](std::uint64_t upstreamChange) {
        auto positions = at(5);
        positions[1].lastChange_.number_ = positions[1].current_.number_ = upstreamChange;
        bool due = false;
        for (int i = 0; i < 3; ++i) {
            due = verifier.isDue(Feed::Declaration, positions, { 1, upstreamChange }) || due;
            clock.advance(200ms);
        }
        return due;
    };
    CHECK_FALSE(isDue(6));
    CHECK_FALSE(isDue(7));
    CHECK(isDue(9));
}
