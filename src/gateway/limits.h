// Limits that hold over the whole fleet, as one instance keeps its part of them.
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

// Tokens that refill at a rate up to a capacity. Starts empty: a restarted instance has no burst.
class TokenBucket {
public:
    auto refill(MonotonicTime now, double perSecond, double capacity) -> void;
    auto take() -> bool;
    // Time until a token is there at the given rate.
    auto untilToken(double perSecond) const -> Duration;

private:
    double tokens_ = 0;
    MonotonicTime filledAt_ {};
};

// What a workspace may send beyond its rate and burst, as its users allow it.
struct RateTolerance {
    Duration window_ {};
    // Part of what is allowed in a window.
    double over_ = 0;
    // Requests beside that.
    double slack_ = 0;
};

// Answers the load of workspaces that send more than their rate: admits the instance's share of it.
class RateGate {
public:
    RateGate(const Clock& clock, FleetView& fleet, RateTolerance tolerance);

    struct Verdict {
        bool admitted_ = true;
        double share_ = 1;
        Duration retryAfter_ {};
    };

    auto admit(const std::string& workspace, double ratePerSecond, double burst) -> Verdict;
    // Folds the arrivals since the last call into the demand that peers are told.
    auto measureDemand() -> std::vector<WorkspaceDemand>;

private:
    struct State {
        TokenBucket bucket_;
        double arrivals_ = 0;
        double perSecond_ = 0;
        double share_ = 0;
        MonotonicTime shareAt_ {};
    };

    // Tokens that all instances together may hold at most.
    auto fleetCapacity(double ratePerSecond, double burst) const -> double;

    const Clock& clock_;
    FleetView& fleet_;
    RateTolerance tolerance_;
    std::map<std::string, State> states_;
    MonotonicTime measuredAt_;
};

struct RetryBound {
    // Retries per request, and a number beside it for the whole fleet, over a window.
    double ratio_ = 0;
    double slack_ = 0;
    Duration window_ {};
};

// Answers the load of failing upstreams: second attempts stay a small part of first ones.
class RetryGate {
public:
    RetryGate(const Clock& clock, const FleetView& fleet, RetryBound bound);

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
    RetryBound bound_;
    MonotonicTime startedAt_;
    std::map<std::string, Counts> counts_;
};

// Answers requests that crash each upstream that runs them: after a few, they are sent no more.
class CrashRegister {
public:
    explicit CrashRegister(const Clock& clock, const FleetView& fleet);

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
