// Tests of placement: instances agree on owners, requests go to warm upstreams, and no upstream is overloaded.
#include "gateway/hashing.h"
#include "gateway/placement/placement.h"

#include <catch2/catch.hpp>
#include <deque>
#include <fmt/format.h>
#include <rapidcheck/catch.h>
#include <set>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

const std::map<std::string, std::string> regionOfDomain { { "north-a", "north" }, { "south-a", "south" } };

auto entry(const std::string& id, const std::string& domain = "north-a", int slots = 4) -> UpstreamEntry
{
    return { id, 1, "core", { "127.0.0.1", 9000 }, domain, slots, UpstreamState::Ready, 0s };
}

// An instance with its own view of the upstreams.
struct Instance {
    explicit Instance(const ManualClock& clock, const std::string& name = "self")
        : upstreams_(clock, regionOfDomain)
        , fleet_(clock, { 2s, 20s }, name)
        , placer_(clock, upstreams_, fleet_, "north")
    {
    }

    auto put(int count, const std::string& domain = "north-a") -> void
    {
        for (int i = 0; i < count; ++i)
            upstreams_.put(entry(fmt::format("{}-{}", domain, i), domain));
    }

    auto find(const std::string& id) -> UpstreamPtr
    {
        for (const auto& upstream : upstreams_.ofService("core")) {
            if (upstream->entry_.id_ == id)
                return upstream;
        }
        return nullptr;
    }

    UpstreamSet upstreams_;
    FleetView fleet_;
    Placer placer_;
};

auto query(std::uint64_t object) -> PlacementQuery
{
    PlacementQuery result;
    result.service_ = "core";
    result.object_ = object;
    result.typicalResponseTime_ = 100ms;
    result.maxQueueWait_ = 200ms;
    return result;
}

auto chosen(const PlacementResult& result) -> std::string
{
    const auto* placement = std::get_if<Placement>(&result);
    return placement == nullptr ? std::string() : placement->upstream_->entry_.id_;
}

}

TEST_CASE("all instances choose the same owner for an object", "[placement]")
{
    ManualClock clock;
    Instance a(clock, "a");
    Instance b(clock, "b");
    a.put(20);
    b.put(20);
    std::set<std::string> owners;
    for (std::uint64_t object = 0; object < 200; ++object) {
        const auto owner = chosen(a.placer_.place(query(object)));
        CHECK(owner == chosen(b.placer_.place(query(object))));
        owners.insert(owner);
    }
    CHECK(owners.size() == 20);
}

TEST_CASE("removing an upstream moves only the objects that it owned", "[placement]")
{
    rc::prop("any upstream of any set", [](std::uint64_t seed) {
        ManualClock clock;
        Instance instance(clock);
        instance.put(12);
        std::map<std::uint64_t, std::string> before;
        for (std::uint64_t object = seed; object < seed + 50; ++object)
            before[object] = chosen(instance.placer_.place(query(object)));
        const auto leaving = before[seed];
        instance.upstreams_.remove(leaving, 0s);
        for (const auto& [object, owner] : before) {
            const auto now = chosen(instance.placer_.place(query(object)));
            RC_ASSERT((owner == leaving ? now != leaving : now == owner));
        }
    });
}

// On the heaviest days, requests for an object spilled over to many upstreams and found it cold on most of them.
TEST_CASE("requests for an object use one owner in the callers' region and one elsewhere before they are refused", "[placement]")
{
    ManualClock clock;
    Instance instance(clock);
    instance.put(20);
    const bool elsewhere = GENERATE(false, true);
    if (elsewhere)
        instance.put(20, "south-a");
    std::map<std::string, int> used;
    for (int sent = 0; sent < 200; ++sent) {
        const auto result = instance.placer_.place(query(7));
        if (const auto* placement = std::get_if<Placement>(&result)) {
            ++used[placement->upstream_->region_];
            ++placement->upstream_->inFlight_;
        } else {
            CHECK(std::get<PlacementRefusal>(result) == PlacementRefusal::Full);
        }
    }
    int upstreamsUsed = 0;
    for (const auto& upstream : instance.upstreams_.ofService("core"))
        upstreamsUsed += upstream->inFlight_ > 0 ? 1 : 0;
    CHECK(upstreamsUsed == (elsewhere ? 2 : 1));
    CHECK(used["north"] > used["south"]);
    CHECK(std::holds_alternative<PlacementRefusal>(instance.placer_.place(query(7))));
}

namespace {

// Upstreams with four slots that process each request for 100 ms in order of arrival, and report their load in each
// response.
class SimulatedRegion {
public:
    struct Request {
        MonotonicTime arrived_;
        MonotonicTime doneAt_;
        Instance* sender_ = nullptr;
        UpstreamPtr upstream_;
    };

    auto send(Instance& sender, const UpstreamPtr& upstream, MonotonicTime now) -> void
    {
        auto& queue = queues_[upstream->entry_.id_];
        // Starts when the fourth request before it is done.
        const auto begins = queue.size() < 4 ? now : std::max(now, queue[queue.size() - 4].doneAt_);
        maxQueueWait_ = std::max(maxQueueWait_, Duration(begins - now));
        queue.push_back({ now, begins + 100ms, &sender, upstream });
        ++upstream->inFlight_;
        maxAtOnce_ = std::max(maxAtOnce_, atOnce());
    }

    auto finish(MonotonicTime now) -> void
    {
        for (auto& [id, queue] : queues_) {
            while (!queue.empty() && queue.front().doneAt_ <= now) {
                const auto done = queue.front();
                queue.pop_front();
                --done.upstream_->inFlight_;
                const auto left = static_cast<int>(queue.size());
                done.sender_->upstreams_.noteLoad(*done.upstream_, { std::min(left, 4), std::max(0, left - 4), 4 });
                ++finished_;
            }
        }
    }

    auto atOnce() const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& [id, queue] : queues_)
            count += queue.size();
        return count;
    }

    std::size_t maxAtOnce_ = 0;
    std::size_t finished_ = 0;
    Duration maxQueueWait_ {};

private:
    std::map<std::string, std::deque<Request>> queues_;
};

// Each instance knows four upstreams in each of two regions.
auto sixInstances(const ManualClock& clock) -> std::vector<std::unique_ptr<Instance>>
{
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 0; i < 6; ++i) {
        instances.push_back(std::make_unique<Instance>(clock, fmt::format("e{}", i)));
        instances.back()->put(4);
        instances.back()->put(4, "south-a");
    }
    return instances;
}

}

// A region fails while its callers keep sending. The other region must get no more than it can finish in time; the rest
// is shed at once.
TEST_CASE("the failure of a region does not overload the other", "[placement]")
{
    ManualClock clock;
    const auto instances = sixInstances(clock);
    // Load that the upstreams report; each instance learns it from its own responses.
    std::map<std::string, int> running;
    std::map<std::string, int> most;
    int placed = 0;
    int refused = 0;
    std::uint64_t number = 0;
    for (int round = 0; round < 200; ++round) {
        if (round == 50) {
            for (const auto& instance : instances)
                instance->upstreams_.setEvacuated({ "north-a" });
            running.clear();
            for (const auto& instance : instances) {
                for (const auto& upstream : instance->upstreams_.ofService("core"))
                    upstream->inFlight_ = 0;
            }
        }
        clock.advance(10ms);
        // 32 slots, 100 ms per request, three requests every 10 ms: the capacity of both regions, and twice that of
        // one.
        for (int sent = 0; sent < 3; ++sent) {
            ++number;
            auto& instance = *instances[number % instances.size()];
            auto request = query(number * 7919);
            request.requestHash_ = stableHash(fmt::format("{}", number));
            const auto result = instance.placer_.place(request);
            const auto* placement = std::get_if<Placement>(&result);
            placed += placement != nullptr ? 1 : 0;
            refused += placement == nullptr ? 1 : 0;
            if (placement == nullptr)
                continue;
            auto& upstream = *placement->upstream_;
            CHECK((round < 50 || upstream.region_ == "south"));
            ++upstream.inFlight_;
            most[upstream.entry_.id_] = std::max(most[upstream.entry_.id_], ++running[upstream.entry_.id_]);
        }
        // Every 100 ms, all running requests end. Instances learn the load with each step.
        for (auto& [id, count] : running) {
            for (const auto& instance : instances) {
                const auto upstream = instance->find(id);
                instance->upstreams_.noteLoad(*upstream, { std::min(count, 4), std::max(0, count - 4), 4 });
                if (upstream->inFlight_ > 0 && round % 10 == 0) {
                    count -= upstream->inFlight_;
                    upstream->inFlight_ = 0;
                }
            }
        }
    }
    CAPTURE(placed, refused);
    CHECK(refused > 0);
    CHECK(placed > 200);
    for (const auto& [id, count] : most) {
        CAPTURE(id);
        // Four slots, and requests that wait up to the allowed 200 ms.
        CHECK(count <= 4 + 8);
    }
}

// Six instances send a region twice its capacity, each knowing only the load that was last reported to it. Together
// they must send no more than can finish in time; the rest is shed at once.
TEST_CASE("independent instances together send a region no more than it can finish in time", "[placement]")
{
    ManualClock clock;
    const auto instances = sixInstances(clock);
    for (const auto& instance : instances)
        instance->upstreams_.setEvacuated({ "north-a" });
    SimulatedRegion region;
    std::uint64_t asked = 0;
    std::size_t placed = 0;
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    for (int round = 0; round < 1'000; ++round) {
        clock.advance(10ms);
        region.finish(clock.now());
        for (int sent = 0; sent < 3; ++sent) {
            ++asked;
            auto& instance = *instances[asked % instances.size()];
            auto request = query(asked * 7919 + seed);
            request.requestHash_ = stableHash(fmt::format("{}-{}", seed, asked));
            const auto result = instance.placer_.place(request);
            const auto* placement = std::get_if<Placement>(&result);
            if (placement == nullptr)
                continue;
            ++placed;
            REQUIRE(placement->upstream_->region_ == "south");
            instance.placer_.recordColdSend(*placement->upstream_, request);
            region.send(instance, placement->upstream_, clock.now());
        }
    }
    // 16 slots finish 1,600 requests in these ten seconds.
    CAPTURE(seed, asked, placed, region.finished_, region.maxAtOnce_, region.maxQueueWait_ / 1ms);
    // The region can finish this many within the 200 ms that a request may wait: 16 running and 32 waiting.
    CHECK(region.maxAtOnce_ <= 48);
    // The capacity is still used.
    CHECK(region.finished_ >= 1'300);
}

// During a discovery outage, a full upstream became cold, and the health request that would have detected it waited in
// the upstream's queue for 0.8 s.
TEST_CASE("an upstream that becomes cold in a discovery outage is not overloaded before a probe detects it", "[placement]")
{
    // The required limit for a cold upstream that can take 9.2 requests per second.
    constexpr double coldPerSecond = 9.2;
    constexpr double bound = coldPerSecond * 1.5 + 5;
    struct Work {
        MonotonicTime sentAt_;
        MonotonicTime doneAt_;
        Instance* sender_ = nullptr;
    };
    ManualClock clock;
    std::vector<std::unique_ptr<Instance>> instances;
    for (int i = 0; i < 4; ++i) {
        instances.push_back(std::make_unique<Instance>(clock, fmt::format("e{}", i)));
        instances.back()->put(1);
        instances.back()->fleet_.setSourceLost(true);
    }
    // The usual load, which four slots sustain at 108 ms per request; requests take 720 ms from 2 s on.
    const auto gap = GENERATE(30ms, 40ms, 50ms);
    const auto coldAt = clock.now() + 2s;
    std::deque<Work> works;
    std::deque<MonotonicTime> recent;
    std::size_t most = 0;
    std::size_t beforeCold = 0;
    const auto count = static_cast<std::uint64_t>(5s / gap);
    for (std::uint64_t number = 1; number <= count; ++number) {
        clock.advance(gap);
        const auto now = clock.now();
        std::erase_if(works, [now](const auto& work) {
            if (work.doneAt_ <= now) {
                auto& upstreams = work.sender_->upstreams_;
                upstreams.noteEnded(*upstreams.byId().at("north-a-0"), work.sentAt_);
            }
            return work.doneAt_ <= now;
        });
        auto& instance = *instances[number % instances.size()];
        auto asked = query(number);
        asked.coldPerSecond_ = coldPerSecond;
        asked.typicalResponseTime_ = 126ms;
        asked.maxQueueWait_ = 600ms;
        asked.requestHash_ = stableHash(fmt::format("{}", number));
        const auto result = instance.placer_.place(asked);
        const auto* placement = std::get_if<Placement>(&result);
        if (placement == nullptr)
            continue;
        instance.upstreams_.noteSent(*placement->upstream_, now);
        const auto begins = works.size() < 4 ? now : works[works.size() - 4].doneAt_;
        works.push_back({ now, std::max(now, begins) + (now < coldAt ? 108ms : 720ms), &instance });
        beforeCold += now < coldAt ? 1 : 0;
        if (now >= coldAt)
            recent.push_back(now);
        while (!recent.empty() && recent.front() + 1s <= now)
            recent.pop_front();
        most = std::max(most, recent.size());
    }
    CAPTURE(gap / 1ms, beforeCold, most);
    // While the upstream is warm, it gets all requests.
    CHECK(beforeCold >= static_cast<std::size_t>(2s / gap) - 2);
    CHECK(static_cast<double>(most) <= bound);
}

// Requests for an object that is not warm take about three times as long, so a short wait for a warm owner is faster.
TEST_CASE("a request waits for a warm owner instead of using a cold upstream, unless the wait is long", "[placement]")
{
    ManualClock clock;
    Instance instance(clock);
    instance.put(8);
    instance.put(8, "south-a");
    auto asked = query(3);
    asked.maxQueueWait_ = 1s;
    const auto owner = chosen(instance.placer_.place(asked));
    // First an expected wait of 75 ms, then one of 225 ms, with a typical response time of 100 ms.
    instance.upstreams_.noteLoad(*instance.find(owner), { 4, 2, 4 });
    CHECK(chosen(instance.placer_.place(asked)) == owner);
    instance.upstreams_.noteLoad(*instance.find(owner), { 4, 8, 4 });
    CHECK(chosen(instance.placer_.place(asked)) != owner);
}

// On a recorded day, a few objects drew most requests: their only owner shed requests while other upstreams were idle.
TEST_CASE("the number of owners of an object follows its request rate", "[placement]")
{
    ManualClock clock;
    Instance instance(clock);
    instance.put(20);
    const auto refreshPeers = [&instance] {
        for (int i = 0; i < 3; ++i) {
            MemberReport peer;
            peer.name_ = fmt::format("peer-{}", i);
            peer.region_ = "north";
            peer.phase_ = MemberPhase::Ready;
            instance.fleet_.updateMember(peer);
        }
    };
    auto asked = query(7);
    asked.latencyTarget_ = 250ms;
    // 40 requests per second here and at each of three peers: 160 x 0.125 s use 20 of the 80 slots.
    std::set<std::string> used;
    const auto ask = [&](Duration gap, int count) {
        used.clear();
        for (int i = 0; i < count; ++i) {
            clock.advance(gap);
            refreshPeers();
            asked.requestHash_ = static_cast<std::uint64_t>(i) * 7919;
            used.insert(chosen(instance.placer_.place(asked)));
        }
    };
    ask(25ms, 800);
    CHECK(used.size() >= 5);
    clock.advance(30s);
    // One request per second: one owner is enough.
    ask(1s, 20);
    CHECK(used.size() == 1);
}

// On a recorded day, a large workspace that may run only in the region with the fewest slots found them filled by that
// region's own callers.
TEST_CASE("slots reserved for a workspace that may run only in one region are left free by other callers", "[placement]")
{
    ManualClock clock;
    Instance instance(clock);
    instance.put(4);
    instance.put(12, "south-a");
    const std::map<std::string, double> reserved { { "north", 0.3 } };
    auto asked = query(0);
    const bool isReserved = GENERATE(false, true);
    asked.homeRegionShares_ = isReserved ? &reserved : nullptr;
    int north = 0;
    for (std::uint64_t object = 0; object < 1'000; ++object) {
        asked.object_ = object;
        const auto result = instance.placer_.place(asked);
        north += std::get<Placement>(result).upstream_->region_ == "north" ? 1 : 0;
    }
    // The region has a quarter of the slots and half of the callers: half of its requests stay, or hardly any if the
    // slots are reserved.
    CHECK((isReserved ? north < 50 : north > 400));
}

TEST_CASE("a load report diverts requests from a busy owner while it is recent", "[placement]")
{
    ManualClock clock;
    Instance instance(clock);
    instance.put(8);
    instance.put(8, "south-a");
    const auto owner = chosen(instance.placer_.place(query(3)));
    // Requests wait for the owner up to twice the typical response time, so report more than that.
    instance.upstreams_.noteLoad(*instance.find(owner), { 4, 8, 4 });
    CHECK(chosen(instance.placer_.place(query(3))) != owner);
    clock.advance(2s);
    CHECK(chosen(instance.placer_.place(query(3))) == owner);
}

TEST_CASE("upstreams that are not eligible get no requests", "[placement]")
{
    ManualClock clock;
    Instance instance(clock);
    instance.put(1);
    const auto only = instance.find("north-a-0");
    auto asked = query(1);
    const std::vector<std::string> elsewhere { "south" };
    SECTION("draining")
    {
        auto draining = entry("north-a-0");
        draining.state_ = UpstreamState::Draining;
        instance.upstreams_.put(draining);
    }
    SECTION("evacuated") { instance.upstreams_.setEvacuated({ "north-a" }); }
    SECTION("gone") { instance.upstreams_.remove("north-a-0", 0s); }
    SECTION("outside the homes") { asked.homeRegions_ = &elsewhere; }
    SECTION("tried before") { asked.tried_ = { "north-a-0" }; }
    SECTION("of another service") { asked.service_ = "other"; }
    const auto result = instance.placer_.place(asked);
    REQUIRE(std::holds_alternative<PlacementRefusal>(result));
    CHECK(std::get<PlacementRefusal>(result) == PlacementRefusal::NoUpstream);
}

TEST_CASE("a lost upstream is ejected for a while and then used again", "[placement]")
{
    ManualClock clock;
    Instance instance(clock);
    instance.put(8);
    const auto owner = chosen(instance.placer_.place(query(3)));
    instance.upstreams_.noteAttempt(*instance.find(owner), AttemptHealth::Lost);
    CHECK(chosen(instance.placer_.place(query(3))) != owner);
    clock.advance(5s);
    CHECK(chosen(instance.placer_.place(query(3))) == owner);
}

// On a recorded day, addresses of crashed upstreams were reused by others during a store outage, and every request for
// their objects was sent to an upstream that rejected it as misdirected.
TEST_CASE("an upstream whose address was reused by another gets no requests for a while", "[placement]")
{
    ManualClock clock;
    Instance instance(clock);
    instance.put(8);
    const auto owner = chosen(instance.placer_.place(query(3)));
    instance.upstreams_.noteAttempt(*instance.find(owner), AttemptHealth::WrongUpstream);
    clock.advance(5s);
    CHECK(chosen(instance.placer_.place(query(3))) != owner);
    // A new start of the upstream is used at once.
    auto restarted = entry(owner);
    restarted.startTimeMs_ = 2;
    instance.upstreams_.put(restarted);
    CHECK(chosen(instance.placer_.place(query(3))) == owner);
}

TEST_CASE("unhealthy upstreams are used when there are no healthy ones", "[placement]")
{
    ManualClock clock;
    Instance instance(clock);
    instance.put(4);
    for (const auto& upstream : instance.upstreams_.ofService("core"))
        instance.upstreams_.noteAttempt(*upstream, AttemptHealth::Lost);
    CHECK_FALSE(chosen(instance.placer_.place(query(3))).empty());
}

// Required limit: coldPerSecond * 1.5 + 5 requests in any second from all instances together.
TEST_CASE("all instances together stay within the limit of a cold upstream", "[placement]")
{
    ManualClock clock;
    constexpr std::size_t count = 12;
    constexpr double coldPerSecond = 9.2;
    std::vector<std::unique_ptr<Instance>> instances;
    for (std::size_t i = 0; i < count; ++i) {
        instances.push_back(std::make_unique<Instance>(clock, fmt::format("e{}", i)));
        for (std::size_t other = 0; other < count; ++other)
            instances.back()->fleet_.addListedMember(fmt::format("e{}", other), { "127.0.0.1", static_cast<std::uint16_t>(9100 + other) });
        auto cold = entry("cold");
        cold.coldLeft_ = 3s;
        instances.back()->upstreams_.put(cold);
    }
    auto asked = query(1);
    asked.coldPerSecond_ = coldPerSecond;
    std::vector<int> sentAt;
    for (int ms = 0; ms < 2'900; ms += 5) {
        for (auto& instance : instances) {
            const auto result = instance->placer_.place(asked);
            if (const auto* placement = std::get_if<Placement>(&result)) {
                instance->placer_.recordColdSend(*placement->upstream_, asked);
                sentAt.push_back(ms);
            }
        }
        clock.advance(5ms);
    }
    for (const auto from : sentAt)
        CHECK(std::count_if(sentAt.begin(), sentAt.end(), [from](int at) { return at >= from && at < from + 1'000; }) <= coldPerSecond * 1.5 + 5);
    // The upstream still gets requests.
    CHECK(sentAt.size() >= 10);
}
