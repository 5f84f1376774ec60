// One request from its arrival to its final answer, with upstreams whose outcomes the tests decide.
#include "gateway/request_run.h"
#include "standin/kept_log.h"
#include "standin/manual_alarms.h"
#include "standin/scripted_caller.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

const HeaderNames names { "Try-Id", "Left-Ms", "Object", "Key", "Workspace", "Only-At", "Proof", "Not-Run", "Load", "Cold-Ms" };

auto route(const std::string& name, const std::string& prefix, RepeatRule repeat) -> DeclaredRoute
{
    DeclaredRoute result;
    result.name_ = name;
    result.host_ = "shop.example";
    result.prefix_ = prefix;
    result.repeat_ = repeat;
    result.timeout_ = 1s;
    result.latencyTarget_ = 250ms;
    result.maxAttempts_ = 2;
    result.services_ = { { "core", 1 } };
    return result;
}

auto declaration() -> Declaration
{
    Declaration result;
    result.version_ = 3;
    result.routes_ = { route("read", "/read/", RepeatRule::Idempotent), route("order", "/order/", RepeatRule::Once), route("open", "/open/", RepeatRule::Idempotent), route("home", "/home/", RepeatRule::Idempotent), route("deep", "/read/deep/", RepeatRule::Once) };
    result.routes_[2].anonymous_ = true;
    result.routes_[3].homeRegions_ = { "south" };
    result.services_ = { { "core", 100, 3s, 9.2, "" } };
    result.workspaces_ = { { "acme", { "secret" }, std::nullopt, 0, 0, {} }, { "slow", { "rare" }, std::nullopt, 0.001, 0, {} } };
    return result;
}

// No other instance keeps tokens.
class NoPeers final : public RatePeers {
public:
    auto sendAsk(const Coordinator&, const RateAsk&) -> void override { }
};

// Time may go on between two readings, as it does outside of tests.
class FlowingClock final : public Clock {
public:
    explicit FlowingClock(ManualClock& clock)
        : clock_(clock)
    {
    }
    auto now() const -> MonotonicTime override
    {
        clock_.advance(step_);
        return clock_.now();
    }
    auto wallNow() const -> WallTime override { return clock_.wallNow(); }

    Duration step_ {};

private:
    ManualClock& clock_;
};

struct Fixture {
    explicit Fixture(int upstreams = 6)
    {
        context_.index_ = std::make_shared<const DeclarationIndex>(declaration());
        for (int i = 0; i < upstreams; ++i)
            upstreams_.put({ fmt::format("u{}", i), 1, "core", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s });
        // Past the time in which a start spends no retry.
        clock_.advance(20s);
    }

    auto request(const std::string& path, const std::string& key = "secret", http::verb method = http::verb::get) const -> OutgoingRequest
    {
        OutgoingRequest result { method, path, 11 };
        result.set(http::field::host, "shop.example");
        result.set(names.attempt_, "t1");
        result.set(names.deadline_, "2000");
        if (!key.empty())
            result.set(http::field::authorization, "Key " + key);
        return result;
    }

    auto start(const OutgoingRequest& request) -> std::shared_ptr<RequestRun>
    {
        auto run = std::make_shared<RequestRun>(context_, request, [this](UpstreamResponse response) { answers_.push_back(std::move(response)); });
        runs_.push_back(run);
        run->start();
        return run;
    }

    auto success(const std::string& body = "whole") const -> UpstreamResponse
    {
        UpstreamResponse response;
        response.result(200);
        response.set(names.signature_, "p");
        response.body() = body;
        return response;
    }

    auto failure(unsigned status, bool notRun = false) const -> UpstreamResponse
    {
        UpstreamResponse response;
        response.result(status);
        if (notRun)
            response.set(names.notRun_, "1");
        else
            response.set(names.signature_, "p");
        return response;
    }

    auto status() const -> unsigned { return answers_.empty() ? 0 : answers_.back().result_int(); }
    auto calls() const -> std::size_t { return caller_.calls().size(); }

    ManualClock clock_;
    FlowingClock flowing_ { clock_ };
    standin::ManualAlarms alarms_ { clock_ };
    UpstreamSet upstreams_ { flowing_, { { "north-a", "north" } } };
    FleetView fleet_ { clock_, { 2s, 20s }, "self" };
    Placer placer_ { flowing_, upstreams_, fleet_, "north" };
    NoPeers peers_;
    RateGate rates_ { clock_, alarms_, fleet_, peers_, { 5s, 0.1, 0 }, 0 };
    RetryGate retries_ { clock_, fleet_, { 0.2, 64, 10s } };
    CrashRegister crashes_ { clock_, fleet_ };
    SplitCursor split_;
    WorkTimes workTimes_;
    standin::ScriptedCaller caller_;
    standin::KeptLog log_;
    Metrics metrics_;
    RequestContext context_ { flowing_, alarms_, names, nullptr, upstreams_, placer_, rates_, retries_, crashes_, split_, workTimes_, caller_, log_, metrics_ };
    std::vector<UpstreamResponse> answers_;
    std::vector<std::shared_ptr<RequestRun>> runs_;
};

enum class Step { NotSent,
    Cut,
    Garbled,
    NotRun,
    Misdirected,
    Error,
    Unsigned,
    Encoded,
    Success };

auto outcomeOf(const Fixture& fixture, Step step) -> AttemptOutcome
{
    switch (step) {
    case Step::NotSent:
        return AttemptLoss { LossKind::NotSent, "refused" };
    case Step::Cut:
        return AttemptLoss { LossKind::Cut, "reset" };
    case Step::Garbled:
        return AttemptLoss { LossKind::Garbled, "no answer" };
    case Step::NotRun:
        return fixture.failure(503, true);
    case Step::Misdirected:
        return fixture.failure(421);
    case Step::Error:
        return fixture.failure(500);
    case Step::Unsigned: {
        UpstreamResponse response;
        response.result(200);
        return response;
    }
    case Step::Encoded: {
        auto response = fixture.success();
        response.set(http::field::content_encoding, "gzip");
        return response;
    }
    case Step::Success:
        return fixture.success();
    }
    return AttemptLoss {};
}

auto mayHaveRun(Step step) -> bool
{
    return step != Step::NotSent && step != Step::NotRun && step != Step::Misdirected;
}

}

TEST_CASE("outcomes of attempts and what the caller gets", "[request]")
{
    struct Case {
        const char* path_;
        std::vector<Step> steps_;
        std::size_t calls_;
        unsigned status_;
    };
    const auto row = GENERATE(values<Case>({
        { "/read/1", { Step::Success }, 1, 200 },
        { "/order/1", { Step::Success }, 1, 200 },
        // What may have run is sent again only if it may run twice.
        { "/read/1", { Step::Cut, Step::Success }, 2, 200 },
        { "/order/1", { Step::Cut }, 1, 502 },
        { "/read/1", { Step::Garbled, Step::Success }, 2, 200 },
        { "/order/1", { Step::Garbled }, 1, 502 },
        { "/read/1", { Step::Error, Step::Success }, 2, 200 },
        { "/order/1", { Step::Error }, 1, 500 },
        { "/read/1", { Step::Unsigned, Step::Success }, 2, 200 },
        { "/order/1", { Step::Unsigned }, 1, 502 },
        { "/order/1", { Step::Encoded }, 1, 502 },
        // What has not run goes to another upstream, whatever its kind.
        { "/order/1", { Step::NotRun, Step::Success }, 2, 200 },
        { "/order/1", { Step::Misdirected, Step::Success }, 2, 200 },
        { "/order/1", { Step::NotSent, Step::NotSent, Step::NotSent, Step::Success }, 4, 200 },
        { "/order/1", { Step::NotSent, Step::NotSent, Step::NotSent, Step::NotSent }, 4, 503 },
        // No more upstreams than the route allows; a refusal is told only if nothing ran.
        { "/order/1", { Step::NotRun, Step::NotRun }, 2, 503 },
        { "/order/1", { Step::NotRun, Step::Cut }, 2, 502 },
        { "/read/1", { Step::Cut, Step::Cut }, 2, 502 },
        { "/read/1", { Step::Cut, Step::NotRun }, 2, 502 },
        { "/read/1", { Step::Error, Step::Error }, 2, 500 },
    }));
    Fixture fixture;
    // Room for a retry or two.
    for (int i = 0; i < 20; ++i)
        fixture.retries_.noteRequest("core");
    const auto run = fixture.start(fixture.request(row.path_));
    for (const auto step : row.steps_) {
        CHECK(fixture.answers_.empty());
        fixture.caller_.finish(outcomeOf(fixture, step));
    }
    CAPTURE(row.path_, row.status_);
    CHECK(fixture.calls() == row.calls_);
    REQUIRE(fixture.answers_.size() == 1);
    CHECK(fixture.status() == row.status_);
    CHECK(fixture.alarms_.pending() == 0);
}

TEST_CASE("whatever happens, one true answer and at most one run of what may run once", "[request]")
{
    rc::prop("any outcomes", []() {
        const auto raw = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 9));
        const bool once = *rc::gen::arbitrary<bool>();
        Fixture fixture;
        for (int i = 0; i < 20; ++i)
            fixture.retries_.noteRequest("core");
        const auto run = fixture.start(fixture.request(once ? "/order/1" : "/read/1"));
        int runs = 0;
        std::size_t reached = 0;
        for (const int number : raw) {
            if (!fixture.answers_.empty())
                break;
            const auto step = static_cast<Step>(number);
            runs += mayHaveRun(step) ? 1 : 0;
            reached += step == Step::NotSent ? 0 : 1;
            fixture.caller_.finish(outcomeOf(fixture, step));
        }
        RC_ASSERT(fixture.answers_.size() <= 1U);
        RC_ASSERT(reached <= 2U);
        if (once)
            RC_ASSERT(runs <= 1);
        if (fixture.status() == 503 || fixture.status() == 429 || fixture.status() == 421)
            RC_ASSERT(runs == 0);
    });
}

TEST_CASE("requests that are not sent get the answer that says why", "[request]")
{
    Fixture fixture;
    auto request = fixture.request("/read/1");
    unsigned expected = 0;
    SECTION("no declaration yet")
    {
        fixture.context_.index_ = nullptr;
        expected = 503;
    }
    SECTION("no host")
    {
        request.erase(http::field::host);
        expected = 400;
    }
    SECTION("another host")
    {
        request.set(http::field::host, "other.example");
        expected = 404;
    }
    SECTION("no route")
    {
        request.target("/nothing/1");
        expected = 404;
    }
    SECTION("a prefix without its slash")
    {
        request.target("/read");
        expected = 404;
    }
    SECTION("no key")
    {
        request.erase(http::field::authorization);
        expected = 401;
    }
    SECTION("an unknown key")
    {
        request.set(http::field::authorization, "Key wrong");
        expected = 401;
    }
    SECTION("a key of another scheme")
    {
        request.set(http::field::authorization, "Bearer secret");
        expected = 401;
    }
    SECTION("over the rate")
    {
        request.set(http::field::authorization, "Key rare");
        expected = 429;
    }
    SECTION("no time left")
    {
        request.set(names.deadline_, "0");
        expected = 503;
    }
    SECTION("no upstream in its homes")
    {
        request.target("/home/1");
        expected = 503;
    }
    fixture.start(request);
    CHECK(fixture.status() == expected);
    CHECK(fixture.calls() == 0);
    if (expected == 429)
        CHECK(fixture.answers_.back().count(http::field::retry_after) == 1);
}

TEST_CASE("what an upstream is sent", "[request]")
{
    Fixture fixture;
    auto request = fixture.request("/read/deep/x?q=1", "secret", http::verb::post);
    request.set(names.workspace_, "forged");
    request.set(names.expectedUpstream_, "forged");
    request.set(http::field::connection, "close, X-Hop");
    request.set("X-Hop", "1");
    request.set("X-Kept", "2");
    request.set(names.deadline_, "700");
    request.body() = "payload";
    fixture.start(request);
    REQUIRE(fixture.calls() == 1);
    const auto& call = fixture.caller_.calls().front();
    const auto& sent = *call.request_;
    CHECK(sent.method() == http::verb::post);
    CHECK(sent.target() == "/read/deep/x?q=1");
    CHECK(sent.body() == "payload");
    CHECK(sent[names.workspace_] == "acme");
    CHECK(sent[names.expectedUpstream_] == call.upstream_->entry_.id_);
    CHECK(sent[names.attempt_] == "t1");
    CHECK(sent["X-Kept"] == "2");
    CHECK(sent.count("X-Hop") == 0);
    CHECK(sent.count(http::field::authorization) == 0);
    // What is left, never more than the caller has.
    CHECK(std::stoi(std::string(sent[names.deadline_])) <= 700);
    CHECK(std::stoi(std::string(sent[names.deadline_])) >= 600);
}

TEST_CASE("a second attempt is told what is left then", "[request]")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i)
        fixture.retries_.noteRequest("core");
    fixture.start(fixture.request("/read/1"));
    fixture.alarms_.advance(400ms);
    fixture.caller_.finish(AttemptLoss { LossKind::Cut, "reset" });
    REQUIRE(fixture.calls() == 2);
    const auto& calls = fixture.caller_.calls();
    CHECK(std::stoi(std::string((*calls[0].request_)[names.deadline_])) == 1'000);
    CHECK(std::stoi(std::string((*calls[1].request_)[names.deadline_])) == 600);
    CHECK(calls[0].upstream_ != calls[1].upstream_);
    for (const auto& call : calls) {
        CHECK(call.request_->count(http::field::authorization) == 0);
        CHECK((*call.request_)[names.workspace_] == "acme");
    }
}

TEST_CASE("a key on an open route is not passed on", "[request]")
{
    Fixture fixture;
    const std::string key = GENERATE("", "wrong", "secret");
    fixture.start(fixture.request("/open/1", key));
    REQUIRE(fixture.calls() == 1);
    const auto& sent = *fixture.caller_.calls().front().request_;
    CHECK(sent.count(http::field::authorization) == 0);
    CHECK(sent[names.workspace_] == (key == "secret" ? "acme" : ""));
}

TEST_CASE("a caller that leaves ends the attempt and nothing more is sent", "[request]")
{
    Fixture fixture;
    fixture.flowing_.step_ = 1us;
    const auto run = fixture.start(fixture.request("/read/1"));
    const auto upstream = fixture.caller_.calls().front().upstream_;
    CHECK(upstream->inFlight_ == 1);
    run->cancel();
    CHECK(*fixture.caller_.calls().front().isEnded_);
    CHECK(upstream->inFlight_ == 0);
    CHECK(upstream->sentAt_.empty());
    fixture.caller_.finish(AttemptLoss { LossKind::Cut, "reset" });
    fixture.alarms_.advance(10s);
    CHECK(fixture.calls() == 1);
    CHECK(fixture.answers_.empty());
}

TEST_CASE("a request ends at its route's time, and its attempt with it", "[request]")
{
    Fixture fixture;
    fixture.flowing_.step_ = 1us;
    const auto run = fixture.start(fixture.request("/order/1"));
    fixture.alarms_.advance(990ms);
    CHECK(fixture.answers_.empty());
    fixture.alarms_.advance(200ms);
    CHECK(fixture.status() == 504);
    CHECK(*fixture.caller_.calls().front().isEnded_);
    CHECK(fixture.caller_.calls().front().upstream_->inFlight_ == 0);
    CHECK(fixture.caller_.calls().front().upstream_->sentAt_.empty());
}

// Seen on a standard day: a server that had lost power got requests until its connections timed out.
TEST_CASE("an upstream that answers nobody is left alone once a caller or the time gave up", "[request]")
{
    Fixture fixture;
    const auto run = fixture.start(fixture.request("/order/1"));
    const auto upstream = fixture.caller_.calls().front().upstream_;
    const bool leaves = GENERATE(false, true);
    const bool answersOthers = GENERATE(false, true);
    CAPTURE(leaves, answersOthers);
    fixture.alarms_.advance(800ms);
    if (answersOthers)
        fixture.upstreams_.noteLoad(*upstream, { 1, 0, 4 });
    if (leaves)
        run->cancel();
    else
        fixture.alarms_.advance(500ms);
    CHECK((upstream->ejectedUntil_ > fixture.clock_.now()) == !answersOthers);
    CHECK(upstream->failureRate_ > 0);
}

TEST_CASE("a caller that leaves soon says nothing of the upstream", "[request]")
{
    Fixture fixture;
    const auto run = fixture.start(fixture.request("/order/1"));
    fixture.alarms_.advance(50ms);
    run->cancel();
    CHECK(fixture.caller_.calls().front().upstream_->failureRate_ == 0);
}

TEST_CASE("a manifest change does not touch requests under way", "[request]")
{
    Fixture fixture;
    const auto run = fixture.start(fixture.request("/order/1"));
    auto without = declaration();
    without.version_ = 4;
    without.routes_.clear();
    fixture.context_.index_ = std::make_shared<const DeclarationIndex>(without);
    fixture.caller_.finish(fixture.success());
    CHECK(fixture.status() == 200);
    fixture.start(fixture.request("/order/1"));
    CHECK(fixture.status() == 404);
}

TEST_CASE("an answer is passed on whole, without headers of its connection", "[request]")
{
    Fixture fixture;
    fixture.start(fixture.request("/read/1"));
    auto response = fixture.success("the bytes");
    response.set(http::field::connection, "close");
    response.set(http::field::keep_alive, "timeout=5");
    response.set(http::field::transfer_encoding, "chunked");
    response.set("X-Kept", "1");
    fixture.caller_.finish(response);
    REQUIRE(fixture.answers_.size() == 1);
    const auto& answer = fixture.answers_.front();
    CHECK(answer.body() == "the bytes");
    CHECK(answer[names.signature_] == "p");
    CHECK(answer["X-Kept"] == "1");
    CHECK(answer.count(http::field::connection) == 0);
    CHECK(answer.count(http::field::keep_alive) == 0);
    CHECK(answer.count(http::field::transfer_encoding) == 0);
}

TEST_CASE("a failure that would promise that nothing ran is not passed on unless the upstream says so", "[request]")
{
    const auto status = GENERATE(408U, 429U, 503U);
    Fixture fixture;
    fixture.start(fixture.request("/order/1"));
    fixture.caller_.finish(fixture.failure(status));
    CHECK(fixture.status() == 502);
    CHECK(fixture.answers_.back().count(names.signature_) == 0);
}

TEST_CASE("a request that crashed three upstreams is sent no more", "[request]")
{
    Fixture fixture(12);
    for (int i = 0; i < 200; ++i)
        fixture.retries_.noteRequest("core");
    for (std::size_t attempt = 0; attempt < 6; ++attempt) {
        fixture.start(fixture.request("/read/1"));
        while (fixture.answers_.size() == attempt)
            fixture.caller_.finish(AttemptLoss { LossKind::Cut, "reset" });
    }
    CHECK(fixture.calls() == 3);
    CHECK(fixture.status() == 503);
    // Other requests are not touched.
    fixture.start(fixture.request("/read/2"));
    CHECK(fixture.calls() == 4);
}

TEST_CASE("parts of a split route get exactly their weights", "[request]")
{
    SplitCursor cursor;
    auto split = route("split", "/s/", RepeatRule::Idempotent);
    split.services_ = { { "a", 70 }, { "b", 20 }, { "c", 10 } };
    std::map<std::string, int> counts;
    for (int i = 0; i < 1'000; ++i)
        ++counts[cursor.next(split)];
    CHECK(counts["a"] == 700);
    CHECK(counts["b"] == 200);
    CHECK(counts["c"] == 100);
}
