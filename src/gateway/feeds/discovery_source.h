// Interface to the platform's discovery: declaration, upstreams, evacuated domains and gateway instances.
#pragma once

#include "gateway/declaration/declaration_type.h"
#include "gateway/requests/running_request.h"
#include "gateway/requests/upstream_caller.h"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

// One stream of updates from the platform. Each can be lost and restored independently.
enum class Feed { Declaration,
    Upstreams,
    Evacuations };

inline constexpr std::array<Feed, 3> allFeeds { Feed::Declaration, Feed::Upstreams, Feed::Evacuations };

// For logs and metrics.
auto feedName(Feed feed) -> std::string_view;

// What a failed call of a feed says about the platform.
enum class FeedLoss {
    // The platform was refused, reset or silent on a new connection, or reported an error of its own.
    PlatformDown,
    // The call rate was exceeded, a peer failed, or a connection was lost that had been open before: the platform may be well.
    CallFailed
};

// For logs.
auto feedLossName(FeedLoss loss) -> std::string_view;

// A revision of the platform's store. The era rises each time the store returns from an older copy; revisions after that
// copy are then given out again for other changes, so they are only comparable within an era.
struct StoreRevision {
    // 0 if the store names none.
    std::uint64_t era_ = 0;
    std::uint64_t number_ = 0;

    auto operator<=>(const StoreRevision&) const = default;
};

// Progress of a feed.
struct FeedPosition {
    // Revision of the newest change in this feed that was applied.
    StoreRevision lastChange_;
    // All changes up to this revision have been received.
    StoreRevision current_;

    auto operator<=>(const FeedPosition&) const = default;
};

// A gateway instance in the platform's list. It may no longer be running.
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
    // The complete set of upstreams; replaces the previous one.
    virtual auto upstreamsListed(const std::vector<UpstreamEntry>& entries) -> void = 0;
    virtual auto upstreamUpdated(const UpstreamEntry& entry) -> void = 0;
    virtual auto upstreamRemoved(const std::string& id) -> void = 0;
    // The entry could not be decoded; the upstream must not be used.
    virtual auto upstreamEntryInvalid(const std::string& id, std::string_view why) -> void = 0;
    // An entry that names no upstream was left out. The kind is the name of its feed, or "instances"; the name is empty if it
    // cannot be read.
    virtual auto entryRefused(std::string_view kind, std::string_view name, std::string_view why) -> void = 0;
    virtual auto domainsEvacuated(std::set<std::string> domains) -> void = 0;
    virtual auto instancesListed(const std::vector<ListedInstance>& instances) -> void = 0;
    // Called for each failed call. The kind of loss may differ between the calls of one outage.
    virtual auto feedLost(Feed feed, FeedLoss loss, std::string_view why) -> void = 0;
    virtual auto feedRestored(Feed feed) -> void = 0;
    // A watch that the platform never answered has missed changes; the feed is read on a new connection.
    virtual auto changesMissed(Feed feed, std::uint64_t seenUpTo, std::uint64_t newest) -> void = 0;
    // The store has returned from an older copy, which lacks recent changes. Called before the copy's objects are listed.
    virtual auto storeRestored(Feed feed, std::uint64_t era) -> void = 0;
    // The feed is read from another instance from now on, or from the platform if empty.
    virtual auto feedSourceChanged(Feed feed, std::optional<SocketAddress> peer) -> void = 0;
    // Another instance could not provide its last known state while the platform was unavailable.
    virtual auto bootstrapFailed(Feed feed, std::string_view why) -> void = 0;
    // This instance could not be registered with the platform, or the list of instances could not be read; it is retried.
    virtual auto registrationFailed(std::string_view why) -> void = 0;
};

// Other instances that can serve feeds in place of the platform.
class FeedPeers {
public:
    virtual ~FeedPeers() = default;
    // Instances to read feeds from, the preferred one first; empty if this instance reads from the platform.
    virtual auto peers() const -> std::vector<SocketAddress> = 0;
    // Instances with complete state, the nearest first. An instance that starts while the platform is unavailable gets its
    // initial state from them.
    virtual auto bootstrapPeers() const -> std::vector<SocketAddress> = 0;
    // The instance with complete state that reports the newest change of the feed, if that is newer than the known revision.
    virtual auto newerPeer(Feed feed, const StoreRevision& known) const -> std::optional<SocketAddress> = 0;
};

class DiscoverySource {
public:
    virtual ~DiscoverySource() = default;
    // Starts delivering updates to the sink and registers this instance with the platform.
    virtual auto start(DiscoverySink& sink, const ListedInstance& self, const FeedPeers& peers) -> void = 0;
    virtual auto stop() -> void = 0;
    // Number of calls to the platform so far.
    virtual auto calls() const -> std::uint64_t = 0;
    // Number of answers from the platform so far.
    virtual auto answers() const -> std::uint64_t = 0;
    // Sends a liveness probe to the platform. If it fails, feeds that are waiting in a watch count as lost until the
    // platform answers again.
    virtual auto probe() -> void = 0;
    virtual auto position(Feed feed) const -> FeedPosition = 0;
    // Bytes that have arrived of the response that a waiting feed gets; 0 if there is none yet.
    virtual auto bytesArriving(Feed feed) const -> std::uint64_t = 0;
    // The newest revision that any answer of the platform has named.
    virtual auto newestRevision() const -> StoreRevision = 0;
    // Asks the platform beside the waiting watch of a feed whether the feed has missed a change, and reads the feed on a new
    // connection if it has.
    virtual auto verify(Feed feed) -> void = 0;
    // Serves a feed request of another instance. Null if it was answered immediately.
    virtual auto answerPeer(const OutgoingRequest& request, std::function<void(UpstreamResponse)> answer) -> std::shared_ptr<RunningRequest> = 0;
    // Reads the feed at the platform on a new connection, after other instances reported a change that this feed has not
    // received: by a new watch, or by a list if the change belongs to a newer era.
    virtual auto reconnect(Feed feed, const StoreRevision& newestReported) -> void = 0;
};

} // namespace sapphirepass
