// A limit that an upstream names, kept by many instances that only exchange heartbeats and token requests.
#include "gateway/limits/upstream_limiter.h"
#include "gateway/upstreams/notice_recorder.h"
#include "standin/kept_log.h"
#include "standin/manual_alarms.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <random>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr Duration heartbeatInterval = 400ms;
constexpr Duration responseTime = 150ms;
constexpr Duration oneWay = 12ms;
// Requests of an instance count this long after it has received a response that names the limit.
constexpr Duration toldFor = 500ms;
constexpr Duration window = 4s;

auto headerNames() -> const HeaderNames&
{
    static const HeaderNames names = [] {
        HeaderNames result;
        result.limit_ = "Limit";
        return result;
    }();
    return names;
}

class Simulation;

struct Instance final : LimitAskSender {
    Instance(Simulation& simulation, std::size_t number);

    auto sendLimitAsk(const Coordinator& coordinator, const LimitAsk& ask) -> void override;
    auto upstream() const -> UpstreamPtr { return upstreams_.byId().at("a"); }

    Simulation& simulation_;
    std::size_t number_;
    FleetView fleet_;
    UpstreamSet upstreams_;
    standin::KeptLog log_;
    UpstreamLimiter limiter_;
    NoticeRecorder recorder_;
    std::optional<MonotonicTime> toldAt_;
};

struct Arrival {
    MonotonicTime at_;
    bool isTold_ = false;
};

class Simulation {
public:
    explicit Simulation(std::size_t count)
    {
        instances_.resize(count);
        for (std::size_t i = 0; i < count; ++i)
            restart(i);
        run(2s, 0);
    }

    auto restart(std::size_t number) -> void
    {
        instances_[number] = std::make_shared<Instance>(*this, number);
        auto& started = *instances_[number];
        for (std::size_t other = 0; other < instances_.size(); ++other)
            started.fleet_.addListedMember(nameOf(other), {});
        started.fleet_.setReady(true);
        started.upstreams_.put({ "a", start_, "core", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s, 1 });
    }

    // Plays callers that send so many requests a second for the upstream, to instances by chance.
    auto run(Duration span, double perSecond) -> void
    {
        constexpr Duration step = 4ms;
        for (Duration played {}; played < span; played += step) {
            alarms_.advance(step);
            while (!inTransit_.empty() && inTransit_.begin()->first <= clock_.now()) {
                const auto deliver = std::move(inTransit_.begin()->second);
                inTransit_.erase(inTransit_.begin());
                deliver();
            }
            if (clock_.now() - heartbeatAt_ >= heartbeatInterval)
                exchangeHeartbeats();
            due_ += perSecond * inSeconds(step);
            for (; due_ >= 1; due_ -= 1)
                request(instances_[random_() % instances_.size()]);
        }
    }

    auto send(std::size_t from, std::size_t to, std::function<void(Instance&)> deliver) -> void
    {
        if ((from < cutOff_) != (to < cutOff_) || random_() % 100 < lossPercent_)
            return;
        const auto delay = oneWay + (maxJitter_ > 0ms ? Duration(random_() % static_cast<std::uint64_t>(maxJitter_.count())) : Duration(0));
        inTransit_.emplace(clock_.now() + delay, [this, to, deliver = std::move(deliver)] { deliver(*instances_[to]); });
    }

    static auto nameOf(std::size_t number) -> std::string { return fmt::format("e{}", number); }
    static auto numberOf(const std::string& name) -> std::size_t { return std::stoul(name.substr(1)); }

    // By how much the counted requests of any window that begins at or after the given time exceed the allowed number;
    // zero or less if none does.
    auto highestExcess(MonotonicTime from, double limit) const -> double
    {
        double excess = -1e9;
        for (auto first = arrivals_.begin(); first != arrivals_.end(); ++first) {
            if (first->at_ < from)
                continue;
            const auto inWindow = std::count_if(first, arrivals_.end(), [&](const auto& arrival) { return arrival.isTold_ && arrival.at_ - first->at_ < window; });
            excess = std::max(excess, static_cast<double>(inWindow) - (1.5 * limit * inSeconds(window) + 5));
        }
        return excess;
    }
    auto arrivalsSince(MonotonicTime from) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(arrivals_.begin(), arrivals_.end(), [from](const auto& arrival) { return arrival.at_ >= from; }));
    }

    ManualClock clock_;
    standin::ManualAlarms alarms_ { clock_ };
    std::vector<std::shared_ptr<Instance>> instances_;
    // What the upstream names; empty for none.
    std::string limit_;
    std::int64_t start_ = 1;
    // Partitions the instances: this many on one side, the rest on the other.
    std::size_t cutOff_ = 0;
    std::uint64_t lossPercent_ = 0;
    Duration maxJitter_ {};
    std::size_t elsewhere_ = 0;
    std::size_t messages_ = 0;

private:
    auto request(const std::shared_ptr<Instance>& instance) -> void
    {
        instance->limiter_.admit(*instance->upstream(), [this, instance](const RateVerdict& verdict) {
            if (!verdict.admitted_) {
                ++elsewhere_;
                return;
            }
            const auto sentAt = clock_.now();
            arrivals_.push_back({ sentAt, instance->toldAt_ && sentAt - *instance->toldAt_ >= toldFor });
            inTransit_.emplace(sentAt + responseTime, [this, instance, sentAt, named = limit_] {
                UpstreamResponse response;
                if (!named.empty()) {
                    response.set("Limit", named);
                    instance->toldAt_ = instance->toldAt_.value_or(clock_.now());
                }
                instance->recorder_.record(*instance->upstream(), response, sentAt);
            });
        });
    }

    auto exchangeHeartbeats() -> void
    {
        heartbeatAt_ = clock_.now();
        for (std::size_t from = 0; from < instances_.size(); ++from) {
            instances_[from]->limiter_.removeExpired();
            MemberReport report;
            report.name_ = nameOf(from);
            report.phase_ = MemberPhase::Ready;
            report.limitNotices_ = instances_[from]->limiter_.activeNotices();
            const auto shared = std::make_shared<const MemberReport>(std::move(report));
            for (std::size_t to = 0; to < instances_.size(); ++to) {
                if (to != from)
                    send(from, to, [shared](Instance& receiver) {
                        receiver.fleet_.updateMember(*shared);
                        receiver.limiter_.applyNotices(shared->limitNotices_);
                    });
            }
        }
    }

    std::mt19937_64 random_ { 20261204 };
    std::multimap<MonotonicTime, std::function<void()>> inTransit_;
    std::vector<Arrival> arrivals_;
    MonotonicTime heartbeatAt_ {};
    double due_ = 0;
};

Instance::Instance(Simulation& simulation, std::size_t number)
    : simulation_(simulation)
    , number_(number)
    , fleet_(simulation.clock_, { 2s, 20s }, Simulation::nameOf(number))
    , upstreams_(simulation.clock_, { { "north-a", "north" } })
    , limiter_(simulation.clock_, simulation.alarms_, fleet_, upstreams_, *this, log_, (number + 1) * 1'000'000'000ULL + static_cast<std::uint64_t>(simulation.clock_.now().time_since_epoch().count()))
    , recorder_(upstreams_, headerNames(), log_, [this](const Upstream& changed) { limiter_.announce(changed); })
{
}

auto Instance::sendLimitAsk(const Coordinator& coordinator, const LimitAsk& ask) -> void
{
    ++simulation_.messages_;
    simulation_.send(number_, Simulation::numberOf(coordinator.name_), [ask, from = number_](Instance& receiver) {
        const auto grant = receiver.limiter_.onAsk(ask);
        if (ask.ask_.wanted_ > 0)
            receiver.simulation_.send(receiver.number_, from, [grant](Instance& asker) { asker.limiter_.onGrant(grant); });
    });
}

}

TEST_CASE("instances together keep the limit of an upstream, and use what it takes", "[upstream-limiter]")
{
    const auto count = GENERATE(as<std::size_t> {}, 1, 2, 12, 195);
    const auto limit = GENERATE(as<std::string> {}, "4.9", "2.3", "0.5", "0", "40");
    CAPTURE(count, limit);
    const double perSecond = std::stod(limit);
    Simulation simulation(count);
    simulation.run(1s, 14);
    simulation.limit_ = limit;
    simulation.run(3s, 14);
    const auto settled = simulation.clock_.now();
    simulation.run(12s, 14);
    CHECK(simulation.highestExcess(settled, perSecond) <= 0);
    const double taken = std::min(perSecond, 14.0) * 12;
    CHECK(static_cast<double>(simulation.arrivalsSince(settled)) >= 0.75 * taken - 1);
}

TEST_CASE("a limit holds while instances restart, and while messages are late or lost", "[upstream-limiter]")
{
    const auto count = GENERATE(as<std::size_t> {}, 12, 40);
    const auto trouble = GENERATE(as<std::string> {}, "restarts", "loss", "late");
    CAPTURE(count, trouble);
    Simulation simulation(count);
    simulation.lossPercent_ = trouble == "loss" ? 20 : 0;
    simulation.maxJitter_ = trouble == "late" ? Duration(300ms) : Duration(0);
    simulation.limit_ = "4.9";
    simulation.run(3s, 14);
    const auto settled = simulation.clock_.now();
    for (std::size_t i = 0; i < 12; ++i) {
        if (trouble == "restarts")
            simulation.restart(i);
        simulation.run(1s, 14);
    }
    CHECK(simulation.highestExcess(settled, 4.9) <= 0);
}

TEST_CASE("a limit holds while the instances are cut into halves, and after", "[upstream-limiter]")
{
    const auto limit = GENERATE(as<std::string> {}, "4.9", "2.3");
    CAPTURE(limit);
    Simulation simulation(12);
    simulation.limit_ = limit;
    simulation.run(3s, 14);
    const auto settled = simulation.clock_.now();
    simulation.cutOff_ = GENERATE(3, 6);
    simulation.run(8s, 14);
    CHECK(simulation.arrivalsSince(settled) > 0);
    simulation.cutOff_ = 0;
    simulation.run(8s, 14);
    CHECK(simulation.highestExcess(settled, std::stod(limit)) <= 0);
}

TEST_CASE("a limit that falls or rises is followed by all instances", "[upstream-limiter]")
{
    const auto count = GENERATE(as<std::size_t> {}, 12, 195);
    CAPTURE(count);
    Simulation simulation(count);
    simulation.limit_ = "6";
    simulation.run(6s, 20);
    simulation.limit_ = "2";
    simulation.run(1s, 20);
    const auto fallen = simulation.clock_.now();
    simulation.run(8s, 20);
    CHECK(simulation.highestExcess(fallen, 2) <= 0);
    simulation.limit_ = "10";
    simulation.run(2s, 20);
    const auto risen = simulation.clock_.now();
    simulation.run(6s, 20);
    CHECK(simulation.highestExcess(risen, 10) <= 0);
    CHECK(simulation.arrivalsSince(risen) >= 45);
}

TEST_CASE("the end of a limit reaches all instances", "[upstream-limiter]")
{
    const auto count = GENERATE(as<std::size_t> {}, 12, 195);
    const auto limit = GENERATE(as<std::string> {}, "4.9", "0.5", "0");
    CAPTURE(count, limit);
    Simulation simulation(count);
    simulation.limit_ = limit;
    simulation.run(6s, 14);
    simulation.limit_.clear();
    simulation.run(6s, 14);
    const auto ended = simulation.clock_.now();
    simulation.run(4s, 14);
    CHECK(simulation.arrivalsSince(ended) >= 54);
    for (const auto& instance : simulation.instances_)
        CHECK_FALSE(UpstreamLimiter::isLimited(*instance->upstream()));
}

TEST_CASE("instances that were not told by the upstream learn its limit from the others", "[upstream-limiter]")
{
    Simulation simulation(195);
    simulation.limit_ = "4.9";
    simulation.run(1s, 14);
    simulation.run(1s, 0);
    const auto knowing = std::count_if(simulation.instances_.begin(), simulation.instances_.end(), [](const auto& instance) { return UpstreamLimiter::isLimited(*instance->upstream()); });
    CHECK(knowing == 195);
}

TEST_CASE("token requests for a limited upstream are no more than the requests that want it", "[upstream-limiter]")
{
    Simulation simulation(195);
    simulation.limit_ = "2";
    simulation.run(10s, 14);
    CHECK(simulation.messages_ <= 2 * 140);
}

TEST_CASE("an instance that knows no limit forgets no limit of a new start", "[upstream-limiter]")
{
    Simulation simulation(3);
    simulation.limit_ = "0.5";
    simulation.run(3s, 14);
    REQUIRE(UpstreamLimiter::isLimited(*simulation.instances_[0]->upstream()));
    const auto previous = simulation.instances_[0]->limiter_.activeNotices();
    simulation.instances_[1]->upstreams_.put({ "a", 2, "core", { "127.0.0.1", 9000 }, "north-a", 4, UpstreamState::Ready, 0s, 1 });
    simulation.instances_[1]->limiter_.applyNotices(previous);
    CHECK_FALSE(UpstreamLimiter::isLimited(*simulation.instances_[1]->upstream()));
}

TEST_CASE("a limit that instances tell each other again and again does not outlive its end", "[upstream-limiter]")
{
    Simulation simulation(2);
    auto& instance = *simulation.instances_[0];
    const auto toldAt = simulation.clock_.now();
    instance.limiter_.applyNotices({ { "a", 1, 4.9, 0ms } });
    REQUIRE(UpstreamLimiter::isLimited(*instance.upstream()));
    for (int i = 0; i < 10; ++i) {
        simulation.clock_.advance(100ms);
        instance.limiter_.applyNotices({ { "a", 1, 4.9, std::chrono::milliseconds(50) } });
    }
    instance.recorder_.record(*instance.upstream(), UpstreamResponse(), toldAt + 500ms);
    CHECK_FALSE(UpstreamLimiter::isLimited(*instance.upstream()));
    instance.limiter_.applyNotices({ { "a", 1, 4.9, 900ms } });
    CHECK_FALSE(UpstreamLimiter::isLimited(*instance.upstream()));
}
