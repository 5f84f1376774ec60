#include "gateway/placement/run_times.h"

#include "gateway/placement/lru_map.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <limits>
#include <numbers>
#include <string>
#include <utility>
#include <vector>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Longer than any real run: latency targets are below seconds, and slow runs take about seven times as long.
    constexpr Duration maxRun = 10min;

    // All learning is on the logarithm of the time, as the groups lie a factor apart and spread by a ratio.
    const double maxStep = std::log1p(RunTimes::maxChangePerRun);
    // Groups spread by about 15%. A little more tolerates groups that are wider.
    constexpr double spread = 0.18;
    // A few runs take about seven times as long as the others of their group.
    constexpr double slowShare = 0.03;
    constexpr double slowSpread = 0.2;
    const double slowOffset = std::log(7.0);
    // Density of runs that belong to no group, so that they move none.
    constexpr double unexplainedDensity = 0.001;
    // Spread of two groups that count as one.
    constexpr double wideSpread = 0.25;
    // Expected gap between the groups, until runs have shown it.
    const double expectedGap = std::log(3.0);
    constexpr double expectedGapSpread = 0.3;
    // Cold runs that the expected gap counts for.
    constexpr double expectedGapWeight = 2;
    // Groups closer than minGap count as one. To be told apart they must be further apart, as the upper tail of a single
    // group can pass for a cold group at 1.5 times and would hold the estimate there. The upper limit is below the offset of
    // slow runs.
    const double minGap = std::log(1.5);
    const double separationGap = std::log(1.8);
    const double maxGap = std::log(4.0);
    // Runs after which older ones no longer count. Cold runs are fewer. The share may jump; while it is outdated, each run counts
    // against the two groups.
    constexpr double warmMemory = 100;
    constexpr double coldMemory = 40;
    constexpr double shareMemory = 20;
    // Shares that are tried at the start.
    constexpr std::array startColdShares { 0.05, 0.2, 0.6 };
    constexpr double minColdShare = 0.01;
    // Above this share, the group taken for cold is the only one.
    constexpr double maxColdShare = 0.95;
    // The start is chosen from this many runs at once: a single one may be cold or slow. With a cold share of 0.6, all of
    // twelve are cold in 0.2% of starts.
    constexpr std::size_t startRuns = 12;
    // Learning starts again if this share of recent runs fits no group or only as slow runs.
    constexpr double maxMisfitShare = 0.3;
    constexpr double misfitMemory = 25;
    // Log likelihood of two groups over one, summed over recent runs. A rare cold run adds up to 4, so that one alone does not
    // separate the groups. At a share of 0.02, recent runs must include several cold ones.
    constexpr double separationEvidence = 6;
    constexpr double mergeEvidence = 2;
    constexpr double maxEvidence = 40;
    constexpr double evidenceMemory = 1'000;
    constexpr double maxEvidencePerRun = 4;
    // A run moves the typical time as if it was at most this far away.
    constexpr double maxTypicalDistance = 0.3;

    // The older of two quantile estimates is read; each restarts after this many runs, as the method never forgets.
    constexpr std::size_t quantileWindow = 2'000;

    namespace acc = boost::accumulators;
    // The P-square algorithm of Jain and Chlamtac (1985): five markers, constant time for each run.
    using QuantileEstimate = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

    auto normalDensity(double distance, double deviation) -> double
    {
        const double ratio = distance / deviation;
        return std::exp(-0.5 * ratio * ratio) / (deviation * std::sqrt(2 * std::numbers::pi));
    }

    // Density of a group's ordinary and slow runs.
    struct GroupDensity {
        double usual_ = 0;
        double slow_ = 0;

        auto total() const -> double { return usual_ + slow_; }
    };

    auto groupDensity(double run, double center, double share, double deviation = spread) -> GroupDensity
    {
        return { share * (1 - slowShare) * normalDensity(run - center, deviation), share * slowShare * normalDensity(run - center - slowOffset, slowSpread) };
    }

    auto median(std::vector<double> values) -> double
    {
        std::sort(values.begin(), values.end());
        return (values[values.size() / 2] + values[(values.size() - 1) / 2]) / 2;
    }

    class Quantile95 {
    public:
        auto record(double value) -> void
        {
            older_(value);
            newer_(value);
            if (acc::count(older_) < quantileWindow)
                return;
            older_ = newer_;
            newer_ = create();
        }
        auto value() const -> double { return acc::p_square_quantile(older_); }
        auto count() const -> std::size_t { return acc::count(older_); }

    private:
        static auto create() -> QuantileEstimate { return QuantileEstimate(acc::quantile_probability = 0.95); }

        QuantileEstimate older_ = create();
        QuantileEstimate newer_ = create();
    };

    // Decaying log likelihood of two groups over one.
    class Evidence {
    public:
        auto limit(double most) -> void { sum_ = std::min(sum_, most); }
        auto record(double likelihood, double singleLikelihood) -> void
        {
            const double gain = std::clamp(std::log(likelihood / singleLikelihood), -maxEvidencePerRun, maxEvidencePerRun);
            sum_ = std::clamp(sum_ * (1 - 1 / evidenceMemory) + gain, 0.0, maxEvidence);
        }
        auto sum() const -> double { return sum_; }

    private:
        double sum_ = 0;
    };

    // Two groups of runs, each with its slow ones, learned by incremental expectation maximization.
    class RunGroups {
    public:
        auto learn(double run) -> void;
        auto warm() const -> double { return isSeparated_ ? warm_ : typical_; }
        auto cold() const -> double { return isSeparated_ ? cold_ : typical_; }

    private:
        auto start() -> void;
        auto startAgain() -> void;
        auto update(double run) -> void;
        auto merge() -> void;
        auto recordEvidence(double likelihood, double run) -> void;

        // Runs from which learning starts; empty afterwards.
        std::vector<double> firstRuns_;
        bool isStarted_ = false;
        bool isSeparated_ = false;
        double typical_ = 0;
        double typicalWeight_ = 0;
        double warm_ = 0;
        double warmWeight_ = 0;
        double cold_ = 0;
        double coldWeight_ = 0;
        double coldShare_ = 0;
        double shareWeight_ = 0;
        double misfitShare_ = 0;
        // Over one group at the typical time, one at the warm time, and two that are too close. The typical time is less exact
        // than the warm one, which is below the center of groups that overlap.
        std::array<Evidence, 5> evidence_;
    };

    auto RunGroups::learn(double run) -> void
    {
        if (isStarted_)
            return update(run);
        firstRuns_.push_back(run);
        if (!isSeparated_)
            typical_ = median(firstRuns_);
        if (firstRuns_.size() >= startRuns)
            start();
    }

    // Tries each run as the center of the warm group with each other one as that of the cold group, and takes the most
    // likely pair.
    auto RunGroups::start() -> void
    {
        const auto runs = std::exchange(firstRuns_, {});
        double best = -std::numeric_limits<double>::infinity();
        const auto tryCenters = [&](double warm, double cold) {
            if (cold - warm < minGap || cold - warm > maxGap)
                return;
            const double gapError = (cold - warm - expectedGap) / expectedGapSpread;
            for (const double share : startColdShares) {
                double likelihood = -0.5 * gapError * gapError;
                for (const double run : runs)
                    likelihood += std::log(groupDensity(run, warm, 1 - share).total() + groupDensity(run, cold, share).total() + unexplainedDensity);
                if (likelihood <= best)
                    continue;
                best = likelihood;
                warm_ = warm;
                cold_ = cold;
                coldShare_ = share;
            }
        };
        for (const double warm : runs) {
            tryCenters(warm, warm + expectedGap);
            for (const double cold : runs)
                tryCenters(warm, cold);
        }
        isStarted_ = true;
        typical_ = median(runs);
        typicalWeight_ = startRuns;
        warmWeight_ = 1;
        coldWeight_ = expectedGapWeight;
        shareWeight_ = 5;
        misfitShare_ = 0;
        for (auto& evidence : evidence_)
            evidence.limit(isSeparated_ ? separationEvidence : 0);
        for (const double run : runs) {
            if (isStarted_)
                update(run);
        }
    }

    auto RunGroups::startAgain() -> void
    {
        isStarted_ = false;
        firstRuns_.clear();
    }

    // The runs have shown one group only. A cold group may still appear at the expected gap.
    auto RunGroups::merge() -> void
    {
        warm_ = typical_;
        cold_ = typical_ + expectedGap;
        coldWeight_ = expectedGapWeight;
        coldShare_ = minColdShare;
        for (auto& evidence : evidence_)
            evidence.limit(0);
        isSeparated_ = false;
    }

    auto RunGroups::update(double run) -> void
    {
        const auto warm = groupDensity(run, warm_, 1 - coldShare_);
        const auto cold = groupDensity(run, cold_, coldShare_);
        const double likelihood = warm.total() + cold.total() + unexplainedDensity;
        recordEvidence(likelihood, run);

        typicalWeight_ = std::min(typicalWeight_ + 1, warmMemory);
        typical_ += std::clamp(run - typical_, -maxTypicalDistance, maxTypicalDistance) / typicalWeight_;
        const double warmPart = warm.usual_ / likelihood;
        warmWeight_ = std::min(warmWeight_ + warmPart, warmMemory);
        warm_ += (run - warm_) * warmPart / warmWeight_;
        const double coldPart = cold.usual_ / likelihood;
        coldWeight_ = std::min(coldWeight_ + coldPart, coldMemory);
        cold_ += (run - cold_) * coldPart / coldWeight_;
        const double explained = (warm.total() + cold.total()) / likelihood;
        shareWeight_ = std::min(shareWeight_ + explained, shareMemory);
        coldShare_ += (cold.total() / likelihood - coldShare_ * explained) / shareWeight_;
        coldShare_ = std::max(coldShare_, minColdShare);
        misfitShare_ += (1 - warmPart - coldPart - misfitShare_) / misfitMemory;

        if (misfitShare_ > maxMisfitShare || coldShare_ > maxColdShare)
            startAgain();
        else if (cold_ - warm_ < (isSeparated_ ? minGap : separationGap))
            merge();
        else
            cold_ = std::min(cold_, warm_ + maxGap);
    }

    auto RunGroups::recordEvidence(double likelihood, double run) -> void
    {
        const auto closeGroups = [this, run](double share) { return groupDensity(run, warm_, 1 - share).total() + groupDensity(run, warm_ + minGap, share).total(); };
        const std::array<double, 5> alternatives {
            groupDensity(run, typical_, 1).total(),
            groupDensity(run, typical_, 1, wideSpread).total(),
            groupDensity(run, warm_, 1).total(),
            closeGroups(0.1),
            closeGroups(0.4),
        };
        double evidence = maxEvidence;
        for (std::size_t i = 0; i < alternatives.size(); ++i) {
            evidence_[i].record(likelihood, alternatives[i] + unexplainedDensity);
            evidence = std::min(evidence, evidence_[i].sum());
        }
        if (evidence > separationEvidence && cold_ - warm_ > separationGap)
            isSeparated_ = true;
        else if (evidence < mergeEvidence)
            isSeparated_ = false;
    }

    auto toDuration(double logSeconds) -> Duration { return fromSeconds(std::exp(logSeconds)); }

    // Follows the learned times in limited steps.
    class Route {
    public:
        auto record(Duration run) -> void;
        auto estimate(Duration fallback) const -> RunEstimate;
        auto p95() const -> std::optional<Duration>;

    private:
        RunGroups groups_;
        Quantile95 quantile_;
        double runs_ = 0;
        double warm_ = 0;
        double cold_ = 0;
    };

    auto Route::record(Duration run) -> void
    {
        groups_.learn(std::log(inSeconds(run)));
        quantile_.record(inSeconds(run));
        const auto follow = [this](double& shown, double learned) {
            shown = runs_ == 0 ? learned : shown + std::clamp(learned - shown, -maxStep, maxStep);
        };
        follow(warm_, groups_.warm());
        follow(cold_, groups_.cold());
        runs_ += 1;
    }

    // The first runs also move the estimate from the fallback in limited steps.
    auto Route::estimate(Duration fallback) const -> RunEstimate
    {
        if (fallback <= Duration::zero())
            return { toDuration(warm_), toDuration(cold_), cold_ > warm_ };
        const double start = std::log(inSeconds(fallback));
        const double reach = maxStep * runs_;
        const double warm = std::clamp(warm_, start - reach, start + reach);
        const double cold = std::clamp(cold_, start - reach, start + reach);
        return { toDuration(warm), toDuration(cold), cold > warm };
    }

    auto Route::p95() const -> std::optional<Duration>
    {
        if (quantile_.count() < RunTimes::minRunsForP95)
            return std::nullopt;
        return fromSeconds(quantile_.value());
    }
}

struct RunTimes::Routes {
    LruMap<std::string, Route> byName_ { maxRoutes };
};

RunTimes::RunTimes()
    : routes_(std::make_unique<Routes>())
{
}

RunTimes::~RunTimes() = default;

auto RunTimes::record(const std::string& route, Duration run) -> bool
{
    if (run <= Duration::zero() || run > maxRun) {
        ++invalidCount_;
        return false;
    }
    routes_->byName_.use(route).record(run);
    return true;
}

auto RunTimes::estimate(const std::string& route, Duration fallback) const -> RunEstimate
{
    const auto* known = routes_->byName_.find(route);
    return known ? known->estimate(fallback) : RunEstimate { fallback, fallback, false };
}

auto RunTimes::p95(const std::string& route) const -> std::optional<Duration>
{
    const auto* known = routes_->byName_.find(route);
    return known ? known->p95() : std::nullopt;
}

} // namespace sapphirepass
