// Fleets in which a part of the instances loses its links to all upstreams, on a virtual clock.
#include "gateway/requests/request_handler.h"
#include "standin/kept_log.h"
#include "standin/manual_alarms.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <random>

using namespace sapphirepass;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

constexpr Duration step = 5ms;
constexpr Duration tickInterval = 200ms;
constexpr Duration heartbeatInterval = 400ms;
constexpr Duration oneWay = 2ms;
constexpr Duration workTime = 100ms;
constexpr Duration connectLimit = 400ms;
constexpr int domainCount = 6;
constexpr int slots = 4;

const HeaderNames names { "Try-Id", "Left-Ms", "Object", "Key", "Workspace", "Only-At", "Proof", "Not-Run", "Load", "Cold-Ms", "Leaving", "Limit" };

enum class Manner { Refused,
    Silent };

auto regionOfDomain() -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> regions;
    for (int i = 0; i < domainCount; ++i)
        regions[fmt::format("d{}", i)] = fmt::format("r{}", i % 3);
    return regions;
}

auto declaration() -> Declaration
{
    Declaration result;
    result.version_ = 1;
    for (const auto repeat : { RepeatRule::Idempotent, RepeatRule::Once }) {
        DeclaredRoute route;
        route.name_ = repeat == RepeatRule::Once ? "order" : "read";
        route.host_ = "a.example";
        route.prefix_ = fmt::format("/{}/", route.name_);
        route.repeat_ = repeat;
        route.timeout_ = 2s;
        route.latencyTarget_ = 250ms;
        route.maxAttempts_ = 3;
        route.services_ = { { "core", 1 } };
        route.anonymous_ = true;
        result.routes_.push_back(route);
    }
    result.services_ = { { "core", 100, 3s, 9.2, "" } };
    return result;
}

class Fleet;

struct Instance final : RateAskSender, LimitAskSender, UpstreamCaller, DelegateCaller {
    Instance(Fleet& fleet, std::size_t number);

    auto sendAsk(const Coordinator&, const RateAsk&) -> void override { }
    auto sendLimitAsk(const Coordinator&, const LimitAsk&) -> void override { }
    auto hasOpenConnection(const UpstreamPtr&) -> bool override { return false; }
    auto hasIdleConnection(const UpstreamPtr&) const -> bool override { return false; }
    auto call(const UpstreamPtr& upstream, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt> override;
    auto call(const MemberReport& peer, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt> override;
    auto report() -> MemberReport;

    Fleet& fleet_;
    std::string name_;
    std::string region_;
    bool isCut_ = false;
    UpstreamSet upstreams_;
    FleetView view_;
    Placer placer_;
    standin::KeptLog log_;
    UpstreamLimiter limits_;
    RateLimiter rates_;
    RetryLimiter retries_;
    CrashTracker crashes_;
    TrafficSplitter split_;
    ResponseTimes times_;
    EndEstimator estimator_;
    DecayingRunQuantiles runQuantiles_;
    SecondAttemptPolicy secondAttempts_;
    LinkDetector links_;
    DelegateSelector selector_;
    NoticeRecorder notices_;
    Metrics metrics_;
    BodyLimiter bodyLimits_;
    LoadExchange exchange_;
    RoomGate roomGate_;
    RequestContext context_;
};

// An attempt whose outcome is dropped once it is destroyed.
class SimAttempt final : public Attempt {
public:
    explicit SimAttempt(std::shared_ptr<bool> isEnded)
        : isEnded_(std::move(isEnded))
    {
    }
    ~SimAttempt() override { *isEnded_ = true; }
    SimAttempt(const SimAttempt&) = delete;
    auto operator=(const SimAttempt&) -> SimAttempt& = delete;

private:
    std::shared_ptr<bool> isEnded_;
};

struct Tally {
    int sent_ = 0;
    int served_ = 0;
    Duration longest_ {};

    auto share() const -> double { return sent_ == 0 ? 1 : static_cast<double>(served_) / sent_; }
};

class Fleet {
public:
    Fleet(std::size_t count, Manner manner)
        : manner_(manner)
    {
        for (std::size_t i = 0; i < count; ++i)
            instances_.push_back(std::make_unique<Instance>(*this, i));
        exchangeHeartbeats();
    }

    auto run(Duration span, double perInstance) -> void
    {
        for (Duration played {}; played < span; played += step) {
            alarms_.advance(step);
            deliver();
            if (clock_.now() - tickAt_ >= tickInterval)
                tick();
            if (clock_.now() - heartbeatAt_ >= heartbeatInterval)
                exchangeHeartbeats();
            due_ += perInstance * static_cast<double>(instances_.size()) * inSeconds(step);
            for (; due_ >= 1; due_ -= 1)
                request(*instances_[random_() % instances_.size()]);
        }
    }

    auto later(Duration wait, std::function<void()> action) -> void { events_.emplace(clock_.now() + wait, std::move(action)); }

    auto clearTallies() -> void { cut_ = well_ = {}; }

    ManualClock clock_;
    standin::ManualAlarms alarms_ { clock_ };
    Manner manner_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::map<std::string, int> runs_;
    Tally cut_;
    Tally well_;

    // Keeps a handler alive until the end, as its events may refer to it.
    auto start(Instance& instance, OutgoingRequest request, RequestHandler::ResponseCallback respond, std::optional<Delegation> delegation = std::nullopt) -> void
    {
        handlers_.push_back(std::make_shared<RequestHandler>(instance.context_, std::move(request), std::move(respond), std::move(delegation)));
        handlers_.back()->start();
    }

private:
    auto deliver() -> void
    {
        while (!events_.empty() && events_.begin()->first <= clock_.now()) {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
    }

    auto tick() -> void
    {
        tickAt_ = clock_.now();
        for (auto& instance : instances_) {
            instance->links_.update();
            for (const auto& upstream : instance->links_.takeDueProbes()) {
                const auto wait = instance->isCut_ && manner_ == Manner::Silent ? connectLimit : oneWay * 2;
                later(wait, [&instance = *instance, upstream, startedAt = clock_.now()] { instance.links_.recordConnect(*upstream, startedAt, !instance.isCut_); });
            }
        }
    }

    auto exchangeHeartbeats() -> void
    {
        heartbeatAt_ = clock_.now();
        for (auto& from : instances_) {
            const auto report = from->report();
            for (auto& to : instances_)
                to->view_.updateMember(report);
        }
    }

    auto request(Instance& instance) -> void
    {
        const auto id = fmt::format("t{}", ++lastId_);
        OutgoingRequest request { http::verb::get, lastId_ % 2 == 0 ? "/read/1" : "/order/1", 11 };
        request.set(http::field::host, "a.example");
        request.set(names.attempt_, id);
        request.set(names.deadline_, "2000");
        auto& tally = instance.isCut_ ? cut_ : well_;
        ++tally.sent_;
        start(instance, std::move(request), [this, &tally, sentAt = clock_.now()](const UpstreamResponse& response) {
            tally.served_ += response.result_int() == 200 ? 1 : 0;
            tally.longest_ = std::max(tally.longest_, clock_.now() - sentAt);
        });
    }

    std::multimap<MonotonicTime, std::function<void()>> events_;
    std::vector<std::shared_ptr<RequestHandler>> handlers_;
    MonotonicTime tickAt_ {};
    MonotonicTime heartbeatAt_ {};
    std::mt19937_64 random_ { 5 };
    std::uint64_t lastId_ = 0;
    double due_ = 0;
};

Instance::Instance(Fleet& fleet, std::size_t number)
    : fleet_(fleet)
    , name_(fmt::format("e{}", number))
    , region_(fmt::format("r{}", number % 3))
    , upstreams_(fleet.clock_, regionOfDomain())
    , view_(fleet.clock_, { 2s, 20s }, name_)
    , placer_(fleet.clock_, upstreams_, view_, region_)
    , limits_(fleet.clock_, fleet.alarms_, view_, upstreams_, *this, log_, number)
    , rates_(fleet.clock_, fleet.alarms_, view_, *this, { 5s, 0.1, 20 }, number)
    , retries_(fleet.clock_, view_, { 0.2, 64, 10s })
    , crashes_(fleet.clock_, view_)
    , estimator_(fleet.clock_, upstreams_)
    , secondAttempts_(fleet.clock_, retries_, runQuantiles_)
    , links_(fleet.clock_, upstreams_, [this](const LinkChange& change) {
        if (change.state_ == LinkState::Unreachable)
            upstreams_.revertLosses(change.region_, change.since_);
    })
    , selector_(fleet.clock_, view_, region_, upstreams_.regions())
    , notices_(upstreams_, names, log_)
    , bodyLimits_(fleet.clock_)
    , exchange_(fleet.clock_, upstreams_, metrics_)
    , roomGate_(fleet.clock_, log_, metrics_, number)
    , context_ { fleet.clock_, fleet.alarms_, names, name_, std::make_shared<const DeclarationIndex>(declaration()), upstreams_, placer_, rates_, limits_, roomGate_, retries_, crashes_, split_, times_, estimator_, *this, links_, selector_, *this, notices_, exchange_, log_, metrics_, bodyLimits_, secondAttempts_ }
{
    view_.setReady(true);
    upstreams_.setColdDuration("core", 3s);
    for (int i = 0; i < 36; ++i)
        upstreams_.put({ fmt::format("u{}", i), 1, "core", { "127.0.0.1", 9000 }, fmt::format("d{}", i % domainCount), slots, UpstreamState::Ready, 0s });
}

auto Instance::report() -> MemberReport
{
    MemberReport report;
    report.name_ = name_;
    report.region_ = region_;
    report.phase_ = MemberPhase::Ready;
    report.acceptsDelegation_ = true;
    const auto unreachable = links_.unreachableRegions();
    report.unreachableRegions_.assign(unreachable.begin(), unreachable.end());
    report.isCutOff_ = links_.isCutOff();
    report.crashes_ = crashes_.counts();
    return report;
}

auto Instance::call(const UpstreamPtr& upstream, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt>
{
    const auto isEnded = std::make_shared<bool>(false);
    const bool isLost = isCut_;
    const auto wait = !isLost ? oneWay * 2 + workTime : fleet_.manner_ == Manner::Silent ? connectLimit
                                                                                         : oneWay;
    if (!isLost)
        ++fleet_.runs_[std::string((*request)[names.attempt_])];
    fleet_.later(wait, [this, upstream, isLost, isEnded, done = std::move(done), startedAt = fleet_.clock_.now()] {
        if (*isEnded)
            return;
        links_.recordConnect(*upstream, startedAt, !isLost);
        if (isLost)
            return done(TransportError { TransportErrorKind::NotSent, "refused" });
        UpstreamResponse response;
        response.result(200);
        response.set(names.signature_, "p");
        done(std::move(response));
    });
    return std::make_unique<SimAttempt>(isEnded);
}

auto Instance::call(const MemberReport& peer, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt>
{
    const auto isEnded = std::make_shared<bool>(false);
    const auto number = std::stoul(peer.name_.substr(1));
    fleet_.later(oneWay, [this, number, request, isEnded, done = std::move(done)] {
        auto delegated = *request;
        const auto text = delegated["Sapphirepass-Delegation"];
        const auto delegation = valueOf(decodeDelegation({ text.data(), text.size() }));
        delegated.erase("Sapphirepass-Delegation");
        fleet_.start(
            *fleet_.instances_[number], std::move(delegated), [this, isEnded, done](UpstreamResponse response) {
                fleet_.later(oneWay, [isEnded, done, response = std::move(response)] {
                    if (!*isEnded)
                        done(response);
                });
            },
            delegation);
    });
    return std::make_unique<SimAttempt>(isEnded);
}

}

TEST_CASE("callers of instances that reach no upstream are served as well as the others", "[links][delegation][simulation]")
{
    struct Case {
        std::size_t count_;
        // Every so many-th instance stays well.
        std::size_t wellEvery_;
        double perInstance_;
    };
    const auto row = GENERATE(values<Case>({ { 12, 2, 20 }, { 12, 12, 6 }, { 40, 2, 10 }, { 195, 2, 2 }, { 195, 5, 2 } }));
    const auto manner = GENERATE(Manner::Refused, Manner::Silent);
    CAPTURE(row.count_, row.wellEvery_, static_cast<int>(manner));
    Fleet fleet(row.count_, manner);
    fleet.run(2s, row.perInstance_);
    for (std::size_t i = 0; i < row.count_; ++i)
        fleet.instances_[i]->isCut_ = i % row.wellEvery_ != 0;
    // The users' bound begins three seconds after the cut.
    fleet.run(3s, row.perInstance_);
    fleet.clearTallies();
    fleet.run(4s, row.perInstance_);
    const auto cut = fleet.cut_;
    const auto well = fleet.well_;
    CHECK(cut.share() >= well.share() * 2 / 3);
    CHECK(cut.sent_ + well.sent_ - cut.served_ - well.served_ <= 10 + (cut.sent_ + well.sent_) / 50);

    for (auto& instance : fleet.instances_)
        instance->isCut_ = false;
    fleet.run(4s, row.perInstance_);
    fleet.clearTallies();
    fleet.run(2s, row.perInstance_);
    fleet.run(2s, 0);
    CHECK(fleet.well_.share() > 0.98);
    for (const auto& instance : fleet.instances_) {
        CHECK(instance->links_.unreachableRegions().empty());
        CHECK(instance->upstreams_.coldCount() == 0);
        CHECK(instance->crashes_.counts().empty());
    }
    CHECK(std::all_of(fleet.runs_.begin(), fleet.runs_.end(), [](const auto& item) { return item.second == 1; }));
}

TEST_CASE("instances that are all cut off refuse at once", "[links][delegation][simulation]")
{
    const auto manner = GENERATE(Manner::Refused, Manner::Silent);
    Fleet fleet(12, manner);
    fleet.run(2s, 10);
    for (auto& instance : fleet.instances_)
        instance->isCut_ = true;
    fleet.run(4s, 10);
    fleet.clearTallies();
    fleet.run(2s, 10);
    fleet.run(2s, 0);
    CHECK(fleet.cut_.served_ == 0);
    CHECK(fleet.cut_.longest_ <= oneWay * 20);
}
