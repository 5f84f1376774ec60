#include "gateway/limits.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Part of the bound on retries that instances spend together; the rest covers windows that overlap.
    constexpr double retryPart = 0.7;
    // Upstreams lost to one request before it is barred.
    constexpr std::uint32_t crashesToBar = 3;
    // How long a barred request is remembered after its last crash.
    constexpr Duration crashMemory = 30s;
    constexpr std::size_t mostCrashes = 256;
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
    const double slack = settled ? bound_.slack_ / static_cast<double>(fleet_.memberCount()) : 0;
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
