// Reading what an upstream says about itself in a response.
#include "gateway/feeds/discovery_state.h"
#include "gateway/upstreams/notice_recorder.h"
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
    result.limit_ = "Limit";
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
    const auto both = readNotice(response(503, "5", "1"), names());
    CHECK(both.isLeaving_);
    CHECK(both.pause_ == 5s);
    CHECK_FALSE(both.isPauseInvalid_);
    CHECK_FALSE(both.limit_.has_value());
    CHECK_FALSE(both.isLimitInvalid_);
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
    DiscoveryState discovery(clock, upstreams, fleet, log, 2s);
    const auto headers = names();
    NoticeRecorder recorder(upstreams, headers, log);
    const UpstreamEntry entry { "a", 1, "core", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s, 1 };
    discovery.upstreamUpdated(entry);
    CHECK(log.lines().back().fields_.at("started") == 1);
    CHECK(log.lines().back().fields_.at("leaving") == false);
    const auto held = upstreams.byId().at("a");
    recorder.record(*held, response(200, "", "1"), std::nullopt);
    CHECK(log.lines().back().fields_.at("listed") == true);
    discovery.upstreamUpdated(entry);
    CHECK(log.lines().back().fields_.at("leaving") == true);
    discovery.upstreamRemoved("a");
    recorder.record(*held, response(503, "2"), std::nullopt);
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
        recorder.record(upstream, response(200, "", "1"), std::nullopt);
    CHECK(upstream.notices_->isLeaving_);
    CHECK(log.count(EventId::UpstreamLeaving) == 1);
    CHECK(log.lines().front().fields_.at("listed") == true);
    recorder.record(upstream, response(503, "2"), std::nullopt);
    CHECK(upstreams.pauseLeft(upstream) == Duration(2s));
    recorder.record(upstream, response(503, "later"), std::nullopt);
    CHECK(log.count(EventId::UpstreamPaused) == 1);
    CHECK(log.count(EventId::UpstreamPauseInvalid) == 1);
    CHECK(upstreams.pauseLeft(upstream) == Duration(2s));
}

TEST_CASE("a limit is read from any response, the lowest of several", "[upstream-limit]")
{
    struct Row {
        std::vector<std::string> texts_;
        std::optional<double> limit_;
        bool isInvalid_;
    };
    const auto row = GENERATE(values<Row>({
        { {}, std::nullopt, false },
        { { "4.9" }, 4.9, false },
        { { " 12\t" }, 12, false },
        { { "0" }, 0, false },
        { { "0.05" }, 0.05, false },
        { { "99999999999999999999999999" }, 1e6, false },
        { { std::string(400, '9') }, 1e6, false },
        { { "7", "3", "5" }, 3, false },
        { { "many", "3" }, 3, true },
        { { "-1" }, std::nullopt, true },
        { { "" }, std::nullopt, true },
        { { "3/s" }, std::nullopt, true },
        { { "1e3" }, std::nullopt, true },
        { { "nan" }, std::nullopt, true },
    }));
    CAPTURE(row.texts_);
    for (const unsigned status : { 200U, 404U, 429U, 500U, 503U }) {
        auto named = response(status, "");
        for (const auto& text : row.texts_)
            named.insert("Limit", text);
        const auto notice = readNotice(named, names());
        CHECK(notice.limit_ == row.limit_);
        CHECK(notice.isLimitInvalid_ == row.isInvalid_);
    }
}

TEST_CASE("a limit rises, falls and ends by the latest request, and only for its start", "[upstream-limit]")
{
    ManualClock clock;
    UpstreamSet upstreams(clock, {});
    standin::KeptLog log;
    const auto headers = names();
    NoticeRecorder recorder(upstreams, headers, log);
    const auto listedAs = [&](std::int64_t start) { upstreams.put({ "a", start, "core", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s, 1 }); };
    const auto current = [&] { return upstreams.byId().at("a"); };
    const auto limit = [&] { return current()->notices_->limit_.perSecond_; };
    const auto receive = [&](const std::string& text, Duration sentAfter) {
        auto named = response(200, "");
        if (!text.empty())
            named.set("Limit", text);
        recorder.record(*current(), named, clock.now() + sentAfter);
    };
    listedAs(1);
    receive("", 0s);
    CHECK(log.count(EventId::UpstreamLimitChanged) == 0);
    receive("4.9", 1s);
    CHECK(limit() == 4.9);
    CHECK(log.lines().back().fields_.at("per_s") == 4.9);
    receive("1.5", 2s);
    CHECK(limit() == 1.5);
    SECTION("a late response brings no old limit back")
    {
        receive("4.9", 1500ms);
        CHECK(limit() == 1.5);
        receive("", 1500ms);
        CHECK(limit() == 1.5);
    }
    SECTION("a response to an unknown request tells nothing")
    {
        recorder.record(*current(), response(200, ""), std::nullopt);
        CHECK(limit() == 1.5);
    }
    SECTION("a limit that can't be read changes nothing")
    {
        receive("some", 3s);
        CHECK(limit() == 1.5);
        CHECK(log.count(EventId::UpstreamLimitInvalid) == 1);
    }
    SECTION("another upstream's response tells nothing")
    {
        recorder.record(*current(), response(421, ""), clock.now() + 3s);
        CHECK(limit() == 1.5);
    }
    SECTION("a response without one ends it, once")
    {
        receive("", 3s);
        receive("", 4s);
        CHECK(limit() == std::nullopt);
        CHECK(log.count(EventId::UpstreamLimitChanged) == 3);
        CHECK_FALSE(log.lines().back().fields_.contains("per_s"));
        CHECK(upstreams.limitedCount() == 0);
    }
    SECTION("removal and return of the entry keep it")
    {
        upstreams.remove("a", 0s);
        listedAs(1);
        CHECK(limit() == 1.5);
        CHECK(upstreams.limitedCount() == 1);
    }
    SECTION("a new start has none")
    {
        listedAs(2);
        CHECK(limit() == std::nullopt);
    }
}
