// Region-aware choice of upstreams, based on the outcomes of this instance's own calls.
#pragma once

#include "admission/budget.h"
#include "steering/link_meter.h"
#include "steering/move_plan.h"
#include "steering/shed_rate.h"
#include "steering/steering.h"
#include "steering/upstream_record.h"

#include <random>
#include <vector>

namespace sapphirepass {

// The upstreams of a service in a region.
struct PoolId {
    std::string service_;
    std::string region_;

    auto operator<=>(const PoolId&) const = default;
};

// Prefers local upstreams; remote ones are used within the budgets of their region and link. Thread-safe.
class RegionSteering final : public Steering {
public:
    RegionSteering(std::string region, const Clock& clock, Budgets& budgets, LinkMeter& links, std::uint64_t seed);

    auto acquire(const SteeringRequest& request, Handler handler) -> void override;
    auto release(const Assignment& assignment, CallOutcome outcome) -> void override;
    auto moveProgress(const Snapshot& snapshot) const -> std::vector<MoveProgress>;

private:
    struct Candidate {
        const Upstream* upstream_;
        UpstreamRecord* record_;
    };
    using Candidates = std::vector<Candidate>;
    using CandidatesByRegion = std::map<std::string, Candidates>;

    auto choose(const SteeringRequest& request) -> Result<Assignment, Refusal>;
    auto applySnapshot(const Snapshot& snapshot, MonotonicTime now) -> void;
    auto findCandidates(const SteeringRequest& request, MonotonicTime now) -> CandidatesByRegion;
    auto chooseUpstream(const Candidates& candidates, MonotonicTime now) -> Candidate;
    auto tryAssign(const SteeringRequest& request, const std::string& region, const Candidates& candidates, MonotonicTime now) -> std::optional<Assignment>;
    auto tryMove(const SteeringRequest& request, const CandidatesByRegion& regions, MonotonicTime now) -> std::optional<Assignment>;
    auto lacksCapacity(const SteeringRequest& request, const std::string& region, MonotonicTime now) -> bool;
    auto maySpill(const SteeringRequest& request, MonotonicTime now) -> bool;
    auto mayEject(const Upstream& upstream, MonotonicTime now) const -> bool;

    std::string region_;
    const Clock& clock_;
    Budgets& budgets_;
    LinkMeter& links_;
    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    std::map<std::string, UpstreamRecord> records_;
    MovePlan moves_;
    std::map<PoolId, ShedRate> shedRates_;
    std::shared_ptr<const Snapshot> snapshot_;
};

} // namespace sapphirepass
