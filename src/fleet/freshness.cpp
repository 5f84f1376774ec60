#include "fleet/freshness.h"

#include "config/snapshot.h"

#include <algorithm>

namespace sapphirepass {

auto domainSource(std::string_view domain) -> std::uint32_t
{
    const auto hash = static_cast<std::uint32_t>(hashText(domain));
    return hash == storeSource ? 1 : hash;
}

Freshness::Freshness(const Clock& clock, std::string_view ownDomain)
    : clock_(clock)
    , ownDomain_(domainSource(ownDomain))
    , domains_ { ownDomain_ }
{
}

auto Freshness::setFleet(const std::set<std::string>& domains, bool hasOthers) -> void
{
    domains_ = { ownDomain_ };
    for (const auto& domain : domains)
        domains_.insert(domainSource(domain));
    hasOthers_ = hasOthers;
}

auto Freshness::recordContact(std::uint32_t source, MonotonicTime at) -> void
{
    auto& last = lastContacts_[source];
    last = std::max(last, std::min(at, clock_.now()));
}

auto Freshness::recordPeerContact(const std::string& domain, MonotonicTime asked) -> void
{
    recordContact(domainSource(domain), asked);
    lastPeerContact_ = std::max(lastPeerContact_, asked);
}

auto Freshness::recordIndirectContacts(const std::vector<Hearing>& hearings, MonotonicTime asked) -> void
{
    for (const auto& hearing : hearings) {
        const bool known = hearing.source_ == storeSource || domains_.contains(hearing.source_);
        if (known && hearing.source_ != ownDomain_)
            recordContact(hearing.source_, asked - hearing.age_);
    }
}

auto Freshness::hearings() const -> std::vector<Hearing>
{
    std::vector<Hearing> list { { ownDomain_, std::chrono::milliseconds(0) } };
    for (const auto& [source, at] : lastContacts_) {
        // Rounded up, so that forwarding never makes a contact look more recent.
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(clock_.now() - at);
        if (source != ownDomain_ && age <= 2 * freshnessLimit)
            list.push_back({ source, age });
    }
    return list;
}

auto Freshness::isRecent(std::uint32_t source) const -> bool
{
    const auto found = lastContacts_.find(source);
    return found != lastContacts_.end() && clock_.now() - found->second <= freshnessLimit;
}

auto Freshness::hasRecentPeerContact() const -> bool
{
    return lastPeerContact_ != MonotonicTime {} && clock_.now() - lastPeerContact_ <= freshnessLimit;
}

auto Freshness::recentDomainCount() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(domains_.begin(), domains_.end(), [this](auto domain) { return domain == ownDomain_ || isRecent(domain); }));
}

auto Freshness::currentUntil() const -> MonotonicTime
{
    const auto store = lastContacts_.find(storeSource);
    const bool hasRead = store != lastContacts_.end();
    // With no other known instance none can have a newer configuration, so one read of the store is enough.
    if (!hasOthers_)
        return hasRead ? MonotonicTime::max() : MonotonicTime {};
    const auto byStore = hasRead ? store->second + freshnessLimit : MonotonicTime {};
    return std::max(byStore, std::min(lastPeerContact_, majorityContactTime()) + freshnessLimit);
}

// Time at or after which each of more than half of the domains, including the own one, was last contacted.
auto Freshness::majorityContactTime() const -> MonotonicTime
{
    std::vector<MonotonicTime> times;
    for (const auto domain : domains_) {
        const auto contact = lastContacts_.find(domain);
        times.push_back(domain == ownDomain_ ? MonotonicTime::max() - freshnessLimit : contact == lastContacts_.end() ? MonotonicTime {}
                                                                                                                      : contact->second);
    }
    std::sort(times.rbegin(), times.rend());
    return times[times.size() / 2];
}

} // namespace sapphirepass
