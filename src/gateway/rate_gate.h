// Keeps each workspace within its rate and burst over the whole fleet.
#pragma once

#include "gateway/alarm.h"
#include "gateway/declaration_type.h"
#include "gateway/fleet_view.h"
#include "gateway/rate_type.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace sapphirepass {

// What a workspace may send beyond its rate and burst, as its users allow it.
struct RateTolerance {
    Duration window_ {};
    // Part of what is allowed in a window.
    double over_ = 0;
    // Requests beside that.
    double slack_ = 0;
};

struct RateVerdict {
    bool admitted_ = true;
    // Where the token came from or why there was none; for the log.
    std::string_view source_ = "unlimited";
    Duration retryAfter_ {};
};

// Tokens that refill at a rate up to a capacity.
class TokenBucket {
public:
    auto refill(MonotonicTime now, double perSecond, double capacity, double initial) -> void;
    auto take(double count) -> bool;
    auto tokens() const -> double { return tokens_; }

private:
    double tokens_ = 0;
    MonotonicTime filledAt_ {};
};

// Carries asks to the keepers of other instances.
class RatePeers {
public:
    virtual ~RatePeers() = default;
    virtual auto sendAsk(const Coordinator& keeper, const RateAsk& ask) -> void = 0;
};

// Answers the load of workspaces that send more than their rate. A part of each rate is split evenly over the
// instances and spent without a message; the rest lies with one keeper, of whom the others ask a few tokens at a time.
class RateGate {
public:
    using Done = std::function<void(RateVerdict)>;

    // Asks are numbered from a number that differs between starts of all instances.
    RateGate(const Clock& clock, AlarmClock& alarms, const FleetView& fleet, RatePeers& peers, RateTolerance tolerance, std::uint64_t firstAsk);

    // Decides at once or when the keeper has answered.
    auto admit(const DeclaredWorkspace& workspace, Done done) -> void;
    auto onGrant(const RateGrant& grant) -> void;
    // This instance as a keeper. An ask that comes twice is granted once.
    auto onAsk(const RateAsk& ask) -> RateGrant;
    // The limits in force, for asks that come before a request of the workspace.
    auto setLimits(const std::vector<DeclaredWorkspace>& workspaces) -> void;

private:
    struct Limit {
        double ratePerSecond_ = 0;
        double burst_ = 0;
    };
    struct PastGrant {
        MonotonicTime at_ {};
        RateGrant grant_;
    };
    struct State {
        Limit limit_;
        TokenBucket local_;
        // As the keeper.
        TokenBucket common_;
        // Granted tokens that are not spent yet.
        double granted_ = 0;
        MonotonicTime grantedUntil_ {};
        MonotonicTime deniedUntil_ {};
        // Since when it has been over its rate without a pause; and the last denial.
        MonotonicTime overSince_ {};
        MonotonicTime overAt_ {};
        double arrivalsPerSecond_ = 0;
        MonotonicTime arrivedAt_ {};
        std::deque<Done> waiting_;
        std::uint64_t ask_ = 0;
        int asked_ = 0;
        int wanted_ = 0;
        std::unique_ptr<Alarm> askLimit_;
    };

    // Tokens that all instances together may hold at most.
    auto fleetCapacity(const Limit& limit) const -> double;
    // The part of a rate that is split evenly.
    auto localPart(const Limit& limit) const -> double;
    auto takeLocal(State& state) -> bool;
    auto takeGranted(State& state) -> bool;
    auto noteArrival(State& state) -> void;
    auto ask(const std::string& workspace, State& state) -> void;
    auto askAgain(const std::string& workspace) -> void;
    auto takeCommon(State& state, int wanted) -> int;
    auto pastGrant(const RateAsk& ask) -> std::optional<RateGrant>;
    // Gives out granted tokens to those that wait, and refuses the rest if there are no more to be had.
    auto settle(State& state, bool isMoreToCome, Duration retryAfter) -> void;
    // Notes a denial; returns when its caller should come back.
    auto returnTime(State& state, Duration soonest) -> Duration;
    auto wanted(const State& state) const -> int;

    const Clock& clock_;
    AlarmClock& alarms_;
    const FleetView& fleet_;
    RatePeers& peers_;
    RateTolerance tolerance_;
    std::map<std::string, State> states_;
    std::uint64_t lastAsk_;
    std::deque<PastGrant> pastGrants_;
};

} // namespace sapphirepass
