#include "gateway/placement/expected_end.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Part of the additional time of a cold run that counts. At 1, no second owner would become warm before the first one has a
    // long queue.
    constexpr double coldRunWeight = 0.5;
    // Keeps objects on their first owners while these are about equally loaded.
    constexpr Duration rankCost = 10ms;
    // The cost ends with the usual owners. A popular object has a hundred, of which the last ones would never be used otherwise.
    constexpr int maxCostedRank = 2;
    // What a request to another failure domain costs, so that bytes between domains are spent only for a gain. Bytes add to it up
    // to a bound, a quarter of the shortest latency target (600 ms).
    constexpr Duration otherDomainCost = 15ms;
    constexpr Duration otherDomainCostPerKilobyte = 1ms;
    constexpr Duration maxBytesCost = 150ms;
    // Bytes from which an additional owner in the own domain is worth the memory that the object takes there.
    constexpr double minBytesForNearOwner = 16 * 1024;
    // A new connection takes a round trip, and work at both ends that no estimate covers.
    constexpr Duration newConnectionCost = 15ms;
    // Owners of each object. With two or three to choose from by load, no upstream is loaded far beyond the mean (the power of two
    // choices; Mitzenmacher, 2001), and an upstream keeps few enough objects that all stay warm.
    constexpr std::size_t minOwners = 3;
    // Part of its owners' slots that an object may use, so that other objects find room there.
    constexpr double maxOwnerUtilization = 0.4;

    auto domainCost(const EndCandidate& candidate) -> Duration
    {
        if (candidate.isNear_)
            return Duration::zero();
        const double kilobytes = std::max(0.0, candidate.bytes_) / 1024;
        return otherDomainCost + std::min<Duration>(maxBytesCost, fromSeconds(inSeconds(otherDomainCostPerKilobyte) * kilobytes));
    }
}

auto comparedEnd(const EndCandidate& candidate) -> Duration
{
    const auto& estimate = candidate.estimate_;
    const auto warm = fromSeconds(inSeconds(candidate.warmRun_) * estimate.slowdown_);
    const auto additional = std::max(Duration::zero(), estimate.run_ - warm);
    const auto run = estimate.run_ - additional + fromSeconds(inSeconds(additional) * coldRunWeight);
    return estimate.distance_ + estimate.wait_ + run + estimate.rejections_ + rankCost * std::min(candidate.rank_, maxCostedRank) + domainCost(candidate) + (candidate.hasConnection_ ? Duration::zero() : newConnectionCost);
}

auto chooseByExpectedEnd(const std::vector<EndCandidate>& candidates) -> std::optional<std::size_t>
{
    if (candidates.empty())
        return std::nullopt;
    const auto first = std::min_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return comparedEnd(a) < comparedEnd(b); });
    return static_cast<std::size_t>(first - candidates.begin());
}

auto needsNearOwner(double bytes) -> bool { return bytes >= minBytesForNearOwner; }

auto ownersForDemand(double requestsPerSecond, Duration warmRun, int slots) -> std::size_t
{
    const double needed = requestsPerSecond * inSeconds(warmRun) / (std::max(1, slots) * maxOwnerUtilization);
    return std::max(minOwners, static_cast<std::size_t>(std::ceil(std::max(0.0, needed))) + 1);
}

} // namespace sapphirepass
