#include "gateway/upstreams/link_detector.h"

#include "gateway/hashing.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Upstreams at which connections must fail in a row before a loss of links is suspected: a request that crashes its
    // upstreams and a rack that loses power reach fewer, or only one failure domain.
    constexpr std::size_t minFailedUpstreams = 3;
    constexpr std::size_t minFailedDomains = 2;
    // Upstreams that probes must fail to reach before the suspicion counts as confirmed.
    constexpr std::size_t minConfirmations = 2;
    constexpr Duration maxFailureAge = 3s;
    // A suspicion that no probe can decide, as the upstreams have left, ends after this time.
    constexpr Duration maxSuspicion = 2s;
    constexpr std::size_t suspicionProbes = 3;
    constexpr std::size_t recoveryProbes = 2;
    // Longer than the time limit of a connection attempt.
    constexpr Duration suspicionProbeInterval = 500ms;
    constexpr Duration recoveryProbeInterval = 250ms;
    constexpr Duration minStableTime = 300ms;
    constexpr Duration maxStableTime = 5s;
    // A loss so soon after a recovery is a flapping link.
    constexpr Duration flappingTime = 10s;
    // The share of requests sent directly grows from its initial value to 1 in this time, so that connections are not opened
    // to all upstreams at once.
    constexpr Duration recoveryTime = 1s;
    constexpr double initialShare = 0.2;
    // Responses in transit when the links were lost arrive within this time.
    constexpr Duration maxTransit = 100ms;
    // Open connections count as working for so long after a response.
    constexpr Duration responseTtl = 1s;
}

auto linkStateName(LinkState state) -> std::string_view
{
    switch (state) {
    case LinkState::Reachable:
        return "reachable";
    case LinkState::Suspected:
        return "suspected";
    case LinkState::Unreachable:
        return "unreachable";
    case LinkState::Recovering:
        return "recovering";
    }
    return "";
}

LinkDetector::LinkDetector(const Clock& clock, const UpstreamSet& upstreams, ChangeListener onChange)
    : clock_(clock)
    , upstreams_(upstreams)
    , onChange_(std::move(onChange))
{
    for (const auto& region : upstreams.regions())
        links_[region].stableTime_ = minStableTime;
}

auto LinkDetector::enter(const std::string& region, LinkState state) -> void
{
    auto& link = links_[region];
    const auto now = clock_.now();
    if (state == LinkState::Recovering)
        link.unreachableUntil_ = now;
    if (state == LinkState::Reachable || state == LinkState::Recovering)
        link.failures_.clear();
    if (state == LinkState::Unreachable) {
        const bool isFlapping = link.unreachableUntil_ && now - *link.unreachableUntil_ < flappingTime;
        link.stableTime_ = isFlapping ? std::min(maxStableTime, link.stableTime_ * 2) : minStableTime;
        link.connectedSince_.reset();
    }
    link.state_ = state;
    link.changedAt_ = now;
    if (state == LinkState::Suspected || state == LinkState::Unreachable)
        link.nextProbeAt_ = now;
    if (onChange_)
        onChange_({ region, state, link.since_ });
}

auto LinkDetector::recordConnect(const Upstream& upstream, MonotonicTime startedAt, bool isConnected) -> void
{
    if (isConnected)
        recordSuccess(upstream.region_);
    else
        recordFailure(upstream, startedAt);
}

auto LinkDetector::recordSuccess(const std::string& region) -> void
{
    auto& link = links_[region];
    link.lastConnectAt_ = clock_.now();
    link.failures_.clear();
    if (link.state_ == LinkState::Suspected)
        enter(region, LinkState::Reachable);
    else if (link.state_ == LinkState::Unreachable && !link.connectedSince_)
        link.connectedSince_ = clock_.now();
}

// An attempt that began before the last success may have waited for an upstream that is gone.
auto LinkDetector::recordFailure(const Upstream& upstream, MonotonicTime startedAt) -> void
{
    auto& link = links_[upstream.region_];
    if (startedAt <= link.lastConnectAt_)
        return;
    const auto now = clock_.now();
    std::erase_if(link.failures_, [now](const auto& item) { return now - item.second.startedAt_ > maxFailureAge; });
    link.failures_[upstream.entry_.id_] = { upstream.entry_.domain_, startedAt };
    switch (link.state_) {
    case LinkState::Reachable:
        return suspectFrom(upstream.region_);
    case LinkState::Suspected:
        if (isConfirmed(upstream.region_))
            enter(upstream.region_, LinkState::Unreachable);
        return;
    case LinkState::Unreachable:
        link.connectedSince_.reset();
        return;
    case LinkState::Recovering:
        if (link.failures_.size() >= minConfirmations) {
            link.since_ = startedAt;
            enter(upstream.region_, LinkState::Unreachable);
        }
        return;
    }
}

// Requests go to few regions, so failures in one region without a later connection to any region make all regions suspected.
auto LinkDetector::suspectFrom(const std::string& region) -> void
{
    MonotonicTime lastConnectAt {};
    for (const auto& [name, link] : links_)
        lastConnectAt = std::max(lastConnectAt, link.lastConnectAt_);
    std::set<std::string> domains;
    std::size_t upstreams = 0;
    auto since = MonotonicTime::max();
    std::set<std::string> ownDomains;
    auto ownSince = MonotonicTime::max();
    for (const auto& [name, link] : links_) {
        for (const auto& [id, failure] : link.failures_) {
            if (name == region) {
                ownDomains.insert(failure.domain_);
                ownSince = std::min(ownSince, failure.startedAt_);
            }
            if (failure.startedAt_ <= lastConnectAt)
                continue;
            ++upstreams;
            domains.insert(failure.domain_);
            since = std::min(since, failure.startedAt_);
        }
    }
    if (upstreams >= minFailedUpstreams && domains.size() >= minFailedDomains) {
        for (const auto& name : upstreams_.regions())
            beginSuspicion(name, since);
        return;
    }
    std::set<std::string> knownDomains;
    for (const auto& upstream : eligibleIn(region))
        knownDomains.insert(upstream->entry_.domain_);
    if (links_[region].failures_.size() >= minFailedUpstreams && ownDomains.size() >= std::min(minFailedDomains, knownDomains.size()))
        beginSuspicion(region, ownSince);
}

auto LinkDetector::beginSuspicion(const std::string& region, MonotonicTime since) -> void
{
    auto& link = links_[region];
    if (link.state_ != LinkState::Reachable || eligibleIn(region).empty())
        return;
    link.since_ = since;
    enter(region, LinkState::Suspected);
}

auto LinkDetector::isConfirmed(const std::string& region) const -> bool
{
    const auto& link = links_.at(region);
    const auto confirmations = std::count_if(link.failures_.begin(), link.failures_.end(), [&link](const auto& item) { return item.second.startedAt_ >= link.changedAt_; });
    return static_cast<std::size_t>(confirmations) >= std::min(minConfirmations, eligibleIn(region).size());
}

auto LinkDetector::recordResponse(const Upstream& upstream) -> void
{
    links_[upstream.region_].lastResponseAt_ = clock_.now();
}

auto LinkDetector::update() -> void
{
    const auto now = clock_.now();
    for (const auto& region : upstreams_.regions()) {
        const auto& link = links_[region];
        const bool isUndecided = link.state_ == LinkState::Suspected && now - link.changedAt_ > maxSuspicion;
        const bool isRecovered = link.state_ == LinkState::Recovering && now - link.changedAt_ >= recoveryTime;
        if (isUndecided || isRecovered || (link.state_ != LinkState::Reachable && eligibleIn(region).empty()))
            enter(region, LinkState::Reachable);
        else if (link.state_ == LinkState::Unreachable && link.connectedSince_ && now - *link.connectedSince_ >= link.stableTime_)
            enter(region, LinkState::Recovering);
    }
}

// Upstreams that have not failed yet come first: they tell a loss of links from upstreams that are down.
auto LinkDetector::takeDueProbes() -> ServiceUpstreams
{
    const auto now = clock_.now();
    ServiceUpstreams due;
    for (auto& [region, link] : links_) {
        const bool isSuspected = link.state_ == LinkState::Suspected;
        if ((!isSuspected && link.state_ != LinkState::Unreachable) || now < link.nextProbeAt_)
            continue;
        link.nextProbeAt_ = now + (isSuspected ? suspicionProbeInterval : recoveryProbeInterval);
        auto candidates = eligibleIn(region);
        ++probeRound_;
        std::sort(candidates.begin(), candidates.end(), [this](const auto& a, const auto& b) {
            return rendezvousWeight(probeRound_, a->entry_.id_) > rendezvousWeight(probeRound_, b->entry_.id_);
        });
        if (isSuspected)
            std::stable_partition(candidates.begin(), candidates.end(), [&failures = link.failures_](const auto& upstream) { return !failures.contains(upstream->entry_.id_); });
        candidates.resize(std::min(candidates.size(), isSuspected ? suspicionProbes : recoveryProbes));
        due.insert(due.end(), candidates.begin(), candidates.end());
    }
    return due;
}

auto LinkDetector::eligibleIn(const std::string& region) const -> ServiceUpstreams
{
    ServiceUpstreams found;
    for (const auto& [id, upstream] : upstreams_.byId()) {
        if (upstream->region_ == region && upstreams_.isEligible(*upstream))
            found.push_back(upstream);
    }
    return found;
}

auto LinkDetector::state(const std::string& region) const -> LinkState
{
    const auto found = links_.find(region);
    return found == links_.end() ? LinkState::Reachable : found->second.state_;
}

auto LinkDetector::recoveredShare(const Link& link) const -> double
{
    return initialShare + (1 - initialShare) * inSeconds(clock_.now() - link.changedAt_) / inSeconds(recoveryTime);
}

auto LinkDetector::unreachableRegions(std::uint64_t requestHash) const -> std::set<std::string>
{
    constexpr std::uint64_t steps = 1'000;
    std::set<std::string> regions;
    for (const auto& [region, link] : links_) {
        const bool isHeldBack = link.state_ == LinkState::Recovering && static_cast<double>(requestHash % steps) >= recoveredShare(link) * steps;
        if (isHeldBack || link.state_ == LinkState::Suspected || link.state_ == LinkState::Unreachable)
            regions.insert(region);
    }
    return regions;
}

auto LinkDetector::unreachableRegions() const -> std::set<std::string>
{
    std::set<std::string> regions;
    for (const auto& [region, link] : links_) {
        if (link.state_ != LinkState::Reachable)
            regions.insert(region);
    }
    return regions;
}

auto LinkDetector::isCutOff() const -> bool
{
    bool hasUpstreams = false;
    for (const auto& [id, upstream] : upstreams_.byId()) {
        if (!upstreams_.isEligible(*upstream))
            continue;
        hasUpstreams = true;
        if (state(upstream->region_) == LinkState::Reachable)
            return false;
    }
    return hasUpstreams;
}

auto LinkDetector::doOpenConnectionsWork(const std::string& region) const -> bool
{
    const auto found = links_.find(region);
    if (found == links_.end())
        return true;
    const auto& link = found->second;
    return link.lastResponseAt_ > link.since_ + maxTransit && clock_.now() - link.lastResponseAt_ <= responseTtl;
}

auto LinkDetector::wasUnreachableSince(const std::string& region, MonotonicTime since) const -> bool
{
    const auto found = links_.find(region);
    if (found == links_.end())
        return false;
    const auto& link = found->second;
    return link.state_ == LinkState::Unreachable || (link.unreachableUntil_ && *link.unreachableUntil_ >= since);
}

} // namespace sapphirepass
