// One instance's part in the fleet: relay, withdrawals, freshness and membership. Decisions only:
// calls and messages in, messages out; the clock is injected.
#pragma once

#include "fleet/freshness.h"
#include "fleet/relay.h"
#include "fleet/withdrawal_book.h"

namespace sapphirepass {

struct FleetOptions {
    FanOutOptions fanOut_ {};
    // Mean time between questions to instances drawn at random.
    std::chrono::milliseconds gossipPeriod_ { 1'500 };
    // Least time between questions to the watchers of the own domain; grows with the domain.
    std::chrono::milliseconds heartbeatPeriod_ { 1'000 };
    // Addresses "@IP:PORT" to ask while no other instance is known.
    std::vector<std::string> seeds_;

    auto operator<=>(const FleetOptions&) const = default;
};

// Where a revision, or a set of withdrawn keys, is in force.
struct InForceCount {
    std::size_t confirmed_ = 0;
    std::size_t total_ = 0;
    // Whether the platform lists this instance, so that the total can be more than a guess.
    bool listed_ = false;
    // Known by name to lack it, or not heard of.
    std::vector<std::string> missing_;

    auto operator<=>(const InForceCount&) const = default;
};

// Single-threaded.
class FleetCore {
public:
    FleetCore(Member self, ConfigState& state, const Clock& clock, FleetOptions options, std::uint64_t seed);

    // The platform's list of instances.
    auto setPlatformList(MemberListPtr listed) -> void;
    // The store answered a watch that was started at that time, with nothing newer than what is here.
    auto storeAnswered(MonotonicTime asked) -> void { freshness_.hearStore(asked); }
    // The store answered with a head; false if this instance could not follow, and so is not current.
    auto storeAnswered(MonotonicTime asked, const LogHead& head) -> bool;
    auto receive(const InstanceId& from, const FleetMessage& message) -> void;
    // To be called about ten times a second.
    auto tick() -> void;
    // Takes a key away at once, here and wherever the message reaches.
    auto withdraw(const Withdrawal& withdrawal) -> void;
    auto announceLeaving() -> void;
    // Sends the watchers of all domains the question that inForce() is answered from.
    auto askInForce(const InForceAsk& ask) -> void;
    auto askMembers() -> void;

    // What is to be sent since the last call.
    auto takeOutbound() -> FleetSends;
    auto shouldWatchStore() const -> bool;
    // Whether this instance can know that it has everything that was in force a freshnessLimit ago.
    auto isCurrent() const -> bool { return clock_.now() <= currentUntil(); }
    auto currentUntil() const -> MonotonicTime;
    auto freshness() const -> const Freshness& { return freshness_; }
    auto withdrawals() const -> const WithdrawalBook& { return book_; }
    auto members() const -> const MemberTable& { return members_; }
    auto relay() const -> const Relay& { return relay_; }
    // From the answers to the last question of that kind and from what was heard directly.
    auto inForce(const InForceAsk& ask) const -> InForceCount;
    // The members of the fleet with what is known of each.
    auto describeMembers() const -> std::vector<Member>;
    // Position among the watchers of all domains; spreads work that one of them must do.
    auto watcherRank() const -> std::size_t;

private:
    auto handle(const InstanceId& from, const Digest& digest) -> void;
    auto handle(const InstanceId& from, const Pull& pull) -> void { add(relay_.receive(from.name_, pull)); }
    auto handle(const InstanceId& from, const EntryBatch& batch) -> void;
    auto handle(const InstanceId& from, const SnapshotPart& part) -> void;
    auto handle(const InstanceId& from, const WithdrawalSet& set) -> void;
    auto handle(const InstanceId& from, const MemberReport& report) -> void;
    auto handle(const InstanceId& from, const MemberAsk& ask) -> void;
    auto handle(const InstanceId& from, const MemberRows& rows) -> void;
    auto handle(const InstanceId& from, const InForceAsk& ask) -> void;
    auto handle(const InstanceId& from, const InForceAnswer& answer) -> void;

    auto noteRevision(Revision elsewhere) -> void;
    auto takeEvidence(const InstanceId& from, const Digest& digest) -> void;
    auto takeWithdrawals(const WithdrawalSet& set) -> void;
    auto ownMember() const -> Member;
    auto digest(bool question, std::uint64_t nonce) const -> Digest;
    auto question(const std::string& to) -> void;
    auto gossip() -> void;
    auto nextGossipIn() -> Duration;
    auto jittered(Duration period) -> Duration;
    auto heartbeat() -> void;
    auto afterRevision() -> void;
    auto refreshFleet() -> void;
    auto send(const std::string& to, FleetMessage message) -> void;
    auto add(FleetSends sends) -> void;
    auto countDomain(const InForceAsk& ask, const std::string& domain) const -> InForceAnswer;
    auto hasInForce(const Member& member, const InForceAsk& ask) const -> bool;

    ConfigState& state_;
    const Clock& clock_;
    FleetOptions options_;
    std::mt19937_64 random_;
    MemberTable members_;
    Freshness freshness_;
    WithdrawalBook book_;
    Relay relay_;
    FleetSends sends_;
    // Times at which open questions were sent, by nonce.
    std::map<std::uint64_t, MonotonicTime> questions_;
    // Peers that were told who this is.
    std::set<std::string> introduced_;
    MonotonicTime nextGossip_ {};
    MonotonicTime nextHeartbeat_ {};
    MonotonicTime nextHousekeeping_ {};
    std::size_t nextSeed_ = 0;
    std::uint64_t fleetGeneration_ = 0;
    Revision confirmed_ = -1;
    // The highest revision that is known to be in force elsewhere, and since when it is missing here.
    Revision elsewhere_ = 0;
    std::optional<MonotonicTime> behindSince_;
    InForceAsk asked_;
    std::map<std::string, InForceAnswer> answers_;
};

} // namespace sapphirepass
