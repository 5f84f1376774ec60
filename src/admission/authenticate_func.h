// Second filter: finds the route and checks that the key belongs to the request's workspace.
#pragma once

#include "base/request_type.h"
#include "base/result.h"
#include "config/snapshot.h"

namespace sapphirepass {

// What the later filters need to know about an authenticated request.
struct Grant {
    Route route_;
    Workspace workspace_;
    // Name of the key; empty on open routes.
    std::string key_;
    Repeatability repeatability_ = Repeatability::Once;
    MonotonicTime deadline_;

    auto operator<=>(const Grant&) const = default;
};

// The route with the longest path that is the request's path or a prefix of it at a slash; null if there is none.
auto matchRoute(const Snapshot& snapshot, std::string_view path) -> const Route*;
auto authenticate(const Snapshot& snapshot, const Request& request) -> Result<Grant, Refusal>;
// Whether the key that a request came with is still valid; true on open routes.
auto isKeyStillValid(const Snapshot& snapshot, const Grant& grant) -> bool;

} // namespace sapphirepass
