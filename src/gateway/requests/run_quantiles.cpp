#include "gateway/requests/run_quantiles.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Upper bound of the first bucket; runs below it are not told apart.
    constexpr Duration firstBound = 1ms;
    // Ratio of the bounds of adjacent buckets: 256 buckets reach from 1 ms to four minutes, with an error of at most 5%.
    constexpr double boundRatio = 1.05;
    // Below it, fewer than five runs lie beyond the quantile and it changes with each of them.
    constexpr double minTotal = 100;
    // All weights are halved at this total, so that the quantile follows a change within about a thousand runs.
    constexpr double maxTotal = 1'000;
    constexpr double tailFraction = 0.05;

    auto bucketOf(Duration run, std::size_t count) -> std::size_t
    {
        if (run <= firstBound)
            return 0;
        const auto bucket = std::ceil(std::log(inSeconds(run) / inSeconds(firstBound)) / std::log(boundRatio));
        return std::min(static_cast<std::size_t>(bucket), count - 1);
    }

    auto upperBound(std::size_t bucket) -> Duration { return fromSeconds(inSeconds(firstBound) * std::pow(boundRatio, static_cast<double>(bucket))); }
}

auto DecayingRunQuantiles::record(const std::string& route, Duration run) -> void
{
    auto& histogram = histograms_[route];
    if (histogram.total_ >= maxTotal) {
        for (auto& weight : histogram.weights_)
            weight /= 2;
        histogram.total_ /= 2;
    }
    histogram.weights_.at(bucketOf(run, bucketCount)) += 1;
    histogram.total_ += 1;
}

auto DecayingRunQuantiles::p95(const std::string& route) const -> std::optional<Duration>
{
    return count(route) < minTotal ? std::nullopt : exceededBy(route, tailFraction);
}

auto DecayingRunQuantiles::count(const std::string& route) const -> double
{
    const auto found = histograms_.find(route);
    return found == histograms_.end() ? 0 : found->second.total_;
}

// The upper bound of the first bucket beyond which at most this fraction of the weight lies.
auto DecayingRunQuantiles::exceededBy(const std::string& route, double fraction) const -> std::optional<Duration>
{
    const auto found = histograms_.find(route);
    if (found == histograms_.end())
        return std::nullopt;
    const auto& [weights, total] = found->second;
    double beyond = 0;
    std::size_t bucket = bucketCount - 1;
    for (; bucket > 0; --bucket) {
        beyond += weights.at(bucket);
        if (beyond > total * fraction)
            break;
    }
    return upperBound(bucket);
}

} // namespace sapphirepass
