// Messages by which instances keep each other up to date. Values only; fleet_codec.h turns them into bytes.
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

// How long ago something of a source reached the sender, over whatever way.
struct Hearing {
    // storeSource, or sourceOf() of a failure domain's name.
    std::uint32_t source_ = 0;
    std::chrono::milliseconds age_ { 0 };

    auto operator<=>(const Hearing&) const = default;
};

inline constexpr std::uint32_t storeSource = 0;
auto sourceOf(std::string_view domain) -> std::uint32_t;

// What an instance is at. A question asks for the receiver's digest; the answer repeats the nonce.
struct Digest {
    Revision revision_ = 0;
    std::uint64_t stateHash_ = 0;
    bool question_ = false;
    std::uint64_t nonce_ = 0;
    std::uint64_t withdrawalHash_ = 0;
    std::vector<Hearing> hearings_;

    auto operator<=>(const Digest&) const = default;
};

// Asks for all entries after a revision, or for the rest of a snapshot.
struct Pull {
    Revision after_ = 0;
    Revision snapshotRevision_ = 0;
    std::uint64_t offset_ = 0;

    auto operator<=>(const Pull&) const = default;
};

struct EntryBatch {
    LogHead head_;
    // Number of the push tree, from 1; 0 if the entries were pulled.
    std::uint8_t tree_ = 0;

    auto operator<=>(const EntryBatch&) const = default;
};

struct SnapshotPart {
    Revision revision_ = 0;
    // Bytes of the whole encoded snapshot and where this part starts.
    std::uint64_t size_ = 0;
    std::uint64_t offset_ = 0;
    std::string part_;

    auto operator<=>(const SnapshotPart&) const = default;
};

// A key that was withdrawn while the store was down.
struct Withdrawal {
    std::string key_;
    // Command that withdrew it, who gave it and from where.
    std::string id_;
    std::string who_;
    std::string from_;

    auto operator<=>(const Withdrawal&) const = default;
};

struct WithdrawalSet {
    std::vector<Withdrawal> keys_;

    auto operator<=>(const WithdrawalSet&) const = default;
};

// An instance as the fleet knows it.
struct Member {
    InstanceId id_;
    std::string region_;
    std::string domain_;
    SocketAddress http_;
    SocketAddress peer_;
    bool leaving_ = false;
    Revision revision_ = 0;
    std::uint64_t stateHash_ = 0;
    // Since the sender heard of it.
    std::chrono::milliseconds age_ { 0 };

    auto operator<=>(const Member&) const = default;
};

// The sender's own state.
struct MemberReport {
    Member member_;

    auto operator<=>(const MemberReport&) const = default;
};

// Asks for the members of the receiver's domain and for watchers of the others.
struct MemberAsk {
    auto operator<=>(const MemberAsk&) const = default;
};

struct MemberRows {
    std::vector<Member> members_;

    auto operator<=>(const MemberRows&) const = default;
};

// Asks who of the receiver's domain has a revision and a set of withdrawn keys in force.
struct InForceAsk {
    Revision revision_ = 0;
    // 0 if only the revision matters.
    std::uint64_t withdrawalHash_ = 0;

    auto operator<=>(const InForceAsk&) const = default;
};

struct InForceAnswer {
    InForceAsk ask_;
    std::string domain_;
    std::uint32_t confirmed_ = 0;
    std::uint32_t total_ = 0;
    // Some of those that have not confirmed.
    std::vector<std::string> behind_;

    auto operator<=>(const InForceAnswer&) const = default;
};

using FleetMessage = std::variant<Digest, Pull, EntryBatch, SnapshotPart, WithdrawalSet, MemberReport, MemberAsk, MemberRows, InForceAsk, InForceAnswer>;

// A message with its receiver.
struct FleetSend {
    std::string to_;
    FleetMessage message_;

    auto operator<=>(const FleetSend&) const = default;
};

} // namespace sapphirepass
