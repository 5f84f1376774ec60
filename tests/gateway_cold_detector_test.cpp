// Tests of upstreams that become cold during a discovery outage.
#include "gateway/upstreams/cold_detector.h"

#include <catch2/catch.hpp>
#include <deque>
#include <fmt/format.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

// An instance with its own view of the upstream and the fleet.
struct Instance {
    Instance(const Clock& clock, const std::string& name)
        : upstreams_(clock, { { "north-a", "north" } })
        , fleet_(clock, { 2s, 20s }, name)
        , detector_(clock, upstreams_, fleet_)
    {
        fleet_.setReady(true);
    }

    auto upstream() const -> Upstream& { return *upstreams_.byId().at("u"); }

    UpstreamSet upstreams_;
    FleetView fleet_;
    ColdDetector detector_;
};

auto entry(const std::string& id) -> UpstreamEntry
{
    UpstreamEntry result;
    result.id_ = id;
    result.service_ = "s";
    result.domain_ = "north-a";
    return result;
}

// Instances on a shared clock. Tests make them exchange heartbeats, usually every 400 ms.
struct Fleet {
    explicit Fleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            instances_.push_back(std::make_unique<Instance>(clock_, fmt::format("e{}", i)));
            instances_.back()->upstreams_.put(entry("u"));
        }
        exchangeHeartbeats();
    }

    auto exchangeHeartbeats() -> void
    {
        for (const auto& sender : instances_) {
            MemberReport report;
            report.name_ = sender->fleet_.self();
            report.phase_ = MemberPhase::Ready;
            report.isSourceLost_ = sourceLost_.contains(report.name_);
            report.coldNotices_ = sender->detector_.activeNotices();
            sender->fleet_.setSourceLost(report.isSourceLost_);
            for (const auto& hearer : instances_) {
                hearer->fleet_.updateMember(report);
                hearer->detector_.applyNotices(report.coldNotices_);
            }
        }
    }

    ManualClock clock_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::set<std::string> sourceLost_;
};

}

TEST_CASE("upstreams are probed only in an outage, each by a single instance", "[cold-watch]")
{
    Fleet fleet(5);
    const auto probers = [&] {
        int count = 0;
        for (const auto& instance : fleet.instances_)
            count += instance->detector_.takeDueProbes().empty() ? 0 : 1;
        return count;
    };
    CHECK(probers() == 0);
    fleet.sourceLost_ = { "e0" };
    fleet.exchangeHeartbeats();
    CHECK(probers() == 0);
    fleet.sourceLost_ = { "e0", "e1", "e2" };
    fleet.exchangeHeartbeats();
    CHECK(probers() == 1);
    CHECK(probers() == 0);
    fleet.clock_.advance(200ms);
    CHECK(probers() == 1);
    SECTION("not while it is known as cold")
    {
        for (const auto& instance : fleet.instances_)
            instance->detector_.applyNotices({ { "u", 3000ms } });
        fleet.clock_.advance(1s);
        fleet.exchangeHeartbeats();
        CHECK(probers() == 0);
        fleet.clock_.advance(2100ms);
        fleet.exchangeHeartbeats();
        CHECK(probers() == 1);
    }
    SECTION("not after the outage")
    {
        fleet.sourceLost_.clear();
        fleet.exchangeHeartbeats();
        fleet.clock_.advance(1s);
        CHECK(probers() == 0);
    }
}

TEST_CASE("an upstream that becomes cold in an outage gets no more requests than its cold limit", "[cold-watch]")
{
    // The required limit for a cold upstream that can take 2.5 requests per second.
    constexpr double bound = 2.5 * 1.5 + 5;
    constexpr auto coldTime = 3000ms;
    Fleet fleet(11);
    for (int i = 0; i < 8; ++i)
        fleet.sourceLost_.insert(fmt::format("e{}", i));
    fleet.exchangeHeartbeats();
    const auto coldAt = fleet.clock_.now() + 2130ms;
    std::deque<MonotonicTime> sent;
    std::size_t most = 0;
    // Steps of 10 ms that a probe waits for a slot.
    constexpr int answerSteps = 25;
    std::map<int, Instance*> answers;
    const std::size_t perSecond = GENERATE(6, 10, 13);
    for (int step = 0; step < 500; ++step) {
        const auto now = fleet.clock_.now();
        if (step % 40 == 0)
            fleet.exchangeHeartbeats();
        for (const auto& instance : fleet.instances_) {
            if (step % 20 == 0 && !instance->detector_.takeDueProbes().empty() && now >= coldAt)
                answers[step + answerSteps] = instance.get();
        }
        if (const auto answer = answers.find(step); answer != answers.end()) {
            answer->second->detector_.recordProbeResult("u", coldAt + coldTime - now);
            fleet.exchangeHeartbeats();
        }
        const auto& sender = *fleet.instances_[static_cast<std::size_t>(step) % 11];
        const bool knowsCold = sender.upstream().coldUntil_ > now;
        if (step % (100 / static_cast<int>(perSecond)) == 0 && !knowsCold && now >= coldAt && now < coldAt + coldTime)
            sent.push_back(now);
        while (!sent.empty() && sent.front() + 1s <= now)
            sent.pop_front();
        most = std::max(most, sent.size());
        fleet.clock_.advance(10ms);
    }
    CAPTURE(perSecond, most);
    CHECK(most >= 1);
    CHECK(static_cast<double>(most) <= bound);
}

TEST_CASE("an upstream that becomes cold while in use gets no requests for a second", "[cold-watch]")
{
    Fleet fleet(1);
    auto& instance = *fleet.instances_.front();
    const auto now = fleet.clock_.now();
    const bool byEntry = GENERATE(true, false);
    auto cold = entry("u");
    cold.coldLeft_ = 3s;
    if (byEntry)
        instance.upstreams_.put(cold);
    else
        instance.detector_.recordProbeResult("u", 3s);
    CHECK(instance.upstream().nextColdSend_ == now + 1s);
    SECTION("which later news does not prolong")
    {
        fleet.clock_.advance(500ms);
        instance.upstreams_.put(cold);
        CHECK(instance.upstream().nextColdSend_ == now + 1s);
    }
    SECTION("one that has just started may be sent to at once")
    {
        cold.id_ = "v";
        instance.upstreams_.put(cold);
        CHECK(instance.upstreams_.byId().at("v")->nextColdSend_ <= now);
    }
}

TEST_CASE("a peer's notice of a cold upstream is capped and never shortens its cold time", "[cold-watch]")
{
    Fleet fleet(2);
    auto& instance = *fleet.instances_.front();
    const auto start = fleet.clock_.now();
    instance.detector_.applyNotices({ { "u", 3'600'000ms }, { "unknown", 500ms } });
    CHECK(instance.upstream().coldUntil_ == start + 60s);
    instance.detector_.applyNotices({ { "u", 10ms } });
    CHECK(instance.upstream().coldUntil_ == start + 60s);
}

// Five of twelve instances could not reach the store: fewer than half, so nobody probed, and the five went on with their
// usual load to upstreams that became cold.
TEST_CASE("instances that cannot reach the store learn from the others which upstreams are cold", "[cold-watch]")
{
    constexpr std::size_t count = 12;
    Fleet fleet(count);
    for (int i = 0; i < 5; ++i)
        fleet.sourceLost_.insert(fmt::format("e{}", i));
    fleet.exchangeHeartbeats();
    auto cold = entry("u");
    cold.coldLeft_ = 3s;
    for (const auto& instance : fleet.instances_) {
        if (!fleet.sourceLost_.contains(instance->fleet_.self()))
            instance->upstreams_.put(cold);
    }
    fleet.exchangeHeartbeats();
    const auto knowing = [&] {
        return std::count_if(fleet.instances_.begin(), fleet.instances_.end(), [&](const auto& instance) { return instance->upstream().coldUntil_ > fleet.clock_.now(); });
    };
    CHECK(knowing() == count);
    SECTION("for as long as it is cold")
    {
        fleet.clock_.advance(1500ms);
        fleet.exchangeHeartbeats();
        fleet.clock_.advance(1400ms);
        CHECK(knowing() == count);
        fleet.clock_.advance(200ms);
        CHECK(knowing() == 0);
    }
    SECTION("from a few of them only")
    {
        const auto senders = std::count_if(fleet.instances_.begin(), fleet.instances_.end(), [](const auto& instance) { return !instance->detector_.activeNotices().empty(); });
        CHECK(senders <= 3);
    }
}

// Lost responses made every instance hold back from upstreams that were warm.
TEST_CASE("what an instance only suspects to be cold is not named to the others", "[cold-watch]")
{
    Fleet fleet(12);
    fleet.sourceLost_.insert("e0");
    fleet.exchangeHeartbeats();
    for (const auto& instance : fleet.instances_)
        instance->upstreams_.setColdDuration("s", 3s);
    auto& suspecting = *fleet.instances_[GENERATE(range(1, 12))];
    suspecting.upstreams_.noteAttempt(suspecting.upstream(), AttemptHealth::Lost);
    suspecting.upstreams_.noteAttempt(suspecting.upstream(), AttemptHealth::Lost);
    REQUIRE(suspecting.upstream().coldUntil_ > fleet.clock_.now());
    fleet.exchangeHeartbeats();
    for (const auto& instance : fleet.instances_) {
        if (instance.get() != &suspecting)
            CHECK(instance->upstream().coldUntil_ <= fleet.clock_.now());
    }
}

TEST_CASE("the time for which an upstream is cold does not grow as instances tell it to each other", "[cold-watch]")
{
    Fleet fleet(12);
    fleet.sourceLost_.insert("e0");
    fleet.exchangeHeartbeats();
    auto cold = entry("u");
    cold.coldLeft_ = 3s;
    for (const auto& instance : fleet.instances_) {
        if (!fleet.sourceLost_.contains(instance->fleet_.self()))
            instance->upstreams_.put(cold);
    }
    // A notice takes some time, by which it seems to end later.
    for (int i = 0; i < 14; ++i) {
        std::vector<std::vector<ColdNotice>> sent;
        for (const auto& instance : fleet.instances_)
            sent.push_back(instance->detector_.activeNotices());
        fleet.clock_.advance(200ms);
        for (const auto& notices : sent) {
            for (const auto& receiver : fleet.instances_)
                receiver->detector_.applyNotices(notices);
        }
    }
    fleet.clock_.advance(500ms);
    for (const auto& instance : fleet.instances_)
        CHECK(instance->upstream().coldUntil_ <= fleet.clock_.now());
}

TEST_CASE("nobody names cold upstreams while all instances reach the store", "[cold-watch]")
{
    Fleet fleet(5);
    auto cold = entry("u");
    cold.coldLeft_ = 3s;
    for (const auto& instance : fleet.instances_) {
        instance->upstreams_.put(cold);
        CHECK(instance->detector_.activeNotices().empty());
    }
}
