#include "gateway/feeds/discovery_state.h"

#include <algorithm>
#include <utility>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // No entry expires in a shorter outage; a watch that was cut is resumed well within this time.
    constexpr Duration minOutage = 300ms;
    // Upstreams that are alive register again within this time after the store has recovered.
    constexpr Duration reregistrationTime = 2'200ms;
    // Part of the drain time for which a follower keeps an upstream that may really have left. Events that gather at both
    // instances and a connection that is being opened need the rest.
    constexpr int followerGraceDivisor = 3;

    // Time for the instances in a received peer list to send a heartbeat: two heartbeat intervals between regions.
    constexpr Duration peerListSettleTime = 1'600ms;

    // Names and reasons hold text of other writers, of any length.
    constexpr std::size_t maxLoggedName = 64;
    constexpr std::size_t maxLoggedReason = 200;

    auto describeUpstream(const UpstreamEntry& entry, bool isLeaving) -> LogFields
    {
        return { { "upstream", entry.id_ }, { "started", entry.startTimeMs_ }, { "leaving", isLeaving }, { "service", entry.service_ }, { "address", formatSocketAddress(entry.address_) }, { "domain", entry.domain_ }, { "draining", entry.state_ == UpstreamState::Draining }, { "cold_ms", entry.coldLeft_ / 1ms } };
    }
}

auto feedName(Feed feed) -> std::string_view
{
    switch (feed) {
    case Feed::Declaration:
        return "declaration";
    case Feed::Upstreams:
        return "upstreams";
    case Feed::Evacuations:
        return "evacuations";
    }
    return "";
}

auto feedLossName(FeedLoss loss) -> std::string_view
{
    return loss == FeedLoss::PlatformDown ? "platform-down" : "call-failed";
}

DiscoveryState::DiscoveryState(const Clock& clock, UpstreamSet& upstreams, FleetView& fleet, DecisionLog& log, Duration drainTime)
    : clock_(clock)
    , upstreams_(upstreams)
    , fleet_(fleet)
    , log_(log)
    , drainTime_(drainTime)
    , evacuations_(clock)
{
}

// Versions only increase: a stale read must not bring back an older declaration.
auto DiscoveryState::declarationReceived(Declaration declaration) -> void
{
    const auto version = declaration.version_;
    const auto current = index_ ? index_->declaration().version_ : 0;
    if (index_ && version <= current) {
        if (version < current)
            log_.write(EventId::DeclarationRefused, { { "version", version }, { "in_force", current }, { "why", "older" } });
        return;
    }
    for (const auto& service : declaration.services_)
        upstreams_.setColdDuration(service.name_, service.coldDuration_);
    index_ = std::make_shared<const DeclarationIndex>(std::move(declaration));
    log_.write(EventId::DeclarationInForce, { { "version", version }, { "before", current } });
    if (declarationAction_)
        declarationAction_();
}

auto DiscoveryState::declarationInvalid(std::string_view why) -> void
{
    ++refusedEntries_[std::string(feedName(Feed::Declaration))];
    log_.write(EventId::DeclarationRefused, { { "why", why.substr(0, maxLoggedReason) }, { "in_force", index_ ? index_->declaration().version_ : 0 } });
}

auto DiscoveryState::removalGrace() const -> Duration
{
    const auto found = feeds_.find(Feed::Upstreams);
    if (found == feeds_.end())
        return Duration::zero();
    const auto until = std::max(found->second.removalGraceUntil_, found->second.followerGraceUntil_);
    return std::max<Duration>(Duration::zero(), until - clock_.now());
}

auto DiscoveryState::upstreamsListed(const std::vector<UpstreamEntry>& entries) -> void
{
    upstreams_.replaceAll(entries, removalGrace());
    hasUpstreams_ = true;
    log_.write(EventId::UpstreamsChanged, { { "listed", entries.size() }, { "known", upstreams_.size() }, { "keep_missing_ms", removalGrace() / 1ms } });
}

auto DiscoveryState::upstreamUpdated(const UpstreamEntry& entry) -> void
{
    upstreams_.put(entry);
    log_.write(EventId::UpstreamsChanged, describeUpstream(entry, upstreams_.byId().at(entry.id_)->notices_->isLeaving_));
}

auto DiscoveryState::upstreamRemoved(const std::string& id) -> void
{
    upstreams_.remove(id, removalGrace());
    log_.write(EventId::UpstreamsChanged, { { "upstream", id }, { "gone", true }, { "keep_missing_ms", removalGrace() / 1ms } });
}

auto DiscoveryState::removeExpiredUpstreams() -> void
{
    for (const auto& id : upstreams_.removeExpired())
        log_.write(EventId::UpstreamsChanged, { { "upstream", id }, { "gone", true }, { "kept", true } });
}

auto DiscoveryState::upstreamEntryInvalid(const std::string& id, std::string_view why) -> void
{
    upstreams_.remove(id, Duration::zero());
    ++refusedEntries_[std::string(feedName(Feed::Upstreams))];
    log_.write(EventId::UpstreamEntryRefused, { { "upstream", id.substr(0, maxLoggedName) }, { "why", why.substr(0, maxLoggedReason) } });
}

auto DiscoveryState::entryRefused(std::string_view kind, std::string_view name, std::string_view why) -> void
{
    ++refusedEntries_[std::string(kind)];
    log_.write(EventId::EntryRefused, { { "kind", kind }, { "entry", name.substr(0, maxLoggedName) }, { "why", why.substr(0, maxLoggedReason) } });
}

auto DiscoveryState::domainsEvacuated(std::set<std::string> domains) -> void
{
    evacuations_.setListed(std::move(domains));
    const auto current = evacuations_.current();
    LogFields names = LogFields::array();
    for (const auto& domain : current)
        names.push_back(domain);
    if (!hasEvacuations_ || !current.empty())
        log_.write(EventId::DomainsEvacuated, { { "domains", names } });
    hasEvacuations_ = true;
    upstreams_.setEvacuated(current);
}

auto DiscoveryState::releaseKeptEvacuations() -> void
{
    if (evacuations_.release())
        upstreams_.setEvacuated(evacuations_.current());
}

auto DiscoveryState::instancesListed(const std::vector<ListedInstance>& instances) -> void
{
    hasInstances_ = true;
    for (const auto& instance : instances)
        fleet_.addListedMember(instance.name_, instance.peer_);
}

auto DiscoveryState::peerListReceived() -> void
{
    if (!peerListReceivedAt_)
        peerListReceivedAt_ = clock_.now();
}

// Limits that the fleet shares are divided by the number of instances.
auto DiscoveryState::isInstanceCountKnown() const -> bool
{
    return hasInstances_ || (peerListReceivedAt_ && clock_.now() - *peerListReceivedAt_ >= peerListSettleTime);
}

auto DiscoveryState::feedLost(Feed feed, FeedLoss loss, std::string_view why) -> void
{
    auto& state = feeds_[feed];
    const bool wasPlatformDown = state.isPlatformDown_;
    state.isPlatformDown_ = wasPlatformDown || loss == FeedLoss::PlatformDown;
    if (state.isLost_ && state.isPlatformDown_ == wasPlatformDown)
        return;
    if (!std::exchange(state.isLost_, true))
        state.lostAt_ = clock_.now();
    log_.write(EventId::SourceLost, { { "feed", feedName(feed) }, { "loss", feedLossName(loss) }, { "why", why }, { "version", index_ ? index_->declaration().version_ : 0 }, { "upstreams", upstreams_.size() } });
}

// Entries expire only in an outage of the platform. Otherwise a missing upstream has left.
auto DiscoveryState::feedRestored(Feed feed) -> void
{
    auto& state = feeds_[feed];
    if (!state.isLost_)
        return;
    const auto lost = outageDuration(feed);
    state.isLost_ = false;
    const bool wasPlatformDown = std::exchange(state.isPlatformDown_, false);
    if (wasPlatformDown && lost >= minOutage)
        state.removalGraceUntil_ = clock_.now() + reregistrationTime;
    log_.write(EventId::SourceRegained, { { "feed", feedName(feed) }, { "lost_ms", lost / 1ms }, { "platform_down", wasPlatformDown } });
}

// Upstreams and evacuations that the copy lacks get time to be written again.
auto DiscoveryState::storeRestored(Feed feed, std::uint64_t era) -> void
{
    log_.write(EventId::StoreRestored, { { "feed", feedName(feed) }, { "era", era }, { "version", index_ ? index_->declaration().version_ : 0 }, { "upstreams", upstreams_.size() } });
    if (feed == Feed::Upstreams) {
        feeds_[feed].removalGraceUntil_ = clock_.now() + reregistrationTime;
        upstreams_.recordRestore();
    }
    if (feed == Feed::Evacuations)
        evacuations_.recordRestore();
}

auto DiscoveryState::feedSourceChanged(Feed feed, std::optional<SocketAddress> peer) -> void
{
    log_.write(EventId::SourceChosen, { { "feed", feedName(feed) }, { "follows", peer ? formatSocketAddress(*peer) : "platform" } });
    feeds_[feed].followed_ = std::move(peer);
}

auto DiscoveryState::followedPeer(Feed feed) const -> std::optional<SocketAddress>
{
    const auto found = feeds_.find(feed);
    return found == feeds_.end() ? std::nullopt : found->second.followed_;
}

auto DiscoveryState::bootstrapFailed(Feed feed, std::string_view why) -> void
{
    log_.write(EventId::LastKnownRefused, { { "feed", feedName(feed) }, { "why", why } });
}

auto DiscoveryState::registrationFailed(std::string_view why) -> void
{
    log_.write(EventId::InstanceNotListed, { { "why", why } });
}

// An instance that watches the platform itself detects an outage on its own. If only other instances cannot reach the
// platform, a removal that this instance receives is real, so it gets no grace period.
auto DiscoveryState::noteFleetOutage() -> void
{
    if (feeds_[Feed::Upstreams].followed_ && fleet_.isSourceLost())
        feeds_[Feed::Upstreams].followerGraceUntil_ = clock_.now() + drainTime_ / followerGraceDivisor;
}

auto DiscoveryState::feedBehind(Feed feed, const FeedPosition& own, const StoreRevision& newestElsewhere) -> void
{
    log_.write(EventId::SourceBehind, { { "feed", feedName(feed) }, { "era", own.current_.era_ }, { "seen_up_to", own.current_.number_ }, { "newest_elsewhere", newestElsewhere.number_ }, { "newest_era", newestElsewhere.era_ } });
}

auto DiscoveryState::changesMissed(Feed feed, std::uint64_t seenUpTo, std::uint64_t newest) -> void
{
    log_.write(EventId::SourceMissedChanges, { { "feed", feedName(feed) }, { "seen_up_to", seenUpTo }, { "newest", newest } });
}

auto DiscoveryState::outageDuration(Feed feed) const -> Duration
{
    const auto found = feeds_.find(feed);
    if (found == feeds_.end() || !found->second.isLost_)
        return Duration::zero();
    return clock_.now() - found->second.lostAt_;
}

} // namespace sapphirepass
