// Determines whether an instance can know that its configuration is current, from the times of its last
// contacts with the store and with the failure domains.
#pragma once

#include "base/clock.h"
#include "fleet/fleet_message.h"

#include <map>
#include <set>

namespace sapphirepass {

// An instance refuses keyed requests if for this long it has had no contact with the store nor with more than
// half of the failure domains.
inline constexpr std::chrono::milliseconds freshnessLimit { 10'000 };

// A contact time is a time at which the source certainly had nothing newer than this instance has now. Not
// thread-safe.
class Freshness {
public:
    Freshness(const Clock& clock, std::string_view ownDomain);

    // Sets the domains of all known instances, and whether any instance other than this one is known.
    auto setFleet(const std::set<std::string>& domains, bool hasOthers) -> void;
    auto recordStoreContact(MonotonicTime at) -> void { recordContact(storeSource, at); }
    // Another instance replied to a request sent at that time.
    auto recordPeerContact(const std::string& domain, MonotonicTime asked) -> void;
    // Contacts of the replying instance, with ages relative to its reply. They are dated from the request,
    // the earliest time at which the reply can have been created.
    auto recordIndirectContacts(const std::vector<Hearing>& hearings, MonotonicTime asked) -> void;
    // Contacts within twice the limit, including the own domain.
    auto hearings() const -> std::vector<Hearing>;
    // Time until which the contacts so far prove that this instance is current.
    auto currentUntil() const -> MonotonicTime;
    auto isCurrent() const -> bool { return clock_.now() <= currentUntil(); }
    auto hasRecentStoreContact() const -> bool { return isRecent(storeSource); }
    auto hasRecentPeerContact() const -> bool;
    // Number of domains contacted within the limit, including the own one, and number of all domains.
    auto recentDomainCount() const -> std::size_t;
    auto domainCount() const -> std::size_t { return domains_.size(); }

private:
    auto recordContact(std::uint32_t source, MonotonicTime at) -> void;
    auto majorityContactTime() const -> MonotonicTime;
    auto isRecent(std::uint32_t source) const -> bool;

    const Clock& clock_;
    std::uint32_t ownDomain_;
    std::set<std::uint32_t> domains_;
    bool hasOthers_ = true;
    std::map<std::uint32_t, MonotonicTime> lastContacts_;
    MonotonicTime lastPeerContact_ {};
};

} // namespace sapphirepass
