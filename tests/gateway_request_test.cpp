// Tests of a request from its arrival to its final response, with scripted outcomes of attempts.
#include "gateway/requests/request_handler.h"
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

const HeaderNames names { "Try-Id", "Left-Ms", "Object", "Key", "Workspace", "Only-At", "Proof", "Not-Run", "Load", "Cold-Ms", "Leaving", "Limit" };

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
    result.workspaces_ = { { "acme", { "secret" }, std::nullopt, 0, 0, {} }, { "slow", { "rare" }, std::nullopt, 0.001, 0, {} }, { "burst", { "few" }, std::nullopt, 0.001, 12, {} } };
    return result;
}

// There are no other instances to request tokens from.
class NoAskSender final : public RateAskSender {
public:
    auto sendAsk(const Coordinator&, const RateAsk&) -> void override { }
};

// Keeps token requests for upstreams, for the test to answer.
class KeptLimitAsks final : public LimitAskSender {
public:
    auto sendLimitAsk(const Coordinator&, const LimitAsk& ask) -> void override { asks_.push_back(ask); }

    std::vector<LimitAsk> asks_;
};

// Advances between two readings, as a real clock does.
class AdvancingClock final : public Clock {
public:
    explicit AdvancingClock(ManualClock& clock)
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

// Places like the base class, and adds the test's estimates to the result.
class EstimatingPlacer final : public Placer {
public:
    using Placer::Placer;

    auto place(const PlacementQuery& query) -> PlacementResult override
    {
        auto result = Placer::place(query);
        auto* placement = std::get_if<Placement>(&result);
        if (placement == nullptr || !expectedWait_)
            return result;
        placement->isEstimated_ = true;
        placement->expectedWait_ = *expectedWait_;
        placement->expectedRun_ = 400ms;
        placement->isRunLearned_ = isRunLearned_;
        return result;
    }

    std::optional<Duration> expectedWait_;
    bool isRunLearned_ = true;
};

struct Fixture {
    explicit Fixture(int upstreams = 6)
    {
        context_.index_ = std::make_shared<const DeclarationIndex>(declaration());
        for (int i = 0; i < upstreams; ++i)
            upstreams_.put({ fmt::format("u{}", i), 1, "core", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s });
        // Past the time after a start in which there is no slack for retries.
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

    auto start(const OutgoingRequest& request) -> std::shared_ptr<RequestHandler>
    {
        auto handler = std::make_shared<RequestHandler>(context_, request, [this](UpstreamResponse response) { answers_.push_back(std::move(response)); });
        handlers_.push_back(handler);
        handler->start();
        return handler;
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
            response.set(names.notExecuted_, "1");
        else
            response.set(names.signature_, "p");
        return response;
    }

    // The upstream has just named a limit.
    auto limit(const std::string& id, double perSecond) -> void { upstreams_.recordLimit(*upstreams_.byId().at(id), { perSecond, clock_.now() }); }
    auto addMember(const std::string& name) -> void
    {
        MemberReport report;
        report.name_ = name;
        report.phase_ = MemberPhase::Ready;
        fleet_.updateMember(report);
    }
    // Another instance coordinates all upstreams, as this one is not ready.
    auto addCoordinator() -> void { addMember("e2"); }
    auto grantLastAsk(std::uint16_t granted) -> void
    {
        const auto ask = limitAsks_.asks_.back();
        limits_.onGrant({ { ask.ask_.number_, ask.ask_.bucket_, granted, 300ms }, ask.notice_ });
    }

    auto status() const -> unsigned { return answers_.empty() ? 0 : answers_.back().result_int(); }
    auto calls() const -> std::size_t { return caller_.calls().size(); }

    ManualClock clock_;
    AdvancingClock advancing_ { clock_ };
    standin::ManualAlarms alarms_ { clock_ };
    UpstreamSet upstreams_ { advancing_, { { "north-a", "north" }, { "north-b", "north" } } };
    FleetView fleet_ { clock_, { 2s, 20s }, "self" };
    EstimatingPlacer placer_ { advancing_, upstreams_, fleet_, "north" };
    NoAskSender askSender_;
    KeptLimitAsks limitAsks_;
    UpstreamLimiter limits_ { clock_, alarms_, fleet_, upstreams_, limitAsks_, log_, 1 };
    RateLimiter rates_ { clock_, alarms_, fleet_, askSender_, { 5s, 0.1, 0 }, 0 };
    RetryLimiter retries_ { clock_, fleet_, { 0.2, 64, 10s } };
    CrashTracker crashes_ { clock_, fleet_ };
    TrafficSplitter split_;
    ResponseTimes workTimes_;
    EndEstimator estimator_ { advancing_, upstreams_ };
    DecayingRunQuantiles runQuantiles_;
    SecondAttemptPolicy secondAttempts_ { clock_, retries_, runQuantiles_ };
    standin::ScriptedCaller caller_;
    standin::KeptLog log_;
    LinkDetector links_ { advancing_, upstreams_ };
    DelegateSelector selector_ { clock_, fleet_, "north", upstreams_.regions() };
    standin::ScriptedDelegates delegates_;
    NoticeRecorder notices_ { upstreams_, names, log_ };
    Metrics metrics_;
    BodyLimiter bodyLimits_ { clock_ };
    RoomGate roomGate_ { clock_, log_, metrics_, 1 };
    LoadExchange exchange_ { clock_, upstreams_, metrics_ };
    RequestContext context_ { advancing_, alarms_, names, "self", nullptr, upstreams_, placer_, rates_, limits_, roomGate_, retries_, crashes_, split_, workTimes_, estimator_, caller_, links_, selector_, delegates_, notices_, exchange_, log_, metrics_, bodyLimits_, secondAttempts_ };
    std::vector<UpstreamResponse> answers_;
    std::vector<std::shared_ptr<RequestHandler>> handlers_;
};

enum class AttemptStep { NotSent,
    ConnectionLost,
    InvalidResponse,
    NotRun,
    Misdirected,
    Error,
    Unsigned,
    Encoded,
    Success };

auto outcomeOf(const Fixture& fixture, AttemptStep step) -> AttemptOutcome
{
    switch (step) {
    case AttemptStep::NotSent:
        return TransportError { TransportErrorKind::NotSent, "refused" };
    case AttemptStep::ConnectionLost:
        return TransportError { TransportErrorKind::ConnectionLost, "reset" };
    case AttemptStep::InvalidResponse:
        return TransportError { TransportErrorKind::InvalidResponse, "no answer" };
    case AttemptStep::NotRun:
        return fixture.failure(503, true);
    case AttemptStep::Misdirected:
        return fixture.failure(421);
    case AttemptStep::Error:
        return fixture.failure(500);
    case AttemptStep::Unsigned: {
        UpstreamResponse response;
        response.result(200);
        return response;
    }
    case AttemptStep::Encoded: {
        auto response = fixture.success();
        response.set(http::field::content_encoding, "gzip");
        return response;
    }
    case AttemptStep::Success:
        return fixture.success();
    }
    return TransportError {};
}

auto mayHaveRun(AttemptStep step) -> bool
{
    return step != AttemptStep::NotSent && step != AttemptStep::NotRun && step != AttemptStep::Misdirected;
}

}

TEST_CASE("the response to the caller follows from the outcomes of the attempts", "[request]")
{
    struct Case {
        const char* path_;
        std::vector<AttemptStep> steps_;
        std::size_t calls_;
        unsigned status_;
    };
    const auto row = GENERATE(values<Case>({
        { "/read/1", { AttemptStep::Success }, 1, 200 },
        { "/order/1", { AttemptStep::Success }, 1, 200 },
        // A request that may have run is retried only if it is idempotent.
        { "/read/1", { AttemptStep::ConnectionLost, AttemptStep::Success }, 2, 200 },
        { "/order/1", { AttemptStep::ConnectionLost }, 1, 502 },
        { "/read/1", { AttemptStep::InvalidResponse, AttemptStep::Success }, 2, 200 },
        { "/order/1", { AttemptStep::InvalidResponse }, 1, 502 },
        { "/read/1", { AttemptStep::Error, AttemptStep::Success }, 2, 200 },
        { "/order/1", { AttemptStep::Error }, 1, 500 },
        { "/read/1", { AttemptStep::Unsigned, AttemptStep::Success }, 2, 200 },
        { "/order/1", { AttemptStep::Unsigned }, 1, 502 },
        { "/order/1", { AttemptStep::Encoded }, 1, 502 },
        // A request that has not run is sent to another upstream even if it may run only once.
        { "/order/1", { AttemptStep::NotRun, AttemptStep::Success }, 2, 200 },
        { "/order/1", { AttemptStep::Misdirected, AttemptStep::Success }, 2, 200 },
        { "/order/1", { AttemptStep::NotSent, AttemptStep::NotSent, AttemptStep::NotSent, AttemptStep::Success }, 4, 200 },
        { "/order/1", { AttemptStep::NotSent, AttemptStep::NotSent, AttemptStep::NotSent, AttemptStep::NotSent }, 4, 503 },
        // No more attempts than the route allows; a refusal is reported only if nothing may have run.
        { "/order/1", { AttemptStep::NotRun, AttemptStep::NotRun }, 2, 503 },
        { "/order/1", { AttemptStep::NotRun, AttemptStep::ConnectionLost }, 2, 502 },
        { "/read/1", { AttemptStep::ConnectionLost, AttemptStep::ConnectionLost }, 2, 502 },
        { "/read/1", { AttemptStep::ConnectionLost, AttemptStep::NotRun }, 2, 502 },
        { "/read/1", { AttemptStep::Error, AttemptStep::Error }, 2, 500 },
    }));
    Fixture fixture;
    // Allow a retry or two.
    for (int i = 0; i < 20; ++i)
        fixture.retries_.countRequest("core");
    const auto handler = fixture.start(fixture.request(row.path_));
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

TEST_CASE("any outcomes lead to at most one correct response and at most one execution of a non-idempotent request", "[request]")
{
    rc::prop("any outcomes", []() {
        const auto raw = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 9));
        const bool once = *rc::gen::arbitrary<bool>();
        Fixture fixture;
        for (int i = 0; i < 20; ++i)
            fixture.retries_.countRequest("core");
        const auto handler = fixture.start(fixture.request(once ? "/order/1" : "/read/1"));
        int runs = 0;
        std::size_t reached = 0;
        for (const int number : raw) {
            if (!fixture.answers_.empty())
                break;
            const auto step = static_cast<AttemptStep>(number);
            runs += mayHaveRun(step) ? 1 : 0;
            reached += step == AttemptStep::NotSent ? 0 : 1;
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

TEST_CASE("requests that are not sent get the status code of the reason", "[request]")
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

TEST_CASE("the forwarded request has the gateway's metadata and no hop-by-hop headers", "[request]")
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
    // The time left, never more than the caller's deadline.
    CHECK(std::stoi(std::string(sent[names.deadline_])) <= 700);
    CHECK(std::stoi(std::string(sent[names.deadline_])) >= 600);
}

TEST_CASE("a second attempt is sent with the remaining deadline", "[request]")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i)
        fixture.retries_.countRequest("core");
    fixture.start(fixture.request("/read/1"));
    fixture.alarms_.advance(400ms);
    fixture.caller_.finish(TransportError { TransportErrorKind::ConnectionLost, "reset" });
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

TEST_CASE("a key sent to an open route is not forwarded", "[request]")
{
    Fixture fixture;
    const std::string key = GENERATE("", "wrong", "secret");
    fixture.start(fixture.request("/open/1", key));
    REQUIRE(fixture.calls() == 1);
    const auto& sent = *fixture.caller_.calls().front().request_;
    CHECK(sent.count(http::field::authorization) == 0);
    CHECK(sent[names.workspace_] == (key == "secret" ? "acme" : ""));
}

TEST_CASE("when the caller disconnects the attempt is cancelled and no other follows", "[request]")
{
    Fixture fixture;
    fixture.advancing_.step_ = 1us;
    const auto handler = fixture.start(fixture.request("/read/1"));
    const auto upstream = fixture.caller_.calls().front().upstream_;
    CHECK(upstream->inFlight_ == 1);
    handler->cancel();
    CHECK(*fixture.caller_.calls().front().isEnded_);
    CHECK(upstream->inFlight_ == 0);
    CHECK(upstream->sentAt_.empty());
    fixture.caller_.finish(TransportError { TransportErrorKind::ConnectionLost, "reset" });
    fixture.alarms_.advance(10s);
    CHECK(fixture.calls() == 1);
    CHECK(fixture.answers_.empty());
}

TEST_CASE("a request and its attempt end at the timeout of the route", "[request]")
{
    Fixture fixture;
    fixture.advancing_.step_ = 1us;
    const auto handler = fixture.start(fixture.request("/order/1"));
    fixture.alarms_.advance(990ms);
    CHECK(fixture.answers_.empty());
    fixture.alarms_.advance(200ms);
    CHECK(fixture.status() == 504);
    CHECK(*fixture.caller_.calls().front().isEnded_);
    CHECK(fixture.caller_.calls().front().upstream_->inFlight_ == 0);
    CHECK(fixture.caller_.calls().front().upstream_->sentAt_.empty());
}

TEST_CASE("what a response says about its upstream is shared if it names a slowdown", "[request][load-exchange]")
{
    Fixture fixture;
    auto declared = declaration();
    declared.routes_.front().affinity_ = true;
    fixture.context_.index_ = std::make_shared<const DeclarationIndex>(declared);
    auto request = fixture.request("/read/1");
    request.set(http::field::cookie, names.objectCookie_ + "=cart-9");
    const auto answer = [&](UpstreamResponse response, const std::string& load) {
        fixture.start(request);
        response.set(names.load_, load);
        auto upstream = fixture.caller_.calls().back().upstream_;
        fixture.caller_.finish(std::move(response));
        return upstream;
    };

    const auto upstream = answer(fixture.success(), "3,1,6,150");
    auto shared = fixture.exchange_.takeForHeartbeat();
    REQUIRE(shared.size() == 1);
    CHECK(shared.front().upstream_ == upstreamKey(upstream->entry_));
    CHECK(shared.front().load_ == ReportedLoad { 3, 1, 6, 1.5 });
    CHECK(shared.front().object_ == stableHash("cart-9", stableHash("read")));
    CHECK_FALSE(shared.front().isRejection_);
    CHECK(fixture.upstreams_.freshSharedLoad(*upstream) == shared.front().load_);

    answer(fixture.success(), "3,1,6");
    answer(fixture.success(), "3,1,6,fast");
    CHECK(fixture.exchange_.takeForHeartbeat().empty());

    answer(fixture.failure(503, true), "6,2,6,100");
    shared = fixture.exchange_.takeForHeartbeat();
    REQUIRE(shared.size() == 1);
    CHECK(shared.front().isRejection_);

    // Another upstream has answered at the address: its load is not that of the one that was asked.
    answer(fixture.failure(421), "0,0,6,100");
    CHECK(fixture.exchange_.takeForHeartbeat().empty());
}

// A server that had lost power got requests until its connections timed out.
TEST_CASE("an upstream that answers no requests is ejected after a caller disconnects or a request times out", "[request]")
{
    Fixture fixture;
    const auto handler = fixture.start(fixture.request("/order/1"));
    const auto upstream = fixture.caller_.calls().front().upstream_;
    const bool leaves = GENERATE(false, true);
    const bool answersOthers = GENERATE(false, true);
    CAPTURE(leaves, answersOthers);
    fixture.alarms_.advance(800ms);
    if (answersOthers)
        fixture.upstreams_.noteLoad(*upstream, { 1, 0, 4 });
    if (leaves)
        handler->cancel();
    else
        fixture.alarms_.advance(500ms);
    CHECK((upstream->ejectedUntil_ > fixture.clock_.now()) == !answersOthers);
    CHECK(upstream->failureRate_ > 0);
}

TEST_CASE("a caller that disconnects early does not affect the upstream's health", "[request]")
{
    Fixture fixture;
    const auto handler = fixture.start(fixture.request("/order/1"));
    fixture.alarms_.advance(50ms);
    handler->cancel();
    CHECK(fixture.caller_.calls().front().upstream_->failureRate_ == 0);
}

TEST_CASE("a new declaration does not affect requests in flight", "[request]")
{
    Fixture fixture;
    const auto handler = fixture.start(fixture.request("/order/1"));
    auto without = declaration();
    without.version_ = 4;
    without.routes_.clear();
    fixture.context_.index_ = std::make_shared<const DeclarationIndex>(without);
    fixture.caller_.finish(fixture.success());
    CHECK(fixture.status() == 200);
    fixture.start(fixture.request("/order/1"));
    CHECK(fixture.status() == 404);
}

TEST_CASE("a response is forwarded unchanged except for hop-by-hop headers", "[request]")
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

TEST_CASE("an unsigned status that implies no execution is replaced by 502", "[request]")
{
    const auto status = GENERATE(408U, 429U, 503U);
    Fixture fixture;
    fixture.start(fixture.request("/order/1"));
    fixture.caller_.finish(fixture.failure(status));
    CHECK(fixture.status() == 502);
    CHECK(fixture.answers_.back().count(names.signature_) == 0);
}

TEST_CASE("a request that crashed three upstreams is not sent again", "[request]")
{
    Fixture fixture(12);
    for (int i = 0; i < 200; ++i)
        fixture.retries_.countRequest("core");
    for (std::size_t attempt = 0; attempt < 6; ++attempt) {
        fixture.start(fixture.request("/read/1"));
        while (fixture.answers_.size() == attempt)
            fixture.caller_.finish(TransportError { TransportErrorKind::ConnectionLost, "reset" });
    }
    CHECK(fixture.calls() == 3);
    CHECK(fixture.status() == 503);
    // Other requests are not blocked.
    fixture.start(fixture.request("/read/2"));
    CHECK(fixture.calls() == 4);
}

TEST_CASE("a traffic split follows its weights exactly", "[request]")
{
    TrafficSplitter cursor;
    auto split = route("split", "/s/", RepeatRule::Idempotent);
    split.services_ = { { "a", 70 }, { "b", 20 }, { "c", 10 } };
    std::map<std::string, int> counts;
    for (int i = 0; i < 1'000; ++i)
        ++counts[cursor.next(split)];
    CHECK(counts["a"] == 700);
    CHECK(counts["b"] == 200);
    CHECK(counts["c"] == 100);
}

// A hot workspace lost its whole rate to requests that were then refused as its upstreams were full, and was refused for
// its rate when they had room.
TEST_CASE("a request that is refused without having run costs no token", "[request]")
{
    Fixture fixture;
    fixture.fleet_.setReady(true);
    constexpr std::size_t refused = 20;
    const auto setWaiting = [&](int waiting) {
        for (const auto& [id, upstream] : fixture.upstreams_.byId())
            fixture.upstreams_.noteLoad(*upstream, { 4, waiting, 4 });
    };
    const bool isShedByUpstream = GENERATE(false, true);
    CAPTURE(isShedByUpstream);
    if (!isShedByUpstream)
        setWaiting(200);
    for (std::size_t i = 1; i <= refused; ++i) {
        fixture.start(fixture.request("/order/1", "few"));
        if (isShedByUpstream) {
            for (int attempts = 0; attempts < 2 && fixture.answers_.size() < i && fixture.calls() > 0; ++attempts)
                fixture.caller_.finish(fixture.failure(503, true));
        }
        REQUIRE(fixture.answers_.size() == i);
        CHECK(fixture.status() == 503);
    }
    if (!isShedByUpstream)
        setWaiting(0);
    fixture.start(fixture.request("/order/1", "few"));
    fixture.caller_.finish(fixture.success());
    CHECK(fixture.status() == 200);
}

TEST_CASE("a request that may have run costs its token", "[request]")
{
    Fixture fixture;
    fixture.fleet_.setReady(true);
    std::map<unsigned, int> statuses;
    for (int i = 0; i < 20; ++i) {
        fixture.start(fixture.request("/order/1", "few"));
        if (fixture.answers_.size() <= static_cast<std::size_t>(i))
            fixture.caller_.finish(fixture.failure(500));
        ++statuses[fixture.status()];
    }
    CHECK(statuses[500] > 0);
    CHECK(statuses[500] < 12);
    CHECK(statuses[429] > 0);
}

namespace {

auto countRetries(RetryLimiter& retries) -> int
{
    int count = 0;
    while (retries.takeRetry("core"))
        ++count;
    return count;
}

}

// A refusal that reached an upstream, or that took a token from the retries of others, would add to the shortage.
TEST_CASE("a request that is refused for lack of room has not run, is told when to come back and takes no retry", "[request][room-gate]")
{
    constexpr int requests = 20;
    Fixture fixture;
    fixture.context_.admitsByRoom_ = true;
    fixture.placer_.expectedWait_ = 900ms;
    for (int i = 0; i < requests; ++i)
        fixture.start(fixture.request("/read/1"));
    CHECK(fixture.calls() == 0);
    REQUIRE(fixture.answers_.size() == requests);
    for (const auto& answer : fixture.answers_) {
        CHECK(answer.result_int() == 503);
        CHECK(std::stod(std::string(answer[http::field::retry_after])) >= 0.1);
        CHECK(answer.body().find(R"("executed":"no")") != std::string::npos);
        CHECK(answer.body().find("no-room") != std::string::npos);
    }
    CHECK(fixture.alarms_.pending() == 0);
    Fixture other;
    for (int i = 0; i < requests; ++i)
        other.retries_.countRequest("core");
    const auto retries = countRetries(other.retries_);
    CHECK(retries > 0);
    CHECK(countRetries(fixture.retries_) == retries);
}

// Guards against refusing all requests of a new route, whose assumed run time may exceed the time left.
TEST_CASE("a request is sent if its run time is not learned, the gate is off or nothing is estimated", "[request][room-gate]")
{
    Fixture fixture;
    fixture.context_.admitsByRoom_ = true;
    fixture.placer_.expectedWait_ = 900ms;
    SECTION("not learned")
    {
        fixture.placer_.isRunLearned_ = false;
    }
    SECTION("off")
    {
        fixture.context_.admitsByRoom_ = false;
    }
    SECTION("not estimated")
    {
        fixture.placer_.expectedWait_.reset();
    }
    SECTION("in time")
    {
        fixture.placer_.expectedWait_ = 100ms;
    }
    fixture.start(fixture.request("/read/1"));
    REQUIRE(fixture.calls() == 1);
    fixture.caller_.finish(fixture.success());
    CHECK(fixture.status() == 200);
}

TEST_CASE("an upstream whose limit has no room is passed over", "[request][upstream-limit]")
{
    Fixture fixture(2);
    fixture.fleet_.setReady(true);
    fixture.limit("u0", 0);
    for (int i = 0; i < 8; ++i) {
        fixture.start(fixture.request("/order/1", "secret", http::verb::post));
        CHECK(fixture.caller_.calls().back().upstream_->entry_.id_ == "u1");
        fixture.caller_.finish(fixture.success());
    }
    CHECK(fixture.status() == 200);
}

TEST_CASE("a request is refused at once with a wait when all upstreams have used their limits", "[request][upstream-limit]")
{
    Fixture fixture(5);
    fixture.fleet_.setReady(true);
    for (int i = 0; i < 5; ++i)
        fixture.limit(fmt::format("u{}", i), 0.3);
    fixture.start(fixture.request("/order/1", "secret", http::verb::post));
    CHECK(fixture.status() == 503);
    CHECK(fixture.calls() == 0);
    CHECK(fixture.answers_.back().body().find("all-limited") != std::string::npos);
    CHECK(fixture.answers_.back().body().find("\"executed\":\"no\"") != std::string::npos);
    const auto wait = std::stod(std::string(fixture.answers_.back()[http::field::retry_after]));
    CHECK(wait >= 0.15);
    CHECK(wait <= 4);
}

TEST_CASE("a request waits for a token and is then sent, or placed elsewhere", "[request][upstream-limit]")
{
    Fixture fixture(2);
    fixture.addCoordinator();
    fixture.limit("u0", 3);
    fixture.limit("u1", 3);
    const auto handler = fixture.start(fixture.request("/order/1", "secret", http::verb::post));
    REQUIRE(fixture.limitAsks_.asks_.size() == 1);
    REQUIRE(fixture.calls() == 0);
    const auto first = fixture.limitAsks_.asks_.back().notice_.upstream_;
    SECTION("with a token")
    {
        fixture.grantLastAsk(1);
        REQUIRE(fixture.calls() == 1);
        CHECK(fixture.caller_.calls().back().upstream_->entry_.id_ == first);
    }
    SECTION("without one, the next upstream is asked")
    {
        fixture.grantLastAsk(0);
        REQUIRE(fixture.limitAsks_.asks_.size() == 2);
        CHECK(fixture.limitAsks_.asks_.back().notice_.upstream_ != first);
        fixture.grantLastAsk(1);
        REQUIRE(fixture.calls() == 1);
        CHECK(fixture.caller_.calls().back().upstream_->entry_.id_ != first);
    }
    SECTION("the upstream has left meanwhile")
    {
        fixture.upstreams_.recordLeaving(*fixture.upstreams_.byId().at(first));
        fixture.grantLastAsk(1);
        CHECK(fixture.calls() == 0);
        fixture.grantLastAsk(1);
        REQUIRE(fixture.calls() == 1);
        CHECK(fixture.caller_.calls().back().upstream_->entry_.id_ != first);
    }
    SECTION("the caller has left meanwhile: the token serves the next request")
    {
        handler->cancel();
        fixture.grantLastAsk(1);
        CHECK(fixture.calls() == 0);
        fixture.start(fixture.request("/order/1", "secret", http::verb::post));
        CHECK(fixture.calls() == 1);
    }
    SECTION("no answer comes")
    {
        fixture.alarms_.advance(300ms);
        fixture.alarms_.advance(300ms);
        CHECK(fixture.calls() == 0);
        fixture.alarms_.advance(300ms);
        fixture.alarms_.advance(300ms);
        CHECK(fixture.status() == 503);
        // Both coordinators are silent; the next request does not wait for them.
        const auto asks = fixture.limitAsks_.asks_.size();
        fixture.start(fixture.request("/order/2", "secret", http::verb::post));
        CHECK(fixture.answers_.size() == 2);
        CHECK(fixture.limitAsks_.asks_.size() == asks);
        CHECK(fixture.answers_.back().body().find("\"executed\":\"no\"") != std::string::npos);
    }
}

// A refusal without a candidate could have many causes, and the log did not tell them apart.
TEST_CASE("a request without a candidate logs why each upstream was none", "[request]")
{
    Fixture fixture(4);
    for (int i = 0; i < 12; ++i)
        fixture.addMember(fmt::format("peer{}", i));
    for (const auto& [id, upstream] : fixture.upstreams_.byId()) {
        if (id == "u3")
            fixture.upstreams_.recordLeaving(*upstream);
        else
            fixture.upstreams_.noteCold(id, 10s);
    }
    fixture.start(fixture.request("/read/1"));
    CHECK(fixture.status() == 503);
    const auto& fields = fixture.log_.lines().back().fields_;
    CHECK(fields["excluded"]["ineligible"] == 1);
    CHECK(fields["excluded"]["cold"] == 3);
}

namespace {

// An instance that has lost its links to all upstreams, and one peer that reaches them.
struct CutOffFixture : Fixture {
    CutOffFixture()
    {
        for (int i = 0; i < 6; ++i)
            upstreams_.put({ fmt::format("u{}", i), 1, "core", { "127.0.0.1", 9000 }, i % 2 == 0 ? "north-a" : "north-b", 4, UpstreamState::Ready, 0s });
        for (const auto& [id, upstream] : upstreams_.byId())
            links_.recordConnect(*upstream, clock_.now(), false);
        clock_.advance(1ms);
        for (const auto& [id, upstream] : upstreams_.byId())
            links_.recordConnect(*upstream, clock_.now(), false);
        REQUIRE(links_.state("north") == LinkState::Unreachable);
        addPeer("e2");
    }

    auto addPeer(const std::string& name) -> void
    {
        MemberReport report;
        report.name_ = name;
        report.region_ = "north";
        report.phase_ = MemberPhase::Ready;
        report.acceptsDelegation_ = true;
        fleet_.updateMember(report);
    }

    auto answerOfPeer(UpstreamResponse response, const DelegationOutcome& outcome) const -> UpstreamResponse
    {
        response.set({ delegationOutcomeHeader.data(), delegationOutcomeHeader.size() }, encodeDelegationOutcome(outcome));
        return response;
    }

    auto refusal() const -> UpstreamResponse { return answerOfPeer(problemResponse(503, "all-full", Executed::No, 700ms), { Executed::No, {}, 0 }); }
};

}

TEST_CASE("a cut-off instance has a peer handle a request, with its workspace and without its key", "[request][delegation]")
{
    CutOffFixture fixture;
    fixture.start(fixture.request("/order/1", "secret", http::verb::post));
    CHECK(fixture.calls() == 0);
    REQUIRE(fixture.delegates_.calls().size() == 1);
    const auto& sent = *fixture.delegates_.calls().front().request_;
    CHECK(sent["Workspace"] == "acme");
    CHECK(sent[http::field::authorization].empty());
    const auto delegation = valueOf(decodeDelegation({ sent["Sapphirepass-Delegation"].data(), sent["Sapphirepass-Delegation"].size() }));
    CHECK(delegation.origin_ == "self");
    CHECK(delegation.repeat_ == RepeatRule::Once);
    CHECK(delegation.timeLeft_ < 1s);
    auto answer = fixture.success();
    answer.set(names.leaving_, "1");
    fixture.delegates_.finish(fixture.answerOfPeer(answer, { std::nullopt, "u2", 1 }));
    CHECK(fixture.status() == 200);
    CHECK(fixture.answers_.back().count("Sapphirepass-Delegation-Outcome") == 0);
    // The upstream has said so to this instance's caller as well.
    CHECK_FALSE(fixture.upstreams_.isEligible(*fixture.upstreams_.byId().at("u2")));
}

TEST_CASE("a notice that a delegate passes on holds for an upstream that is listed here only later", "[request][delegation]")
{
    CutOffFixture fixture;
    fixture.start(fixture.request("/read/1"));
    auto answer = fixture.success();
    answer.set(names.leaving_, "1");
    const UpstreamEntry unlisted { "u9", 1, "core", { "127.0.0.1", 9001 }, "north-a", 4, UpstreamState::Ready, 0s };
    const bool isOtherStartListed = GENERATE(false, true);
    CAPTURE(isOtherStartListed);
    auto otherStart = unlisted;
    otherStart.startTimeMs_ = 2;
    if (isOtherStartListed)
        fixture.upstreams_.put(otherStart);
    fixture.delegates_.finish(fixture.answerOfPeer(answer, { std::nullopt, "u9", 1 }));
    REQUIRE(fixture.status() == 200);
    if (isOtherStartListed)
        CHECK(fixture.upstreams_.isEligible(*fixture.upstreams_.byId().at("u9")));
    fixture.upstreams_.put(unlisted);
    CHECK_FALSE(fixture.upstreams_.isEligible(*fixture.upstreams_.byId().at("u9")));
    fixture.upstreams_.put(otherStart);
    CHECK(fixture.upstreams_.isEligible(*fixture.upstreams_.byId().at("u9")));
}

TEST_CASE("only a peer's word that nothing has run allows another try or a refusal", "[request][delegation]")
{
    CutOffFixture fixture;
    const auto path = GENERATE("/order/1", "/read/1");
    SECTION("silence after bytes were sent is no refusal, and nothing is sent again")
    {
        fixture.start(fixture.request(path));
        fixture.delegates_.finish(TransportError { TransportErrorKind::ConnectionLost, "reset" });
        CHECK(fixture.status() == 502);
        CHECK(fixture.delegates_.calls().size() == 1);
    }
    SECTION("an answer without its outcome is none")
    {
        fixture.start(fixture.request(path));
        fixture.delegates_.finish(fixture.failure(503));
        CHECK(fixture.status() == 502);
    }
    SECTION("a request that did not leave goes to another peer")
    {
        fixture.addPeer("e3");
        fixture.start(fixture.request(path));
        fixture.delegates_.finish(TransportError { TransportErrorKind::NotSent, "refused" });
        REQUIRE(fixture.delegates_.calls().size() == 2);
        CHECK(fixture.delegates_.calls()[0].peer_ != fixture.delegates_.calls()[1].peer_);
        fixture.delegates_.finish(fixture.answerOfPeer(fixture.success(), { std::nullopt, "u2", 1 }));
        CHECK(fixture.status() == 200);
    }
    SECTION("a refusal of all peers is a refusal that names a wait")
    {
        fixture.addPeer("e3");
        fixture.start(fixture.request(path));
        fixture.delegates_.finish(fixture.refusal());
        fixture.delegates_.finish(fixture.refusal());
        CHECK(fixture.delegates_.calls().size() == 2);
        CHECK(fixture.status() == 503);
        CHECK(std::stod(std::string(fixture.answers_.back()[http::field::retry_after])) >= 0.7);
    }
    SECTION("a peer that does not know whether it ran is no refusal")
    {
        fixture.start(fixture.request(path));
        fixture.delegates_.finish(fixture.answerOfPeer(problemResponse(504, "timeout", Executed::Unknown), { Executed::Unknown, {}, 0 }));
        CHECK(fixture.status() == 504);
    }
    CHECK(fixture.calls() == 0);
}

TEST_CASE("a peer's Retry-After that is not a number is ignored", "[request][delegation]")
{
    CutOffFixture fixture;
    fixture.start(fixture.request("/order/1", "secret", http::verb::post));
    auto refusal = fixture.refusal();
    refusal.set(http::field::retry_after, "nan");
    fixture.delegates_.finish(refusal);
    CHECK(fixture.status() == 503);
    const auto wait = std::stod(std::string(fixture.answers_.back()[http::field::retry_after]));
    CHECK(wait > 0);
    CHECK(wait < 1);
}

TEST_CASE("a cut-off instance without a peer that reaches upstreams refuses at once", "[request][delegation]")
{
    CutOffFixture fixture;
    fixture.clock_.advance(3s);
    fixture.start(fixture.request("/read/1"));
    CHECK(fixture.status() == 503);
    CHECK(fixture.calls() == 0);
    CHECK(fixture.log_.lines().back().fields_["reason"] == "upstreams-unreachable");
}

TEST_CASE("an open connection that still works is used while new ones fail", "[request][delegation]")
{
    CutOffFixture fixture;
    fixture.clock_.advance(300ms);
    fixture.links_.recordResponse(*fixture.upstreams_.byId().at("u0"));
    for (int i = 0; i < 6; ++i)
        fixture.caller_.open_.insert(fmt::format("u{}", i));
    fixture.start(fixture.request("/read/1"));
    CHECK(fixture.calls() == 1);
    CHECK(fixture.delegates_.calls().empty());
}

TEST_CASE("a delegated request is handled by what the peer has decided, and goes no further", "[request][delegation]")
{
    Fixture fixture;
    const Delegation delegation { "e9", "gone-here", "core", "acme", {}, RepeatRule::Once, 2, 600ms, 250ms, std::nullopt };
    auto request = fixture.request("/unknown/1", "");
    request.set(names.workspace_, "acme");
    const auto handle = [&] {
        auto handler = std::make_shared<RequestHandler>(
            fixture.context_, request, [&fixture](UpstreamResponse response) { fixture.answers_.push_back(std::move(response)); }, delegation);
        fixture.handlers_.push_back(handler);
        handler->start();
    };
    SECTION("it is sent, and the response names its upstream")
    {
        handle();
        REQUIRE(fixture.calls() == 1);
        const auto& call = fixture.caller_.calls().front();
        CHECK((*call.request_)["Workspace"] == "acme");
        CHECK(std::stoi(std::string((*call.request_)["Left-Ms"])) <= 600);
        fixture.caller_.finish(fixture.success());
        const auto text = fixture.answers_.back()["Sapphirepass-Delegation-Outcome"];
        CHECK(valueOf(decodeDelegationOutcome({ text.data(), text.size() })) == DelegationOutcome { std::nullopt, call.upstream_->entry_.id_, 1 });
    }
    SECTION("what may have run once is not sent again")
    {
        handle();
        fixture.caller_.finish(TransportError { TransportErrorKind::ConnectionLost, "reset" });
        CHECK(fixture.calls() == 1);
        CHECK(fixture.status() == 502);
    }
    SECTION("an instance that is cut off itself refuses it at once")
    {
        CutOffFixture cut;
        auto handler = std::make_shared<RequestHandler>(
            cut.context_, request, [&cut](UpstreamResponse response) { cut.answers_.push_back(std::move(response)); }, delegation);
        handler->start();
        CHECK(cut.status() == 503);
        CHECK(cut.delegates_.calls().empty());
        const auto text = cut.answers_.back()["Sapphirepass-Delegation-Outcome"];
        CHECK(valueOf(decodeDelegationOutcome({ text.data(), text.size() })).refusal_ == Executed::No);
    }
}

// review/5: requests that came late in the grace time were sent and cut when the process ended.
TEST_CASE("an instance that shuts down sends only what is answered before its end", "[request][shutdown]")
{
    Fixture fixture;
    ShutdownWindow window { fixture.clock_ };
    fixture.context_.shutdown_ = &window;
    const auto post = [&] { return fixture.start(fixture.request("/order/1", "secret", http::verb::post)); };
    SECTION("what is expected to end in time gets no longer than that")
    {
        fixture.secondAttempts_.recordRun("order", 100ms);
        window.begin(fixture.clock_.now() + 500ms);
        post();
        REQUIRE(fixture.calls() == 1);
        CHECK(std::stoi(std::string((*fixture.caller_.calls().back().request_)[names.deadline_])) == 480);
    }
    SECTION("what is expected to end later is refused at once as not run")
    {
        for (int i = 0; i < 100; ++i)
            fixture.secondAttempts_.recordRun("order", 700ms);
        window.begin(fixture.clock_.now() + 500ms);
        post();
        CHECK(fixture.calls() == 0);
        CHECK(fixture.status() == 503);
        CHECK(fixture.answers_.back().count(http::field::retry_after) == 1);
        CHECK(fixture.answers_.back().body().find("\"executed\":\"no\"") != std::string::npos);
    }
    SECTION("before anything is known of a route, its latency target counts")
    {
        window.begin(fixture.clock_.now() + 260ms);
        post();
        CHECK(fixture.calls() == 0);
        CHECK(fixture.status() == 503);
    }
    SECTION("before anything is known of a route, a request that may not be repeated is not sent with twice its latency target left")
    {
        window.begin(fixture.clock_.now() + 520ms);
        post();
        CHECK(fixture.calls() == 0);
        CHECK(fixture.status() == 503);
        fixture.start(fixture.request("/read/1"));
        CHECK(fixture.calls() == 1);
    }
    SECTION("a run ends at its deadline, however long runs usually take")
    {
        for (int i = 0; i < 100; ++i)
            fixture.secondAttempts_.recordRun("order", 5s);
        window.begin(fixture.clock_.now() + 1'100ms);
        post();
        CHECK(fixture.calls() == 1);
    }
    SECTION("a request that waited for a token is not sent late")
    {
        Fixture limited(1);
        ShutdownWindow end { limited.clock_ };
        limited.context_.shutdown_ = &end;
        limited.addCoordinator();
        limited.limit("u0", 3);
        limited.start(limited.request("/order/1", "secret", http::verb::post));
        REQUIRE(limited.limitAsks_.asks_.size() == 1);
        end.begin(limited.clock_.now() + 100ms);
        limited.grantLastAsk(1);
        CHECK(limited.calls() == 0);
        CHECK(limited.status() == 503);
    }
    SECTION("a request that still waits at the end is refused, and one that was sent is awaited")
    {
        Fixture limited(1);
        limited.addCoordinator();
        limited.limit("u0", 3);
        const auto waiting = limited.start(limited.request("/order/1", "secret", http::verb::post));
        waiting->refuseUnsent();
        CHECK(limited.status() == 503);
        limited.grantLastAsk(1);
        CHECK(limited.calls() == 0);
        const auto sent = post();
        sent->refuseUnsent();
        CHECK(fixture.answers_.empty());
        fixture.caller_.finish(fixture.success());
        CHECK(fixture.status() == 200);
    }
}

// Issue 50: what was awaited at the end of the grace time ended without an answer.
TEST_CASE("a request that is given up at the end of a shutdown is answered, as not run only if it was not sent", "[request][delegation][shutdown]")
{
    SECTION("an attempt is in flight")
    {
        Fixture fixture;
        const auto handler = fixture.start(fixture.request("/order/1", "secret", http::verb::post));
        REQUIRE(fixture.calls() == 1);
        handler->refuseUnsent();
        CHECK(fixture.answers_.empty());
        handler->giveUp();
        CHECK(fixture.status() == 504);
        CHECK(fixture.answers_.back().body().find("\"executed\":\"unknown\"") != std::string::npos);
        fixture.caller_.finish(fixture.success());
        handler->giveUp();
        CHECK(fixture.answers_.size() == 1);
    }
    SECTION("an attempt was lost and the next one waits for a token")
    {
        Fixture fixture(1);
        for (int i = 0; i < 20; ++i)
            fixture.retries_.countRequest("core");
        const auto handler = fixture.start(fixture.request("/read/1"));
        REQUIRE(fixture.calls() == 1);
        fixture.upstreams_.put({ "u9", 1, "core", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s });
        fixture.addCoordinator();
        fixture.limit("u9", 3);
        fixture.caller_.finish(fixture.failure(500));
        REQUIRE(fixture.limitAsks_.asks_.size() == 1);
        handler->giveUp();
        CHECK(fixture.status() == 502);
        CHECK(fixture.answers_.back().body().find("\"executed\":\"unknown\"") != std::string::npos);
    }
    SECTION("a peer handles it")
    {
        CutOffFixture fixture;
        const auto handler = fixture.start(fixture.request("/order/1", "secret", http::verb::post));
        REQUIRE(fixture.delegates_.calls().size() == 1);
        handler->giveUp();
        CHECK(fixture.status() == 504);
        CHECK(fixture.answers_.back().body().find("\"executed\":\"unknown\"") != std::string::npos);
    }
    SECTION("it is handled for a peer, which learns that it may have run")
    {
        Fixture fixture;
        const Delegation delegation { "e9", "order", "core", "acme", {}, RepeatRule::Once, 2, 600ms, 250ms, std::nullopt };
        auto handler = std::make_shared<RequestHandler>(
            fixture.context_, fixture.request("/order/1", ""), [&fixture](UpstreamResponse response) { fixture.answers_.push_back(std::move(response)); }, delegation);
        handler->start();
        REQUIRE(fixture.calls() == 1);
        handler->giveUp();
        CHECK(fixture.status() == 504);
        const auto text = fixture.answers_.back()["Sapphirepass-Delegation-Outcome"];
        CHECK(valueOf(decodeDelegationOutcome({ text.data(), text.size() })).refusal_ == Executed::Unknown);
    }
    SECTION("it waits for a token")
    {
        Fixture fixture(1);
        fixture.addCoordinator();
        fixture.limit("u0", 3);
        const auto handler = fixture.start(fixture.request("/order/1", "secret", http::verb::post));
        REQUIRE(fixture.limitAsks_.asks_.size() == 1);
        handler->giveUp();
        CHECK(fixture.status() == 503);
        CHECK(fixture.answers_.back().body().find("\"executed\":\"no\"") != std::string::npos);
        fixture.grantLastAsk(1);
        CHECK(fixture.calls() == 0);
    }
}

TEST_CASE("no attempt follows the first one if the process ends before its response", "[request][shutdown]")
{
    Fixture fixture;
    ShutdownWindow window { fixture.clock_ };
    fixture.context_.shutdown_ = &window;
    for (int i = 0; i < 20; ++i)
        fixture.retries_.countRequest("core");
    fixture.secondAttempts_.recordRun("read", 150ms);
    window.begin(fixture.clock_.now() + 400ms);
    const bool hasRun = GENERATE(true, false);
    fixture.start(fixture.request("/read/1"));
    REQUIRE(fixture.calls() == 1);
    fixture.alarms_.advance(300ms);
    if (hasRun)
        fixture.caller_.finish(TransportError { TransportErrorKind::ConnectionLost, "reset" });
    else
        fixture.caller_.finish(fixture.failure(503, true));
    CHECK(fixture.calls() == 1);
    CHECK(fixture.status() == (hasRun ? 502U : 503U));
}

TEST_CASE("a delegated request that comes late in a shutdown is refused as not run, so that another peer can take it", "[request][delegation][shutdown]")
{
    Fixture fixture;
    ShutdownWindow window { fixture.clock_ };
    fixture.context_.shutdown_ = &window;
    window.begin(fixture.clock_.now() + 200ms);
    const Delegation delegation { "e9", "order", "core", "acme", {}, RepeatRule::Once, 2, 600ms, 250ms, std::nullopt };
    auto handler = std::make_shared<RequestHandler>(
        fixture.context_, fixture.request("/order/1", ""), [&fixture](UpstreamResponse response) { fixture.answers_.push_back(std::move(response)); }, delegation);
    handler->start();
    CHECK(fixture.calls() == 0);
    const auto text = fixture.answers_.back()["Sapphirepass-Delegation-Outcome"];
    CHECK(valueOf(decodeDelegationOutcome({ text.data(), text.size() })).refusal_ == Executed::No);
}

// Guards against demand that depends on how much room there is, or that several instances count.
TEST_CASE("a caller's request counts once as demand, placed or not, but neither over the rate nor if bound to regions or delegated", "[request][region-demand]")
{
    const int upstreams = GENERATE(0, 6);
    Fixture fixture(upstreams);
    RegionDemand demand(fixture.clock_, fixture.metrics_, "north", RegionDemandMode::Always, [](const auto&) { return true; });
    fixture.context_.regionDemand_ = &demand;
    fixture.clock_.advance(2s);
    const auto isCounted = [&demand] { return !demand.forHeartbeat()->empty(); };
    auto bound = declaration();
    bound.workspaces_[0].homeRegions_ = { "north" };
    fixture.start(fixture.request("/read/1", "wrong"));
    fixture.start(fixture.request("/read/1", "rare"));
    const Delegation delegation { "e9", "read", "core", "acme", {}, RepeatRule::Idempotent, 2, 600ms, 250ms, std::nullopt };
    auto delegated = std::make_shared<RequestHandler>(
        fixture.context_, fixture.request("/read/1", ""), [](const UpstreamResponse&) {}, delegation);
    delegated->start();
    CHECK_FALSE(isCounted());
    const auto current = std::exchange(fixture.context_.index_, std::make_shared<const DeclarationIndex>(bound));
    fixture.start(fixture.request("/read/1"));
    CHECK_FALSE(isCounted());
    fixture.context_.index_ = current;
    fixture.start(fixture.request("/read/1"));
    REQUIRE(isCounted());
    const auto once = demand.forHeartbeat();
    // A retry after a refusal by the upstream is the same request.
    if (upstreams > 0) {
        const auto sends = fixture.calls();
        fixture.caller_.finish(fixture.failure(503, true));
        REQUIRE(fixture.calls() == sends + 1);
    } else {
        REQUIRE(fixture.status() == 503);
    }
    CHECK(demand.forHeartbeat() == once);
    CHECK(once->front().perSecond_ <= 1 / 1.8F + 0.001F);
}

TEST_CASE("losses of links eject no upstream and blame no request", "[request][delegation]")
{
    CutOffFixture fixture;
    // Sent before the loss was known; the connection is given up during it.
    auto& upstream = *fixture.upstreams_.byId().at("u0");
    fixture.links_.recordResponse(upstream);
    fixture.clock_.advance(200ms);
    fixture.links_.recordResponse(upstream);
    for (int i = 0; i < 6; ++i)
        fixture.caller_.open_.insert(fmt::format("u{}", i));
    fixture.start(fixture.request("/order/1", "secret", http::verb::post));
    REQUIRE(fixture.calls() == 1);
    fixture.caller_.finish(TransportError { TransportErrorKind::ConnectionLost, "Connection timed out" });
    CHECK(fixture.status() == 502);
    CHECK(fixture.caller_.calls().front().upstream_->consecutiveLosses_ == 0);
    CHECK(fixture.crashes_.counts().empty());
}

// After a cut of all instances, none of them could delegate the requests that its recovering links held back.
TEST_CASE("while links recover, requests that no peer takes are sent directly", "[request][delegation]")
{
    CutOffFixture fixture;
    fixture.clock_.advance(3s);
    for (int i = 0; i < 2; ++i) {
        for (const auto& [id, upstream] : fixture.upstreams_.byId())
            fixture.links_.recordConnect(*upstream, fixture.clock_.now(), true);
        fixture.clock_.advance(400ms);
        fixture.links_.update();
    }
    REQUIRE(fixture.links_.state("north") == LinkState::Recovering);
    for (int i = 0; i < 20; ++i) {
        auto request = fixture.request("/read/1");
        request.set(names.attempt_, fmt::format("t{}", i));
        fixture.start(request);
    }
    CHECK(fixture.calls() == 20);
    CHECK(fixture.answers_.empty());
}

TEST_CASE("a request that waits for recovering links at upstreams with limits is sent or refused", "[request][delegation][upstream-limit]")
{
    CutOffFixture fixture;
    fixture.fleet_.setReady(true);
    // The instance is alone: it coordinates the limits itself.
    fixture.clock_.advance(30s);
    fixture.fleet_.removeSilent();
    for (const auto& [id, upstream] : fixture.upstreams_.byId())
        fixture.limit(id, 20);
    for (int i = 0; i < 2; ++i) {
        for (const auto& [id, upstream] : fixture.upstreams_.byId())
            fixture.links_.recordConnect(*upstream, fixture.clock_.now(), true);
        fixture.clock_.advance(400ms);
        fixture.links_.update();
    }
    REQUIRE(fixture.links_.state("north") == LinkState::Recovering);
    for (int i = 0; i < 20; ++i) {
        auto request = fixture.request("/read/1");
        request.set(names.attempt_, fmt::format("t{}", i));
        fixture.start(request);
    }
    CAPTURE(fixture.answers_.empty() ? std::string() : fixture.answers_.back().body(), fixture.delegates_.calls().size(), fixture.limitAsks_.asks_.size());
    CHECK(fixture.calls() + fixture.answers_.size() == 20);
    CHECK(fixture.calls() > 0);
}

TEST_CASE("every attempt carries the whole body, and a request ends without bytes outstanding", "[request][memory]")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i)
        fixture.retries_.countRequest("core");
    auto request = fixture.request("/read/1", "secret", http::verb::post);
    request.body() = std::string(100'000, 'b');
    const auto handler = fixture.start(request);
    const auto steps = GENERATE(values<std::vector<AttemptStep>>({
        { AttemptStep::Success },
        { AttemptStep::ConnectionLost, AttemptStep::Success },
        { AttemptStep::NotSent, AttemptStep::NotSent, AttemptStep::NotRun, AttemptStep::Error },
    }));
    std::size_t number = 0;
    for (const auto step : steps) {
        const auto& call = fixture.caller_.calls().at(number++);
        CHECK(call.request_->body() == request.body());
        CHECK(call.request_->at(http::field::content_length) == "100000");
        CHECK(fixture.bodyLimits_.outstanding(*call.upstream_) == 100'000);
        fixture.caller_.finish(outcomeOf(fixture, step));
    }
    CHECK(fixture.answers_.size() == 1);
    for (const auto& [id, upstream] : fixture.upstreams_.byId())
        CHECK(fixture.bodyLimits_.outstanding(*upstream) == 0);
}

TEST_CASE("an upstream that crashes with large bodies outstanding gets less at a time; small bodies are not affected", "[request][memory]")
{
    constexpr std::size_t bytes = 900'000;
    Fixture fixture(1);
    auto request = fixture.request("/order/1", "secret", http::verb::post);
    request.body() = std::string(bytes, 'b');
    const auto& upstream = *fixture.upstreams_.byId().at("u0");
    // Sends requests until one is refused; returns how many were sent.
    const auto fill = [&] {
        const auto before = fixture.calls();
        const auto answers = fixture.answers_.size();
        for (int i = 0; i < 20 && fixture.answers_.size() == answers; ++i) {
            request.body() = std::string(bytes - static_cast<std::size_t>(i), 'b');
            fixture.start(request);
        }
        return fixture.calls() - before;
    };
    // Not at the limit of its slots.
    UpstreamEntry entry = upstream.entry_;
    entry.slots_ = 100;
    fixture.upstreams_.put(entry);
    const auto first = fill();
    CHECK(first * bytes <= 4 * 1024 * 1024);
    CHECK(fixture.status() == 503);
    CHECK(fixture.answers_.back().body().find("all-body-limited") != std::string::npos);
    CHECK(fixture.answers_.back().count(http::field::retry_after) == 1);
    const auto calls = fixture.caller_.calls();
    for (const auto& call : calls)
        call.done_(TransportError { TransportErrorKind::ConnectionLost, "reset" });
    // Past the time for which it is taken to be cold after the losses.
    fixture.clock_.advance(5s);
    const auto second = fill();
    CHECK(second > 0);
    CHECK(second < first);
    CHECK(second * bytes <= 2 * 1024 * 1024);
    request.body() = "small";
    const auto before = fixture.calls();
    fixture.start(request);
    CHECK(fixture.calls() == before + 1);
}
