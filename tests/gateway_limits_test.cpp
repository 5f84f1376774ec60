// Tests of fleet-wide limits, enforced by instances that only exchange heartbeats and token requests.
#include "gateway/fleet/datagram_codec.h"
#include "gateway/limits/limits.h"
#include "gateway/limits/rate_limiter.h"
#include "standin/manual_alarms.h"

#include <catch2/catch.hpp>
#include <deque>
#include <fmt/format.h>
#include <random>
#include <rapidcheck/catch.h>
#include <set>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr FleetTiming timing { 2s, 20s };
constexpr RateTolerance tolerance { 5s, 0.1, 20 };
constexpr RetryLimit retryLimit { 0.2, 64, 10s };

class Fleet;

struct Limiter final : RateAskSender {
    Limiter(Fleet& fleet, std::size_t number);

    auto sendAsk(const Coordinator& coordinator, const RateAsk& ask) -> void override;

    Fleet& simulation_;
    std::size_t number_;
    std::string name_;
    FleetView fleet_;
    RateLimiter rates_;
    RetryLimiter retries_;
};

// Instances on a shared clock that exchange heartbeats every 400 ms and request tokens from each other, unless cut off.
class Fleet {
public:
    explicit Fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            limiters_.push_back(nullptr);
        for (std::size_t i = 0; i < count; ++i)
            restart(i);
        // Let the first heartbeats pass before any traffic.
        for (int i = 0; i < 100; ++i)
            step(50ms);
    }

    auto restart(std::size_t number) -> void
    {
        limiters_[number].reset();
        limiters_[number] = std::make_unique<Limiter>(*this, number);
        // The platform lists every instance that ever existed.
        for (std::size_t other = 0; other < limiters_.size(); ++other)
            limiters_[number]->fleet_.addListedMember(fmt::format("e{}", other), {});
    }

    auto canReach(std::size_t from, std::size_t to) const -> bool { return (from < cutOff_) == (to < cutOff_) && !mutes_.contains(from) && !deaf_.contains(to); }

    // The instance that coordinates a bucket while all are connected.
    auto coordinatorOf(const std::string& bucket) const -> std::size_t { return static_cast<std::size_t>(std::stoi(limiters_[0]->fleet_.coordinatorOf(bucket)->name_.substr(1))); }

    auto send(std::size_t from, std::size_t to, PeerDatagram datagram) -> void
    {
        if (canReach(from, to))
            inTransit_.push_back({ clock_.now() + messageTime_, from, to, std::move(datagram) });
    }

    // Advances in small steps, so that messages and timers happen in order.
    auto step(Duration step) -> void
    {
        for (; step > 4ms; step -= 4ms)
            advance(4ms);
        advance(step);
    }

private:
    auto advance(Duration step) -> void
    {
        alarms_.advance(step);
        while (!inTransit_.empty() && inTransit_.front().at_ <= clock_.now()) {
            const auto message = std::move(inTransit_.front());
            inTransit_.pop_front();
            deliver(message);
        }
        if (clock_.now() - heartbeatAt_ >= 400ms)
            exchangeHeartbeats();
    }

public:
    ManualClock clock_;
    standin::ManualAlarms alarms_ { clock_ };
    std::vector<std::unique_ptr<Limiter>> limiters_;
    // Partitions the fleet: this many instances on one side, the rest on the other.
    std::size_t cutOff_ = 0;
    // Instances that receive messages, but whose own are lost.
    std::set<std::size_t> mutes_;
    // Instances that receive nothing.
    std::set<std::size_t> deaf_;
    // One-way latency between regions.
    Duration messageTime_ = 12ms;
    std::uint64_t restarts_ = 0;

private:
    struct Message {
        MonotonicTime at_;
        std::size_t from_;
        std::size_t to_;
        PeerDatagram datagram_;
    };

    auto deliver(const Message& message) -> void
    {
        auto& receiver = *limiters_[message.to_];
        if (const auto* ask = std::get_if<RateAsk>(&message.datagram_))
            send(message.to_, message.from_, receiver.rates_.onAsk(*ask));
        else if (const auto* grant = std::get_if<RateGrant>(&message.datagram_))
            receiver.rates_.onGrant(*grant);
    }

    auto exchangeHeartbeats() -> void
    {
        heartbeatAt_ = clock_.now();
        for (std::size_t from = 0; from < limiters_.size(); ++from) {
            MemberReport report;
            report.name_ = limiters_[from]->name_;
            report.phase_ = MemberPhase::Ready;
            report.silentMembers_ = limiters_[from]->fleet_.silentMembers();
            for (std::size_t to = 0; to < limiters_.size(); ++to) {
                if (canReach(from, to))
                    limiters_[to]->fleet_.updateMember(report);
            }
        }
        for (auto& limiter : limiters_) {
            limiter->fleet_.removeSilent();
            limiter->rates_.refillShared();
        }
    }

    std::deque<Message> inTransit_;
    MonotonicTime heartbeatAt_ {};
};

Limiter::Limiter(Fleet& fleet, std::size_t number)
    : simulation_(fleet)
    , number_(number)
    , name_(fmt::format("e{}", number))
    , fleet_(fleet.clock_, timing, name_)
    , rates_(fleet.clock_, fleet.alarms_, fleet_, *this, tolerance, (number + 1) * 1'000'000 + fleet.restarts_++)
    , retries_(fleet.clock_, fleet_, retryLimit)
{
    fleet_.setReady(true);
    rates_.setLimits({ { "acme", {}, std::nullopt, 100, 100, {} }, { "small", {}, std::nullopt, 20, 20, {} } });
}

auto Limiter::sendAsk(const Coordinator& coordinator, const RateAsk& ask) -> void
{
    simulation_.send(number_, static_cast<std::size_t>(std::stoi(coordinator.name_.substr(1))), ask);
}

// Counts admitted requests in a sliding window of 5 s.
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

struct Load {
    double perSecond_ = 0;
    double rate_ = 0;
    Duration length_ {};
    const char* workspace_ = "acme";
    // Callers use only the first N instances; 0 for all.
    std::size_t instances_ = 0;
};

// Requests that the requirements allow in five seconds.
auto allowed(double rate) -> double { return (rate * 5 + rate) * 1.1 + 20; }

// Sends requests of one workspace at random times to random instances. The burst equals one second of the rate.
template <typename Event>
auto runLoad(Fleet& fleet, const Load& load, Event event) -> Outcome
{
    std::mt19937_64 random(20261203);
    std::exponential_distribution<double> gap(load.perSecond_);
    Outcome outcome;
    Window window;
    const DeclaredWorkspace workspace { load.workspace_, {}, std::nullopt, load.rate_, load.rate_, {} };
    const auto count = load.instances_ == 0 ? fleet.limiters_.size() : load.instances_;
    const auto start = fleet.clock_.now();
    while (fleet.clock_.now() - start < load.length_) {
        fleet.step(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random))));
        event(fleet.clock_.now() - start);
        ++outcome.asked_;
        fleet.limiters_[random() % count]->rates_.admit(workspace, [&](const RateVerdict& verdict) {
            if (verdict.admitted_)
                window.note(fleet.clock_.now());
            else
                ++outcome.refused_;
            outcome.mostInWindow_ = std::max(outcome.mostInWindow_, window.count(fleet.clock_.now()));
        });
    }
    // Let grants in transit arrive.
    for (int i = 0; i < 50; ++i)
        fleet.step(20ms);
    return outcome;
}

const auto nothing = [](Duration) {};

}

TEST_CASE("a workspace that sends seven times its rate is limited to it", "[rates]")
{
    const std::size_t count = GENERATE(3, 12, 87);
    const auto load = GENERATE(Load { 700, 100, 20s, "acme", 0 }, Load { 140, 20, 20s, "small", 0 });
    CAPTURE(count, load.workspace_);
    Fleet fleet(count);
    const auto outcome = runLoad(fleet, load, nothing);
    CHECK(static_cast<double>(outcome.mostInWindow_) <= allowed(load.rate_));
    // The workspace still gets its rate.
    CHECK(static_cast<double>(outcome.asked_ - outcome.refused_) >= load.rate_ * 20 * 0.9);
}

TEST_CASE("the rate limit holds while instances restart one by one and all at once", "[rates]")
{
    Fleet fleet(12);
    std::size_t restarted = 0;
    const auto outcome = runLoad(fleet, { 700, 100, 30s }, [&](Duration age) {
        // One restart per second from 10 s on, then all instances at once.
        if (age > 10s && age < 22s && restarted < static_cast<std::size_t>(age / 1s - 9))
            fleet.restart(restarted++ % 12);
        if (age > 25s && restarted < 100) {
            for (std::size_t i = 0; i < 12; ++i)
                fleet.restart(i);
            restarted = 100;
        }
    });
    CHECK(restarted == 100);
    CHECK(static_cast<double>(outcome.mostInWindow_) <= allowed(100));
}

TEST_CASE("the rate limit holds while some instances are partitioned", "[rates]")
{
    const std::size_t cutOff = GENERATE(1, 4, 6, 9);
    CAPTURE(cutOff);
    Fleet fleet(12);
    const auto outcome = runLoad(fleet, { 700, 100, 30s }, [&](Duration age) { fleet.cutOff_ = age > 10s && age < 22s ? cutOff : 0; });
    CHECK(static_cast<double>(outcome.mostInWindow_) <= allowed(100));
}

// Its own callers were served from one bucket, and those of all others from that of its successor. A bucket was also refilled
// for the time in which another instance had granted the tokens.
TEST_CASE("the rate limit holds while a coordinator is cut off in one direction or both, once or again and again", "[rates]")
{
    const std::size_t count = GENERATE(3, 12);
    const bool isFlapping = GENERATE(false, true);
    const bool isDeafToo = GENERATE(false, true);
    const double share = GENERATE(0.0, 0.5);
    CAPTURE(count, isFlapping, isDeafToo, share);
    Fleet fleet(count);
    const auto coordinator = fleet.coordinatorOf("acme");
    const DeclaredWorkspace workspace { "acme", {}, std::nullopt, 100, 100, {} };
    Window window;
    std::size_t most = 0;
    std::mt19937_64 random(20261204);
    const auto start = fleet.clock_.now();
    for (int sent = 0; sent < 20'000; ++sent) {
        fleet.step(1ms);
        const auto age = fleet.clock_.now() - start;
        const bool isMute = age > 3s && age < 17s && (!isFlapping || age % 4s < 3s);
        fleet.mutes_ = isMute ? std::set { coordinator } : std::set<std::size_t> {};
        fleet.deaf_ = isDeafToo ? fleet.mutes_ : std::set<std::size_t> {};
        const bool goesToCoordinator = static_cast<double>(random() % 1000) < share * 1000;
        fleet.limiters_[goesToCoordinator ? coordinator : random() % count]->rates_.admit(workspace, [&](const RateVerdict& verdict) {
            if (verdict.admitted_)
                window.note(fleet.clock_.now());
            most = std::max(most, window.count(fleet.clock_.now()));
        });
    }
    CHECK(static_cast<double>(most) <= allowed(100));
}

TEST_CASE("at most 1% of the requests of a workspace within its rate are refused", "[rates]")
{
    const std::size_t count = GENERATE(3, 12, 87);
    const std::size_t used = GENERATE(0, 3);
    const auto load = GENERATE(Load { 60, 100, 30s, "acme", 0 }, Load { 12, 20, 30s, "small", 0 });
    CAPTURE(count, used, load.workspace_);
    Fleet fleet(count);
    auto spread = load;
    spread.instances_ = used;
    const auto outcome = runLoad(fleet, spread, nothing);
    CAPTURE(outcome.asked_, outcome.refused_);
    CHECK(static_cast<double>(outcome.refused_) <= static_cast<double>(outcome.asked_) * 0.01);
}

TEST_CASE("at most 2% of the requests of a workspace within its rate are refused after all instances restart", "[rates]")
{
    Fleet fleet(12);
    for (std::size_t i = 0; i < 12; ++i)
        fleet.restart(i);
    const auto outcome = runLoad(fleet, { 60, 100, 5s }, nothing);
    CAPTURE(outcome.asked_, outcome.refused_);
    CHECK(static_cast<double>(outcome.refused_) <= static_cast<double>(outcome.asked_) * 0.02);
}

TEST_CASE("every request gets exactly one verdict when messages are lost", "[rates]")
{
    Fleet fleet(12);
    std::size_t asked = 0;
    std::size_t verdicts = 0;
    std::mt19937_64 random(5);
    const DeclaredWorkspace workspace { "acme", {}, std::nullopt, 100, 100, {} };
    for (int i = 0; i < 5'000; ++i) {
        fleet.step(3ms);
        if (random() % 50 == 0)
            fleet.cutOff_ = random() % 12;
        ++asked;
        fleet.limiters_[random() % 12]->rates_.admit(workspace, [&](const RateVerdict&) { ++verdicts; });
    }
    for (int i = 0; i < 50; ++i)
        fleet.step(20ms);
    CHECK(verdicts == asked);
}

// On a recorded day of a grown deployment, a slow coordinator answered the first token request after the second had
// been sent, and both grants were ignored.
TEST_CASE("a grant that arrives after the second token request still counts", "[rates]")
{
    Fleet fleet(40);
    fleet.messageTime_ = 80ms;
    const auto outcome = runLoad(fleet, { 12, 20, 20s, "small", 0 }, nothing);
    CAPTURE(outcome.asked_, outcome.refused_);
    CHECK(static_cast<double>(outcome.refused_) <= static_cast<double>(outcome.asked_) * 0.01);
}

// A coordinator that grants one token per request must not keep the other requests waiting forever.
TEST_CASE("requests beyond a coordinator's tokens are refused immediately instead of waiting", "[rates]")
{
    const std::size_t count = GENERATE(1, 3, 12);
    CAPTURE(count);
    Fleet fleet(count);
    const DeclaredWorkspace workspace { "acme", {}, std::nullopt, 100, 100, {} };
    std::size_t asked = 0;
    std::size_t verdicts = 0;
    for (int i = 0; i < 5'000; ++i) {
        fleet.step(1ms);
        ++asked;
        fleet.limiters_[0]->rates_.admit(workspace, [&](const RateVerdict&) { ++verdicts; });
        // The requests of one round trip may wait, and those of one more token request.
        CHECK(asked - verdicts <= 80);
    }
}

TEST_CASE("the Retry-After of a workspace that stays over its rate grows up to a maximum", "[rates]")
{
    Fleet fleet(3);
    Duration first {};
    Duration last {};
    const DeclaredWorkspace workspace { "acme", {}, std::nullopt, 100, 100, {} };
    for (int i = 0; i < 5'000; ++i) {
        fleet.step(1ms);
        fleet.limiters_[0]->rates_.admit(workspace, [&](const RateVerdict& verdict) {
            if (verdict.admitted_)
                return;
            first = first == Duration::zero() ? verdict.retryAfter_ : first;
            last = verdict.retryAfter_;
        });
    }
    CHECK(first > 0ms);
    CHECK(first <= 200ms);
    CHECK(last == 2s);
    fleet.step(3s);
    fleet.limiters_[0]->rates_.admit(workspace, [](const RateVerdict& verdict) { CHECK(verdict.admitted_); });
}

TEST_CASE("a workspace without a rate is never refused", "[rates]")
{
    Fleet fleet(1);
    int admitted = 0;
    for (int i = 0; i < 1'000; ++i)
        fleet.limiters_[0]->rates_.admit({}, [&](const RateVerdict& verdict) { admitted += verdict.admitted_ ? 1 : 0; });
    CHECK(admitted == 1'000);
}

TEST_CASE("retries of a failing service stay within the retry budget of the fleet", "[retry]")
{
    Fleet fleet(12);
    std::mt19937_64 random(7);
    std::deque<MonotonicTime> retries;
    std::deque<MonotonicTime> requests;
    for (int i = 0; i < 20'000; ++i) {
        fleet.step(2ms);
        auto& limiter = *fleet.limiters_[random() % 12];
        limiter.retries_.countRequest("core");
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

TEST_CASE("a request that crashes upstreams is blocked after the third crash, including those reported by peers", "[crash]")
{
    ManualClock clock;
    FleetView fleet(clock, timing, "self");
    CrashTracker crashes(clock, fleet);
    crashes.recordLostConnection(5, "u1");
    crashes.recordLostConnection(5, "u1");
    CHECK_FALSE(crashes.isBlocked(5));
    crashes.recordLostConnection(5, "u2");
    CHECK_FALSE(crashes.isBlocked(5));
    SECTION("a third here")
    {
        crashes.recordLostConnection(5, "u3");
        CHECK(crashes.isBlocked(5));
        CHECK_FALSE(crashes.isBlocked(6));
    }
    SECTION("a third elsewhere")
    {
        MemberReport report;
        report.name_ = "peer";
        report.crashes_ = { { 5, 1 } };
        fleet.updateMember(report);
        CHECK(crashes.isBlocked(5));
    }
    SECTION("an answer clears it")
    {
        crashes.recordResponse(5);
        crashes.recordLostConnection(5, "u3");
        CHECK_FALSE(crashes.isBlocked(5));
    }
    SECTION("it is forgotten")
    {
        crashes.recordLostConnection(5, "u3");
        clock.advance(60s);
        CHECK(crashes.counts().empty());
        CHECK_FALSE(crashes.isBlocked(5));
    }
}
