// Reading what an upstream says about itself in a response.
#include "gateway/discovery_state.h"
#include "gateway/notice_recorder.h"
#include "standin/kept_log.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

auto names() -> HeaderNames
{
    HeaderNames result;
    result.leaving_ = "Leaving";
    return result;
}

auto response(unsigned status, const std::string& retryAfter, const std::string& leaving = "") -> UpstreamResponse
{
    UpstreamResponse result;
    result.result(status);
    if (!retryAfter.empty())
        result.set(http::field::retry_after, retryAfter);
    if (!leaving.empty())
        result.set("Leaving", leaving);
    return result;
}

}

TEST_CASE("a pause is read from 503 and bounded at both ends", "[upstream-notice]")
{
    struct Row {
        std::string text_;
        std::optional<Duration> pause_;
        bool isInvalid_;
    };
    const auto row = GENERATE(values<Row>({
        { "2", 2s, false },
        { "0.25", 250ms, false },
        { " 1.5\t", 1500ms, false },
        { "0", std::nullopt, false },
        { "0.0", std::nullopt, false },
        { "600", 600s, false },
        { "601", 10min, false },
        { "99999999999999999999999999", 10min, false },
        { std::string(400, '9'), 10min, false },
        { "-1", std::nullopt, true },
        { "-0", std::nullopt, true },
        { "soon", std::nullopt, true },
        { "1s", std::nullopt, true },
        { "1e3", std::nullopt, true },
        { "nan", std::nullopt, true },
        { "inf", 10min, false },
        { " ", std::nullopt, true },
        { "Fri, 04 Dec 2026 08:00:00 GMT", std::nullopt, true },
    }));
    CAPTURE(row.text_);
    const auto notice = readNotice(response(503, row.text_), names());
    CHECK(notice.pause_ == row.pause_);
    CHECK(notice.isPauseInvalid_ == row.isInvalid_);
    CHECK_FALSE(notice.isLeaving_);
}

TEST_CASE("only 503 asks for a pause, and another upstream's response says nothing", "[upstream-notice]")
{
    for (const unsigned status : { 200U, 404U, 429U, 500U, 504U }) {
        CAPTURE(status);
        CHECK(readNotice(response(status, "5"), names()) == UpstreamNotice {});
        CHECK(readNotice(response(status, "", "1"), names()).isLeaving_);
    }
    CHECK(readNotice(response(503, "5", "1"), names()) == UpstreamNotice { true, 5s, false });
    CHECK(readNotice(response(421, "5", "1"), names()) == UpstreamNotice {});
    CHECK_FALSE(readNotice(response(200, "", "0"), names()).isLeaving_);
    CHECK_FALSE(readNotice(response(200, "", "yes"), names()).isLeaving_);
}

TEST_CASE("the log tells whether an upstream was still listed when it said that it leaves, and whether a listed one has said so", "[upstream-notice]")
{
    ManualClock clock;
    UpstreamSet upstreams(clock, {});
    FleetView fleet(clock, { 2s, 20s }, "self");
    standin::KeptLog log;
    DiscoveryState discovery(clock, upstreams, fleet, log);
    const auto headers = names();
    NoticeRecorder recorder(upstreams, headers, log);
    const UpstreamEntry entry { "a", 1, "core", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s, 1 };
    discovery.upstreamUpdated(entry);
    CHECK(log.lines().back().fields_.at("started") == 1);
    CHECK(log.lines().back().fields_.at("leaving") == false);
    const auto held = upstreams.byId().at("a");
    recorder.record(*held, response(200, "", "1"));
    CHECK(log.lines().back().fields_.at("listed") == true);
    discovery.upstreamUpdated(entry);
    CHECK(log.lines().back().fields_.at("leaving") == true);
    discovery.upstreamRemoved("a");
    recorder.record(*held, response(503, "2"));
    CHECK(log.lines().back().fields_.at("listed") == false);
}

TEST_CASE("notices are logged once for a leaving upstream and once for each pause", "[upstream-notice]")
{
    ManualClock clock;
    UpstreamSet upstreams(clock, {});
    standin::KeptLog log;
    const auto headers = names();
    NoticeRecorder recorder(upstreams, headers, log);
    Upstream upstream;
    for (int i = 0; i < 3; ++i)
        recorder.record(upstream, response(200, "", "1"));
    CHECK(upstream.notices_->isLeaving_);
    CHECK(log.count(EventId::UpstreamLeaving) == 1);
    CHECK(log.lines().front().fields_.at("listed") == true);
    recorder.record(upstream, response(503, "2"));
    CHECK(upstreams.pauseLeft(upstream) == Duration(2s));
    recorder.record(upstream, response(503, "later"));
    CHECK(log.count(EventId::UpstreamPaused) == 1);
    CHECK(log.count(EventId::UpstreamPauseInvalid) == 1);
    CHECK(upstreams.pauseLeft(upstream) == Duration(2s));
}
