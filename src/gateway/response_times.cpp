#include "gateway/response_times.h"

namespace sapphirepass {

namespace {
    // Weight of the newest answer is one part in this many.
    constexpr int memory = 20;
}

auto ResponseTimes::note(const std::string& route, Duration took) -> void
{
    const auto [found, isNew] = means_.try_emplace(route, took);
    if (!isNew)
        found->second += (took - found->second) / memory;
}

auto ResponseTimes::usual(const std::string& route, Duration assumed) const -> Duration
{
    const auto found = means_.find(route);
    return found == means_.end() ? assumed : found->second;
}

} // namespace sapphirepass
