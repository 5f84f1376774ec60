// Counters, gauges and summaries of one instance, rendered in the Prometheus text format.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace sapphirepass {

// Metric name and labels, as in requests_total{workspace="acme"}.
struct MetricId {
    std::string name_;
    // Comma-separated LABEL="VALUE" pairs; empty for none.
    std::string labels_ {};

    auto operator<=>(const MetricId&) const = default;
};

// Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    auto operator=(const Metrics&) -> Metrics& = delete;

    auto increment(const MetricId& id, std::int64_t delta = 1) -> void;
    auto set(const MetricId& id, std::int64_t value) -> void;
    // Adds a sample to a summary, which is exposed as count, sum and the quantiles 0.5, 0.9 and 0.99.
    auto observe(const MetricId& id, double sample) -> void;
    auto render() const -> std::string;

private:
    class Distribution;

    mutable std::mutex mutex_;
    std::map<MetricId, std::int64_t> counters_;
    std::map<MetricId, std::int64_t> gauges_;
    std::map<MetricId, std::unique_ptr<Distribution>> distributions_;
};

} // namespace sapphirepass
