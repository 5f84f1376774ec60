// MemoryBudget and BodyLimiter: which bytes are held for callers and upstreams, and who is refused or cut when they are too many.
#include "gateway/limits/body_limiter.h"
#include "gateway/requests/memory_budget.h"
#include "gateway/requests/response_budget.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <memory>
#include <random>
#include <vector>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t small = 16 * kilobyte;
constexpr std::size_t total = 8'000 * kilobyte;

class KeptNotices final : public MemoryListener {
public:
    auto bodyRefused(BodyRefusal cause, std::size_t) -> void override { refused_.push_back(cause); }
    auto callerCut(std::size_t bytes, Duration) -> void override { cut_.push_back(bytes); }
    auto roomFreed() -> void override { ++freed_; }

    std::vector<BodyRefusal> refused_;
    std::vector<std::size_t> cut_;
    int freed_ = 0;
};

struct BudgetFixture {
    ManualClock clock_;
    KeptNotices notices_;
    MemoryBudget budget_ { clock_, { total, small }, notices_ };
};

// A caller that has been handed a response.
struct Reader {
    Reader(BudgetFixture& fixture, std::size_t bytes)
        : hold_(fixture.budget_, [this] { isCut_ = true; })
    {
        hold_.begin(bytes);
    }
    bool isCut_ = false;
    ReaderHold hold_;
};

struct LimiterFixture {
    LimiterFixture()
    {
        for (const auto* id : { "u", "other" })
            upstreams_.put({ id, 1, "s", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s });
    }
    auto upstream(const std::string& id) const -> const Upstream& { return *upstreams_.byId().at(id); }

    ManualClock clock_;
    UpstreamSet upstreams_ { clock_, { { "north-a", "north" } } };
    BodyLimiter limiter_ { clock_ };
};

}

TEST_CASE("small bodies and responses have room even if the total is used up", "[memory]")
{
    BudgetFixture fixture;
    MemoryHold filler(fixture.budget_, MemoryKind::ArrivingResponse);
    filler.set(total);
    BodyHold body(fixture.budget_);
    CHECK(body.ask(small) == BodyVerdict::Granted);
    CHECK(fixture.budget_.mayReadResponse(0, small));
    CHECK_FALSE(fixture.budget_.mayReadResponse(0, small + 1));
    CHECK(fixture.budget_.held(MemoryKind::RequestBody) == small);
    CHECK(fixture.notices_.refused_.empty());
}

TEST_CASE("a large body waits for room, and bodies that wait come before new ones", "[memory]")
{
    BudgetFixture fixture;
    BodyHold first(fixture.budget_);
    BodyHold second(fixture.budget_);
    BodyHold third(fixture.budget_);
    CHECK(first.ask(fixture.budget_.maxBodies()) == BodyVerdict::Granted);
    CHECK(second.ask(100 * kilobyte) == BodyVerdict::Wait);
    CHECK(fixture.budget_.waits() == 1);
    first.release();
    CHECK(fixture.notices_.freed_ == 1);
    CHECK(third.ask(20 * kilobyte) == BodyVerdict::Wait);
    CHECK(second.ask(100 * kilobyte) == BodyVerdict::Granted);
    CHECK(third.ask(20 * kilobyte) == BodyVerdict::Granted);
    CHECK(fixture.budget_.held() == 120 * kilobyte);
}

TEST_CASE("a body is refused at once if it can get no room, and otherwise after a bounded wait", "[memory]")
{
    BudgetFixture fixture;
    const auto most = fixture.budget_.maxBodies();
    BodyHold first(fixture.budget_);
    BodyHold second(fixture.budget_);
    BodyHold third(fixture.budget_);
    CHECK(first.ask(most + 1) == BodyVerdict::Refused);
    CHECK(first.ask(most) == BodyVerdict::Granted);
    CHECK(second.ask(most) == BodyVerdict::Wait);
    CHECK(third.ask(small + 1) == BodyVerdict::Refused);
    fixture.clock_.advance(10s);
    CHECK(second.ask(most) == BodyVerdict::Refused);
    CHECK(fixture.notices_.refused_ == std::vector { BodyRefusal::TooLarge, BodyRefusal::NoProspect, BodyRefusal::Waited });
    // Nothing of a refused body counts any more.
    first.release();
    CHECK(fixture.budget_.held() == 0);
    CHECK(third.ask(most) == BodyVerdict::Granted);
}

TEST_CASE("bodies leave room for responses", "[memory]")
{
    BudgetFixture fixture;
    MemoryHold filler(fixture.budget_, MemoryKind::WaitingResponse);
    filler.set(total / 2);
    BodyHold body(fixture.budget_);
    CHECK(body.ask(fixture.budget_.maxBodies()) == BodyVerdict::Wait);
}

TEST_CASE("a response that arrives counts in the memory and is read on only while that has room", "[memory]")
{
    BudgetFixture fixture;
    ResponseBudget responses({ total / 2, small }, &fixture.budget_);
    auto hold = std::make_unique<ResponseHold>(responses);
    CHECK(hold->set(100 * kilobyte));
    CHECK(hold->mayReadOn(0));
    CHECK(fixture.budget_.held(MemoryKind::ArrivingResponse) == 100 * kilobyte);
    MemoryHold filler(fixture.budget_, MemoryKind::WaitingResponse);
    filler.set(total);
    CHECK_FALSE(hold->mayReadOn(0));
    // Its own bound is as strict as without the memory.
    CHECK_FALSE(hold->set(total / 4 + 1));
    hold.reset();
    CHECK(fixture.budget_.held(MemoryKind::ArrivingResponse) == 0);
}

TEST_CASE("a large response is read on only if all of it has room, so that many do not hold parts of it", "[memory]")
{
    constexpr std::size_t large = total / 2 + kilobyte;
    BudgetFixture fixture;
    ResponseBudget responses({ total, small }, &fixture.budget_);
    ResponseHold first(responses);
    ResponseHold second(responses);
    for (auto* hold : { &first, &second })
        REQUIRE(hold->set(small));
    CHECK(first.mayReadOn(large));
    CHECK_FALSE(second.mayReadOn(large));
    CHECK(fixture.budget_.held() == large + small);
    // Its room is kept.
    CHECK(first.mayReadOn(large));
    CHECK(first.set(large / 2));
    CHECK(fixture.budget_.held() == large + small);
    first.release();
    CHECK(second.mayReadOn(large));
}

TEST_CASE("while there is room, no caller is cut, however long it reads nothing", "[memory]")
{
    BudgetFixture fixture;
    Reader reader(fixture, total / 2);
    fixture.clock_.advance(1h);
    fixture.budget_.relieve();
    CHECK_FALSE(reader.isCut_);
}

TEST_CASE("without room, callers that read nothing are cut, most bytes and longest silence first, and only as many as needed", "[memory]")
{
    BudgetFixture fixture;
    Reader silent(fixture, 2'500 * kilobyte);
    Reader reading(fixture, 3'000 * kilobyte);
    Reader tiny(fixture, 20 * kilobyte);
    Reader lesser(fixture, 2'400 * kilobyte);
    fixture.budget_.relieve();
    CHECK_FALSE(silent.isCut_);
    fixture.clock_.advance(10s);
    reading.hold_.recordProgress();
    fixture.budget_.relieve();
    CHECK(silent.isCut_);
    CHECK_FALSE(lesser.isCut_);
    CHECK_FALSE(reading.isCut_);
    CHECK_FALSE(tiny.isCut_);
    CHECK(fixture.notices_.cut_ == std::vector { 2'500 * kilobyte });
}

TEST_CASE("a caller that reads on is not cut, however full the memory is", "[memory]")
{
    BudgetFixture fixture;
    Reader reader(fixture, 2 * total);
    for (int i = 0; i < 100; ++i) {
        fixture.clock_.advance(1s);
        reader.hold_.recordProgress();
        fixture.budget_.relieve();
    }
    CHECK_FALSE(reader.isCut_);
    CHECK(fixture.budget_.held(MemoryKind::WaitingResponse) == 2 * total);
}

TEST_CASE("any course of requests stays within the total and holds nothing at its end", "[memory]")
{
    // The bytes of one request by turns: its body, the response that arrives, and the one that waits to be read.
    struct Course {
        explicit Course(BudgetFixture& fixture, ResponseBudget& responses)
            : body_(fixture.budget_)
            , arriving_(responses)
            , waiting_(fixture.budget_, [this] { isWaiting_ = false; })
        {
        }
        BodyHold body_;
        ResponseHold arriving_;
        ReaderHold waiting_;
        std::size_t arrived_ = 0;
        // Of the response, 0 if it has no stated length.
        std::size_t stated_ = 0;
        // The caller is handed a response; its next request follows after that.
        bool isWaiting_ = false;
    };
    const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U);
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    BudgetFixture fixture;
    ResponseBudget responses({ total / 2, small }, &fixture.budget_);
    std::vector<std::unique_ptr<Course>> courses;
    constexpr std::size_t count = 60;
    // Read from an upstream at a time.
    constexpr std::size_t block = 16 * kilobyte;
    for (std::size_t i = 0; i < count; ++i)
        courses.push_back(std::make_unique<Course>(fixture, responses));
    for (int turn = 0; turn < 20'000; ++turn) {
        auto& course = courses[random() % count];
        switch (random() % 8) {
        case 0:
            if (!course->isWaiting_)
                static_cast<void>(course->body_.ask(random() % (400 * kilobyte)));
            break;
        case 1:
        case 2:
        case 3:
            if (!course->isWaiting_ && course->arriving_.mayReadOn(course->stated_) && !course->arriving_.set(course->arrived_ += block))
                static_cast<void>(course->arriving_.set(course->arrived_ = 0));
            break;
        case 4:
            if (course->isWaiting_)
                break;
            course->body_.release();
            course->arriving_.release();
            course->waiting_.begin(std::exchange(course->arrived_, 0));
            course->isWaiting_ = true;
            course->stated_ = random() % 2 == 0 ? 0 : random() % (600 * kilobyte);
            break;
        case 5:
            if (!course->isWaiting_)
                break;
            course->waiting_.recordProgress();
            if (random() % 4 == 0) {
                course->waiting_.release();
                course->isWaiting_ = false;
            }
            break;
        case 6:
            // The caller leaves.
            if (random() % 4 == 0)
                course = std::make_unique<Course>(fixture, responses);
            break;
        default:
            fixture.clock_.advance(std::chrono::milliseconds(random() % 400));
            fixture.budget_.relieve();
        }
        // Beyond the total, each request may have its small parts and one block that was being read.
        REQUIRE(fixture.budget_.held() <= total + count * (2 * small + block));
    }
    courses.clear();
    for (const auto kind : allMemoryKinds)
        CHECK(fixture.budget_.held(kind) == 0);
    // Nor does any body wait still.
    BodyHold body(fixture.budget_);
    CHECK(body.ask(fixture.budget_.maxBodies()) == BodyVerdict::Granted);
}

TEST_CASE("an upstream that loses connections with large bodies outstanding gets less at a time, then slowly more", "[memory]")
{
    LimiterFixture fixture;
    auto& clock = fixture.clock_;
    auto& limiter = fixture.limiter_;
    const auto& upstream = fixture.upstream("u");
    constexpr std::size_t megabyte = 1024 * kilobyte;
    CHECK(limiter.bound(upstream) == 4 * megabyte);
    for (int i = 0; i < 4; ++i) {
        REQUIRE(limiter.mayTakeBody(upstream, megabyte));
        limiter.recordSent(upstream, megabyte);
    }
    CHECK_FALSE(limiter.mayTakeBody(upstream, small + 1));
    CHECK(limiter.mayTakeBody(upstream, small));
    CHECK(limiter.mayTakeBody(fixture.upstream("other"), megabyte));
    // One crash loses all connections.
    for (int i = 0; i < 4; ++i) {
        limiter.recordLost(upstream);
        limiter.recordEnded(upstream, megabyte);
    }
    CHECK(limiter.lowered() == 1);
    CHECK(limiter.bound(upstream) == 2 * megabyte);
    CHECK(limiter.outstanding(upstream) == 0);
    // One body is always taken.
    CHECK(limiter.mayTakeBody(upstream, 5 * megabyte));
    auto before = limiter.bound(upstream);
    while (before < 4 * megabyte) {
        clock.advance(10s);
        const auto now = limiter.bound(upstream);
        REQUIRE(now > before);
        REQUIRE(now - before <= megabyte / 2);
        before = now;
    }
    clock.advance(24h);
    CHECK(limiter.bound(upstream) == 4 * megabyte);
}

TEST_CASE("losses without large bodies outstanding say nothing about an upstream's memory", "[memory]")
{
    LimiterFixture fixture;
    auto& limiter = fixture.limiter_;
    const auto& upstream = fixture.upstream("u");
    limiter.recordSent(upstream, small);
    limiter.recordLost(upstream);
    limiter.recordEnded(upstream, small);
    CHECK(limiter.lowered() == 0);
    CHECK(limiter.bound(upstream) == 4 * 1024 * kilobyte);
}
