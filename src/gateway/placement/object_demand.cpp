#include "gateway/placement/object_demand.h"

#include <cmath>

namespace sapphirepass {

namespace {
    // Time constant of the average: long enough that a small burst of requests does not make an object hot.
    constexpr double decaySeconds = 3;
    // Bound on tracked objects. At the bound, objects without a request for a time constant are evicted.
    constexpr std::size_t maxObjects = 8'192;
}

auto ObjectDemand::recordRequest(std::uint64_t object) -> double
{
    const auto now = clock_.now();
    if (entries_.size() >= maxObjects)
        evictOld();
    auto& entry = entries_[object];
    const double decay = std::exp(-inSeconds(now - entry.at_) / decaySeconds);
    entry.count_ = entry.count_ * decay + 1;
    entry.at_ = now;
    return entry.count_ / decaySeconds;
}

auto ObjectDemand::evictOld() -> void
{
    const auto now = clock_.now();
    std::erase_if(entries_, [now](const auto& item) { return inSeconds(now - item.second.at_) > decaySeconds; });
    // All objects are in use: start over rather than grow.
    if (entries_.size() >= maxObjects)
        entries_.clear();
}

} // namespace sapphirepass
