#include "gateway/fleet/delegate_selector.h"

#include "gateway/hashing.h"

#include <algorithm>
#include <tuple>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // A peer that was killed is replaced within a few seconds; one that refuses this instance may do so for long.
    constexpr Duration firstExclusion = 500ms;
    constexpr Duration maxExclusion = 16s;
    constexpr int maxDoublings = 5;

    auto contains(const std::vector<std::string>& names, const std::string& name) -> bool
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }
}

DelegateSelector::DelegateSelector(const Clock& clock, const FleetView& fleet, std::string ownRegion, std::set<std::string> regions)
    : clock_(clock)
    , fleet_(fleet)
    , ownRegion_(std::move(ownRegion))
    , regions_(std::move(regions))
{
}

auto DelegateSelector::isExcluded(const MemberReport& peer, const DelegateQuery& query) const -> bool
{
    const auto found = failures_.find(peer.name_);
    if (found == failures_.end())
        return false;
    return clock_.now() < found->second.excludedUntil_ || !query.isIdempotent_ || inFlight_.contains(peer.name_);
}

auto DelegateSelector::recordResult(const std::string& peer, DelegateResult result) -> void
{
    if (result == DelegateResult::Answered) {
        failures_.erase(peer);
        return;
    }
    auto& failures = failures_[peer];
    // Requests that were in flight together count once.
    if (clock_.now() < failures.excludedUntil_)
        return;
    failures.excludedUntil_ = clock_.now() + std::min(maxExclusion, firstExclusion * (1 << std::min(failures.count_, maxDoublings)));
    ++failures.count_;
}

auto DelegateSelector::mayTake(const MemberReport& peer, const DelegateQuery& query) const -> bool
{
    if (!peer.acceptsDelegation_ || peer.isCutOff_ || contains(query.tried_, peer.name_) || isExcluded(peer, query))
        return false;
    const bool isOwnRegion = peer.region_ == ownRegion_;
    if (query.isOwnRegionOnly_ && !isOwnRegion)
        return false;
    const auto& homes = query.homeRegions_;
    if (!homes.empty() && !isOwnRegion && !contains(homes, peer.region_))
        return false;
    if (!query.upstreamRegion_.empty() && query.isOwnRegionOnly_)
        return !contains(peer.unreachableRegions_, query.upstreamRegion_);
    return std::any_of(regions_.begin(), regions_.end(), [&](const auto& region) {
        return (homes.empty() || contains(homes, region)) && !contains(peer.unreachableRegions_, region);
    });
}

// A request that its own region may not run has to leave it anyway.
auto DelegateSelector::distance(const MemberReport& peer, const DelegateQuery& query) const -> int
{
    const bool isOwnRegion = peer.region_ == ownRegion_;
    const bool runsHere = query.homeRegions_.empty() || contains(query.homeRegions_, ownRegion_);
    return isOwnRegion == runsHere ? 0 : 1;
}

auto DelegateSelector::select(const DelegateQuery& query) const -> const MemberReport*
{
    const MemberReport* best = nullptr;
    std::tuple<int, std::size_t, std::uint64_t> bestRank;
    for (const auto* peer : fleet_.allReadyMembers()) {
        if (!mayTake(*peer, query))
            continue;
        const auto load = inFlight_.find(peer->name_);
        const std::tuple rank { distance(*peer, query), load == inFlight_.end() ? 0 : load->second, rendezvousWeight(query.requestHash_, peer->name_) };
        if (best == nullptr || rank < bestRank) {
            best = peer;
            bestRank = rank;
        }
    }
    return best;
}

auto DelegateSelector::recordEnded(const std::string& peer) -> void
{
    const auto found = inFlight_.find(peer);
    if (found != inFlight_.end() && --found->second == 0)
        inFlight_.erase(found);
}

auto DelegateSelector::inFlight() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto& [peer, count] : inFlight_)
        sum += count;
    return sum;
}

} // namespace sapphirepass
