// Second attempts: when the policy starts one, and how a request with two attempts in flight ends.
#include "gateway/requests/request_handler.h"
#include "standin/kept_log.h"
#include "standin/manual_alarms.h"
#include "standin/scripted_caller.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <random>
#include <rapidcheck/catch.h>
#include <set>

using namespace sapphirepass;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

const HeaderNames names { "Try-Id", "Left-Ms", "Object", "Key", "Workspace", "Only-At", "Proof", "Not-Run", "Load", "Cold-Ms", "Leaving", "Limit" };

auto route(const std::string& name, RepeatRule repeat, int maxAttempts) -> DeclaredRoute
{
    DeclaredRoute result;
    result.name_ = name;
    result.host_ = "shop.example";
    result.prefix_ = fmt::format("/{}/", name);
    result.repeat_ = repeat;
    result.timeout_ = 2s;
    result.latencyTarget_ = 100ms;
    result.maxAttempts_ = maxAttempts;
    result.services_ = { { "core", 1 } };
    result.anonymous_ = true;
    return result;
}

auto declaration() -> Declaration
{
    Declaration result;
    result.version_ = 1;
    result.routes_ = { route("read", RepeatRule::Idempotent, 2), route("order", RepeatRule::Once, 3), route("single", RepeatRule::Idempotent, 1), route("thrice", RepeatRule::Idempotent, 3) };
    result.services_ = { { "core", 100, 3s, 9.2, "" } };
    return result;
}

// Places as before and adds what a placer with estimates knows.
class EstimatingPlacer final : public Placer {
public:
    using Placer::Placer;

    auto place(const PlacementQuery& query) -> PlacementResult override
    {
        auto result = Placer::place(query);
        if (auto* placement = std::get_if<Placement>(&result)) {
            placement->isEstimated_ = isEstimated_;
            placement->expectedWait_ = expectedWait_;
            placement->expectedRun_ = expectedRun_;
        }
        return result;
    }

    bool isEstimated_ = true;
    Duration expectedWait_ {};
    Duration expectedRun_ = 100ms;
};

// No other instance is asked for anything.
class NoAsks final : public RateAskSender, public LimitAskSender {
public:
    auto sendAsk(const Coordinator&, const RateAsk&) -> void override { }
    auto sendLimitAsk(const Coordinator&, const LimitAsk&) -> void override { }
};

enum class Outcome { Success,
    NotRun,
    Failure,
    ClientError,
    // A status that implies no execution, without the upstream's statement that nothing has run.
    Overloaded,
    NotSent,
    ConnectionLost,
    InvalidResponse };

constexpr int outcomeCount = 8;

auto mayHaveRun(Outcome outcome) -> bool { return outcome != Outcome::NotRun && outcome != Outcome::NotSent; }

auto response(unsigned status) -> UpstreamResponse
{
    UpstreamResponse result;
    result.result(status);
    result.set(names.signature_, "p");
    return result;
}

auto toAttemptOutcome(Outcome outcome) -> AttemptOutcome
{
    switch (outcome) {
    case Outcome::Success:
        return response(200);
    case Outcome::NotRun: {
        auto result = response(503);
        result.set(names.notExecuted_, "1");
        return result;
    }
    case Outcome::Failure:
        return response(500);
    case Outcome::ClientError:
        return response(404);
    case Outcome::Overloaded:
        return response(429);
    case Outcome::NotSent:
        return TransportError { TransportErrorKind::NotSent, "refused" };
    case Outcome::ConnectionLost:
        return TransportError { TransportErrorKind::ConnectionLost, "reset" };
    case Outcome::InvalidResponse:
        return TransportError { TransportErrorKind::InvalidResponse, "no answer" };
    }
    return TransportError {};
}

struct Fixture {
    Fixture()
    {
        context_.index_ = std::make_shared<const DeclarationIndex>(declaration());
        for (int i = 0; i < 8; ++i)
            upstreams_.put({ fmt::format("u{}", i), 1, "core", { "127.0.0.1", 9000 }, i % 2 == 0 ? "north-a" : "north-b", 4, UpstreamState::Ready, 0s });
        // Past the time after a start in which there is no slack for retries.
        clock_.advance(20s);
        for (const auto* name : { "read", "order", "single", "thrice" }) {
            for (int i = 0; i < 200; ++i)
                policy_.recordRun(name, 100ms);
        }
        countRequests(100);
    }

    auto countRequests(int count) -> void
    {
        for (int i = 0; i < count; ++i) {
            policy_.countRequest("core");
            retries_.countRequest("core");
        }
    }

    auto start(const std::string& path, const std::optional<Delegation>& delegation = std::nullopt, const std::string& body = {}) -> std::shared_ptr<RequestHandler>
    {
        OutgoingRequest request { body.empty() ? http::verb::get : http::verb::post, path, 11 };
        request.body() = body;
        request.set(http::field::host, "shop.example");
        request.set(names.attempt_, "t1");
        auto handler = std::make_shared<RequestHandler>(
            context_, request, [this](UpstreamResponse answer) { answers_.push_back(std::move(answer)); }, delegation);
        handlers_.push_back(handler);
        handler->start();
        return handler;
    }

    // Starts a request and lets its first attempt run until the second one is due.
    auto startSlow(const std::string& path = "/read/1") -> std::shared_ptr<RequestHandler>
    {
        auto handler = start(path);
        REQUIRE(caller_.calls().size() == 1);
        alarms_.advance(150ms);
        return handler;
    }

    auto call(std::size_t number) const -> const standin::ScriptedCaller::Call& { return caller_.calls().at(number); }
    auto finish(std::size_t number, Outcome outcome) -> void
    {
        const auto done = call(number).done_;
        done(toAttemptOutcome(outcome));
    }
    auto upstreamOf(std::size_t number) const -> const Upstream& { return *call(number).upstream_; }
    auto calls() const -> std::size_t { return caller_.calls().size(); }
    auto status() const -> unsigned { return answers_.empty() ? 0 : answers_.back().result_int(); }
    auto isNothingInFlight() const -> bool
    {
        const auto& all = upstreams_.byId();
        return std::all_of(all.begin(), all.end(), [](const auto& item) { return item.second->inFlight_ == 0 && item.second->sentAt_.empty(); })
            && std::all_of(caller_.calls().begin(), caller_.calls().end(), [](const auto& call) { return *call.isEnded_; });
    }
    auto hasMetric(const std::string& line) const -> bool { return metrics_.render().find("sapphirepass_gateway_second_attempts_" + line) != std::string::npos; }

    ManualClock clock_;
    standin::ManualAlarms alarms_ { clock_ };
    UpstreamSet upstreams_ { clock_, { { "north-a", "north" }, { "north-b", "north" } } };
    FleetView fleet_ { clock_, { 2s, 20s }, "self" };
    EstimatingPlacer placer_ { clock_, upstreams_, fleet_, "north" };
    NoAsks asks_;
    standin::KeptLog log_;
    UpstreamLimiter limits_ { clock_, alarms_, fleet_, upstreams_, asks_, log_, 1 };
    RateLimiter rates_ { clock_, alarms_, fleet_, asks_, { 5s, 0.1, 0 }, 0 };
    RetryLimiter retries_ { clock_, fleet_, { 0.2, 64, 10s } };
    CrashTracker crashes_ { clock_, fleet_ };
    TrafficSplitter split_;
    ResponseTimes responseTimes_;
    DecayingRunQuantiles runs_;
    SecondAttemptPolicy policy_ { clock_, retries_, runs_ };
    standin::ScriptedCaller caller_;
    LinkDetector links_ { clock_, upstreams_ };
    DelegateSelector selector_ { clock_, fleet_, "north", upstreams_.regions() };
    standin::ScriptedDelegates delegates_;
    NoticeRecorder notices_ { upstreams_, names, log_ };
    Metrics metrics_;
    BodyLimiter bodyLimits_ { clock_ };
    EndEstimator estimator_ { clock_, upstreams_ };
    RoomGate roomGate_ { clock_, log_, metrics_, 1 };
    LoadExchange exchange_ { clock_, upstreams_, metrics_ };
    RequestContext context_ { clock_, alarms_, names, "self", nullptr, upstreams_, placer_, rates_, limits_, roomGate_, retries_, crashes_, split_, responseTimes_, estimator_, caller_, links_, selector_, delegates_, notices_, exchange_, log_, metrics_, bodyLimits_, policy_ };
    std::vector<UpstreamResponse> answers_;
    std::vector<std::shared_ptr<RequestHandler>> handlers_;
};

}

TEST_CASE("a run beyond the p95 of its route gets a second attempt at another upstream", "[second-attempt]")
{
    Fixture fixture;
    fixture.start("/read/1");
    fixture.alarms_.advance(99ms);
    CHECK(fixture.calls() == 1);
    fixture.alarms_.advance(51ms);
    REQUIRE(fixture.calls() == 2);
    CHECK(fixture.upstreamOf(0).entry_.id_ != fixture.upstreamOf(1).entry_.id_);
    CHECK(fixture.upstreamOf(0).inFlight_ == 1);
    CHECK(fixture.upstreamOf(1).inFlight_ == 1);
    const auto deadline = [&](std::size_t number) { return std::stoi(std::string((*fixture.call(number).request_)["Left-Ms"])); };
    CHECK(deadline(0) == 2'000);
    CHECK(deadline(1) == 1'850);
    CHECK((*fixture.call(1).request_)["Only-At"] == fixture.upstreamOf(1).entry_.id_);
    REQUIRE(fixture.log_.count(EventId::SecondAttemptStarted) == 1);
    const auto& fields = fixture.log_.lines().back().fields_;
    CHECK(fields["first"] == fixture.upstreamOf(0).entry_.id_);
    CHECK(fields["upstream"] == fixture.upstreamOf(1).entry_.id_);
    CHECK(fields["after_ms"] == 150);
    CHECK(fixture.hasMetric("started_total 1"));
}

TEST_CASE("the first success ends the other attempt at once", "[second-attempt]")
{
    const std::size_t winner = GENERATE(0, 1);
    Fixture fixture;
    fixture.startSlow();
    REQUIRE(fixture.calls() == 2);
    fixture.finish(winner, Outcome::Success);
    CHECK(fixture.status() == 200);
    CHECK(fixture.answers_.size() == 1);
    CHECK(fixture.isNothingInFlight());
    CHECK(fixture.alarms_.pending() == 0);
    CHECK(fixture.hasMetric("won_total 1") == (winner == 1));
    // The loser is known to be neither failed nor well after so short a wait.
    CHECK(fixture.upstreamOf(1 - winner).failureRate_ == 0);
    // A late outcome of the loser changes nothing.
    fixture.finish(1 - winner, Outcome::Failure);
    CHECK(fixture.answers_.size() == 1);
}

TEST_CASE("requests that must not run twice or are not estimated get no second attempt", "[second-attempt]")
{
    Fixture fixture;
    SECTION("a route that may run only once") { fixture.startSlow("/order/1"); }
    SECTION("a route with a single attempt") { fixture.startSlow("/single/1"); }
    SECTION("a placement without estimates, as of all services without them")
    {
        fixture.placer_.isEstimated_ = false;
        fixture.startSlow();
        // Only the deadline is pending: such requests do not even get a timer.
        CHECK(fixture.alarms_.pending() == 1);
    }
    SECTION("a request that a peer has admitted")
    {
        fixture.start("/read/1", Delegation { "e9", "read", "core", "", {}, RepeatRule::Idempotent, 2, 1s, 100ms, std::nullopt });
        fixture.alarms_.advance(150ms);
    }
    SECTION("a route whose runs are not known")
    {
        fixture.runs_ = {};
        fixture.startSlow();
    }
    SECTION("a route whose p95 is beyond the deadline")
    {
        for (int i = 0; i < 2'000; ++i)
            fixture.policy_.recordRun("read", 3s);
        fixture.startSlow();
        fixture.alarms_.advance(1'800ms);
    }
    CHECK(fixture.calls() == 1);
    CHECK(fixture.log_.count(EventId::SecondAttemptStarted) == 0);
}

TEST_CASE("a request that a peer handles gets no second attempt", "[second-attempt]")
{
    Fixture fixture;
    for (int round = 0; round < 2; ++round) {
        for (const auto& [id, upstream] : fixture.upstreams_.byId())
            fixture.links_.recordConnect(*upstream, fixture.clock_.now(), false);
        fixture.clock_.advance(1ms);
    }
    REQUIRE(fixture.links_.state("north") == LinkState::Unreachable);
    MemberReport peer;
    peer.name_ = "e2";
    peer.region_ = "north";
    peer.phase_ = MemberPhase::Ready;
    peer.acceptsDelegation_ = true;
    fixture.fleet_.updateMember(peer);
    fixture.start("/read/1");
    REQUIRE(fixture.delegates_.calls().size() == 1);
    fixture.alarms_.advance(1s);
    CHECK(fixture.calls() == 0);
    CHECK(fixture.delegates_.calls().size() == 1);
}

TEST_CASE("a second attempt that is due is not started for a cause that is counted", "[second-attempt]")
{
    Fixture fixture;
    std::string cause;
    fixture.start("/read/1");
    const auto forOthers = [&](const auto& change) {
        for (const auto& [id, upstream] : fixture.upstreams_.byId()) {
            if (id != fixture.upstreamOf(0).entry_.id_)
                change(id, *upstream);
        }
    };
    SECTION("all others name a limit")
    {
        forOthers([&](const auto&, auto& upstream) { fixture.upstreams_.recordLimit(upstream, { 5, fixture.clock_.now() }); });
        cause = "no-upstream";
    }
    SECTION("all others are cold")
    {
        forOthers([&](const auto& id, auto&) { fixture.upstreams_.noteCold(id, 10s); });
        fixture.alarms_.advance(1ms);
        // Past the time in which a cold upstream gets nothing.
        forOthers([&](const auto&, auto& upstream) { upstream.nextColdSend_ = {}; });
        cause = "restricted";
    }
    SECTION("it would wait")
    {
        fixture.placer_.expectedWait_ = 1ms;
        cause = "short-of-capacity";
    }
    SECTION("it would end too late")
    {
        fixture.placer_.expectedRun_ = 1'900ms;
        cause = "too-late";
    }
    SECTION("the second placement has no estimate")
    {
        fixture.placer_.isEstimated_ = false;
        cause = "not-estimated";
    }
    SECTION("the fleet's retry limit is used")
    {
        while (fixture.retries_.takeRetry("core")) { }
        cause = "retry-limit";
    }
    SECTION("the service's own share is used")
    {
        const Placement placement { fixture.call(0).upstream_, 0, {}, 0, 1, true, 100ms };
        while (!fixture.policy_.take("core", placement, 1s)) { }
        cause = "share-used";
    }
    SECTION("the request has crashed upstreams")
    {
        // The same request of other callers, lost with their upstreams while this one runs.
        for (int i = 0; i < 2; ++i) {
            fixture.start("/read/1");
            while (!*fixture.call(fixture.calls() - 1).isEnded_)
                fixture.finish(fixture.calls() - 1, Outcome::ConnectionLost);
        }
        REQUIRE(fixture.crashes_.counts().size() == 1);
        REQUIRE(fixture.crashes_.counts().front().upstreams_ == 3);
        cause = "crashes";
    }
    const auto before = fixture.calls();
    fixture.alarms_.advance(150ms);
    CHECK(fixture.calls() == before);
    CHECK(fixture.hasMetric(fmt::format("not_started_total{{cause=\"{}\"}} 1", cause)));
    CHECK(fixture.log_.count(EventId::SecondAttemptStarted) == 0);
    fixture.finish(0, Outcome::Success);
    CHECK(fixture.status() == 200);
}

TEST_CASE("a request gets one second attempt at most", "[second-attempt]")
{
    Fixture fixture;
    fixture.startSlow("/thrice/1");
    REQUIRE(fixture.calls() == 2);
    fixture.alarms_.advance(500ms);
    CHECK(fixture.calls() == 2);
    fixture.finish(0, Outcome::Failure);
    fixture.finish(1, Outcome::Failure);
    // The third attempt is a retry after the failure of both, and gets none beside it.
    REQUIRE(fixture.calls() == 3);
    fixture.alarms_.advance(500ms);
    CHECK(fixture.calls() == 3);
    fixture.finish(2, Outcome::Success);
    CHECK(fixture.status() == 200);
    CHECK(fixture.isNothingInFlight());
}

TEST_CASE("a failure of one attempt waits for the other, and the failure of both ends as a single one does", "[second-attempt]")
{
    struct Case {
        Outcome one_;
        Outcome other_;
        unsigned status_;
    };
    const auto row = GENERATE(values<Case>({
        { Outcome::NotRun, Outcome::Success, 200 },
        { Outcome::Failure, Outcome::Success, 200 },
        { Outcome::NotSent, Outcome::Success, 200 },
        { Outcome::ConnectionLost, Outcome::Success, 200 },
        { Outcome::InvalidResponse, Outcome::Success, 200 },
        { Outcome::Overloaded, Outcome::Success, 200 },
        // A refusal is reported only if neither may have run.
        { Outcome::NotRun, Outcome::NotRun, 503 },
        { Outcome::NotRun, Outcome::ConnectionLost, 502 },
        { Outcome::NotRun, Outcome::Overloaded, 502 },
        { Outcome::Overloaded, Outcome::NotRun, 502 },
        { Outcome::ConnectionLost, Outcome::NotRun, 502 },
        { Outcome::Failure, Outcome::NotRun, 502 },
        { Outcome::Failure, Outcome::ConnectionLost, 502 },
        { Outcome::NotRun, Outcome::Failure, 500 },
        { Outcome::ConnectionLost, Outcome::ConnectionLost, 502 },
    }));
    const std::size_t one = GENERATE(0, 1);
    Fixture fixture;
    fixture.startSlow();
    REQUIRE(fixture.calls() == 2);
    fixture.finish(one, row.one_);
    CHECK(fixture.answers_.empty());
    CHECK(fixture.calls() == 2);
    CHECK(fixture.upstreamOf(one).inFlight_ == 0);
    CHECK(fixture.upstreamOf(1 - one).inFlight_ == 1);
    fixture.finish(1 - one, row.other_);
    REQUIRE(fixture.answers_.size() == 1);
    CHECK(fixture.status() == row.status_);
    CHECK(fixture.calls() == 2);
    CHECK(fixture.isNothingInFlight());
    CHECK(fixture.alarms_.pending() == 0);
    CHECK(fixture.hasMetric("won_total 1") == (one == 0 && row.other_ == Outcome::Success));
}

TEST_CASE("a client error is final, as any upstream would return it", "[second-attempt]")
{
    const std::size_t first = GENERATE(0, 1);
    Fixture fixture;
    fixture.startSlow();
    REQUIRE(fixture.calls() == 2);
    fixture.finish(first, Outcome::ClientError);
    CHECK(fixture.status() == 404);
    CHECK(fixture.answers_.size() == 1);
    CHECK(fixture.isNothingInFlight());
}

TEST_CASE("the records of each attempt concern its own upstream", "[second-attempt]")
{
    Fixture fixture;
    fixture.startSlow();
    REQUIRE(fixture.calls() == 2);
    fixture.finish(1, Outcome::ConnectionLost);
    CHECK(fixture.upstreamOf(1).consecutiveLosses_ == 1);
    CHECK(fixture.upstreamOf(0).consecutiveLosses_ == 0);
    REQUIRE(fixture.crashes_.counts().size() == 1);
    CHECK(fixture.crashes_.counts().front().upstreams_ == 1);
    auto answer = response(200);
    answer.set(names.load_, "2,1,4");
    const auto done = fixture.call(0).done_;
    done(answer);
    CHECK(fixture.upstreamOf(0).load_.running_ == 2);
    CHECK(fixture.upstreamOf(1).load_.running_ == 0);
    CHECK(fixture.upstreamOf(0).failureRate_ == 0);
    CHECK(fixture.status() == 200);
}

TEST_CASE("an upstream that loses by long silence is recorded as after a timeout", "[second-attempt]")
{
    Fixture fixture;
    fixture.startSlow();
    fixture.alarms_.advance(200ms);
    fixture.finish(1, Outcome::Success);
    CHECK(fixture.upstreamOf(0).consecutiveLosses_ == 1);
    CHECK(fixture.upstreamOf(1).consecutiveLosses_ == 0);
}

TEST_CASE("both attempts end at the deadline", "[second-attempt]")
{
    // Without an outcome, either attempt may have run.
    const bool isOneNotRun = GENERATE(false, true);
    Fixture fixture;
    fixture.startSlow();
    REQUIRE(fixture.calls() == 2);
    if (isOneNotRun)
        fixture.finish(0, Outcome::NotRun);
    fixture.alarms_.advance(3s);
    REQUIRE(fixture.answers_.size() == 1);
    CHECK(fixture.status() == 504);
    CHECK(fixture.isNothingInFlight());
    CHECK(fixture.alarms_.pending() == 0);
}

TEST_CASE("both attempts end when the caller leaves", "[second-attempt]")
{
    Fixture fixture;
    const auto handler = fixture.startSlow();
    REQUIRE(fixture.calls() == 2);
    handler->cancel();
    CHECK(fixture.answers_.empty());
    CHECK(fixture.isNothingInFlight());
    CHECK(fixture.alarms_.pending() == 0);
    // Whether the second attempt would have gained anything is not known.
    CHECK_FALSE(fixture.hasMetric("won_total"));
}

TEST_CASE("any outcomes of two attempts lead to one response that is true", "[second-attempt]")
{
    // Guards against double responses, a 503 for a request that may have run, and attempts that are left in flight.
    rc::prop("any interleaving", []() {
        constexpr int pauseStep = outcomeCount;
        constexpr int longPauseStep = outcomeCount + 1;
        constexpr int stepCount = outcomeCount + 2;
        const auto path = *rc::gen::element(std::string("/read/1"), std::string("/order/1"), std::string("/thrice/1"));
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(12, rc::gen::pair(rc::gen::inRange(0, 2), rc::gen::inRange(0, stepCount)));
        const auto leavesAfter = *rc::gen::inRange<std::size_t>(0, 40);
        const bool startsSlowly = *rc::gen::arbitrary<bool>();
        Fixture fixture;
        const auto handler = fixture.start(path);
        if (startsSlowly)
            fixture.alarms_.advance(150ms);
        std::vector<std::optional<Outcome>> outcomes;
        bool hasLeft = false;
        for (std::size_t i = 0; i < steps.size() && fixture.answers_.empty(); ++i) {
            if (i == leavesAfter) {
                handler->cancel();
                hasLeft = true;
                break;
            }
            const auto [which, step] = steps.at(i);
            if (step >= pauseStep) {
                fixture.alarms_.advance(step == longPauseStep ? 700ms : 60ms);
                continue;
            }
            std::vector<std::size_t> running;
            for (std::size_t number = 0; number < fixture.calls(); ++number) {
                if (!*fixture.call(number).isEnded_)
                    running.push_back(number);
            }
            RC_ASSERT(running.size() <= 2U);
            RC_ASSERT(!running.empty());
            const auto number = running.at(static_cast<std::size_t>(which) % running.size());
            outcomes.resize(std::max(outcomes.size(), number + 1));
            outcomes.at(number) = static_cast<Outcome>(step);
            fixture.finish(number, static_cast<Outcome>(step));
        }
        fixture.alarms_.advance(5s);
        outcomes.resize(fixture.calls());
        RC_CLASSIFY(fixture.log_.count(EventId::SecondAttemptStarted) == 1, "with a second attempt");
        RC_ASSERT(fixture.answers_.size() == (hasLeft ? 0U : 1U));
        RC_ASSERT(fixture.isNothingInFlight());
        RC_ASSERT(fixture.alarms_.pending() == 0U);
        // An attempt that was ended without an outcome may have run.
        const auto runs = std::count_if(outcomes.begin(), outcomes.end(), [](const auto& outcome) { return !outcome || mayHaveRun(*outcome); });
        const auto reached = std::count_if(outcomes.begin(), outcomes.end(), [](const auto& outcome) { return outcome != Outcome::NotSent; });
        RC_ASSERT(reached <= (path == "/read/1" ? 2 : 3));
        if (path == "/order/1")
            RC_ASSERT(runs <= 1);
        if (fixture.status() == 503 || fixture.status() == 429 || fixture.status() == 421)
            RC_ASSERT(runs == 0);
        if (fixture.status() == 200)
            RC_ASSERT(std::count(outcomes.begin(), outcomes.end(), Outcome::Success) == 1);
        RC_ASSERT(fixture.log_.count(EventId::SecondAttemptStarted) <= 1);
        std::set<std::string> upstreams;
        for (std::size_t number = 0; number < fixture.calls(); ++number)
            RC_ASSERT(upstreams.insert(fixture.upstreamOf(number).entry_.id_).second);
    });
}

namespace {

// The policy by itself, with requests whose run times the test decides.
struct PolicyFixture {
    PolicyFixture() { clock_.advance(20s); }

    auto placement() const -> Placement { return { upstream_, 0, {}, 0, 1, true, 100ms }; }

    ManualClock clock_;
    FleetView fleet_ { clock_, { 2s, 20s }, "self" };
    RetryLimiter retries_ { clock_, fleet_, { 0.2, 64, 10s } };
    DecayingRunQuantiles runs_;
    SecondAttemptPolicy policy_ { clock_, retries_, runs_ };
    UpstreamPtr upstream_ = std::make_shared<Upstream>();
};

}

TEST_CASE("second attempts are at most 5% of the requests, whatever is saved up", "[second-attempt]")
{
    PolicyFixture fixture;
    int taken = 0;
    const auto takeAll = [&] {
        while (!fixture.policy_.take("core", fixture.placement(), 1s))
            ++taken;
    };
    takeAll();
    CHECK(taken == 0);
    for (int i = 1; i <= 2'000; ++i) {
        fixture.policy_.countRequest("core");
        fixture.retries_.countRequest("core");
        takeAll();
        CHECK(taken <= i / 20);
    }
    CHECK(taken == 100);
    CHECK(fixture.policy_.refusal("core") == SecondAttemptRefusal::ShareUsed);
    // Another service has its own share.
    CHECK(fixture.policy_.refusal("other") == SecondAttemptRefusal::ShareUsed);
    // A quiet time does not allow a burst.
    for (int i = 0; i < 10'000; ++i)
        fixture.policy_.countRequest("core");
    taken = 0;
    takeAll();
    CHECK(taken <= 10);
}

TEST_CASE("second attempts stop while fewer than a quarter end first, and recover", "[second-attempt]")
{
    PolicyFixture fixture;
    const auto requests = [&] {
        for (int i = 0; i < 100; ++i) {
            fixture.policy_.countRequest("core");
            fixture.retries_.countRequest("core");
        }
    };
    requests();
    for (int i = 0; i < 40; ++i)
        fixture.policy_.recordEnd("core", i < 10);
    CHECK_FALSE(fixture.policy_.refusal("core"));
    // The oldest outcome, a gain, is forgotten.
    fixture.policy_.recordEnd("core", false);
    CHECK_FALSE(fixture.policy_.take("core", fixture.placement(), 1s));
    CHECK(fixture.policy_.refusal("core") == SecondAttemptRefusal::LittleGain);
    CHECK(fixture.policy_.refusal("other") == SecondAttemptRefusal::ShareUsed);
    int trials = 0;
    for (; trials < 20 && fixture.policy_.refusal("core"); ++trials) {
        fixture.clock_.advance(5s);
        requests();
        REQUIRE_FALSE(fixture.policy_.take("core", fixture.placement(), 1s));
        fixture.policy_.recordEnd("core", true);
    }
    CHECK(trials < 20);
}

TEST_CASE("a refused second attempt takes nothing from the retry limit", "[second-attempt]")
{
    PolicyFixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.policy_.countRequest("core");
        fixture.retries_.countRequest("core");
    }
    auto waiting = fixture.placement();
    waiting.expectedWait_ = 1ms;
    for (int i = 0; i < 1'000; ++i)
        CHECK(fixture.policy_.take("core", waiting, 1s) == SecondAttemptRefusal::ShortOfCapacity);
    CHECK(fixture.retries_.takeRetry("core"));
    CHECK_FALSE(fixture.policy_.take("core", fixture.placement(), 1s));
}

TEST_CASE("the p95 of runs follows recent runs", "[second-attempt]")
{
    DecayingRunQuantiles runs;
    CHECK_FALSE(runs.p95("read"));
    for (int i = 1; i <= 99; ++i)
        runs.record("read", 1ms * i);
    CHECK_FALSE(runs.p95("read"));
    for (int i = 0; i < 50; ++i) {
        for (int ms = 1; ms <= 100; ++ms)
            runs.record("read", 1ms * ms);
    }
    REQUIRE(runs.p95("read"));
    CHECK(*runs.p95("read") >= 95ms);
    CHECK(*runs.p95("read") <= 100ms);
    CHECK_FALSE(runs.p95("other"));
    for (int i = 0; i < 6'000; ++i)
        runs.record("read", 300ms);
    CHECK(*runs.p95("read") >= 300ms);
    CHECK(*runs.p95("read") <= 315ms);
    // Out of the range of the histogram.
    for (int i = 0; i < 6'000; ++i)
        runs.record("read", 24h);
    CHECK(*runs.p95("read") > 1min);
}

TEST_CASE("runs that second attempts cut short keep the p95 where it is", "[second-attempt]")
{
    PolicyFixture fixture;
    for (int i = 0; i < 20'000; ++i) {
        const auto p95 = fixture.policy_.delay("read", 10s);
        const bool isLong = i % 25 == 0;
        if (!isLong)
            fixture.policy_.recordRun("read", 100ms + 1ms * (i % 20));
        else if (p95)
            fixture.policy_.recordAbandonedRun("read", *p95 + 50ms);
        else
            fixture.policy_.recordRun("read", 700ms);
    }
    REQUIRE(fixture.policy_.delay("read", 10s));
    // The 99th of 100 short runs is beyond the p95.
    CHECK(*fixture.policy_.delay("read", 10s) >= 118ms);
    fixture.policy_.recordAbandonedRun("read", 1ms);
    CHECK(*fixture.policy_.delay("read", 10s) >= 118ms);
    CHECK_FALSE(fixture.policy_.delay("read", 100ms));
}

namespace {

// Requests at 200 per second on upstreams without queues, of which some runs take seven times as long.
class Load : PolicyFixture {
public:
    explicit Load(unsigned seed)
        : random_(seed)
    {
    }

    // Returns the latencies of the requests of this time, in seconds, sorted.
    auto run(Duration span, bool hedges) -> std::vector<double>
    {
        std::vector<double> latencies;
        for (Duration played {}; played < span; played += 5ms) {
            playUntil(clock_.now() + 5ms);
            ++requests_;
            policy_.countRequest("core");
            retries_.countRequest("core");
            latencies.push_back(0);
            start(latencies, hedges);
        }
        playUntil(clock_.now() + 100s);
        std::sort(latencies.begin(), latencies.end());
        return latencies;
    }

    int requests_ = 0;
    int started_ = 0;
    // Multiplies all runs.
    double slowdown_ = 1;
    double longShare_ = 0.03;
    bool isSpreadWide_ = false;

private:
    auto nextRun() -> Duration
    {
        const double usual = isSpreadWide_ ? std::lognormal_distribution<double>(0, 0.3)(random_) : std::uniform_real_distribution<double>(0.7, 1.3)(random_);
        const bool isLong = std::uniform_real_distribution<double>(0, 1)(random_) < longShare_;
        return fromSeconds(0.1 * usual * slowdown_ * (isLong ? 7 : 1));
    }

    auto start(std::vector<double>& latencies, bool hedges) -> void
    {
        const auto number = latencies.size() - 1;
        const auto startedAt = clock_.now();
        const auto firstRun = nextRun();
        const auto delay = hedges ? policy_.delay("read", 10s) : std::nullopt;
        if (!delay || *delay >= firstRun)
            return finishAlone(latencies, number, firstRun);
        events_.emplace(startedAt + *delay, [this, &latencies, number, startedAt, firstRun, delay = *delay] {
            if (policy_.take("core", placement(), 10s))
                return finishAlone(latencies, number, firstRun, firstRun - delay);
            ++started_;
            const auto secondEnd = delay + nextRun();
            const bool isFirst = secondEnd < firstRun;
            const auto took = std::min(secondEnd, firstRun);
            events_.emplace(startedAt + took, [this, &latencies, number, isFirst, took] {
                latencies.at(number) = inSeconds(took);
                policy_.recordEnd("core", isFirst);
                if (isFirst)
                    policy_.recordAbandonedRun("read", took);
                else
                    policy_.recordRun("read", took);
            });
        });
    }

    auto finishAlone(std::vector<double>& latencies, std::size_t number, Duration run) -> void { finishAlone(latencies, number, run, run); }
    auto finishAlone(std::vector<double>& latencies, std::size_t number, Duration run, Duration left) -> void
    {
        events_.emplace(clock_.now() + left, [this, &latencies, number, run] {
            latencies.at(number) = inSeconds(run);
            policy_.recordRun("read", run);
        });
    }

    auto playUntil(MonotonicTime end) -> void
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            clock_.advance(std::max<Duration>(0ns, events_.begin()->first - clock_.now()));
            const auto action = events_.begin()->second;
            events_.erase(events_.begin());
            action();
        }
        clock_.advance(std::max<Duration>(0ns, end - clock_.now()));
    }

    std::mt19937 random_;
    std::multimap<MonotonicTime, std::function<void()>> events_;
};

auto p99(const std::vector<double>& sorted) -> double { return sorted.at(sorted.size() * 99 / 100); }

}

TEST_CASE("with 3% of runs seven times as long, second attempts halve the p99 at 5% more sends", "[second-attempt][load]")
{
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    const bool isSpreadWide = GENERATE(false, true);
    CAPTURE(seed, isSpreadWide);
    Load alone(seed);
    alone.isSpreadWide_ = isSpreadWide;
    const auto without = p99(alone.run(200s, false));
    Load load(seed);
    load.isSpreadWide_ = isSpreadWide;
    const auto with = p99(load.run(200s, true));
    CAPTURE(without, with, load.started_, load.requests_);
    CHECK(with <= without / 2);
    CHECK(load.started_ <= load.requests_ * 0.05);
}

TEST_CASE("second attempts stop while all upstreams are slow, and return afterwards", "[second-attempt][load]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    Load load(seed);
    load.run(100s, true);
    CHECK(load.started_ > 0);
    load.slowdown_ = 7;
    load.longShare_ = 0;
    load.run(60s, true);
    const auto before = load.started_;
    load.run(60s, true);
    // One trial every 5 s.
    CHECK(load.started_ - before <= 13);
    load.slowdown_ = 1;
    load.longShare_ = 0.03;
    load.run(200s, true);
    const auto recovered = load.started_;
    const auto requests = load.requests_;
    load.run(100s, true);
    CHECK(load.started_ - recovered >= (load.requests_ - requests) * 0.02);
}

// Guards against a second attempt or a retry after both that is sent without the body, which the first attempt has taken, and
// against bytes that stay counted at an upstream when one of two attempts ends.
TEST_CASE("two attempts and a retry carry the whole body, and each counts it at its upstream until its end", "[second-attempt][memory]")
{
    Fixture fixture;
    const std::string body(100'000, 'b');
    const auto outstanding = [&](std::size_t number) { return fixture.bodyLimits_.outstanding(fixture.upstreamOf(number)); };
    const auto handler = fixture.start("/thrice/1", std::nullopt, body);
    fixture.alarms_.advance(150ms);
    REQUIRE(fixture.calls() == 2);
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK(fixture.call(i).request_->body() == body);
        CHECK(outstanding(i) == body.size());
    }
    const auto failedFirst = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    const auto other = 1 - failedFirst;
    fixture.finish(failedFirst, Outcome::Failure);
    CHECK(outstanding(failedFirst) == 0);
    CHECK(outstanding(other) == body.size());
    fixture.finish(other, Outcome::Failure);
    CHECK(outstanding(other) == 0);
    REQUIRE(fixture.calls() == 3);
    CHECK(fixture.call(2).request_->body() == body);
    CHECK(outstanding(2) == body.size());
    fixture.finish(2, Outcome::Success);
    CHECK(fixture.status() == 200);
    CHECK(fixture.isNothingInFlight());
    for (const auto& [id, upstream] : fixture.upstreams_.byId())
        CHECK(fixture.bodyLimits_.outstanding(*upstream) == 0);
}

// Guards against bytes that stay counted at the upstream of an attempt that is cancelled because the other one has won.
TEST_CASE("the attempt that is cancelled no longer counts its body", "[second-attempt][memory]")
{
    Fixture fixture;
    const auto handler = fixture.start("/read/1", std::nullopt, std::string(100'000, 'b'));
    fixture.alarms_.advance(150ms);
    REQUIRE(fixture.calls() == 2);
    fixture.finish(GENERATE(std::size_t { 0 }, std::size_t { 1 }), Outcome::Success);
    CHECK(fixture.status() == 200);
    for (const auto& [id, upstream] : fixture.upstreams_.byId())
        CHECK(fixture.bodyLimits_.outstanding(*upstream) == 0);
}

// Guards against a loss being recorded at the upstream of the other attempt.
TEST_CASE("a lost connection lowers the bound on bodies of its own upstream only", "[second-attempt][memory]")
{
    Fixture fixture;
    const auto handler = fixture.start("/read/1", std::nullopt, std::string(100'000, 'b'));
    fixture.alarms_.advance(150ms);
    REQUIRE(fixture.calls() == 2);
    const auto before = fixture.bodyLimits_.bound(fixture.upstreamOf(0));
    const auto lost = GENERATE(std::size_t { 0 }, std::size_t { 1 });
    fixture.finish(lost, Outcome::ConnectionLost);
    CHECK(fixture.bodyLimits_.bound(fixture.upstreamOf(lost)) == before / 2);
    CHECK(fixture.bodyLimits_.bound(fixture.upstreamOf(1 - lost)) == before);
}

// Guards against an upstream being taken for silent because this instance lacks memory for its response.
TEST_CASE("an upstream whose response is held back is not recorded as after a timeout", "[second-attempt][memory]")
{
    Fixture fixture;
    fixture.startSlow();
    REQUIRE(fixture.calls() == 2);
    *fixture.call(0).isHeldBack_ = true;
    fixture.alarms_.advance(3s);
    REQUIRE(fixture.status() == 504);
    CHECK(fixture.upstreamOf(0).consecutiveLosses_ == 0);
    CHECK(fixture.upstreamOf(0).failureRate_ == 0);
    CHECK(fixture.upstreamOf(1).consecutiveLosses_ == 1);
}
