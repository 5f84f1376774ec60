// Where an instance learns what is declared and which upstreams there are.
#pragma once

#include "gateway/declaration_type.h"
#include "gateway/running_request.h"
#include "gateway/upstream_caller.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

// One stream of news. Each may be lost and regained on its own.
enum class Feed { Declaration,
    Upstreams,
    Evacuations };

inline constexpr std::array<Feed, 3> allFeeds { Feed::Declaration, Feed::Upstreams, Feed::Evacuations };

// How far a feed has come, in the platform's own count of changes.
struct FeedPosition {
    // The newest change of this feed that was taken in.
    std::uint64_t lastChangeRevision_ = 0;
    // Every change up to here would have been seen.
    std::uint64_t currentRevision_ = 0;

    auto operator<=>(const FeedPosition&) const = default;
};

// An instance of the gateway as the platform lists it; it may be gone.
struct ListedInstance {
    std::string name_;
    SocketAddress peer_;

    auto operator<=>(const ListedInstance&) const = default;
};

class DiscoverySink {
public:
    virtual ~DiscoverySink() = default;
    virtual auto declarationReceived(Declaration declaration) -> void = 0;
    virtual auto declarationInvalid(std::string_view why) -> void = 0;
    // All upstreams at one moment.
    virtual auto upstreamsListed(const std::vector<UpstreamEntry>& entries) -> void = 0;
    virtual auto upstreamUpdated(const UpstreamEntry& entry) -> void = 0;
    virtual auto upstreamRemoved(const std::string& id) -> void = 0;
    virtual auto upstreamEntryInvalid(const std::string& id, std::string_view why) -> void = 0;
    virtual auto domainsEvacuated(std::set<std::string> domains) -> void = 0;
    virtual auto instancesListed(const std::vector<ListedInstance>& instances) -> void = 0;
    virtual auto feedLost(Feed feed, std::string_view why) -> void = 0;
    virtual auto feedRestored(Feed feed) -> void = 0;
    // Where the feed is asked for from now on: another instance, or the platform itself if empty.
    virtual auto feedSourceChanged(Feed feed, std::optional<SocketAddress> peer) -> void = 0;
    // Another instance, asked while the platform is away, could not tell what it last heard.
    virtual auto bootstrapFailed(Feed feed, std::string_view why) -> void = 0;
    virtual auto registrationFailed(std::string_view why) -> void = 0;
};

// Instances that may be asked for news instead of the platform, the best first; none if the platform is to be asked.
class FeedPeers {
public:
    virtual ~FeedPeers() = default;
    virtual auto peers() const -> std::vector<SocketAddress> = 0;
    // Instances that hold all news, the nearest first: one that has just started asks them for what they last heard while
    // the platform is away.
    virtual auto bootstrapPeers() const -> std::vector<SocketAddress> = 0;
};

class DiscoverySource {
public:
    virtual ~DiscoverySource() = default;
    // Tells the sink from then on, and enters this instance in the platform's list.
    virtual auto start(DiscoverySink& sink, const ListedInstance& self, const FeedPeers& peers) -> void = 0;
    virtual auto stop() -> void = 0;
    // Calls to the platform so far.
    virtual auto calls() const -> std::uint64_t = 0;
    // Answers of the platform so far.
    virtual auto answers() const -> std::uint64_t = 0;
    // Asks the platform for a sign of life. Feeds that wait for its news count as lost until it answers again.
    virtual auto probe() -> void = 0;
    virtual auto position(Feed feed) const -> FeedPosition = 0;
    // Answers another instance that follows the platform's news here. Null if it was answered at once.
    virtual auto answerPeer(const OutgoingRequest& request, std::function<void(UpstreamResponse)> answer) -> std::shared_ptr<RunningRequest> = 0;
    // Asks the platform anew on another connection: others have heard of a change that did not come here.
    virtual auto reconnect(Feed feed) -> void = 0;
};

} // namespace sapphirepass
