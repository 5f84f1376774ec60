// Everything that operators can declare. All of these are values: changed by copy, compared by content.
#pragma once

#include "base/socket_address.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace sapphirepass {

using Milliseconds = std::chrono::milliseconds;

// A set of failure domains that share their links to other regions.
struct Region {
    std::string name_;
    // Upper bound of requests running in the region at once; 0 leaves the upstreams' slots as the only bound.
    std::int64_t limit_ = 0;

    auto operator<=>(const Region&) const = default;
};

struct FailureDomain {
    std::string name_;
    std::string region_;

    auto operator<=>(const FailureDomain&) const = default;
};

// The connection between two regions, used in both directions.
struct Link {
    std::string name_;
    std::string from_;
    std::string to_;
    // Megabits a second, each way.
    std::int64_t megabits_ = 0;

    auto operator<=>(const Link&) const = default;
};

// A tenant of the shared service.
struct Workspace {
    std::string name_;
    // Requests a second over the whole fleet.
    std::int64_t rate_ = 0;
    // Requests over the whole fleet.
    std::int64_t burst_ = 0;

    auto operator<=>(const Workspace&) const = default;
};

// A caller's credential. The secret itself is never kept.
struct Key {
    std::string name_;
    std::string workspace_;
    std::string salt_;
    // SHA-256 of salt and secret, in hexadecimal digits.
    std::string hash_;

    auto operator<=>(const Key&) const = default;
};

// Remembers that a key was withdrawn, so that its name can never be accepted again.
struct WithdrawnKey {
    std::string name_;

    auto operator<=>(const WithdrawnKey&) const = default;
};

enum class UpstreamState { Active,
    Draining };

// A back end that runs requests of one service.
struct Upstream {
    std::string name_;
    std::string service_;
    std::string domain_;
    SocketAddress address_;
    // Requests it runs at once.
    std::int64_t slots_ = 1;
    // TCP connections it accepts at once.
    std::int64_t connections_ = 400;
    // Time after its start until it carries full load.
    Milliseconds coldStart_ { 0 };
    UpstreamState state_ = UpstreamState::Active;

    auto operator<=>(const Upstream&) const = default;
};

enum class RouteAccess { Keyed,
    Open };
enum class RouteRepeat { Method,
    Idempotent,
    Once };

// Maps a path prefix to a service and says how its requests may be treated.
struct Route {
    std::string name_;
    std::string path_;
    std::string service_;
    RouteAccess access_ = RouteAccess::Keyed;
    // Whether a request may run twice: by its method, always, or never.
    RouteRepeat repeat_ = RouteRepeat::Method;
    // Longest time from arrival to the whole answer.
    Milliseconds deadline_ { 30'000 };
    // Longest request body, in bytes.
    std::int64_t size_ = 64 * 1024 * 1024;

    auto operator<=>(const Route&) const = default;
};

enum class MoveState { Planned,
    Running,
    Paused };

// A planned shift of a service's traffic from one region to another.
struct Move {
    std::string name_;
    std::string service_;
    std::string from_;
    std::string to_;
    // Percent of the service's requests of the source region, reached at the end of the ramp.
    std::int64_t share_ = 0;
    // Requests a second that the move carries at most, over the whole fleet.
    std::int64_t cap_ = 0;
    Milliseconds ramp_ { 0 };
    MoveState state_ = MoveState::Planned;

    auto operator<=>(const Move&) const = default;
};

// Callers whose addresses lie in an IPv4 prefix are closest to a region.
struct ClientBlock {
    // The prefix itself, such as 10.1.0.0/16.
    std::string name_;
    std::string region_;

    auto operator<=>(const ClientBlock&) const = default;
};

using Item = std::variant<Region, FailureDomain, Link, Workspace, Key, WithdrawnKey, Upstream, Route, Move, ClientBlock>;

} // namespace sapphirepass
