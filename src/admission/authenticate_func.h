// Second filter of the request pipeline: finds the route and checks that the key belongs to the request's workspace.
#pragma once

#include "base/request_type.h"
#include "base/result.h"
#include "config/snapshot.h"

namespace sapphirepass {

// Result of authentication, used by the later filters.
struct Grant {
    Route route_;
    Workspace workspace_;
    // Name of the key; empty for open routes, which need none.
    std::string key_;
    Repeatability repeatability_ = Repeatability::Once;
    MonotonicTime deadline_;

    auto operator<=>(const Grant&) const = default;
};

// Returns the route with the longest path that equals the request's path or is a prefix of it that ends at a slash;
// null if no route matches.
auto matchRoute(const Snapshot& snapshot, std::string_view path) -> const Route*;
auto authenticate(const Snapshot& snapshot, const Request& request) -> Result<Grant, Refusal>;
// Whether the key that the request came with is still valid; always true for open routes.
auto isKeyStillValid(const Snapshot& snapshot, const Grant& grant) -> bool;

} // namespace sapphirepass
