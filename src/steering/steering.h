// Chooses the upstream of each request.
#pragma once

#include "base/clock.h"
#include "base/request_type.h"
#include "base/result.h"
#include "config/snapshot.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace sapphirepass {

struct SteeringRequest {
    std::shared_ptr<const Snapshot> snapshot_;
    std::string service_;
    std::string workspace_;
    Repeatability repeatability_ = Repeatability::Once;
    MonotonicTime deadline_;
    // Upstreams already tried for this request.
    std::set<std::string> tried_;
    std::int64_t bodyBytes_ = 0;
};

// A slot of an upstream, occupied for a request.
struct Assignment {
    Upstream upstream_;
    // The region whose slot budget was charged; empty for none.
    std::string chargedRegion_ {};

    auto operator<=>(const Assignment&) const = default;
};

enum class CallOutcome {
    Answered,
    // The upstream refused the request without running it.
    Shed,
    // Nothing was sent.
    NotSent,
    // Sent, but the connection ended without a response.
    Lost,
    // The request's own deadline passed; no evidence about the upstream's health.
    TimedOut,
};

class Steering {
public:
    using Handler = std::function<void(Result<Assignment, Refusal>)>;

    virtual ~Steering() = default;
    // Calls the handler exactly once, before returning or later on another thread. Every assignment must be released.
    virtual auto acquire(const SteeringRequest& request, Handler handler) -> void = 0;
    virtual auto release(const Assignment& assignment, CallOutcome outcome) -> void = 0;
};

// Chooses the upstream with the fewest requests in flight from this instance, local ones first.
class LeastInFlightSteering final : public Steering {
public:
    explicit LeastInFlightSteering(std::string region);

    auto acquire(const SteeringRequest& request, Handler handler) -> void override;
    auto release(const Assignment& assignment, CallOutcome outcome) -> void override;

private:
    auto choose(const SteeringRequest& request) -> Result<Assignment, Refusal>;

    std::string region_;
    std::mutex mutex_;
    std::map<std::string, std::int64_t> inFlight_;
};

} // namespace sapphirepass
