#include "gateway/upstreams/response_times.h"

namespace sapphirepass {

namespace {
    // The newest response has a weight of 1 / smoothingFactor in the moving average.
    constexpr int smoothingFactor = 20;
}

auto ResponseTimes::record(const std::string& route, Duration took) -> void
{
    const auto [found, isNew] = means_.try_emplace(route, took);
    if (!isNew)
        found->second += (took - found->second) / smoothingFactor;
}

auto ResponseTimes::typical(const std::string& route, Duration fallback) const -> Duration
{
    const auto found = means_.find(route);
    return found == means_.end() ? fallback : found->second;
}

} // namespace sapphirepass
