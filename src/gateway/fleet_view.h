// The other instances of the gateway, as their heartbeats tell.
#pragma once

#include "base/clock.h"
#include "base/socket_address.h"

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

// A request whose attempts ended with lost connections at this instance.
struct CrashCount {
    std::uint64_t fingerprint_ = 0;
    std::uint32_t upstreams_ = 0;

    auto operator<=>(const CrashCount&) const = default;
};

// An upstream that an instance has found cold while discovery is away.
struct ColdNotice {
    std::string upstream_;
    std::chrono::milliseconds left_ {};

    auto operator<=>(const ColdNotice&) const = default;
};

struct MemberReport {
    std::string name_;
    // Differs between two starts of one instance.
    std::uint64_t incarnation_ = 0;
    SocketAddress front_;
    SocketAddress peer_;
    // Where other instances may follow the platform's news.
    SocketAddress control_;
    std::string region_;
    std::string domain_;
    MemberPhase phase_ = MemberPhase::Starting;
    std::vector<CrashCount> crashes_;
    // Peer addresses of instances that the sender has heard of late.
    std::vector<SocketAddress> knownPeers_;
    // The newest change of each feed that the sender has taken in.
    std::array<std::uint64_t, 3> lastChangeRevisions_ {};
    // The sender does not hear of upstreams from the platform.
    bool isSourceLost_ = false;
    std::vector<ColdNotice> coldNotices_;

    auto operator<=>(const MemberReport&) const = default;
};

struct FleetTiming {
    // An instance that is silent for longer is not named to callers.
    Duration silence_ {};
    // Its share of limits is kept for it that long, as it may be alive behind a partition.
    Duration reserve_ {};
};

struct Coordinator {
    std::string name_;
    SocketAddress peer_;

    auto operator<=>(const Coordinator&) const = default;
};

class FleetView {
public:
    FleetView(const Clock& clock, FleetTiming timing, std::string self);

    auto self() const -> const std::string& { return self_; }
    auto updateMember(const MemberReport& report) -> void;
    // An instance that the platform lists but that may be gone.
    auto addListedMember(const std::string& name, const SocketAddress& peer) -> void;
    // Whether this instance is ready itself.
    auto setReady(bool ready) -> void { isReady_ = ready; }
    // Whether this instance does not hear of upstreams from the platform.
    auto setSourceLost(bool lost) -> void { isSourceLost_ = lost; }
    // At least half of the instances that are heard, this one included, do not hear of upstreams from the platform.
    auto isSourceLost() const -> bool;
    auto removeSilent() -> void;

    // Ready instances that were heard of late, all regions or one.
    auto readyMembers(std::string_view region) const -> std::vector<const MemberReport*>;
    // Instances of a region that were heard of late and do not stop, ready or still starting.
    auto activeMembers(std::string_view region) const -> std::vector<const MemberReport*>;
    auto allReadyMembers() const -> std::vector<const MemberReport*>;
    // Where heartbeats go, and those of them in one region or not yet heard.
    auto peerAddresses() const -> std::vector<SocketAddress>;
    auto peerAddressesNear(std::string_view region) const -> std::vector<SocketAddress>;
    auto livePeerAddresses() const -> std::vector<SocketAddress>;
    // Instances that may spend of a limit now, this one included.
    auto memberCount() const -> std::size_t { return members_.size() + 1; }
    // Hears at least half of the others: not on the smaller side of a partition.
    auto hasQuorum() const -> bool;
    // The instance that keeps the common tokens of a workspace, or looks after an upstream: all instances in touch name
    // the same one. Its own name stands for this instance; nothing if none is ready.
    auto coordinatorOf(std::string_view thing) const -> std::optional<Coordinator>;
    // Whether this instance is among the few that send to a cold upstream, and how many these are.
    auto coldSenderCount(std::string_view upstream, std::size_t most) const -> std::optional<std::size_t>;
    // The newest change of a feed, by its number, that any instance has told of late.
    auto newestRevisionReported(std::size_t feed) const -> std::uint64_t;
    auto crashesElsewhere(std::uint64_t fingerprint) const -> std::uint32_t;

private:
    struct Member {
        MemberReport report_;
        MonotonicTime heardAt_ {};
        bool heard_ = false;
    };

    auto isFresh(const Member& member) const -> bool;
    const Clock& clock_;
    FleetTiming timing_;
    std::string self_;
    std::map<std::string, Member> members_;
    bool isReady_ = false;
    bool isSourceLost_ = false;
};

} // namespace sapphirepass
