// Tests of placement by expected end under drawn popularity of objects: warm runs, load, rejections, and what a sudden object or an
// upstream that leaves does.
#include "bench/load/simulated_region.h"
#include "gateway/placement/end_spread.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::simulation;
using namespace std::chrono_literals;

namespace {

constexpr double maxLostShare = 0.01;
constexpr double maxLoadOverMean = 1.3;
// Owners of an object that is not popular.
constexpr std::size_t usualOwners = 3;

struct Drawn {
    UpstreamModel model_;
    ObjectLoad load_;
    int upstreams_ = 0;
    int instances_ = 0;
};

// Small and large numbers of upstreams are drawn equally often. Memory is between 6 and 30 objects per upstream.
auto draw(std::mt19937_64& random, int maxUpstreams, double maxObjectsPerMemory) -> Drawn
{
    const auto between = [&random](double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); };
    Drawn drawn;
    drawn.upstreams_ = static_cast<int>(std::lround(std::exp(between(std::log(10), std::log(maxUpstreams)))));
    // More upstreams per instance would exceed the observations that a heartbeat carries.
    drawn.instances_ = std::max(3, drawn.upstreams_ / 4);
    drawn.model_.rememberedObjects_ = 6 + random() % 25;
    const auto memory = static_cast<double>(drawn.model_.rememberedObjects_) * drawn.upstreams_;
    const double mostObjects = std::min(1000.0, memory * maxObjectsPerMemory);
    drawn.load_.objects_ = static_cast<int>(std::lround(std::exp(between(0, std::log(mostObjects)))));
    drawn.load_.utilization_ = between(0.2, 0.9);
    drawn.load_.skew_ = random() % 4 == 0 ? 0 : between(0.2, 1.2);
    return drawn;
}

auto describe(const Drawn& drawn) -> std::string
{
    return fmt::format("{} upstreams that remember {} objects, {} instances, {} objects, skew {:.2f}, {:.2f} of the slots", drawn.upstreams_, drawn.model_.rememberedObjects_, drawn.instances_,
        drawn.load_.objects_, drawn.load_.skew_, drawn.load_.utilization_);
}

auto describe(const Outcome& outcome) -> std::string
{
    std::string windows;
    for (const auto& window : outcome.windows_)
        windows += fmt::format(" {:.4f}/{:.2f}", window.lostShare(), window.greatestLoad_);
    return fmt::format("sent {}, rejected {}, refused {}, warm {:.4f}, greatest load {:.3f} of the mean; per second:{}", outcome.sent_, outcome.rejected_, outcome.refused_, outcome.warmShare_, outcome.greatestLoad_, windows);
}

auto playDrawn(const Drawn& drawn, std::mt19937_64& random) -> Outcome
{
    SimulatedRegion region(drawn.instances_, drawn.upstreams_, PlacementRule::ExpectedEnd, drawn.model_);
    region.play(drawn.load_, 8s, random);
    return region.play(drawn.load_, 3s, random);
}

// Two cases check the same play.
auto busyDay() -> const Outcome&
{
    static const auto outcome = [] {
        SimulatedRegion region(100, 300, PlacementRule::ExpectedEnd);
        std::mt19937_64 random(11);
        const ObjectLoad load { 0.9, 900, 0.6 };
        region.play(load, 6s, random);
        return region.play(load, 4s, random);
    }();
    return outcome;
}

// The owners of each object in their order, of an instance that has observed nothing but how long work takes.
auto ownersOf(Instance& instance, int objects) -> std::vector<std::vector<std::string>>
{
    std::vector<std::vector<std::string>> owners;
    for (int object = 0; object < objects; ++object) {
        auto query = makeQuery(static_cast<std::uint64_t>(object), 1);
        while (query.tried_.size() < usualOwners) {
            const auto result = instance.placer_->place(query);
            const auto* placement = std::get_if<Placement>(&result);
            if (placement == nullptr)
                break;
            query.tried_.push_back(placement->upstream_->entry_.id_);
        }
        owners.push_back(query.tried_);
    }
    return owners;
}

}

// Popular objects filled their owners while other upstreams idled.
TEST_CASE("popular objects that fit into the memory of their owners run warm, and few sends are rejected", "[popularity]")
{
    const std::uint64_t seed = GENERATE(range(1, 13));
    std::mt19937_64 random(seed);
    const auto drawn = draw(random, 400, 1.0 / (2 * usualOwners));
    const auto outcome = playDrawn(drawn, random);
    CAPTURE(seed, describe(drawn), describe(outcome));
    CHECK(outcome.rejected_ + outcome.refused_ <= maxLostShare * (outcome.sent_ + outcome.refused_));
    CHECK(outcome.warmShare_ > 0.9);
}

// Objects that were kept by several owners each evicted one another, so that most runs were cold.
TEST_CASE("with more objects than all upstreams remember, few sends are rejected", "[popularity][knownred]")
{
    const std::uint64_t seed = GENERATE(range(101, 107));
    std::mt19937_64 random(seed);
    const auto drawn = draw(random, 60, 2);
    const auto outcome = playDrawn(drawn, random);
    CAPTURE(seed, describe(drawn), describe(outcome));
    CHECK(outcome.rejected_ + outcome.refused_ <= maxLostShare * (outcome.sent_ + outcome.refused_));
}

// Instances with the same load reports sent to the same upstream until the next report, and the last owners of the most popular
// objects were never used.
TEST_CASE("three hundred upstreams with popular objects at 0.9 of the slots reject few sends", "[popularity]")
{
    const auto& outcome = busyDay();
    CAPTURE(describe(outcome));
    CHECK(outcome.rejected_ < maxLostShare * outcome.sent_);
    CHECK(outcome.warmShare_ > 0.9);
}

TEST_CASE("no upstream of three hundred holds more than 1.3 times the mean over any second", "[popularity][knownred]")
{
    const auto& outcome = busyDay();
    CAPTURE(describe(outcome));
    CHECK(outcome.greatestWindowLoad() <= maxLoadOverMean);
}

// Owners were added only as fast as the average rate of the object rose, and the others of them were hardly used.
TEST_CASE("two seconds after an object has become half of the load, few sends are rejected", "[popularity]")
{
    const std::uint64_t seed = GENERATE(21, 22, 23);
    std::mt19937_64 random(seed);
    SimulatedRegion region(20, 60, PlacementRule::ExpectedEnd);
    ObjectLoad load { 0.8, 150, 0.2 };
    region.play(load, 6s, random);
    load.suddenShare_ = 0.5;
    const auto outcome = region.play(load, 6s, random);
    CAPTURE(seed, describe(outcome));
    for (std::size_t second = 3; second < outcome.windows_.size(); ++second)
        CHECK(outcome.windows_[second].lostShare() < maxLostShare);
}

// Requests for its objects would miss the remaining upstreams' caches, and fill some of them.
TEST_CASE("two seconds after an upstream has left, few sends are rejected", "[popularity]")
{
    const std::uint64_t seed = GENERATE(31, 32, 33);
    std::mt19937_64 random(seed);
    SimulatedRegion region(10, 30, PlacementRule::ExpectedEnd);
    const ObjectLoad load { 0.8, 75, 0.2 };
    region.play(load, 6s, random);
    region.removeLast();
    const auto outcome = region.play(load, 5s, random);
    CAPTURE(seed, describe(outcome));
    CHECK(outcome.warmShare_ > 0.9);
    for (std::size_t second = 2; second < outcome.windows_.size(); ++second)
        CHECK(outcome.windows_[second].lostShare() < maxLostShare);
}

// A change of the list of upstreams would move objects that it does not concern, and make them cold.
TEST_CASE("only the objects of an upstream that leaves move", "[popularity]")
{
    const int upstreams = GENERATE(10, 47, 400);
    constexpr int objects = 1000;
    const ManualClock clock;
    Instance instance(clock, upstreams, UpstreamModel().slots_, PlacementRule::ExpectedEnd);
    instance.exchange_.record({ upstreamKey(instance.upstreams_.byId().begin()->second->entry_), 0, { 0, 0, UpstreamModel().slots_, 1.0 }, {}, false });
    const auto before = ownersOf(instance, objects);
    const std::string leaving = "u3";
    instance.upstreams_.remove(leaving, 0s);
    const auto after = ownersOf(instance, objects);
    int moved = 0;
    int gained = 0;
    for (std::size_t object = 0; object < before.size(); ++object) {
        auto remaining = before[object];
        const bool wasOwner = std::erase(remaining, leaving) > 0;
        // The other owners stay in their order; one that follows takes the free place.
        CHECK(std::equal(remaining.begin(), remaining.end(), after[object].begin()));
        CHECK(after[object].size() == usualOwners);
        moved += before[object].front() != after[object].front() ? 1 : 0;
        gained += wasOwner ? 1 : 0;
    }
    // Four standard deviations above the expected numbers, which are 1/n for each owner of an object.
    const auto atMost = [](double expected) { return expected + 4 * std::sqrt(expected); };
    CHECK(moved <= atMost(static_cast<double>(objects) / upstreams));
    CHECK(gained <= atMost(static_cast<double>(objects) * usualOwners / upstreams));
}

// Guards against sending everything to the earliest end, and against sending to ends that are not worth it.
TEST_CASE("requests are spread over the ends that the requests sent meanwhile will reach", "[popularity]")
{
    const auto candidate = [](Duration wait) {
        EndCandidate result;
        result.estimate_.wait_ = wait;
        result.isNear_ = true;
        return result;
    };
    const std::vector<EndCandidate> ends { candidate(300ms), candidate(0ms), candidate(100ms) };
    CHECK_FALSE(chooseBySpread({}, 1s, 0.5));
    for (const double draw : { 0.0, 0.5, 0.99 })
        CHECK(chooseBySpread(ends, 0ms, draw) == 1U);
    // 200 ms in all raise the first two ends to 150 ms.
    CHECK(chooseBySpread(ends, 200ms, 0.7) == 1U);
    CHECK(chooseBySpread(ends, 200ms, 0.8) == 2U);
    // 800 ms raise all to 400 ms.
    CHECK(chooseBySpread(ends, 800ms, 0.1) == 0U);
    CHECK(chooseBySpread(ends, 800ms, 0.2) == 1U);
    CHECK(chooseBySpread(ends, 800ms, 0.7) == 2U);
    CHECK(utilizationOf(ends, 6) == 0);
    auto busy = ends;
    busy[0].estimate_.occupied_ = 24;
    CHECK(utilizationOf(busy, 6) == 1);
    busy[0].estimate_.occupied_ = 9;
    CHECK(utilizationOf(busy, 6) == Approx(0.5));
    CHECK(utilizationOf({}, 6) == 0);
    CHECK(expectedAddedWait(0, 300ms, 6) == 0ms);
    CHECK(expectedAddedWait(20, 300ms, 6) > expectedAddedWait(10, 300ms, 6));
}

// Only requests that ran were counted, so that an object whose owners were full got no more of them.
TEST_CASE("rejected requests count for the rate of an object, and a sudden rate is known within a second", "[popularity]")
{
    ManualClock clock;
    Instance instance(clock, 1, UpstreamModel().slots_, PlacementRule::ExpectedEnd);
    const auto key = upstreamKey(instance.upstreams_.byId().begin()->second->entry_);
    for (int i = 0; i < 100; ++i) {
        instance.exchange_.record({ key, 7, { UpstreamModel().slots_, 18, UpstreamModel().slots_, 1.0 }, {}, true });
        clock.advance(10ms);
    }
    CHECK(instance.estimator_.regionRate(7) > 50);
    CHECK(instance.estimator_.regionRate(7) < 120);
    CHECK_FALSE(instance.estimator_.estimate(*instance.upstreams_.byId().begin()->second, { "read", 7, 800ms }).isWarm_);
}
