#include "gateway/limits/limits.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Fraction of the retry limit that instances use together; the rest covers windows that overlap.
    constexpr double retryFraction = 0.7;
    // A request is blocked after this many upstreams were lost while running it.
    constexpr std::uint32_t crashesToBlock = 3;
    // How long a request is remembered after its last crash.
    constexpr Duration crashRetention = 30s;
    constexpr std::size_t maxTrackedRequests = 256;
}

RetryLimiter::RetryLimiter(const Clock& clock, const FleetView& fleet, RetryLimit limit)
    : clock_(clock)
    , fleet_(fleet)
    , limit_(limit)
    , startedAt_(clock.now())
{
}

// Counts in half windows: the current and the previous half together cover at most one window.
auto RetryLimiter::current(const std::string& service) -> Counts&
{
    const auto now = clock_.now();
    const auto half = limit_.window_ / 2;
    auto& counts = counts_[service];
    if (now - counts.halfStartedAt_ >= half) {
        const bool adjacent = now - counts.halfStartedAt_ < limit_.window_;
        counts.previousRequests_ = adjacent ? counts.requests_ : 0;
        counts.previousRetries_ = adjacent ? counts.retries_ : 0;
        counts.requests_ = 0;
        counts.retries_ = 0;
        counts.halfStartedAt_ = now;
    }
    return counts;
}

auto RetryLimiter::countRequest(const std::string& service) -> void
{
    current(service).requests_ += 1;
}

auto RetryLimiter::takeRetry(const std::string& service) -> bool
{
    auto& counts = current(service);
    // Before a restart, this instance may already have used its part of the slack within the window.
    const bool isSettled = clock_.now() - startedAt_ >= limit_.window_;
    const double slack = isSettled ? limit_.slack_ / static_cast<double>(fleet_.memberCount()) : 0;
    const double requests = counts.requests_ + counts.previousRequests_;
    const double maxRetries = retryFraction * (limit_.ratio_ * requests + slack);
    if (counts.retries_ + counts.previousRetries_ + 1 > maxRetries)
        return false;
    counts.retries_ += 1;
    return true;
}

CrashTracker::CrashTracker(const Clock& clock, const FleetView& fleet)
    : clock_(clock)
    , fleet_(fleet)
{
}

auto CrashTracker::recordLostConnection(std::uint64_t fingerprint, const std::string& upstream) -> void
{
    if (entries_.size() >= maxTrackedRequests && !entries_.contains(fingerprint))
        return;
    auto& entry = entries_[fingerprint];
    entry.lastAt_ = clock_.now();
    entry.upstreams_[upstream] = entry.lastAt_;
}

auto CrashTracker::revertLosses(MonotonicTime since) -> void
{
    for (auto& [fingerprint, entry] : entries_)
        std::erase_if(entry.upstreams_, [since](const auto& item) { return item.second >= since; });
    std::erase_if(entries_, [](const auto& item) { return item.second.upstreams_.empty(); });
}

auto CrashTracker::recordResponse(std::uint64_t fingerprint) -> void
{
    if (!entries_.empty())
        entries_.erase(fingerprint);
}

auto CrashTracker::isBlocked(std::uint64_t fingerprint) const -> bool
{
    const auto found = entries_.find(fingerprint);
    const auto own = found == entries_.end() ? 0 : static_cast<std::uint32_t>(found->second.upstreams_.size());
    return own + fleet_.crashesElsewhere(fingerprint) >= crashesToBlock;
}

auto CrashTracker::counts() -> std::vector<CrashCount>
{
    const auto now = clock_.now();
    std::erase_if(entries_, [now](const auto& item) { return now - item.second.lastAt_ > crashRetention; });
    std::vector<CrashCount> counts;
    for (const auto& [fingerprint, entry] : entries_)
        counts.push_back({ fingerprint, static_cast<std::uint32_t>(entry.upstreams_.size()) });
    return counts;
}

} // namespace sapphirepass
