#include "gateway/object_demand.h"

#include <cmath>

namespace sapphirepass {

namespace {
    // Time constant of the measure: long enough that a few requests that come together make no hot object.
    constexpr double memorySeconds = 3;
    // Objects that are remembered; beyond it, those of more than a few time constants ago are forgotten.
    constexpr std::size_t mostObjects = 8'192;
}

auto ObjectDemand::recordRequest(std::uint64_t object) -> double
{
    const auto now = clock_.now();
    if (entries_.size() >= mostObjects)
        forgetOld();
    auto& entry = entries_[object];
    const double fading = std::exp(-inSeconds(now - entry.at_) / memorySeconds);
    entry.count_ = entry.count_ * fading + 1;
    entry.at_ = now;
    return entry.count_ / memorySeconds;
}

auto ObjectDemand::forgetOld() -> void
{
    const auto now = clock_.now();
    std::erase_if(entries_, [now](const auto& item) { return inSeconds(now - item.second.at_) > memorySeconds; });
    // All of them are in demand: start anew rather than grow.
    if (entries_.size() >= mostObjects)
        entries_.clear();
}

} // namespace sapphirepass
