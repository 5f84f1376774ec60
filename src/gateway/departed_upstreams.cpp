#include "gateway/departed_upstreams.h"

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Longer than the age of any copy that the store returns from, and than upstreams serve on after their removal.
    constexpr Duration retention = 2min;
}

DepartedUpstreams::DepartedUpstreams(const Clock& clock)
    : clock_(clock)
{
}

auto DepartedUpstreams::record(DepartedUpstream departed) -> void
{
    const auto id = departed.entry_.id_;
    byId_[id] = { std::move(departed), clock_.now() };
}

auto DepartedUpstreams::find(const UpstreamEntry& entry) const -> const DepartedUpstream*
{
    const auto found = byId_.find(entry.id_);
    return found != byId_.end() && isSameStart(found->second.departed_.entry_, entry) ? &found->second.departed_ : nullptr;
}

// A live upstream raises its sequence number with each report, so its next entry has a higher one.
auto DepartedUpstreams::isOutdated(const UpstreamEntry& entry) const -> bool
{
    const auto found = byId_.find(entry.id_);
    if (found == byId_.end())
        return false;
    const auto& known = found->second.departed_.entry_;
    return isSameStart(known, entry) ? entry.sequence_ <= known.sequence_ : entry.startTimeMs_ < known.startTimeMs_;
}

auto DepartedUpstreams::removeExpired() -> void
{
    const auto now = clock_.now();
    std::erase_if(byId_, [now](const auto& item) { return now - item.second.at_ > retention; });
}

} // namespace sapphirepass
