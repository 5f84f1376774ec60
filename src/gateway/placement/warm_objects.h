// Which upstreams have run an object recently, and how often each object is requested.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace sapphirepass {

// An upstream caches the objects that it ran last, but not how many is disclosed. The number is inferred for each service from
// runs that turned out warm or cold.
class WarmObjects {
public:
    static constexpr std::size_t maxObjectsPerUpstream = 64;
    static constexpr std::size_t maxUpstreams = 1'024;
    static constexpr std::size_t maxServices = 64;
    // Bound for services without runs yet, and for upstreams without a known service.
    static constexpr std::size_t initialBound = 8;
    // Objects whose request rate is kept.
    static constexpr std::size_t maxRatedObjects = 16'384;

    explicit WarmObjects(const Clock& clock);
    ~WarmObjects();
    WarmObjects(const WarmObjects&) = delete;
    auto operator=(const WarmObjects&) -> WarmObjects& = delete;

    // Sets the service whose bound applies to an upstream.
    auto setService(std::uint64_t upstream, const std::string& service) -> void;
    // Records a run of an object. Runs may be recorded out of order; times in the future count as now.
    auto record(std::uint64_t upstream, std::uint64_t object, MonotonicTime at) -> void;
    // Records a request for an object that no upstream ran; it counts for rates only.
    auto recordRequest(std::uint64_t object, MonotonicTime at) -> void;
    // Whether the upstream probably has the object cached.
    auto isWarm(std::uint64_t upstream, std::uint64_t object) const -> bool;
    // Number of distinct objects that the upstream ran since it ran this one; empty if it has not run it, or too long ago.
    auto recency(std::uint64_t upstream, std::uint64_t object) const -> std::optional<std::size_t>;
    // Forgets an upstream's objects, as it has restarted or become cold. Runs from before that are ignored from now on.
    auto forget(std::uint64_t upstream) -> void;

    // Records whether a run was warm, for the recency that the object had just before the run.
    auto recordRun(const std::string& service, std::size_t recency, bool wasWarm) -> void;
    // Number of objects that the service's upstreams are taken to cache.
    auto bound(const std::string& service) const -> std::size_t;

    // Requests per second of an object over all recorded upstreams, as an average that decays over 3 s. A request
    // contributes nothing at the moment that it is recorded, so that readings taken at requests are not biased upwards.
    auto regionRate(std::uint64_t object) const -> double;
    // The same as an average that decays over 1 s, for objects that become popular suddenly. A single request raises it by 0.74 for a
    // while.
    auto recentRate(std::uint64_t object) const -> double;

private:
    struct State;

    const Clock& clock_;
    std::unique_ptr<State> state_;
};

} // namespace sapphirepass
