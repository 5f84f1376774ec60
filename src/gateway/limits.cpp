#include "gateway/limits.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // How often a workspace's share is worked out anew; heartbeats come no faster.
    constexpr Duration shareAge = 100ms;
    // Time constant of the measured demand: about two heartbeats, so that shares follow within a second.
    constexpr double demandMemorySeconds = 0.8;
    // Part of what is allowed beyond the rate that instances hold together; the rest covers shares that change hands.
    constexpr double capacityPart = 0.75;
    // Part of the bound on retries that instances spend together; the rest covers windows that overlap.
    constexpr double retryPart = 0.7;
    // Upstreams lost to one request before it is barred.
    constexpr std::uint32_t crashesToBar = 3;
    // How long a barred request is remembered after its last crash.
    constexpr Duration crashMemory = 30s;
    constexpr std::size_t mostCrashes = 256;

    auto seconds(Duration duration) -> double { return std::chrono::duration<double>(duration).count(); }
}

auto TokenBucket::refill(MonotonicTime now, double perSecond, double capacity) -> void
{
    const double elapsed = filledAt_ == MonotonicTime {} ? 0 : seconds(now - filledAt_);
    tokens_ = std::min(std::max(capacity, 1.0), tokens_ + elapsed * perSecond);
    filledAt_ = now;
}

auto TokenBucket::take() -> bool
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

auto TokenBucket::untilToken(double perSecond) const -> Duration
{
    if (perSecond <= 0)
        return 1s;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::max(0.0, 1 - tokens_) / perSecond));
}

RateGate::RateGate(const Clock& clock, FleetView& fleet, RateTolerance tolerance)
    : clock_(clock)
    , fleet_(fleet)
    , tolerance_(tolerance)
    , measuredAt_(clock.now())
{
}

// In a window, buckets give their capacity and what refills: together no more than the window allows.
auto RateGate::fleetCapacity(double ratePerSecond, double burst) const -> double
{
    const double tolerated = (ratePerSecond * seconds(tolerance_.window_) + burst) * tolerance_.over_ + tolerance_.slack_;
    return (burst + tolerated) * capacityPart;
}

auto RateGate::admit(const std::string& workspace, double ratePerSecond, double burst) -> Verdict
{
    const auto now = clock_.now();
    auto& state = states_[workspace];
    state.arrivals_ += 1;
    if (ratePerSecond <= 0)
        return {};
    if (now - state.shareAt_ > shareAge) {
        state.share_ = fleet_.shareOf(workspace);
        state.shareAt_ = now;
    }
    const double rate = ratePerSecond * state.share_;
    state.bucket_.refill(now, rate, fleetCapacity(ratePerSecond, burst) * state.share_);
    if (state.bucket_.take())
        return { true, state.share_, Duration::zero() };
    return { false, state.share_, state.bucket_.untilToken(rate) };
}

auto RateGate::measureDemand() -> std::vector<WorkspaceDemand>
{
    const auto now = clock_.now();
    const double elapsed = std::max(0.001, seconds(now - measuredAt_));
    const double fading = std::exp(-elapsed / demandMemorySeconds);
    measuredAt_ = now;
    std::vector<WorkspaceDemand> demands;
    for (auto& [workspace, state] : states_) {
        state.perSecond_ = state.perSecond_ * fading + state.arrivals_ / elapsed * (1 - fading);
        state.arrivals_ = 0;
        fleet_.setOwnDemand(workspace, state.perSecond_);
        if (state.perSecond_ >= 0.05)
            demands.push_back({ workspace, state.perSecond_ });
    }
    return demands;
}

RetryGate::RetryGate(const Clock& clock, const FleetView& fleet, RetryBound bound)
    : clock_(clock)
    , fleet_(fleet)
    , bound_(bound)
    , startedAt_(clock.now())
{
}

// Half windows: the sum of the running and the earlier half covers at most one window.
auto RetryGate::current(const std::string& service) -> Counts&
{
    const auto now = clock_.now();
    const auto half = bound_.window_ / 2;
    auto& counts = counts_[service];
    if (now - counts.from_ >= half) {
        const bool adjacent = now - counts.from_ < bound_.window_;
        counts.earlierRequests_ = adjacent ? counts.requests_ : 0;
        counts.earlierRetries_ = adjacent ? counts.retries_ : 0;
        counts.requests_ = 0;
        counts.retries_ = 0;
        counts.from_ = now;
    }
    return counts;
}

auto RetryGate::noteRequest(const std::string& service) -> void
{
    current(service).requests_ += 1;
}

auto RetryGate::takeRetry(const std::string& service) -> bool
{
    auto& counts = current(service);
    // An instance that has just started may have spent its part of the slack before it ended.
    const bool settled = clock_.now() - startedAt_ >= bound_.window_;
    const double slack = settled ? bound_.slack_ / static_cast<double>(fleet_.spenders()) : 0;
    const double requests = counts.requests_ + counts.earlierRequests_;
    const double most = retryPart * (bound_.ratio_ * requests + slack);
    if (counts.retries_ + counts.earlierRetries_ + 1 > most)
        return false;
    counts.retries_ += 1;
    return true;
}

CrashRegister::CrashRegister(const Clock& clock, const FleetView& fleet)
    : clock_(clock)
    , fleet_(fleet)
{
}

auto CrashRegister::noteLost(std::uint64_t fingerprint, const std::string& upstream) -> void
{
    if (entries_.size() >= mostCrashes && !entries_.contains(fingerprint))
        return;
    auto& entry = entries_[fingerprint];
    entry.upstreams_.insert(upstream);
    entry.lastAt_ = clock_.now();
}

auto CrashRegister::noteAnswered(std::uint64_t fingerprint) -> void
{
    if (!entries_.empty())
        entries_.erase(fingerprint);
}

auto CrashRegister::isBarred(std::uint64_t fingerprint) const -> bool
{
    const auto found = entries_.find(fingerprint);
    const auto own = found == entries_.end() ? 0 : static_cast<std::uint32_t>(found->second.upstreams_.size());
    return own + fleet_.crashesElsewhere(fingerprint) >= crashesToBar;
}

auto CrashRegister::counts() -> std::vector<CrashCount>
{
    const auto now = clock_.now();
    std::erase_if(entries_, [now](const auto& item) { return now - item.second.lastAt_ > crashMemory; });
    std::vector<CrashCount> counts;
    for (const auto& [fingerprint, entry] : entries_)
        counts.push_back({ fingerprint, static_cast<std::uint32_t>(entry.upstreams_.size()) });
    return counts;
}

} // namespace sapphirepass
