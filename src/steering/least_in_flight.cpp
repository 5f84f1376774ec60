#include "base/texts.h"
#include "steering/steering.h"

#include <limits>

namespace sapphirepass {

namespace {
    // A retry is of no use before a slot has become free.
    constexpr std::chrono::milliseconds overloadRetryAfter { 1'000 };
}

LeastInFlightSteering::LeastInFlightSteering(std::string region)
    : region_(std::move(region))
{
}

auto LeastInFlightSteering::choose(const SteeringRequest& request) -> Result<Assignment, Refusal>
{
    const std::lock_guard lock(mutex_);
    const Upstream* best = nullptr;
    auto bestRank = std::numeric_limits<std::int64_t>::max();
    request.snapshot_->table<Upstream>().forEach([&](const Upstream& upstream) {
        const auto inFlight = inFlight_[upstream.name_];
        const bool usable = upstream.service_ == request.service_ && upstream.state_ == UpstreamState::Active
            && !request.tried_.contains(upstream.name_) && inFlight < upstream.slots_;
        if (!usable)
            return;
        const auto* domain = request.snapshot_->find<FailureDomain>(upstream.domain_);
        const bool local = domain != nullptr && domain->region_ == region_;
        // Any free local slot is preferred to a remote one: the number of requests in flight stays far below this penalty.
        constexpr std::int64_t remotePenalty = 1'000'000;
        const auto rank = inFlight + (local ? 0 : remotePenalty);
        if (rank < bestRank) {
            bestRank = rank;
            best = &upstream;
        }
    });
    if (best == nullptr)
        return Refusal { RefusalKind::Overloaded, std::string(texts::noUpstream), Executed::No, overloadRetryAfter };
    ++inFlight_[best->name_];
    return Assignment { *best };
}

auto LeastInFlightSteering::acquire(const SteeringRequest& request, Handler handler) -> void
{
    handler(choose(request));
}

auto LeastInFlightSteering::release(const Assignment& assignment, CallOutcome) -> void
{
    const std::lock_guard lock(mutex_);
    if (--inFlight_[assignment.upstream_.name_] == 0)
        inFlight_.erase(assignment.upstream_.name_);
}

} // namespace sapphirepass
