// What a test keeps of the news that a source tells, and the objects that it puts into the store.
#pragma once

#include "gateway/feeds/discovery_source.h"

#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace sapphirepass::standin {

// Keeps what the source tells.
class KeptBeliefs final : public DiscoverySink {
public:
    auto declarationReceived(Declaration declaration) -> void override { versions_.push_back(declaration.version_); }
    auto declarationInvalid(std::string_view) -> void override { ++unreadable_; }
    auto upstreamsListed(const std::vector<UpstreamEntry>& entries) -> void override
    {
        ++lists_;
        upstreams_.clear();
        for (const auto& entry : entries) {
            upstreams_.insert(entry.id_);
            everListed_.insert(entry.id_);
        }
    }
    auto upstreamUpdated(const UpstreamEntry& entry) -> void override { upstreams_.insert(entry.id_); }
    auto upstreamRemoved(const std::string& id) -> void override { upstreams_.erase(id); }
    auto upstreamEntryInvalid(const std::string& id, std::string_view) -> void override
    {
        ++unreadable_;
        upstreams_.erase(id);
    }
    auto entryRefused(std::string_view kind, std::string_view, std::string_view) -> void override { refusedKinds_.insert(std::string(kind)); }
    auto domainsEvacuated(std::set<std::string> domains) -> void override
    {
        evacuated_ = std::move(domains);
        hasEvacuations_ = true;
    }
    auto instancesListed(const std::vector<ListedInstance>& instances) -> void override { instances_ = instances; }
    auto feedLost(Feed, FeedLoss loss, std::string_view) -> void override
    {
        ++lost_;
        platformDown_ += loss == FeedLoss::PlatformDown ? 1 : 0;
    }
    auto feedRestored(Feed) -> void override { ++regained_; }
    auto changesMissed(Feed, std::uint64_t, std::uint64_t) -> void override { ++missed_; }
    auto storeRestored(Feed, std::uint64_t era) -> void override { eras_.push_back(era); }
    auto feedSourceChanged(Feed feed, std::optional<SocketAddress> peer) -> void override { follows_[feed] = std::move(peer); }
    auto bootstrapFailed(Feed, std::string_view) -> void override { ++refusedByHolders_; }
    auto registrationFailed(std::string_view) -> void override { }

    std::vector<std::uint64_t> versions_;
    std::set<std::string> upstreams_;
    // Once for each list that named the upstream.
    std::multiset<std::string> everListed_;
    std::set<std::string> evacuated_;
    // One for each restore that a feed has noticed.
    std::vector<std::uint64_t> eras_;
    std::vector<ListedInstance> instances_;
    std::map<Feed, std::optional<SocketAddress>> follows_;
    // Kinds of refused entries that name no upstream.
    std::set<std::string> refusedKinds_;
    int lists_ = 0;
    int unreadable_ = 0;
    int lost_ = 0;
    // Those of the losses that were of the platform itself.
    int platformDown_ = 0;
    int missed_ = 0;
    int regained_ = 0;
    int refusedByHolders_ = 0;

    auto isComplete() const -> bool { return lists_ > 0 && !versions_.empty() && !instances_.empty() && hasEvacuations_; }
    bool hasEvacuations_ = false;
};

// Peers as a test names them.
class NamedPeers final : public FeedPeers {
public:
    auto peers() const -> std::vector<SocketAddress> override { return peers_; }
    auto bootstrapPeers() const -> std::vector<SocketAddress> override { return holders_; }
    auto newerPeer(Feed, const StoreRevision&) const -> std::optional<SocketAddress> override { return std::nullopt; }

    std::vector<SocketAddress> peers_;
    std::vector<SocketAddress> holders_;
};

inline auto declared(int version) -> nlohmann::json
{
    return { { "version", fmt::format("{:08x}", version) }, { "routes", { { { "name", "r" }, { "host", "a.example" }, { "path_prefix", "/x/" }, { "kind", "non_idempotent" }, { "timeout_s", 2 }, { "target_latency_s", 0.3 }, { "service", "s" }, { "max_attempts", 2 } } } }, { "services", { { { "name", "s" }, { "max_conns", 10 }, { "cold_start_s", 3 }, { "cold_per_s", 9 } } } }, { "tenants", { { { "name", "acme" }, { "api_keys", { "secret" } } } } } };
}

inline auto listed(const SocketAddress& address, const std::string& state = "ready") -> nlohmann::json
{
    return { { "address", formatSocketAddress(address) }, { "born", 1 }, { "info", { { "service", "s" }, { "zone", "north-a" }, { "slots", 4 } } }, { "status", { { "state", state }, { "seq", 1 }, { "cold_left_s", 0 } } } };
}

} // namespace sapphirepass::standin
