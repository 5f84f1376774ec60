// The configuration that operators declare for the event-loop gateway: one immutable document per version.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirepass {

enum class RepeatRule { Idempotent,
    Once };

// A service and its weight in a route's traffic split.
struct WeightedService {
    std::string service_;
    double weight_ = 1;

    auto operator<=>(const WeightedService&) const = default;
};

struct DeclaredRoute {
    std::string name_;
    std::string host_;
    // Begins and ends with a slash.
    std::string prefix_;
    RepeatRule repeat_ = RepeatRule::Once;
    // Deadline from the request's arrival to the final answer.
    Duration timeout_ {};
    Duration latencyTarget_ {};
    int maxAttempts_ = 1;
    // 0 is the highest priority.
    int priority_ = 0;
    bool anonymous_ = false;
    bool affinity_ = false;
    std::vector<WeightedService> services_;
    // Regions whose upstreams may serve the route; empty for all.
    std::vector<std::string> homeRegions_;

    auto operator<=>(const DeclaredRoute&) const = default;
};

struct DeclaredService {
    std::string name_;
    int maxConnections_ = 0;
    // How long an upstream stays cold after its start, and the requests per second that it can take during that time.
    Duration coldDuration_ {};
    double coldPerSecond_ = 0;
    // Path of the upstream's health endpoint; empty if it has none.
    std::string healthPath_;

    auto operator<=>(const DeclaredService&) const = default;
};

struct DeclaredWorkspace {
    std::string name_;
    std::vector<std::string> keys_;
    std::optional<int> priority_;
    // Limit across all instances; 0 for no limit.
    double ratePerSecond_ = 0;
    double burst_ = 0;
    std::vector<std::string> homeRegions_;

    auto operator<=>(const DeclaredWorkspace&) const = default;
};

// Priority of a workspace's requests on a route; 0 is the highest. The workspace's own one goes first.
inline auto effectivePriority(const DeclaredRoute& route, const DeclaredWorkspace* workspace) -> int
{
    return workspace != nullptr && workspace->priority_ ? *workspace->priority_ : route.priority_;
}

// Size limits and timeouts for callers' requests and connections.
struct CallerLimits {
    std::size_t headerBytes_ = 16 * 1024;
    std::uint64_t bodyBytes_ = 64 * 1024 * 1024;
    Duration headerTimeout_ = std::chrono::seconds(3);
    Duration idleTimeout_ = std::chrono::seconds(15);

    auto operator<=>(const CallerLimits&) const = default;
};

struct Declaration {
    std::uint64_t version_ = 0;
    std::vector<DeclaredRoute> routes_;
    std::vector<DeclaredService> services_;
    std::vector<DeclaredWorkspace> workspaces_;
    CallerLimits limits_;

    auto operator<=>(const Declaration&) const = default;
};

} // namespace sapphirepass
