// The other gateway instances, as known from their heartbeats.
#pragma once

#include "base/clock.h"
#include "base/socket_address.h"
#include "gateway/feeds/discovery_source.h"
#include "gateway/limits/limit_notice.h"
#include "gateway/limits/room_use.h"
#include "gateway/placement/service_demand.h"
#include "gateway/upstreams/observation.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

enum class MemberPhase : std::uint16_t { Starting,
    Ready,
    Stopping };

// A request whose attempts ended in lost connections at one instance, and the number of upstreams concerned.
struct CrashCount {
    std::uint64_t fingerprint_ = 0;
    std::uint32_t upstreams_ = 0;

    auto operator<=>(const CrashCount&) const = default;
};

// An upstream that an instance has found to be cold while discovery is unavailable.
struct ColdNotice {
    std::string upstream_;
    std::chrono::milliseconds left_ {};

    auto operator<=>(const ColdNotice&) const = default;
};

// Content of a heartbeat.
struct MemberReport {
    std::string name_;
    // Random number that distinguishes restarts of an instance.
    std::uint64_t incarnation_ = 0;
    SocketAddress front_;
    SocketAddress peer_;
    // Serves discovery feeds to other instances.
    SocketAddress control_;
    std::string region_;
    std::string domain_;
    MemberPhase phase_ = MemberPhase::Starting;
    std::vector<CrashCount> crashes_;
    // Peer addresses of some or all instances that the sender currently receives heartbeats from.
    std::vector<SocketAddress> knownPeers_;
    // Revision of the newest change that the sender has applied, for each feed in the order of Feed.
    std::array<StoreRevision, allFeeds.size()> lastChangeRevisions_ {};
    // The sender's upstream feed is lost.
    bool isSourceLost_ = false;
    std::vector<ColdNotice> coldNotices_;
    // Limits of the upstreams that the sender coordinates.
    std::vector<LimitNotice> limitNotices_;
    // Regions whose upstreams the sender does not reach.
    std::vector<std::string> unreachableRegions_;
    // The sender reaches no upstream at all.
    bool isCutOff_ = false;
    // The sender handles requests for instances that reach no upstream.
    bool acceptsDelegation_ = false;
    // The sender has just started and asks for the addresses of the other instances.
    bool wantsPeers_ = false;
    // Hashes of the names of instances that the sender no longer receives heartbeats from.
    std::vector<std::uint64_t> silentMembers_;
    // Newest first; for instances of the sender's region only.
    std::vector<Observation> observations_;
    // Requests at the sender since its last heartbeat to the region, by service.
    std::vector<RoomUse> roomUse_;
    // Number of entries of roomUse_ that could not be taken over.
    std::uint32_t invalidRoomUses_ = 0;
    // Requests per second that callers offer to the sender, by service; empty if the heartbeat does not carry them.
    std::optional<std::vector<ServiceDemand>> demand_;
    // Number of entries of demand_ that could not be taken over.
    std::uint32_t invalidDemands_ = 0;

    auto operator<=>(const MemberReport&) const = default;
};

struct FleetTiming {
    // An instance without heartbeats for longer than this is not listed to callers.
    Duration silenceTimeout_ {};
    // Its share of the limits stays reserved for this long, as it may be alive behind a network partition.
    Duration reservationTime_ {};
};

// The instance responsible for a workspace's shared tokens or for an upstream's health requests.
struct Coordinator {
    std::string name_;
    SocketAddress peer_;

    auto operator<=>(const Coordinator&) const = default;
};

class FleetView {
public:
    FleetView(const Clock& clock, FleetTiming timing, std::string self);

    auto self() const -> const std::string& { return self_; }
    // Takes in a heartbeat.
    auto updateMember(const MemberReport& report) -> void;
    // Adds an instance from the platform's list. It may no longer be running, so it counts as not heard from yet.
    auto addListedMember(const std::string& name, const SocketAddress& peer) -> void;
    auto setReady(bool ready) -> void { isReady_ = ready; }
    // Sets whether this instance's own upstream feed is lost.
    auto setSourceLost(bool lost) -> void { isSourceLost_ = lost; }
    // Whether the upstream feed is lost at at least half of the live instances, this one included.
    auto isSourceLost() const -> bool;
    auto isOwnSourceLost() const -> bool { return isSourceLost_; }
    // Whether the upstream feed is lost at any other live instance.
    auto isAnyPeerSourceLost() const -> bool;
    // Removes instances whose reservation has ended.
    auto removeSilent() -> void;

    // Live instances of a region that are ready.
    auto readyMembers(std::string_view region) const -> std::vector<const MemberReport*>;
    // Live instances of a region that are ready or still starting.
    auto activeMembers(std::string_view region) const -> std::vector<const MemberReport*>;
    auto allReadyMembers() const -> std::vector<const MemberReport*>;
    // Ready instances of a region that reach upstreams.
    auto connectedMembers(std::string_view region) const -> std::vector<const MemberReport*>;
    // Addresses that heartbeats are sent to: all, or only those in a region and those not heard from yet.
    auto peerAddresses() const -> std::vector<SocketAddress>;
    auto peerAddressesNear(std::string_view region) const -> std::vector<SocketAddress>;
    // The rest: those of instances known to be in other regions.
    auto peerAddressesBeyond(std::string_view region) const -> std::vector<SocketAddress>;
    // Addresses of the instances that send heartbeats.
    auto livePeerAddresses() const -> std::vector<SocketAddress>;
    // Up to maxCount of these, others in each round.
    auto sampleLivePeers(std::uint64_t round, std::size_t maxCount) const -> std::vector<SocketAddress>;
    // Up to maxCount addresses of instances that fell silent within the last hours, others in each round. They may be
    // alive behind a network partition, and after it nobody else knows both sides.
    auto sampleLostPeers(std::uint64_t round, std::size_t maxCount) const -> std::vector<SocketAddress>;
    // Instances that the fleet's limits are divided among, this one and silent ones with a reservation included.
    auto memberCount() const -> std::size_t { return members_.size() + 1; }
    // Hashes of the names of instances that have fallen silent, for heartbeats; those that did so last if there are many.
    auto silentMembers() const -> std::vector<std::uint64_t>;
    // Whether at least half of the others are connected to this instance in both directions, so that it is not on the minority
    // side of a network partition.
    auto hasQuorum() const -> bool;
    // The instance that holds the shared tokens of a workspace or checks the health of an upstream, chosen by rendezvous
    // hashing: instances that see the same ready members choose the same one. It may be this instance; empty if none is
    // ready.
    auto coordinatorOf(std::string_view key) const -> std::optional<Coordinator>;
    // The number of instances that send to a cold upstream, at most maxSenders; empty if this instance is not one of them.
    auto coldSenderCount(std::string_view upstream, std::size_t maxSenders) const -> std::optional<std::size_t>;
    // Revision of the newest change in the feed (an index into allFeeds) that a live instance reports; 0 if none does.
    auto newestRevisionReported(std::size_t feed) const -> StoreRevision;
    // The same for the instance with this control address; empty if it has sent no heartbeat lately.
    auto revisionReportedBy(const SocketAddress& control, std::size_t feed) const -> std::optional<StoreRevision>;
    // Number of upstreams that the request has crashed, as reported by other instances.
    auto crashesElsewhere(std::uint64_t fingerprint) const -> std::uint32_t;

private:
    struct Member {
        MemberReport report_;
        // Time of the last heartbeat, or of being added from the platform's list.
        MonotonicTime lastSeenAt_ {};
        bool hasReported_ = false;
    };

    // Whether the instance has sent a heartbeat within the silence timeout.
    auto isLive(const Member& member) const -> bool;
    // Whether the instance is live and has not reported that this one has fallen silent.
    auto isConnected(const Member& member) const -> bool;

    const Clock& clock_;
    FleetTiming timing_;
    std::string self_;
    std::map<std::string, Member> members_;
    // When instances were removed that did not say that they stop.
    std::map<SocketAddress, MonotonicTime> lostAt_;
    bool isReady_ = false;
    bool isSourceLost_ = false;
};

} // namespace sapphirepass
