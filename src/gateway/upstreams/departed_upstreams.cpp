#include "gateway/upstreams/departed_upstreams.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Longer than the age of any copy that the store returns from, and than upstreams serve on after their removal.
    constexpr Duration retention = 2min;
    // Bounds the memory for an id whose entry changes its start with each report.
    constexpr std::size_t maxStarts = 16;

    // A start that only a peer has named has no address.
    auto isNamedOnly(const UpstreamEntry& entry) -> bool { return entry.address_ == SocketAddress {}; }

    auto matches(const UpstreamEntry& known, const UpstreamEntry& entry) -> bool
    {
        return isNamedOnly(known) ? known.startTimeMs_ == entry.startTimeMs_ : isSameStart(known, entry);
    }
}

DepartedUpstreams::DepartedUpstreams(const Clock& clock)
    : clock_(clock)
{
}

auto DepartedUpstreams::record(DepartedUpstream departed) -> void
{
    auto& starts = byId_[departed.entry_.id_];
    std::erase_if(starts, [&departed](const auto& known) { return matches(known.departed_.entry_, departed.entry_); });
    if (starts.size() >= maxStarts)
        starts.erase(starts.begin());
    starts.push_back({ std::move(departed), clock_.now() });
}

auto DepartedUpstreams::find(const UpstreamEntry& entry) const -> const DepartedUpstream*
{
    const auto found = byId_.find(entry.id_);
    if (found == byId_.end())
        return nullptr;
    const auto start = std::find_if(found->second.begin(), found->second.end(), [&entry](const auto& known) { return matches(known.departed_.entry_, entry); });
    return start == found->second.end() ? nullptr : &start->departed_;
}

auto DepartedUpstreams::noticesOf(const std::string& id, std::int64_t startTimeMs) -> std::shared_ptr<StartNotices>
{
    if (const auto found = byId_.find(id); found != byId_.end()) {
        const auto start = std::find_if(found->second.begin(), found->second.end(), [startTimeMs](const auto& known) { return known.departed_.entry_.startTimeMs_ == startTimeMs; });
        if (start != found->second.end())
            return start->departed_.notices_;
    }
    DepartedUpstream unlisted { {}, std::make_shared<StartNotices>() };
    unlisted.entry_.id_ = id;
    unlisted.entry_.startTimeMs_ = startTimeMs;
    record(unlisted);
    return unlisted.notices_;
}

// A live upstream raises its sequence number with each report, so its next entry has a higher one.
auto DepartedUpstreams::isOutdated(const UpstreamEntry& entry) const -> bool
{
    const auto found = byId_.find(entry.id_);
    if (found == byId_.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&entry](const auto& start) {
        const auto& known = start.departed_.entry_;
        return isSameStart(known, entry) ? entry.sequence_ <= known.sequence_ : entry.startTimeMs_ < known.startTimeMs_;
    });
}

auto DepartedUpstreams::removeExpired() -> void
{
    const auto now = clock_.now();
    for (auto& [id, starts] : byId_)
        std::erase_if(starts, [now](const auto& start) { return now - start.at_ > retention; });
    std::erase_if(byId_, [](const auto& item) { return item.second.empty(); });
}

} // namespace sapphirepass
