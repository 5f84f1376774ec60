// Fleet protocol of one instance: log relay, emergency withdrawals, freshness and membership. Does no I/O:
// takes calls and received messages, and collects the messages to send; the clock is injected.
#pragma once

#include "fleet/emergency_withdrawals.h"
#include "fleet/freshness.h"
#include "fleet/relay.h"

namespace sapphirepass {

struct FleetOptions {
    FanOutOptions fanOut_ {};
    // Mean interval between digest requests to random instances.
    std::chrono::milliseconds gossipPeriod_ { 1'500 };
    // Minimum interval between digest requests to the watchers of the own domain; grows with the domain size.
    std::chrono::milliseconds heartbeatPeriod_ { 1'000 };
    // Addresses in the form "@IP:PORT" that are contacted while no other instance is known.
    std::vector<std::string> seeds_;

    auto operator<=>(const FleetOptions&) const = default;
};

// Number of instances where a revision, or a set of withdrawn keys, is in force, out of all.
struct InForceStatus {
    std::size_t confirmed_ = 0;
    std::size_t total_ = 0;
    // Whether the platform lists this instance. If not, the list of members may be incomplete and the total
    // is only an estimate.
    bool listed_ = false;
    // Names of instances that are behind or whose state is unknown; may be truncated.
    std::vector<std::string> missing_;

    auto operator<=>(const InForceStatus&) const = default;
};

// Not thread-safe.
class FleetCore {
public:
    FleetCore(Member self, ConfigState& state, const Clock& clock, FleetOptions options, std::uint64_t seed);

    auto setPlatformList(MemberListPtr listed) -> void;
    // A store watch started at that time returned without a newer revision.
    auto storeAnswered(MonotonicTime asked) -> void { freshness_.recordStoreContact(asked); }
    // A store watch returned a head; false if this instance could not apply it and is therefore not current.
    auto storeAnswered(MonotonicTime asked, const LogHead& head) -> bool;
    auto receive(const InstanceId& from, const FleetMessage& message) -> void;
    // To be called about every 100 ms.
    auto tick() -> void;
    // Withdraws a key immediately, on this instance and on every instance that the message reaches.
    auto withdraw(const Withdrawal& withdrawal) -> void;
    auto announceLeaving() -> void;
    // Sends the query to the watchers of all domains; inForce() evaluates the answers.
    auto askInForce(const InForceAsk& ask) -> void;
    auto askMembers() -> void;

    // Returns the messages queued since the last call.
    auto takeOutbound() -> OutboundMessages;
    auto shouldWatchStore() const -> bool;
    // Whether this instance is certain to have everything that was in force freshnessLimit ago.
    auto isCurrent() const -> bool { return clock_.now() <= currentUntil(); }
    auto currentUntil() const -> MonotonicTime;
    auto freshness() const -> const Freshness& { return freshness_; }
    auto withdrawals() const -> const EmergencyWithdrawals& { return emergencyWithdrawals_; }
    auto members() const -> const MemberTable& { return members_; }
    auto relay() const -> const Relay& { return relay_; }
    // Combines the answers to the last query with the digests received directly.
    auto inForce(const InForceAsk& ask) const -> InForceStatus;
    // All known members with their last known state.
    auto describeMembers() const -> std::vector<Member>;
    // Position among the watchers of all domains, used to stagger work that only one of them has to do.
    // Equals the number of watchers if this instance is none.
    auto watcherRank() const -> std::size_t;

private:
    auto handle(const InstanceId& from, const Digest& digest) -> void;
    auto handle(const InstanceId& from, const Pull& pull) -> void { sendAll(relay_.receive(from.name_, pull)); }
    auto handle(const InstanceId& from, const EntryBatch& batch) -> void;
    auto handle(const InstanceId& from, const SnapshotPart& part) -> void;
    auto handle(const InstanceId& from, const WithdrawalSet& set) -> void;
    auto handle(const InstanceId& from, const MemberAnnouncement& report) -> void;
    auto handle(const InstanceId& from, const MembersRequest& ask) -> void;
    auto handle(const InstanceId& from, const MembersReply& rows) -> void;
    auto handle(const InstanceId& from, const InForceAsk& ask) -> void;
    auto handle(const InstanceId& from, const InForceAnswer& answer) -> void;

    auto recordRemoteRevision(Revision remoteRevision) -> void;
    auto recordDigestReply(const InstanceId& from, const Digest& digest) -> void;
    auto addWithdrawals(const WithdrawalSet& set) -> void;
    auto ownMember() const -> Member;
    auto digest(bool question, std::uint64_t nonce) const -> Digest;
    auto question(const std::string& to) -> void;
    auto gossip() -> void;
    auto nextGossipDelay() -> Duration;
    auto jittered(Duration period) -> Duration;
    auto heartbeat() -> void;
    auto handleRevisionChange() -> void;
    auto updateFreshnessDomains() -> void;
    auto send(const std::string& to, FleetMessage message) -> void;
    auto sendAll(OutboundMessages sends) -> void;
    auto countInForce(const InForceAsk& ask, const std::string& domain) const -> InForceAnswer;
    auto hasInForce(const Member& member, const InForceAsk& ask) const -> bool;

    ConfigState& state_;
    const Clock& clock_;
    FleetOptions options_;
    std::mt19937_64 random_;
    MemberTable members_;
    Freshness freshness_;
    EmergencyWithdrawals emergencyWithdrawals_;
    Relay relay_;
    OutboundMessages outbound_;
    // Send times of unanswered digest requests, by nonce.
    std::map<std::uint64_t, MonotonicTime> pendingRequests_;
    // Peers that were sent the membership record of this instance; cleared periodically so that it is sent
    // again.
    std::set<std::string> introducedPeers_;
    MonotonicTime nextGossip_ {};
    MonotonicTime nextHeartbeat_ {};
    MonotonicTime nextHousekeeping_ {};
    std::size_t nextSeed_ = 0;
    std::uint64_t memberGeneration_ = 0;
    Revision announcedRevision_ = -1;
    // Highest revision known from the store or a peer, and since when this instance has been behind.
    Revision highestRemoteRevision_ = 0;
    std::optional<MonotonicTime> behindSince_;
    InForceAsk lastInForceAsk_;
    std::map<std::string, InForceAnswer> inForceAnswers_;
};

} // namespace sapphirepass
