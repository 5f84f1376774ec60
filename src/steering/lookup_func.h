// Selects the instances that a caller should connect to.
#pragma once

#include "config/snapshot.h"
#include "store/object_store.h"

#include <optional>
#include <string>
#include <vector>

namespace sapphirepass {

struct LookupRequest {
    std::string workspace_;
    // The caller's IPv4 address; empty if unknown.
    std::string client_;
};

struct LookupResult {
    // In order of preference.
    std::vector<PlatformInstance> instances_;
    std::chrono::seconds lifetime_ { 0 };

    auto operator<=>(const LookupResult&) const = default;
};

// The region of the client block with the longest matching prefix; nothing if no block matches.
auto regionOfClient(const Snapshot& snapshot, const std::string& client) -> std::optional<std::string>;
// Sorts live instances, those of the caller's region first. Within a region the order depends on the workspace
// only, so that its requests stay on the same instances.
auto lookUpInstances(const Snapshot& snapshot, const std::vector<PlatformInstance>& instances, const std::string& ownRegion, const LookupRequest& request) -> LookupResult;

} // namespace sapphirepass
