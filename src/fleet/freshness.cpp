#include "fleet/freshness.h"

#include "config/snapshot.h"

#include <algorithm>

namespace sapphirepass {

auto sourceOf(std::string_view domain) -> std::uint32_t
{
    const auto hash = static_cast<std::uint32_t>(hashText(domain));
    return hash == storeSource ? 1 : hash;
}

Freshness::Freshness(const Clock& clock, std::string_view ownDomain)
    : clock_(clock)
    , own_(sourceOf(ownDomain))
    , domains_ { own_ }
{
}

auto Freshness::setFleet(const std::set<std::string>& domains, bool hasOthers) -> void
{
    domains_ = { own_ };
    for (const auto& domain : domains)
        domains_.insert(sourceOf(domain));
    hasOthers_ = hasOthers;
}

auto Freshness::hear(std::uint32_t source, MonotonicTime at) -> void
{
    auto& last = heard_[source];
    last = std::max(last, std::min(at, clock_.now()));
}

auto Freshness::hearPeer(const std::string& domain, MonotonicTime asked) -> void
{
    hear(sourceOf(domain), asked);
    lastPeer_ = std::max(lastPeer_, asked);
}

auto Freshness::hearOthers(const std::vector<Hearing>& hearings, MonotonicTime asked) -> void
{
    for (const auto& hearing : hearings) {
        const bool known = hearing.source_ == storeSource || domains_.contains(hearing.source_);
        if (known && hearing.source_ != own_)
            hear(hearing.source_, asked - hearing.age_);
    }
}

auto Freshness::hearings() const -> std::vector<Hearing>
{
    std::vector<Hearing> list { { own_, std::chrono::milliseconds(0) } };
    for (const auto& [source, at] : heard_) {
        // Rounded up, so that no way makes a hearing younger.
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(clock_.now() - at);
        if (source != own_ && age <= 2 * freshnessLimit)
            list.push_back({ source, age });
    }
    return list;
}

auto Freshness::isRecent(std::uint32_t source) const -> bool
{
    const auto found = heard_.find(source);
    return found != heard_.end() && clock_.now() - found->second <= freshnessLimit;
}

auto Freshness::hasHeardPeer() const -> bool
{
    return lastPeer_ != MonotonicTime {} && clock_.now() - lastPeer_ <= freshnessLimit;
}

auto Freshness::heardDomains() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(domains_.begin(), domains_.end(), [this](auto domain) { return domain == own_ || isRecent(domain); }));
}

auto Freshness::currentUntil() const -> MonotonicTime
{
    const auto store = heard_.find(storeSource);
    const bool hasRead = store != heard_.end();
    // An instance that knows of no other can be overtaken by nobody once it has read the store.
    if (!hasOthers_)
        return hasRead ? MonotonicTime::max() : MonotonicTime {};
    const auto byStore = hasRead ? store->second + freshnessLimit : MonotonicTime {};
    return std::max(byStore, std::min(lastPeer_, majorityHeard()) + freshnessLimit);
}

// Since when more than half of the domains, the own one included, have been heard of.
auto Freshness::majorityHeard() const -> MonotonicTime
{
    std::vector<MonotonicTime> times;
    for (const auto domain : domains_) {
        const auto heard = heard_.find(domain);
        times.push_back(domain == own_ ? MonotonicTime::max() - freshnessLimit : heard == heard_.end() ? MonotonicTime {}
                                                                                                       : heard->second);
    }
    std::sort(times.rbegin(), times.rend());
    return times[times.size() / 2];
}

} // namespace sapphirepass
