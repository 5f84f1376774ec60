// Counters and distributions of one instance, in the usual text exposition format.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace sapphirepass {

// A name with its labels as they are exposed: requests_total{workspace="acme"}.
struct MetricId {
    std::string name_;
    // LABEL="VALUE" pairs separated by commas; empty for none.
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

    auto increment(const MetricId& id, std::int64_t by = 1) -> void;
    auto set(const MetricId& id, std::int64_t value) -> void;
    // Adds a sample to a distribution; exposed as count, sum, median, p90 and p99.
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
