// What this instance believes of the declaration and the upstreams, and how it takes news in.
#pragma once

#include "gateway/decision_log.h"
#include "gateway/declaration_index.h"
#include "gateway/discovery_source.h"
#include "gateway/fleet_view.h"
#include "gateway/upstream_set.h"

#include <functional>

namespace sapphirepass {

class DiscoveryState final : public DiscoverySink {
public:
    DiscoveryState(const Clock& clock, UpstreamSet& upstreams, FleetView& fleet, DecisionLog& log);

    auto declarationReceived(Declaration declaration) -> void override;
    auto declarationInvalid(std::string_view why) -> void override;
    auto upstreamsListed(const std::vector<UpstreamEntry>& entries) -> void override;
    auto upstreamUpdated(const UpstreamEntry& entry) -> void override;
    auto upstreamRemoved(const std::string& id) -> void override;
    auto upstreamEntryInvalid(const std::string& id, std::string_view why) -> void override;
    auto domainsEvacuated(std::set<std::string> domains) -> void override;
    auto instancesListed(const std::vector<ListedInstance>& instances) -> void override;
    auto feedLost(Feed feed, std::string_view why) -> void override;
    auto feedRestored(Feed feed) -> void override;
    auto feedSourceChanged(Feed feed, std::optional<SocketAddress> peer) -> void override;
    auto bootstrapFailed(Feed feed, std::string_view why) -> void override;
    auto registrationFailed(std::string_view why) -> void override;

    auto index() const -> const std::shared_ptr<const DeclarationIndex>& { return index_; }
    // Whether requests can be decided: everything has been heard at least once.
    auto isComplete() const -> bool { return index_ && hasUpstreams_ && hasEvacuations_ && knowsInstances(); }
    auto outageDuration(Feed feed) const -> Duration;
    // Remembers an outage that the other instances notice, also where this one's watch is still open. Called now and then.
    auto noteFleetOutage() -> void;
    // Others have told a change that did not come here; the platform is asked anew.
    auto feedBehind(Feed feed, const FeedPosition& own, std::uint64_t newestElsewhere) -> void;
    // Another instance has named all that it hears.
    auto peerListReceived() -> void;
    auto onDeclaration(std::function<void()> action) -> void { declarationAction_ = std::move(action); }

private:
    struct FeedState {
        bool isLost_ = false;
        // Hears of news through another instance.
        bool isFollowing_ = false;
        MonotonicTime lostAt_ {};
        // Until then, what is missing may only have lapsed during the outage.
        MonotonicTime doubtUntil_ {};
    };

    auto keepMissing() const -> Duration;
    auto knowsInstances() const -> bool;

    const Clock& clock_;
    UpstreamSet& upstreams_;
    FleetView& fleet_;
    DecisionLog& log_;
    std::shared_ptr<const DeclarationIndex> index_;
    std::map<Feed, FeedState> feeds_;
    bool hasUpstreams_ = false;
    bool hasEvacuations_ = false;
    bool hasInstances_ = false;
    std::optional<MonotonicTime> namedAt_;
    std::function<void()> declarationAction_;
};

} // namespace sapphirepass
