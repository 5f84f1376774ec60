// What an upstream has said about itself stays with its start, through removal and return of its entry.
#include "gateway/upstreams/notice_recorder.h"
#include "standin/kept_log.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

auto entry(std::int64_t start, std::int64_t sequence) -> UpstreamEntry
{
    return { "a", start, "core", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s, sequence };
}

struct Fixture {
    Fixture() { names_.leaving_ = "Leaving"; }

    auto current() const -> UpstreamPtr { return upstreams_.byId().at("a"); }
    auto receiveLeaving(Upstream& upstream) -> void
    {
        UpstreamResponse response;
        response.set("Leaving", "1");
        recorder_.record(upstream, response, std::nullopt);
    }
    auto receivePause(Upstream& upstream) -> void
    {
        UpstreamResponse response;
        response.result(503);
        response.set(http::field::retry_after, "5");
        recorder_.record(upstream, response, std::nullopt);
    }

    ManualClock clock_;
    UpstreamSet upstreams_ { clock_, { { "north-a", "north" } } };
    HeaderNames names_;
    standin::KeptLog log_;
    NoticeRecorder recorder_ { upstreams_, names_, log_ };
};

}

TEST_CASE("a notice that arrives after the entry was removed holds when the same start registers again", "[upstream-start]")
{
    Fixture fixture;
    fixture.upstreams_.put(entry(1, 1));
    const auto held = fixture.current();
    const auto order = GENERATE(as<std::string> {}, "removal, notice, return", "removal, return, notice", "expiry, notice, return");
    CAPTURE(order);
    const auto receiveNotices = [&] {
        fixture.receiveLeaving(*held);
        fixture.receivePause(*held);
    };
    fixture.upstreams_.remove("a", order.starts_with("expiry") ? Duration(2s) : Duration(0s));
    if (order.starts_with("expiry")) {
        fixture.clock_.advance(3s);
        fixture.upstreams_.removeExpired();
    }
    if (order.ends_with("return"))
        receiveNotices();
    fixture.upstreams_.put(entry(1, 2));
    if (order.ends_with("notice"))
        receiveNotices();
    CHECK_FALSE(fixture.upstreams_.isEligible(*fixture.current()));
    CHECK(fixture.upstreams_.pauseLeft(*fixture.current()) == Duration(5s));
    SECTION("but not for a new start under the same id")
    {
        fixture.upstreams_.put(entry(2, 1));
        CHECK(fixture.upstreams_.isEligible(*fixture.current()));
        CHECK(fixture.upstreams_.pauseLeft(*fixture.current()) == Duration(0s));
    }
}

TEST_CASE("a notice holds for its start after another start of the id was listed", "[upstream-start]")
{
    Fixture fixture;
    fixture.upstreams_.put(entry(1, 1));
    fixture.receiveLeaving(*fixture.current());
    fixture.upstreams_.put(entry(2, 1));
    REQUIRE(fixture.upstreams_.isEligible(*fixture.current()));
    fixture.receivePause(*fixture.current());
    fixture.upstreams_.put(entry(1, 2));
    CHECK_FALSE(fixture.upstreams_.isEligible(*fixture.current()));
    CHECK(fixture.upstreams_.pauseLeft(*fixture.current()) == Duration(0s));
    fixture.upstreams_.put(entry(2, 2));
    CHECK(fixture.upstreams_.isEligible(*fixture.current()));
    CHECK(fixture.upstreams_.pauseLeft(*fixture.current()) == Duration(5s));
    fixture.receiveLeaving(*fixture.current());
    fixture.upstreams_.put(entry(1, 3));
    CHECK_FALSE(fixture.upstreams_.isEligible(*fixture.current()));
    fixture.upstreams_.put(entry(2, 3));
    CHECK_FALSE(fixture.upstreams_.isEligible(*fixture.current()));
}
