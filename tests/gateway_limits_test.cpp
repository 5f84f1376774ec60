// Limits over the whole fleet, kept by instances that only hear each other's heartbeats.
#include "gateway/limits.h"

#include <catch2/catch.hpp>
#include <deque>
#include <fmt/format.h>
#include <random>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr FleetTiming timing { 2s, 20s };
constexpr RateTolerance tolerance { 5s, 0.1, 20 };
constexpr RetryBound retryBound { 0.2, 64, 10s };

struct Limiter {
    Limiter(ManualClock& clock, std::string name)
        : name_(std::move(name))
        , fleet_(clock, timing, name_)
        , rates_(clock, fleet_, tolerance)
        , retries_(clock, fleet_, retryBound)
    {
    }

    std::string name_;
    FleetView fleet_;
    RateGate rates_;
    RetryGate retries_;
};

// Instances on one clock that hear each other every 400 ms, unless cut.
class Fleet {
public:
    explicit Fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            limiters_.push_back(start(i));
    }

    auto start(std::size_t number) -> std::unique_ptr<Limiter>
    {
        auto limiter = std::make_unique<Limiter>(clock_, fmt::format("e{}", number));
        // The platform's list names all instances that ever were.
        for (std::size_t other = 0; other < 12; ++other)
            limiter->fleet_.expect(fmt::format("e{}", other), {});
        return limiter;
    }

    auto restart(std::size_t number) -> void { limiters_[number] = start(number); }

    auto step(Duration step) -> void
    {
        clock_.advance(step);
        if (clock_.now() - toldAt_ < 400ms)
            return;
        toldAt_ = clock_.now();
        for (std::size_t from = 0; from < limiters_.size(); ++from) {
            MemberReport report;
            report.name_ = limiters_[from]->name_;
            report.phase_ = MemberPhase::Ready;
            report.demands_ = limiters_[from]->rates_.measureDemand();
            for (std::size_t to = 0; to < limiters_.size(); ++to) {
                if ((from < cut_) == (to < cut_))
                    limiters_[to]->fleet_.hear(report);
            }
        }
        for (auto& limiter : limiters_)
            limiter->fleet_.forgetSilent();
    }

    ManualClock clock_;
    std::vector<std::unique_ptr<Limiter>> limiters_;
    // The first so many are cut off from the others, who are together.
    std::size_t cut_ = 0;

private:
    MonotonicTime toldAt_ {};
};

// Counts what is admitted in a sliding window.
class Window {
public:
    auto note(MonotonicTime now) -> void { times_.push_back(now); }
    auto count(MonotonicTime now) -> std::size_t
    {
        while (!times_.empty() && now - times_.front() > 5s)
            times_.pop_front();
        return times_.size();
    }

private:
    std::deque<MonotonicTime> times_;
};

struct Outcome {
    std::size_t asked_ = 0;
    std::size_t refused_ = 0;
    std::size_t mostInWindow_ = 0;
};

// Plays requests of one workspace that arrive at random at random instances.
template <typename Event>
auto play(Fleet& fleet, double perSecond, double rate, double burst, Duration length, Event event) -> Outcome
{
    std::mt19937_64 random(20261203);
    std::exponential_distribution<double> gap(perSecond);
    Outcome outcome;
    Window window;
    const auto start = fleet.clock_.now();
    while (fleet.clock_.now() - start < length) {
        fleet.step(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random))));
        event(fleet.clock_.now() - start);
        auto& limiter = *fleet.limiters_[random() % fleet.limiters_.size()];
        ++outcome.asked_;
        if (limiter.rates_.admit("acme", rate, burst).admitted_)
            window.note(fleet.clock_.now());
        else
            ++outcome.refused_;
        outcome.mostInWindow_ = std::max(outcome.mostInWindow_, window.count(fleet.clock_.now()));
    }
    return outcome;
}

constexpr double rate = 100;
constexpr double burst = 100;
// What the users allow in five seconds.
constexpr double allowed = (rate * 5 + burst) * 1.1 + 20;

}

TEST_CASE("a workspace at seven times its rate gets no more than it is allowed", "[rates]")
{
    Fleet fleet(12);
    const auto outcome = play(fleet, rate * 7, rate, burst, 30s, [](Duration) {});
    CHECK(static_cast<double>(outcome.mostInWindow_) <= allowed);
    // It gets its rate.
    CHECK(static_cast<double>(outcome.asked_ - outcome.refused_) >= rate * 30 * 0.9);
}

TEST_CASE("the bound holds while all instances restart in turn and at once", "[rates]")
{
    Fleet fleet(12);
    std::size_t restarted = 0;
    const auto outcome = play(fleet, rate * 7, rate, burst, 30s, [&](Duration age) {
        // In turn once a second from the tenth second on, then all at once.
        if (age > 10s && age < 22s && restarted < static_cast<std::size_t>(age / 1s - 9))
            fleet.restart(restarted++ % 12);
        if (age > 25s && restarted < 100) {
            for (std::size_t i = 0; i < 12; ++i)
                fleet.restart(i);
            restarted = 100;
        }
    });
    CHECK(restarted == 100);
    CHECK(static_cast<double>(outcome.mostInWindow_) <= allowed);
}

TEST_CASE("the bound holds while a third of the instances is cut off", "[rates]")
{
    Fleet fleet(12);
    const auto outcome = play(fleet, rate * 7, rate, burst, 30s, [&](Duration age) { fleet.cut_ = age > 10s && age < 22s ? 4 : 0; });
    CHECK(static_cast<double>(outcome.mostInWindow_) <= allowed);
}

TEST_CASE("a workspace inside its rate is hardly refused", "[rates]")
{
    Fleet fleet(12);
    play(fleet, rate * 0.6, rate, burst, 5s, [](Duration) {});
    const auto outcome = play(fleet, rate * 0.6, rate, burst, 30s, [](Duration) {});
    CAPTURE(outcome.asked_, outcome.refused_);
    CHECK(static_cast<double>(outcome.refused_) <= static_cast<double>(outcome.asked_) * 0.01);
}

TEST_CASE("a workspace without a rate is never refused", "[rates]")
{
    Fleet fleet(1);
    for (int i = 0; i < 1'000; ++i)
        CHECK(fleet.limiters_[0]->rates_.admit("acme", 0, 0).admitted_);
}

TEST_CASE("retries of a failing service stay within the fleet's bound", "[retry]")
{
    Fleet fleet(12);
    std::mt19937_64 random(7);
    std::deque<MonotonicTime> retries;
    std::deque<MonotonicTime> requests;
    for (int i = 0; i < 20'000; ++i) {
        fleet.step(2ms);
        auto& limiter = *fleet.limiters_[random() % 12];
        limiter.retries_.noteRequest("core");
        requests.push_back(fleet.clock_.now());
        if (limiter.retries_.takeRetry("core"))
            retries.push_back(fleet.clock_.now());
        const auto forget = [&](std::deque<MonotonicTime>& times) {
            while (!times.empty() && fleet.clock_.now() - times.front() > 10s)
                times.pop_front();
        };
        forget(retries);
        forget(requests);
        REQUIRE(static_cast<double>(retries.size()) <= 0.2 * static_cast<double>(requests.size()) + 64);
    }
    CHECK(retries.size() > 100);
}

TEST_CASE("a request that crashes upstreams is barred after the third, also by what peers tell", "[crash]")
{
    ManualClock clock;
    FleetView fleet(clock, timing, "self");
    CrashRegister crashes(clock, fleet);
    crashes.noteLost(5, "u1");
    crashes.noteLost(5, "u1");
    CHECK_FALSE(crashes.isBarred(5));
    crashes.noteLost(5, "u2");
    CHECK_FALSE(crashes.isBarred(5));
    SECTION("a third here")
    {
        crashes.noteLost(5, "u3");
        CHECK(crashes.isBarred(5));
        CHECK_FALSE(crashes.isBarred(6));
    }
    SECTION("a third elsewhere")
    {
        MemberReport report;
        report.name_ = "peer";
        report.crashes_ = { { 5, 1 } };
        fleet.hear(report);
        CHECK(crashes.isBarred(5));
    }
    SECTION("an answer clears it")
    {
        crashes.noteAnswered(5);
        crashes.noteLost(5, "u3");
        CHECK_FALSE(crashes.isBarred(5));
    }
    SECTION("it is forgotten")
    {
        crashes.noteLost(5, "u3");
        clock.advance(60s);
        CHECK(crashes.counts().empty());
        CHECK_FALSE(crashes.isBarred(5));
    }
}
