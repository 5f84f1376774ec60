// Whether an instance can know that its configuration is current, from what has reached it and when.
#pragma once

#include "base/clock.h"
#include "fleet/fleet_message.h"

#include <map>
#include <set>

namespace sapphirepass {

// An instance that has heard of neither the store nor more than half of the failure domains for this
// time refuses keyed requests.
inline constexpr std::chrono::milliseconds freshnessLimit { 10'000 };

// Times of hearing are times at which the source certainly was as the instance now knows it. Single-threaded.
class Freshness {
public:
    Freshness(const Clock& clock, std::string_view ownDomain);

    // The domains of all known instances, and whether any of these instances is another one.
    auto setFleet(const std::set<std::string>& domains, bool hasOthers) -> void;
    auto hearStore(MonotonicTime at) -> void { hear(storeSource, at); }
    // Answered by another instance to a question that was sent at that time.
    auto hearPeer(const std::string& domain, MonotonicTime asked) -> void;
    // What the answering instance had heard, with ages relative to its answer.
    auto hearOthers(const std::vector<Hearing>& hearings, MonotonicTime asked) -> void;
    // All that was heard within twice the limit, the own domain included.
    auto hearings() const -> std::vector<Hearing>;
    // Last time at which this instance can know, from what it has heard so far, that it is current.
    auto currentUntil() const -> MonotonicTime;
    auto isCurrent() const -> bool { return clock_.now() <= currentUntil(); }
    auto hasHeardStore() const -> bool { return isRecent(storeSource); }
    auto hasHeardPeer() const -> bool;
    // Domains that were heard of within the limit, the own one included, out of all.
    auto heardDomains() const -> std::size_t;
    auto allDomains() const -> std::size_t { return domains_.size(); }

private:
    auto hear(std::uint32_t source, MonotonicTime at) -> void;
    auto majorityHeard() const -> MonotonicTime;
    auto isRecent(std::uint32_t source) const -> bool;

    const Clock& clock_;
    std::uint32_t own_;
    std::set<std::uint32_t> domains_;
    bool hasOthers_ = true;
    std::map<std::uint32_t, MonotonicTime> heard_;
    MonotonicTime lastPeer_ {};
};

} // namespace sapphirepass
