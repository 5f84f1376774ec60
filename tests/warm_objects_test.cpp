// Tests of which objects upstreams are taken to have cached, and of the request rates of objects.
#include "gateway/placement/warm_objects.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <numbers>
#include <random>
#include <vector>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

// An upstream that caches the objects that it ran last.
class CachingUpstream {
public:
    explicit CachingUpstream(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    auto setCapacity(std::size_t capacity) -> void { capacity_ = capacity; }
    // Whether the run was warm.
    auto run(std::uint64_t object) -> bool
    {
        const auto found = std::find(objects_.begin(), objects_.end(), object);
        const bool isWarm = found != objects_.end() && static_cast<std::size_t>(found - objects_.begin()) < capacity_;
        if (found != objects_.end())
            objects_.erase(found);
        objects_.insert(objects_.begin(), object);
        objects_.resize(std::min(objects_.size(), capacity_));
        return isWarm;
    }

private:
    std::size_t capacity_;
    std::vector<std::uint64_t> objects_;
};

struct Popularity {
    int objects_ = 0;
    // Exponent of the Zipf distribution; 0 is uniform.
    double exponent_ = 0;
};

class ObjectSource {
public:
    ObjectSource(const Popularity& popularity, std::uint64_t seed)
        : random_(seed)
    {
        std::vector<double> weights;
        for (int rank = 1; rank <= popularity.objects_; ++rank)
            weights.push_back(std::pow(rank, -popularity.exponent_));
        distribution_ = std::discrete_distribution<std::uint64_t>(weights.begin(), weights.end());
    }

    auto next() -> std::uint64_t { return distribution_(random_); }
    auto isDue(double probability) -> bool { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }

private:
    std::mt19937_64 random_;
    std::discrete_distribution<std::uint64_t> distribution_;
};

class Fixture {
public:
    Fixture(std::size_t capacity, const Popularity& popularity, std::uint64_t seed)
        : upstream_(capacity)
        , source_(popularity, seed)
    {
        objects_.setService(1, "core");
    }

    // Returns the share of runs for which isWarm was wrong.
    auto run(int runs, double mislabeled = 0) -> double
    {
        int wrong = 0;
        for (int i = 0; i < runs; ++i) {
            clock_.advance(10ms);
            const auto object = source_.next();
            const bool wasWarm = upstream_.run(object);
            wrong += objects_.isWarm(1, object) != wasWarm ? 1 : 0;
            if (const auto recency = objects_.recency(1, object))
                objects_.recordRun("core", *recency, source_.isDue(mislabeled) ? !wasWarm : wasWarm);
            objects_.record(1, object, clock_.now());
        }
        return static_cast<double>(wrong) / runs;
    }

    ManualClock clock_;
    WarmObjects objects_ { clock_ };
    CachingUpstream upstream_;

private:
    ObjectSource source_;
};

auto isWithinFactor(std::size_t bound, std::size_t capacity) -> bool
{
    const double ratio = static_cast<double>(bound) / static_cast<double>(capacity);
    return ratio <= 1.5 && ratio >= 1 / 1.5;
}

// Average of the readings of an object's rate just before, just after and between requests.
struct RateReadings {
    double before_ = 0;
    double after_ = 0;
    double between_ = 0;
    double largest_ = 0;
    double smallest_ = std::numeric_limits<double>::infinity();
};

auto readRates(double perSecond, bool isRegular, int requests, std::uint64_t seed) -> RateReadings
{
    ManualClock clock;
    WarmObjects objects(clock);
    std::mt19937_64 random(seed);
    std::exponential_distribution<> gap(perSecond);
    RateReadings sums;
    double totalGap = 0;
    const auto read = [&objects, &sums] {
        const double rate = objects.regionRate(5);
        sums.largest_ = std::max(sums.largest_, rate);
        sums.smallest_ = std::min(sums.smallest_, rate);
        return rate;
    };
    const int warmup = static_cast<int>(std::ceil(perSecond * 30));
    for (int i = 0; i < warmup + requests; ++i) {
        const auto step = fromSeconds(isRegular ? 1 / perSecond : gap(random));
        clock.advance(step / 2);
        if (i == warmup)
            sums = {};
        // The middle of a gap counts for the length of the gap: an average over time.
        sums.between_ += read() * inSeconds(step);
        totalGap += i >= warmup ? inSeconds(step) : 0;
        clock.advance(step - step / 2);
        sums.before_ += read() / requests;
        objects.record(1 + random() % 300, 5, clock.now());
        sums.after_ += read() / requests;
    }
    sums.between_ /= totalGap;
    return sums;
}

}

// Guards against a bound that rises or falls past the true one. With fewer objects than the upstream caches, no run is ever
// cold, and the bound cannot be known; all answers must be right nonetheless.
TEST_CASE("the number of cached objects is inferred within a factor of 1.5 after 2,000 runs", "[warm-objects]")
{
    for (const std::size_t capacity : { 4, 13, 19, 60 }) {
        for (const int objects : { 1, 3, 10, 30, 100, 300, 1'000 }) {
            for (const double exponent : { 0.0, 0.2, 0.5, 0.8, 1.0, 1.2 }) {
                for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                    Fixture fixture(capacity, { objects, exponent }, seed);
                    fixture.run(2'000);
                    INFO("capacity " << capacity << " objects " << objects << " exponent " << exponent << " seed " << seed << " bound " << fixture.objects_.bound("core"));
                    if (static_cast<std::size_t>(objects) > capacity)
                        CHECK(isWithinFactor(fixture.objects_.bound("core"), capacity));
                    CHECK(fixture.run(2'000) < 0.1);
                }
            }
        }
    }
}

// A slow warm run looks like a cold one. Guards against a bound that follows single runs.
TEST_CASE("the bound is inferred although 3 in 100 runs are mislabeled", "[warm-objects]")
{
    for (const std::size_t capacity : { 4, 13, 19, 60 }) {
        for (const int objects : { 100, 1'000 }) {
            for (const double exponent : { 0.0, 0.6, 1.2 }) {
                for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                    Fixture fixture(capacity, { objects, exponent }, seed);
                    fixture.run(2'000, 0.03);
                    INFO("capacity " << capacity << " objects " << objects << " exponent " << exponent << " seed " << seed << " bound " << fixture.objects_.bound("core"));
                    CHECK(isWithinFactor(fixture.objects_.bound("core"), capacity));
                    CHECK(fixture.run(2'000, 0.03) < 0.1);
                }
            }
        }
    }
}

// Guards against a bound that old runs hold at a value that is no longer true.
TEST_CASE("the bound follows upstreams that cache fewer or more objects than before", "[warm-objects]")
{
    for (const auto& [before, after] : { std::pair<std::size_t, std::size_t> { 60, 13 }, { 13, 60 }, { 19, 4 }, { 4, 19 } }) {
        Fixture fixture(before, { 100, 0.6 }, 3);
        fixture.run(4'000);
        fixture.upstream_.setCapacity(after);
        fixture.run(12'000);
        INFO("from " << before << " to " << after << " bound " << fixture.objects_.bound("core"));
        CHECK(isWithinFactor(fixture.objects_.bound("core"), after));
    }
}

TEST_CASE("the bound starts cautious and each service has its own", "[warm-objects]")
{
    ManualClock clock;
    WarmObjects objects(clock);
    CHECK(objects.bound("core") == WarmObjects::initialBound);
    for (int i = 0; i < 10; ++i) {
        objects.recordRun("large", 20, true);
        objects.recordRun("small", 5, false);
    }
    CHECK(objects.bound("large") == 21);
    CHECK(objects.bound("small") <= 5);
    CHECK(objects.bound("core") == WarmObjects::initialBound);
    // Beyond what is recorded of an upstream, runs have no say.
    objects.recordRun("core", WarmObjects::maxObjectsPerUpstream, true);
    objects.recordRun("core", std::numeric_limits<std::size_t>::max(), false);
    CHECK(objects.bound("core") == WarmObjects::initialBound);

    objects.setService(1, "large");
    objects.setService(2, "small");
    for (std::uint64_t object = 0; object < 10; ++object) {
        clock.advance(1ms);
        for (const std::uint64_t upstream : { 1, 2, 3 })
            objects.record(upstream, object, clock.now());
    }
    CHECK(objects.isWarm(1, 0));
    CHECK_FALSE(objects.isWarm(2, 0));
    CHECK(objects.isWarm(2, 9));
    // Without a service, the initial bound applies.
    CHECK_FALSE(objects.isWarm(3, 1));
    CHECK(objects.isWarm(3, 2));
}

TEST_CASE("an object is warm only on the upstream that ran it", "[warm-objects]")
{
    ManualClock clock;
    WarmObjects objects(clock);
    objects.record(1, 10, clock.now());
    CHECK(objects.isWarm(1, 10));
    CHECK_FALSE(objects.isWarm(2, 10));
    CHECK_FALSE(objects.isWarm(1, 11));
    CHECK(objects.recency(1, 10) == 0);
    CHECK_FALSE(objects.recency(2, 10));
}

// Observations of peers arrive late. Guards against counting an old run as the latest.
TEST_CASE("runs recorded out of order count by their time", "[warm-objects]")
{
    ManualClock clock;
    WarmObjects objects(clock);
    const auto start = clock.now();
    clock.advance(1s);
    objects.record(1, 10, start + 300ms);
    objects.record(1, 11, start + 100ms);
    objects.record(1, 12, start + 200ms);
    objects.record(1, 10, start + 50ms);
    CHECK(objects.recency(1, 10) == 0);
    CHECK(objects.recency(1, 12) == 1);
    CHECK(objects.recency(1, 11) == 2);
    // A time in the future counts as now, so that it does not stay the latest.
    objects.record(1, 13, clock.now() + 1h);
    clock.advance(1ms);
    objects.record(1, 14, clock.now());
    CHECK(objects.recency(1, 14) == 0);
    CHECK(objects.recency(1, 13) == 1);
    objects.record(1, 15, MonotonicTime::min());
    objects.record(1, 16, MonotonicTime::max());
    CHECK(objects.recency(1, 15) == 6);
    CHECK(std::isfinite(objects.regionRate(15)));
    CHECK(std::isfinite(objects.regionRate(16)));
}

// Guards against a restarted upstream that is taken to be warm because of a late observation from before.
TEST_CASE("a forgotten upstream is cold, and runs from before do not count", "[warm-objects]")
{
    ManualClock clock;
    WarmObjects objects(clock);
    objects.setService(1, "core");
    const auto before = clock.now();
    objects.record(1, 10, before);
    clock.advance(100ms);
    objects.forget(1);
    CHECK_FALSE(objects.isWarm(1, 10));
    objects.record(1, 10, before + 50ms);
    CHECK_FALSE(objects.isWarm(1, 10));
    clock.advance(1ms);
    objects.record(1, 10, clock.now());
    CHECK(objects.isWarm(1, 10));
}

TEST_CASE("objects and upstreams are bounded and the least recently used is evicted", "[warm-objects]")
{
    ManualClock clock;
    WarmObjects objects(clock);
    for (std::uint64_t object = 0; object <= WarmObjects::maxObjectsPerUpstream; ++object) {
        clock.advance(1ms);
        objects.record(0, object, clock.now());
    }
    CHECK_FALSE(objects.recency(0, 0));
    CHECK(objects.recency(0, 1) == WarmObjects::maxObjectsPerUpstream - 1);
    for (std::uint64_t upstream = 1; upstream < WarmObjects::maxUpstreams; ++upstream)
        objects.record(upstream, 1, clock.now());
    objects.record(0, 1, clock.now());
    objects.record(WarmObjects::maxUpstreams, 1, clock.now());
    CHECK(objects.isWarm(0, 1));
    CHECK_FALSE(objects.isWarm(1, 1));
    CHECK(objects.isWarm(2, 1));
}

// Guards against a rate that is a third of a request per second too high whenever it is read at a request.
TEST_CASE("rates are within 20% at 1 to 50 requests per second, read at any time", "[warm-objects]")
{
    for (const double perSecond : { 1.0, 2.0, 5.0, 20.0, 50.0 }) {
        const auto regular = readRates(perSecond, true, 500, 1);
        INFO("rate " << perSecond);
        CHECK(regular.largest_ <= perSecond * 1.2);
        CHECK(regular.smallest_ >= perSecond * 0.8);
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            const auto random = readRates(perSecond, false, 4'000, seed);
            INFO("seed " << seed);
            CHECK(std::abs(random.before_ / perSecond - 1) <= 0.2);
            CHECK(std::abs(random.after_ / perSecond - 1) <= 0.2);
            CHECK(std::abs(random.between_ / perSecond - 1) <= 0.2);
        }
    }
}

TEST_CASE("a single request raises the rate by less than a third, and only for a while", "[warm-objects]")
{
    ManualClock clock;
    WarmObjects objects(clock);
    CHECK(objects.regionRate(5) == 0);
    objects.record(1, 5, clock.now());
    CHECK(objects.regionRate(5) == 0);
    double total = 0;
    for (int i = 0; i < 3'000; ++i) {
        clock.advance(10ms);
        CHECK(objects.regionRate(5) < 1.0 / 3);
        total += objects.regionRate(5) * 0.01;
    }
    // Over time, it counts as one request.
    CHECK(total == Approx(1).epsilon(0.01));
    CHECK(objects.regionRate(5) < 0.001);
    clock.advance(24h * 365);
    CHECK(objects.regionRate(5) == 0);
}

// A late record must give the same rate as one in time.
TEST_CASE("a request recorded late counts by its age", "[warm-objects]")
{
    ManualClock clock;
    WarmObjects late(clock);
    WarmObjects inTime(clock);
    const auto at = clock.now();
    inTime.record(1, 5, at);
    clock.advance(700ms);
    late.record(1, 5, at);
    CHECK(late.regionRate(5) == Approx(inTime.regionRate(5)));
    clock.advance(700ms);
    CHECK(late.regionRate(5) == Approx(inTime.regionRate(5)));
}

// Guards against a table that loses hot objects, or all, when more objects are in use than it holds.
TEST_CASE("rates stay within the stated error with 100,000 objects", "[warm-objects]")
{
    constexpr double totalPerSecond = 3'000;
    constexpr std::uint64_t hotObjects = 20;
    constexpr std::uint64_t middleObjects = 2'000;
    constexpr std::uint64_t allObjects = 100'000;
    // The error is largest at a rate of 1 / T, where T is the time in which all entries are replaced.
    constexpr double replacedAfter = static_cast<double>(WarmObjects::maxRatedObjects) / totalPerSecond;
    const double errorBound = 1 / (std::numbers::e * replacedAfter);
    const double middleRate = 1 / replacedAfter;

    ManualClock clock;
    WarmObjects objects(clock);
    std::mt19937_64 engine(12);
    std::vector<double> weights;
    for (std::uint64_t object = 0; object < hotObjects; ++object)
        weights.push_back(1 + 49.0 * static_cast<double>(object) / (hotObjects - 1));
    weights.resize(hotObjects + middleObjects, middleRate);
    double used = 0;
    for (const double weight : weights)
        used += weight;
    weights.resize(allObjects, (totalPerSecond - used) / static_cast<double>(allObjects - weights.size()));
    std::discrete_distribution<std::uint64_t> next(weights.begin(), weights.end());

    std::vector<double> mean(allObjects);
    constexpr int readings = 120;
    for (int second = -20; second < readings; ++second) {
        for (int i = 0; i < static_cast<int>(totalPerSecond); ++i) {
            clock.advance(fromSeconds(1 / totalPerSecond));
            objects.record(engine() % 300, next(engine), clock.now());
        }
        for (std::uint64_t object = 0; second >= 0 && object < allObjects; ++object)
            mean[object] += objects.regionRate(object) / readings;
    }
    for (std::uint64_t object = 0; object < hotObjects; ++object) {
        INFO("rate " << weights[object]);
        CHECK(std::abs(mean[object] / weights[object] - 1) <= 0.2);
    }
    const auto average = [&mean](std::uint64_t from, std::uint64_t to) {
        double sum = 0;
        for (auto object = from; object < to; ++object)
            sum += mean[object];
        return sum / static_cast<double>(to - from);
    };
    CHECK(std::abs(average(hotObjects, hotObjects + middleObjects) - middleRate) <= errorBound);
    CHECK(std::abs(average(hotObjects + middleObjects, allObjects) - weights.back()) <= errorBound);
}
