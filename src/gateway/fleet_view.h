// The other instances of the gateway, as their heartbeats tell, and this instance's share of fleet-wide limits.
#pragma once

#include "base/clock.h"
#include "base/socket_address.h"

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

// Arrivals a second of one workspace at one instance.
struct WorkspaceDemand {
    std::string workspace_;
    double perSecond_ = 0;

    auto operator<=>(const WorkspaceDemand&) const = default;
};

// A request whose attempts ended with lost connections at this instance.
struct CrashCount {
    std::uint64_t fingerprint_ = 0;
    std::uint32_t upstreams_ = 0;

    auto operator<=>(const CrashCount&) const = default;
};

struct MemberReport {
    std::string name_;
    // Differs between two starts of one instance.
    std::uint64_t incarnation_ = 0;
    SocketAddress front_;
    SocketAddress peer_;
    std::string region_;
    std::string domain_;
    MemberPhase phase_ = MemberPhase::Starting;
    std::vector<WorkspaceDemand> demands_;
    std::vector<CrashCount> crashes_;
    // Peer addresses of instances that the sender has heard of late.
    std::vector<SocketAddress> known_;

    auto operator<=>(const MemberReport&) const = default;
};

struct FleetTiming {
    // An instance that is silent for longer is not named to callers.
    Duration silence_ {};
    // Its share of limits is kept for it that long, as it may be alive behind a partition.
    Duration reserve_ {};
};

class FleetView {
public:
    FleetView(const Clock& clock, FleetTiming timing, std::string self);

    auto hear(const MemberReport& report) -> void;
    // An instance that the platform lists but that may be gone.
    auto expect(const std::string& name, const SocketAddress& peer) -> void;
    auto setOwnDemand(const std::string& workspace, double perSecond) -> void { ownDemand_[workspace] = perSecond; }
    auto forgetSilent() -> void;

    // Ready instances that were heard of late, all regions or one.
    auto readyMembers(std::string_view region) const -> std::vector<const MemberReport*>;
    auto anyReadyMembers() const -> std::vector<const MemberReport*>;
    // Where heartbeats go.
    auto peerAddresses() const -> std::vector<SocketAddress>;
    auto heardAddresses() const -> std::vector<SocketAddress>;
    // Instances that may spend of a limit now, this one included.
    auto spenders() const -> std::size_t { return members_.size() + 1; }
    // The part of a workspace's rate that this instance may spend, 0 to 1. All instances' parts add up to 1 in steady state.
    auto shareOf(const std::string& workspace) const -> double;
    // Whether this instance is among the few that send to a cold upstream, and how many these are.
    auto coldSenders(std::string_view upstream, std::size_t most) const -> std::optional<std::size_t>;
    auto crashesElsewhere(std::uint64_t fingerprint) const -> std::uint32_t;

private:
    struct Member {
        MemberReport report_;
        MonotonicTime heardAt_ {};
        bool heard_ = false;
    };

    auto isFresh(const Member& member) const -> bool;
    auto demandOf(const Member& member, const std::string& workspace) const -> std::optional<double>;

    const Clock& clock_;
    FleetTiming timing_;
    std::string self_;
    std::map<std::string, Member> members_;
    std::map<std::string, double> ownDemand_;
    // The last share that rests on what others said, per workspace; used while nobody is heard.
    mutable std::map<std::string, double> lastShare_;
};

} // namespace sapphirepass
