// Quantiles of the run times of routes.
#pragma once

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace sapphirepass {

class RunQuantiles {
public:
    virtual ~RunQuantiles() = default;
    virtual auto record(const std::string& route, Duration run) -> void = 0;
    // Time that 95 of 100 recent runs of the route did not exceed; empty if too few runs are known.
    virtual auto p95(const std::string& route) const -> std::optional<Duration> = 0;
    // Number of runs known, older ones counted in part.
    virtual auto count(const std::string& route) const -> double = 0;
    // Time that at most this fraction of the known runs exceeded; empty if none is known.
    virtual auto exceededBy(const std::string& route, double fraction) const -> std::optional<Duration> = 0;
};

// Keeps a histogram per route in which older runs weigh less.
class DecayingRunQuantiles final : public RunQuantiles {
public:
    auto record(const std::string& route, Duration run) -> void override;
    auto p95(const std::string& route) const -> std::optional<Duration> override;
    auto count(const std::string& route) const -> double override;
    auto exceededBy(const std::string& route, double fraction) const -> std::optional<Duration> override;

private:
    static constexpr std::size_t bucketCount = 256;

    struct Histogram {
        std::array<float, bucketCount> weights_ {};
        double total_ = 0;
    };

    std::map<std::string, Histogram> histograms_;
};

} // namespace sapphirepass
