#include "gateway/placement/end_estimator.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Time constants in seconds over which a reported figure gives way to the service's average. Queues last about as long as a
    // run, while the speed of a shared machine changes several times a second.
    constexpr double occupiedDecay = 1.0;
    constexpr double slowdownDecay = 0.4;
    // Weight of the newest observation in the averages of a service.
    constexpr double averageWeight = 0.02;
    // Time constant in seconds and weight of the newest response in the rate of rejections: a full upstream has room again after about
    // a run.
    constexpr double rejectionDecay = 1.0;
    constexpr double rejectionWeight = 0.2;
    // Requests that may have arrived or ended since the load was reported. It smooths the wait: an upstream with few free slots
    // is worse than one with many.
    constexpr double occupiedSpread = 1.0;
    // Runs after which a route without two groups of run times counts as one without a gain.
    constexpr std::uint32_t minLearnedRuns = 200;
    constexpr double assumedWarmPart = 0.5;
    // Runs after which the run time of a route counts as learned. Each run moves it by 6% at most, so that by then it can be a tenth
    // or ten times of the latency target.
    constexpr std::uint32_t minRunsForTime = 40;
    // Part by which a longer connection time raises the known round trip, so that a change of route is followed.
    constexpr int roundTripRise = 50;

    auto decay(double age, double constant) -> double { return std::exp(-std::max(0.0, age) / constant); }

    // Expected number above zero of a value known to within the spread.
    auto expectedExcess(double value) -> double
    {
        const double scaled = value / occupiedSpread;
        constexpr double linearFrom = 30;
        return scaled > linearFrom ? value : occupiedSpread * std::log1p(std::exp(scaled));
    }
}

EndEstimator::EndEstimator(const Clock& clock, const UpstreamSet& upstreams)
    : clock_(clock)
    , upstreams_(upstreams)
    , warmObjects_(clock)
{
}

// Until enough runs are known, a gain is assumed for requests that name an object: without it, requests of a route that has just
// begun would go to any owner, and make the object warm on all of them.
auto EndEstimator::runTimes(const EndQuery& query) const -> RunEstimate
{
    auto times = runTimes_.estimate(query.route_, query.latencyTarget_);
    const auto count = runCounts_.find(query.route_);
    const bool isLearned = count != runCounts_.end() && count->second >= minLearnedRuns;
    if (times.isSeparated_ || isLearned || !query.object_)
        return times;
    times.warm_ = fromSeconds(inSeconds(times.warm_) * assumedWarmPart);
    return times;
}

auto EndEstimator::isRunLearned(const std::string& route) const -> bool
{
    const auto count = runCounts_.find(route);
    return count != runCounts_.end() && count->second >= minRunsForTime;
}

auto EndEstimator::isServiceEstimated(const std::string& service) const -> bool
{
    return services_.contains(service);
}

auto EndEstimator::distance(const Upstream& upstream) const -> Duration
{
    const auto found = roundTrips_.find(upstream.entry_.domain_);
    return found == roundTrips_.end() ? Duration::zero() : found->second;
}

// What peers send to the upstream between its reports is not known, so old figures give way to the service's average. Own
// requests that the report cannot cover are added.
auto EndEstimator::estimate(const Upstream& upstream, const EndQuery& query) const -> EndEstimate
{
    EndEstimate result;
    const auto service = services_.find(upstream.entry_.service_);
    const ServiceLoad average = service == services_.end() ? ServiceLoad {} : service->second;
    const auto now = clock_.now();
    result.occupied_ = average.occupied_;
    result.slowdown_ = average.slowdown_;
    auto sentSince = upstream.sentAt_.begin();
    if (const auto load = upstreams_.freshSharedLoad(upstream)) {
        const double age = inSeconds(now - upstream.sharedLoadAt_);
        result.loadAge_ = now - upstream.sharedLoadAt_;
        result.occupied_ += (load->running_ + load->waiting_ - average.occupied_) * decay(age, occupiedDecay);
        result.slowdown_ += (load->slowdown_.value_or(average.slowdown_) - average.slowdown_) * decay(age, slowdownDecay);
        sentSince = upstream.sentAt_.upper_bound(upstream.sharedLoadAt_);
    }
    const auto ownSince = static_cast<double>(std::distance(sentSince, upstream.sentAt_.end()));
    result.occupied_ = std::max(result.occupied_ + ownSince, static_cast<double>(upstream.inFlight_));
    const auto times = runTimes(query);
    result.isWarm_ = query.object_ && warmObjects_.isWarm(upstreamKey(upstream.entry_), *query.object_);
    result.run_ = fromSeconds(inSeconds(result.isWarm_ ? times.warm_ : times.cold_) * result.slowdown_);
    const double slots = std::max(1, upstream.entry_.slots_);
    const double ahead = expectedExcess(result.occupied_ + 1 - slots);
    result.wait_ = fromSeconds(ahead / slots * inSeconds(average.run_) * result.slowdown_);
    result.rejections_ = fromSeconds(rejectionRate(upstreamKey(upstream.entry_)) * inSeconds(query.latencyTarget_));
    result.distance_ = distance(upstream);
    return result;
}

// A run that leaves requests waiting has probably waited itself, and says little about the time of the run.
auto EndEstimator::recordResponse(const Upstream& upstream, const EndQuery& query, const ReportedLoad& load, Duration took) -> void
{
    if (!isServiceEstimated(upstream.entry_.service_) || load.waiting_ > 0)
        return;
    const auto run = fromSeconds(inSeconds(std::max(Duration::zero(), took - distance(upstream))) / load.slowdown_.value_or(1));
    const auto key = upstreamKey(upstream.entry_);
    const auto recency = query.object_ ? warmObjects_.recency(key, *query.object_) : std::nullopt;
    const auto known = runTimes_.estimate(query.route_, query.latencyTarget_);
    if (!runTimes_.record(query.route_, run))
        return;
    // Routes come and go over the life of an instance.
    if (runCounts_.size() > RunTimes::maxRoutes)
        runCounts_.clear();
    ++runCounts_[query.route_];
    auto& service = services_[upstream.entry_.service_];
    service.run_ += std::chrono::duration_cast<Duration>((run - service.run_) * (service.run_ == Duration::zero() ? 1.0 : averageWeight));
    // The geometric mean separates the groups, as both spread in proportion to their times.
    if (recency && known.isSeparated_)
        warmObjects_.recordRun(upstream.entry_.service_, *recency, inSeconds(run) < std::sqrt(inSeconds(known.warm_) * inSeconds(known.cold_)));
}

auto EndEstimator::recordConnect(const Upstream& upstream, Duration took) -> void
{
    const auto [found, isNew] = roundTrips_.try_emplace(upstream.entry_.domain_, took);
    if (!isNew)
        found->second = std::min(took, found->second + (took - found->second) / roundTripRise);
}

auto EndEstimator::onObservation(const Upstream& upstream, const Observation& observation, MonotonicTime at, bool) -> void
{
    const auto key = observation.upstream_;
    warmObjects_.setService(key, upstream.entry_.service_);
    // Without the rejected requests, the owners of an object that has just become popular would be added for the few that ran.
    if (observation.object_ != 0 && observation.isRejection_)
        warmObjects_.recordRequest(observation.object_, at);
    else if (observation.object_ != 0)
        warmObjects_.record(key, observation.object_, at);
    recordRejection(key, at, observation.isRejection_);
    const auto& load = observation.load_;
    if (!load.slowdown_)
        return;
    auto& service = services_[upstream.entry_.service_];
    service.occupied_ += (load.running_ + load.waiting_ - service.occupied_) * averageWeight;
    service.slowdown_ += (*load.slowdown_ - service.slowdown_) * averageWeight;
}

// An upstream that rejects requests while it reports free slots is judged by the rejections.
auto EndEstimator::recordRejection(UpstreamKey upstream, MonotonicTime at, bool isRejection) -> void
{
    const auto found = rejections_.find(upstream);
    if (found == rejections_.end() && !isRejection)
        return;
    auto& known = rejections_[upstream];
    const double decayed = known.rate_ * decay(inSeconds(at - known.at_), rejectionDecay);
    known.rate_ = decayed * (1 - rejectionWeight) + (isRejection ? rejectionWeight : 0);
    known.at_ = std::max(known.at_, at);
}

auto EndEstimator::rejectionRate(UpstreamKey upstream) const -> double
{
    const auto found = rejections_.find(upstream);
    return found == rejections_.end() ? 0 : found->second.rate_ * decay(inSeconds(clock_.now() - found->second.at_), rejectionDecay);
}

auto EndEstimator::removeExpired() -> void
{
    std::erase_if(rejections_, [this](const auto& item) { return inSeconds(clock_.now() - item.second.at_) > rejectionDecay * 10; });
}

} // namespace sapphirepass
