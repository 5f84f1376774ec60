#include "base/metrics.h"

#include <sstream> // needed by Boost.Accumulators

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    namespace acc = boost::accumulators;

    constexpr std::array quantiles { 0.5, 0.9, 0.99 };
    // The P-square algorithm needs markers around each quantile.
    constexpr std::array markers { 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999 };

    auto labelled(const MetricId& id, std::string_view suffix, std::string_view extraLabel = {}) -> std::string
    {
        const bool both = !id.labels_.empty() && !extraLabel.empty();
        const auto labels = fmt::format("{}{}{}", id.labels_, both ? "," : "", extraLabel);
        return labels.empty() ? fmt::format("sapphirepass_{}{}", id.name_, suffix) : fmt::format("sapphirepass_{}{}{{{}}}", id.name_, suffix, labels);
    }

    template <typename Values>
    auto renderValues(const Values& values, std::string_view type) -> std::string
    {
        std::string text;
        std::string_view lastName;
        for (const auto& [id, value] : values) {
            if (id.name_ != lastName)
                text += fmt::format("# TYPE sapphirepass_{} {}\n", id.name_, type);
            lastName = id.name_;
            text += fmt::format("{} {}\n", labelled(id, ""), value);
        }
        return text;
    }
}

class Metrics::Distribution {
public:
    auto add(double sample) -> void { samples_(sample); }

    auto render(const MetricId& id) const -> std::string
    {
        std::string text;
        for (const double quantile : quantiles)
            text += fmt::format("{} {}\n", labelled(id, "", fmt::format("quantile=\"{}\"", quantile)), acc::quantile(samples_, acc::quantile_probability = quantile));
        text += fmt::format("{} {}\n", labelled(id, "_sum"), acc::sum(samples_));
        return text + fmt::format("{} {}\n", labelled(id, "_count"), acc::count(samples_));
    }

private:
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>> samples_ { acc::extended_p_square_probabilities = markers };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

auto Metrics::increment(const MetricId& id, std::int64_t delta) -> void
{
    const std::lock_guard lock(mutex_);
    counters_[id] += delta;
}

auto Metrics::set(const MetricId& id, std::int64_t value) -> void
{
    const std::lock_guard lock(mutex_);
    gauges_[id] = value;
}

auto Metrics::observe(const MetricId& id, double sample) -> void
{
    const std::lock_guard lock(mutex_);
    auto& distribution = distributions_[id];
    if (!distribution)
        distribution = std::make_unique<Distribution>();
    distribution->add(sample);
}

auto Metrics::render() const -> std::string
{
    const std::lock_guard lock(mutex_);
    auto text = renderValues(counters_, "counter") + renderValues(gauges_, "gauge");
    std::string_view lastName;
    for (const auto& [id, distribution] : distributions_) {
        if (id.name_ != lastName)
            text += fmt::format("# TYPE sapphirepass_{} summary\n", id.name_);
        lastName = id.name_;
        text += distribution->render(id);
    }
    return text;
}

} // namespace sapphirepass
