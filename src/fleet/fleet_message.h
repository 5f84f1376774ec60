// Messages that instances exchange to replicate configuration and membership. Plain values; fleet_codec.h
// serializes them.
#pragma once

#include "base/socket_address.h"
#include "config/log_type.h"
#include "fleet/instance_id.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace sapphirepass {

// Age of the sender's last contact with a source, whether direct or through other instances.
struct Hearing {
    // storeSource, or domainSource() of a failure domain's name.
    std::uint32_t source_ = 0;
    std::chrono::milliseconds age_ { 0 };

    auto operator<=>(const Hearing&) const = default;
};

inline constexpr std::uint32_t storeSource = 0;
auto domainSource(std::string_view domain) -> std::uint32_t;

// Summary of an instance's state. If question_ is set, the receiver replies with its own digest and repeats
// the nonce.
struct Digest {
    Revision revision_ = 0;
    std::uint64_t stateHash_ = 0;
    bool question_ = false;
    std::uint64_t nonce_ = 0;
    std::uint64_t withdrawalHash_ = 0;
    std::vector<Hearing> hearings_;

    auto operator<=>(const Digest&) const = default;
};

// Requests all log entries after a revision, or the next part of a snapshot download.
struct Pull {
    Revision after_ = 0;
    Revision snapshotRevision_ = 0;
    std::uint64_t offset_ = 0;

    auto operator<=>(const Pull&) const = default;
};

struct EntryBatch {
    LogHead head_;
    // Number of the forwarding tree, starting at 1; 0 for entries that were pulled or gossiped.
    std::uint8_t tree_ = 0;

    auto operator<=>(const EntryBatch&) const = default;
};

struct SnapshotPart {
    Revision revision_ = 0;
    // Size in bytes of the whole encoded snapshot, and the offset of this part in it.
    std::uint64_t size_ = 0;
    std::uint64_t offset_ = 0;
    std::string part_;

    auto operator<=>(const SnapshotPart&) const = default;
};

// Key withdrawn while the store was unreachable.
struct Withdrawal {
    std::string key_;
    // Identifier of the withdrawing command, its issuer and the address it came from.
    std::string id_;
    std::string who_;
    std::string from_;

    auto operator<=>(const Withdrawal&) const = default;
};

struct WithdrawalSet {
    std::vector<Withdrawal> keys_;

    auto operator<=>(const WithdrawalSet&) const = default;
};

// Instance as known to its peers.
struct Member {
    InstanceId id_;
    std::string region_;
    std::string domain_;
    SocketAddress http_;
    SocketAddress peer_;
    bool leaving_ = false;
    Revision revision_ = 0;
    std::uint64_t stateHash_ = 0;
    // Time since the sender last heard from it, directly or through others.
    std::chrono::milliseconds age_ { 0 };

    auto operator<=>(const Member&) const = default;
};

// The sender's own membership record.
struct MemberAnnouncement {
    Member member_;

    auto operator<=>(const MemberAnnouncement&) const = default;
};

// Requests the members of the receiver's failure domain and the watchers of all other domains.
struct MembersRequest {
    auto operator<=>(const MembersRequest&) const = default;
};

struct MembersReply {
    std::vector<Member> members_;

    auto operator<=>(const MembersReply&) const = default;
};

// Asks which instances of the receiver's failure domain have a revision and a set of withdrawn keys in force.
struct InForceAsk {
    Revision revision_ = 0;
    // 0 to ask for the revision only.
    std::uint64_t withdrawalHash_ = 0;

    auto operator<=>(const InForceAsk&) const = default;
};

struct InForceAnswer {
    InForceAsk ask_;
    std::string domain_;
    std::uint32_t confirmed_ = 0;
    std::uint32_t total_ = 0;
    // Names of instances that have not confirmed; the list may be truncated.
    std::vector<std::string> behind_;

    auto operator<=>(const InForceAnswer&) const = default;
};

using FleetMessage = std::variant<Digest, Pull, EntryBatch, SnapshotPart, WithdrawalSet, MemberAnnouncement, MembersRequest, MembersReply, InForceAsk, InForceAnswer>;

// Message with the name of its destination instance.
struct OutboundMessage {
    std::string to_;
    FleetMessage message_;

    auto operator<=>(const OutboundMessage&) const = default;
};

} // namespace sapphirepass
