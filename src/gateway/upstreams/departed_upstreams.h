// Keeps the state of removed upstreams for a while, for entries of the same start that reappear.
#pragma once

#include "base/clock.h"
#include "gateway/upstreams/start_notices.h"
#include "gateway/upstreams/upstream_type.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirepass {

struct DepartedUpstream {
    UpstreamEntry entry_;
    // Never null.
    std::shared_ptr<StartNotices> notices_;
};

// An entry can appear again under a known start because it had only expired, or because the store has returned from a
// copy that still lists it. A start that is not listed yet may be known by a response that a peer passed on.
class DepartedUpstreams {
public:
    explicit DepartedUpstreams(const Clock& clock);

    auto record(DepartedUpstream departed) -> void;
    // The removed upstream of the same id and start; null if there is none.
    auto find(const UpstreamEntry& entry) const -> const DepartedUpstream*;
    // Notices of a start that is not listed. They are kept from now on.
    auto noticesOf(const std::string& id, std::int64_t startTimeMs) -> std::shared_ptr<StartNotices>;
    // Whether the entry is older than what was known when its upstream was removed.
    auto isOutdated(const UpstreamEntry& entry) const -> bool;
    auto removeExpired() -> void;

private:
    struct Record {
        DepartedUpstream departed_;
        MonotonicTime at_ {};
    };
    // In the order of their removal.
    using Starts = std::vector<Record>;

    const Clock& clock_;
    std::map<std::string, Starts> byId_;
};

} // namespace sapphirepass
