// Bounds on retries and on requests that crash upstreams, as one instance keeps its part of them.
#pragma once

#include "base/clock.h"
#include "gateway/fleet_view.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sapphirepass {

struct RetryLimit {
    // Retries per request, and a number beside it for the whole fleet, over a window.
    double ratio_ = 0;
    double slack_ = 0;
    Duration window_ {};
};

// Answers the load of failing upstreams: second attempts stay a small part of first ones.
class RetryLimiter {
public:
    RetryLimiter(const Clock& clock, const FleetView& fleet, RetryLimit bound);

    auto noteRequest(const std::string& service) -> void;
    // Spends a retry if one is left.
    auto takeRetry(const std::string& service) -> bool;

private:
    struct Counts {
        MonotonicTime from_ {};
        double requests_ = 0;
        double retries_ = 0;
        double earlierRequests_ = 0;
        double earlierRetries_ = 0;
    };

    auto current(const std::string& service) -> Counts&;

    const Clock& clock_;
    const FleetView& fleet_;
    RetryLimit bound_;
    MonotonicTime startedAt_;
    std::map<std::string, Counts> counts_;
};

// Answers requests that crash each upstream that runs them: after a few, they are sent no more.
class CrashTracker {
public:
    explicit CrashTracker(const Clock& clock, const FleetView& fleet);

    auto noteLost(std::uint64_t fingerprint, const std::string& upstream) -> void;
    auto noteAnswered(std::uint64_t fingerprint) -> void;
    auto isBarred(std::uint64_t fingerprint) const -> bool;
    auto counts() -> std::vector<CrashCount>;

private:
    struct Entry {
        std::set<std::string> upstreams_;
        MonotonicTime lastAt_ {};
    };

    const Clock& clock_;
    const FleetView& fleet_;
    std::map<std::uint64_t, Entry> entries_;
};

} // namespace sapphirepass
