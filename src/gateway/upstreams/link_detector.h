// Tells a loss of this instance's own links to the upstreams of a region from failures of upstreams.
#pragma once

#include "gateway/upstreams/upstream_set.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sapphirepass {

enum class LinkState {
    Reachable,
    // Connections to several upstreams have failed in a row; probes decide.
    Suspected,
    Unreachable,
    // New connections succeed again; a growing part of the requests is sent directly.
    Recovering,
};

struct LinkChange {
    std::string region_;
    LinkState state_ = LinkState::Reachable;
    // Start of the first connection attempt that failed.
    MonotonicTime since_ {};

    auto operator<=>(const LinkChange&) const = default;
};

class LinkDetector {
public:
    using ChangeListener = std::function<void(const LinkChange& change)>;

    // onChange is called after each change of a region's state.
    LinkDetector(const Clock& clock, const UpstreamSet& upstreams, ChangeListener onChange = {});

    // Outcome of a connection attempt, probes included.
    auto recordConnect(const Upstream& upstream, MonotonicTime startedAt, bool isConnected) -> void;
    // The upstream has sent a response on a connection of this instance.
    auto recordResponse(const Upstream& upstream) -> void;
    // Advances states that change with time. Called several times a second.
    auto update() -> void;
    // Upstreams to connect to now, to find out whether a region is reachable.
    auto takeDueProbes() -> ServiceUpstreams;

    auto state(const std::string& region) const -> LinkState;
    // Regions to whose upstreams new connections fail, or are not tried yet for this request.
    auto unreachableRegions(std::uint64_t requestHash) const -> std::set<std::string>;
    // Regions that are not known to be reachable.
    auto unreachableRegions() const -> std::set<std::string>;
    // Whether no upstream of any region is known to be reachable.
    auto isCutOff() const -> bool;
    // Whether open connections to a region still carry responses while new ones fail.
    auto doOpenConnectionsWork(const std::string& region) const -> bool;
    // Whether the region was unreachable at any moment since then, so that lost attempts say nothing about its upstreams.
    auto wasUnreachableSince(const std::string& region, MonotonicTime since) const -> bool;

private:
    struct Failure {
        std::string domain_;
        MonotonicTime startedAt_ {};
    };

    struct Link {
        LinkState state_ = LinkState::Reachable;
        // When the state last changed.
        MonotonicTime changedAt_ {};
        MonotonicTime since_ {};
        MonotonicTime lastConnectAt_ {};
        MonotonicTime lastResponseAt_ {};
        MonotonicTime nextProbeAt_ {};
        // First of the connections that succeeded in a row while the region was unreachable.
        std::optional<MonotonicTime> connectedSince_;
        std::optional<MonotonicTime> unreachableUntil_;
        // How long connections must succeed before the region counts as recovering; grows while the links flap.
        Duration stableTime_ {};
        // Failed attempts since the last successful one, by upstream.
        std::map<std::string, Failure> failures_;
    };

    auto enter(const std::string& region, LinkState state) -> void;
    auto recordFailure(const Upstream& upstream, MonotonicTime startedAt) -> void;
    auto recordSuccess(const std::string& region) -> void;
    // Whether the region's failures alone, or those of all regions together, suggest a loss of links.
    auto suspectFrom(const std::string& region) -> void;
    auto beginSuspicion(const std::string& region, MonotonicTime since) -> void;
    // Whether attempts that began after the suspicion have failed at several upstreams.
    auto isConfirmed(const std::string& region) const -> bool;
    auto eligibleIn(const std::string& region) const -> ServiceUpstreams;
    // Part of the requests that are sent directly while the region recovers, 0 to 1.
    auto recoveredShare(const Link& link) const -> double;

    const Clock& clock_;
    const UpstreamSet& upstreams_;
    ChangeListener onChange_;
    std::map<std::string, Link> links_;
    std::uint64_t probeRound_ = 0;
};

auto linkStateName(LinkState state) -> std::string_view;

} // namespace sapphirepass
