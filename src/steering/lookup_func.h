// Tells callers which entry instance to use.
#pragma once

#include "config/snapshot.h"
#include "store/object_store.h"

#include <optional>
#include <string>
#include <vector>

namespace sapphirepass {

struct LookupRequest {
    std::string workspace_;
    // The caller's IPv4 address; empty if it did not say.
    std::string client_;
};

struct LookupAnswer {
    // Best instance first, then alternatives.
    std::vector<PlatformInstance> instances_;
    std::chrono::seconds lifetime_ { 0 };

    auto operator<=>(const LookupAnswer&) const = default;
};

// The region of the longest client block that holds the address; nothing if none does.
auto regionOfClient(const Snapshot& snapshot, const std::string& client) -> std::optional<std::string>;
// Live instances of the caller's region first; within a region a workspace keeps to the same instances.
auto lookUpInstances(const Snapshot& snapshot, const std::vector<PlatformInstance>& instances, const std::string& ownRegion, const LookupRequest& request) -> LookupAnswer;

} // namespace sapphirepass
