#include "gateway/placement/region_target_log.h"

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // A target may change several times while demand grows or falls.
    constexpr Duration minLogInterval = 10s;
}

auto RegionTargetLog::onRegionTarget(const std::string& service, const RegionTarget& target) -> void
{
    const auto now = clock_.now();
    // Services come and go over the life of an instance.
    std::erase_if(states_, [now](const auto& item) { return item.second.leftOut_ == 0 && now - item.second.loggedAt_ >= minLogInterval; });
    auto& state = states_[service];
    if (state.loggedAt_ != MonotonicTime {} && now - state.loggedAt_ < minLogInterval) {
        ++state.leftOut_;
        return;
    }
    LogFields shares = LogFields::object();
    for (const auto& share : target.shares_)
        shares[share.region_] = share.share_;
    LogFields slots = LogFields::object();
    for (const auto& capacity : target.capacities_)
        slots[capacity.region_] = capacity.slots_;
    LogFields demands = LogFields::object();
    for (const auto& demand : target.demands_)
        demands[demand.region_] = demand.perSecond_;
    log_.write(EventId::RegionTargetChanged, { { "service", service }, { "shares", std::move(shares) }, { "slots", std::move(slots) }, { "demand_per_s", std::move(demands) }, { "left_out", state.leftOut_ } });
    state = { now, 0 };
}

} // namespace sapphirepass
