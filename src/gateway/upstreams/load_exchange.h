// Shares observations of upstreams among the instances of a region.
#pragma once

#include "base/metrics.h"
#include "gateway/upstreams/observation.h"
#include "gateway/upstreams/upstream_set.h"

#include <deque>
#include <vector>

namespace sapphirepass {

class ObservationListener {
public:
    virtual ~ObservationListener() = default;
    // at is when the response arrived. Observations can be reported late, out of order and more than once.
    virtual auto onObservation(const Upstream& upstream, const Observation& observation, MonotonicTime at, bool isOwn) -> void = 0;
};

// A single instance gets too few responses of an upstream to know its load. Own observations and those of peers are merged into
// the shared load of the upstream, and the own ones are queued for the next heartbeat.
class LoadExchange {
public:
    // Bounds the size of a heartbeat.
    static constexpr std::size_t maxObservations = 32;

    // Which upstreams are shared: those that report a slowdown, or all, with the usual speed for those that report none.
    enum class Scope { ReportedSpeeds,
        AllUpstreams };

    LoadExchange(const Clock& clock, UpstreamSet& upstreams, Metrics& metrics, Scope scope = Scope::ReportedSpeeds);

    // The listener must outlive this object.
    auto addListener(ObservationListener& listener) -> void { listeners_.push_back(&listener); }
    // Records an observation from a response to this instance.
    auto record(const Observation& response) -> void;
    // Removes and returns the own observations since the last call, newest first, at most maxObservations.
    auto takeForHeartbeat() -> std::vector<Observation>;
    // Applies the observations in the heartbeat of a peer.
    auto apply(const std::vector<Observation>& observations) -> void;

private:
    struct Pending {
        Observation observation_;
        MonotonicTime at_ {};
    };

    // Returns whether the observation is of a listed upstream and young enough to be used.
    auto merge(const Observation& observation, bool isOwn) -> bool;
    auto countDropped(std::string_view cause, std::int64_t count = 1) -> void;

    const Clock& clock_;
    UpstreamSet& upstreams_;
    Metrics& metrics_;
    Scope scope_;
    std::vector<ObservationListener*> listeners_;
    // Own observations for the next heartbeat, in the order of their arrival.
    std::deque<Pending> pending_;
};

} // namespace sapphirepass
