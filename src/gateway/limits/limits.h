// Limits on retries and on requests that crash upstreams, each enforced by every instance for its own part.
#pragma once

#include "base/clock.h"
#include "gateway/fleet/fleet_view.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sapphirepass {

struct RetryLimit {
    // Within a window, the fleet may send ratio_ retries per request plus slack_ retries.
    double ratio_ = 0;
    double slack_ = 0;
    Duration window_ {};
};

// Keeps retries to a small fraction of requests so that failing upstreams are not overloaded by them.
class RetryLimiter {
public:
    RetryLimiter(const Clock& clock, const FleetView& fleet, RetryLimit limit);

    auto countRequest(const std::string& service) -> void;
    // Counts a retry and returns true if one is left.
    auto takeRetry(const std::string& service) -> bool;

private:
    struct Counts {
        MonotonicTime halfStartedAt_ {};
        double requests_ = 0;
        double retries_ = 0;
        double previousRequests_ = 0;
        double previousRetries_ = 0;
    };

    auto current(const std::string& service) -> Counts&;

    const Clock& clock_;
    const FleetView& fleet_;
    RetryLimit limit_;
    MonotonicTime startedAt_;
    std::map<std::string, Counts> counts_;
};

// Blocks requests that crash the upstreams they run on, after they have crashed a few.
class CrashTracker {
public:
    explicit CrashTracker(const Clock& clock, const FleetView& fleet);

    auto recordLostConnection(std::uint64_t fingerprint, const std::string& upstream) -> void;
    auto recordResponse(std::uint64_t fingerprint) -> void;
    // Takes back losses since then, which were losses of this instance's links.
    auto revertLosses(MonotonicTime since) -> void;
    auto isBlocked(std::uint64_t fingerprint) const -> bool;
    auto counts() -> std::vector<CrashCount>;

private:
    struct Entry {
        // Time of the last loss at each upstream.
        std::map<std::string, MonotonicTime> upstreams_;
        MonotonicTime lastAt_ {};
    };

    const Clock& clock_;
    const FleetView& fleet_;
    std::map<std::uint64_t, Entry> entries_;
};

} // namespace sapphirepass
