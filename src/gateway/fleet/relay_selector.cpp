#include "gateway/fleet/relay_selector.h"

#include "gateway/hashing.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Instances of a region that watch the platform. Two, as one may stop or be cut off.
    constexpr std::size_t watchersPerRegion = 2;
    // In regions with fewer instances all watch the platform: a follower gets changes later than a watcher and depends on
    // it.
    constexpr std::size_t minInstancesToRelay = 9;
}

RelaySelector::RelaySelector(const FleetView& fleet, std::string region)
    : fleet_(fleet)
    , region_(std::move(region))
{
}

// Rendezvous hashing: all instances of a region choose the same watchers. Instances that are still starting take part,
// because a fleet that starts receives most changes at once; those that have lost the platform do not. Each follower
// prefers one of the watchers according to its own name, which spreads followers over them.
auto RelaySelector::peers() const -> std::vector<SocketAddress>
{
    const auto others = fleet_.activeMembers(region_);
    if (others.size() + 1 < minInstancesToRelay)
        return {};
    const auto object = stableHash("news");
    const auto own = rendezvousWeight(object, fleet_.self());
    std::vector<std::pair<std::uint64_t, SocketAddress>> ranked;
    for (const auto* member : others) {
        if (member->isSourceLost_)
            continue;
        ranked.emplace_back(rendezvousWeight(object, member->name_), member->control_);
    }
    if (ranked.size() < watchersPerRegion)
        return {};
    std::partial_sort(ranked.begin(), ranked.begin() + watchersPerRegion, ranked.end(), std::greater<>());
    ranked.resize(watchersPerRegion);
    if (own > ranked.back().first)
        return {};
    std::vector<SocketAddress> peers;
    peers.reserve(ranked.size());
    for (const auto& [weight, address] : ranked)
        peers.push_back(address);
    std::rotate(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(own % watchersPerRegion), peers.end());
    return peers;
}

auto RelaySelector::newerPeer(Feed feed, const StoreRevision& known) const -> std::optional<SocketAddress>
{
    std::optional<SocketAddress> newest;
    auto revision = known;
    for (const auto* member : fleet_.allReadyMembers()) {
        const auto& reported = member->lastChangeRevisions_.at(static_cast<std::size_t>(feed));
        if (reported <= revision)
            continue;
        revision = reported;
        newest = member->control_;
    }
    return newest;
}

// Ready instances have complete state.
auto RelaySelector::bootstrapPeers() const -> std::vector<SocketAddress>
{
    auto ready = fleet_.allReadyMembers();
    std::stable_partition(ready.begin(), ready.end(), [this](const auto* member) { return member->region_ == region_; });
    std::vector<SocketAddress> candidates;
    candidates.reserve(ready.size());
    for (const auto* member : ready)
        candidates.push_back(member->control_);
    return candidates;
}

} // namespace sapphirepass
