// The instance's current view of the declaration, the upstreams and the fleet, built from discovery updates.
#pragma once

#include "gateway/declaration/declaration_index.h"
#include "gateway/feeds/discovery_source.h"
#include "gateway/feeds/evacuation_memory.h"
#include "gateway/fleet/fleet_view.h"
#include "gateway/requests/decision_log.h"
#include "gateway/upstreams/upstream_set.h"

#include <functional>

namespace sapphirepass {

class DiscoveryState final : public DiscoverySink {
public:
    // drainTime is the longest time for which an upstream may get requests after its removal.
    DiscoveryState(const Clock& clock, UpstreamSet& upstreams, FleetView& fleet, DecisionLog& log, Duration drainTime);

    auto declarationReceived(Declaration declaration) -> void override;
    auto declarationInvalid(std::string_view why) -> void override;
    auto upstreamsListed(const std::vector<UpstreamEntry>& entries) -> void override;
    auto upstreamUpdated(const UpstreamEntry& entry) -> void override;
    auto upstreamRemoved(const std::string& id) -> void override;
    auto upstreamEntryInvalid(const std::string& id, std::string_view why) -> void override;
    auto entryRefused(std::string_view kind, std::string_view name, std::string_view why) -> void override;
    auto domainsEvacuated(std::set<std::string> domains) -> void override;
    auto instancesListed(const std::vector<ListedInstance>& instances) -> void override;
    auto feedLost(Feed feed, FeedLoss loss, std::string_view why) -> void override;
    auto feedRestored(Feed feed) -> void override;
    auto changesMissed(Feed feed, std::uint64_t seenUpTo, std::uint64_t newest) -> void override;
    auto storeRestored(Feed feed, std::uint64_t era) -> void override;
    auto feedSourceChanged(Feed feed, std::optional<SocketAddress> peer) -> void override;
    auto bootstrapFailed(Feed feed, std::string_view why) -> void override;
    auto registrationFailed(std::string_view why) -> void override;

    auto index() const -> const std::shared_ptr<const DeclarationIndex>& { return index_; }
    // True once every feed has delivered its first state and the instance count is known. Requests can be handled from
    // then on.
    auto isComplete() const -> bool { return index_ && hasUpstreams_ && hasEvacuations_ && isInstanceCountKnown(); }
    // How many entries could not be used so far, by kind.
    auto refusedEntries() const -> const std::map<std::string, std::uint64_t>& { return refusedEntries_; }
    // How long the feed has been lost; zero if it is not.
    auto outageDuration(Feed feed) const -> Duration;
    // While the fleet reports an outage, gives removed upstreams a short grace period if they are read from another instance,
    // even if the watch there is still open. To be called periodically.
    auto noteFleetOutage() -> void;
    // Removes upstreams whose grace period has ended. To be called periodically.
    auto removeExpiredUpstreams() -> void;
    // The instance that the feed is read from; empty for the platform.
    auto followedPeer(Feed feed) const -> std::optional<SocketAddress>;
    // Ends evacuations that were only kept over a restore of the store. To be called periodically.
    auto releaseKeptEvacuations() -> void;
    // Other instances report a newer revision than this feed has received; the feed is being reconnected.
    auto feedBehind(Feed feed, const FeedPosition& own, const StoreRevision& newestElsewhere) -> void;
    // Another instance has sent the addresses of all instances that it receives heartbeats from.
    auto peerListReceived() -> void;
    // Whether neither the platform nor another instance has named the other instances yet.
    auto needsPeerList() const -> bool { return !hasInstances_ && !peerListReceivedAt_; }
    auto onDeclaration(std::function<void()> action) -> void { declarationAction_ = std::move(action); }

private:
    struct FeedState {
        bool isLost_ = false;
        // Whether the platform itself was out of reach since the feed was lost.
        bool isPlatformDown_ = false;
        // The instance that updates are received from; empty for the platform.
        std::optional<SocketAddress> followed_;
        MonotonicTime lostAt_ {};
        // Until then, a missing entry may only have expired in the store during the outage.
        MonotonicTime removalGraceUntil_ {};
        // The same, while this instance follows another and the outage is one of others.
        MonotonicTime followerGraceUntil_ {};
    };

    auto removalGrace() const -> Duration;
    auto isInstanceCountKnown() const -> bool;

    const Clock& clock_;
    UpstreamSet& upstreams_;
    FleetView& fleet_;
    DecisionLog& log_;
    Duration drainTime_;
    std::shared_ptr<const DeclarationIndex> index_;
    std::map<Feed, FeedState> feeds_;
    EvacuationMemory evacuations_;
    bool hasUpstreams_ = false;
    bool hasEvacuations_ = false;
    bool hasInstances_ = false;
    std::optional<MonotonicTime> peerListReceivedAt_;
    std::function<void()> declarationAction_;
    std::map<std::string, std::uint64_t> refusedEntries_;
};

} // namespace sapphirepass
