// One instance's view of the others: the platform's list, which lags behind, membership records received from
// peers, and which peers reply.
#pragma once

#include "base/clock.h"
#include "fleet/member_list.h"

#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace sapphirepass {

// Last known state of a peer, from its own digests or reported by others.
struct PeerStatus {
    std::uint64_t incarnation_ = 0;
    // Incarnation of the process before this one, whose delayed messages are ignored.
    std::uint64_t previousIncarnation_ = 0;
    Revision revision_ = 0;
    std::uint64_t stateHash_ = 0;
    std::uint64_t withdrawalHash_ = 0;
    MonotonicTime lastHeard_ {};
    // Consecutive digest requests without a reply.
    int unansweredRequests_ = 0;
    MonotonicTime lastRequest_ {};

    auto operator<=>(const PeerStatus&) const = default;
};

// Not thread-safe. Unresponsive members stay in the list; they are only skipped when this instance chooses
// peers to contact and determines the watchers.
class MemberTable {
public:
    MemberTable(Member self, const Clock& clock);

    // Replaces the platform's list; members reported by peers are kept.
    auto setPlatformList(MemberListPtr listed) -> void;
    // Records a membership record sent by that instance or by another one.
    auto recordMember(const Member& member) -> void;
    // Records a digest received directly; false if it comes from a replaced incarnation of the sender.
    auto recordDigest(const InstanceId& from, const Digest& digest) -> bool;
    // Records a state that another instance received from that member; ignored if a later one is known here.
    auto recordIndirectStatus(const Member& member) -> void;
    auto recordDigestRequest(const std::string& name) -> void;

    auto self() const -> const Member& { return self_; }
    auto list() const -> const MemberList& { return *list_; }
    auto peerStatus(const std::string& name) const -> const PeerStatus*;
    // False if the last digest requests went unanswered, until it is due to be tried again.
    auto isAvailable(const std::string& name) const -> bool;
    auto hasOthers() const -> bool;
    auto isListed() const -> bool { return platformList_->find(self_.id_.name_) != nullptr; }
    auto hasLeft(const std::string& name) const -> bool { return departed_.contains(name); }
    // The first available members of a domain in rendezvous hash order, at most count.
    auto watchers(const std::string& domain, std::size_t count) const -> std::vector<std::string>;
    // Random available instance other than this one; empty if none was found in a bounded number of attempts.
    auto pickInDomain(const std::string& domain, std::mt19937_64& random) const -> std::string;
    auto pickRandom(std::mt19937_64& random) const -> std::string;
    // Incremented whenever list() is rebuilt.
    auto generation() const -> std::uint64_t { return generation_; }
    // Drops the records received from peers for instances that nobody has heard from within the time to live;
    // the platform's entries stay.
    auto removeExpired() -> void;

private:
    struct ReportedMember {
        Member member_;
        MonotonicTime reportedAt_;
    };

    auto rebuild() -> void;

    Member self_;
    const Clock& clock_;
    MemberListPtr platformList_;
    MemberListPtr list_;
    std::map<std::string, ReportedMember> reportedMembers_;
    // Incarnations that announced that they are leaving, by name; a later incarnation of the name is a new
    // member.
    std::map<std::string, std::uint64_t> departed_;
    std::unordered_map<std::string, PeerStatus> peerStatuses_;
    std::uint64_t generation_ = 0;
};

} // namespace sapphirepass
