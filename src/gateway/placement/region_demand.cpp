#include "gateway/placement/region_demand.h"

#include "gateway/hashing.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    constexpr Duration demandWindow = 2s;
    constexpr Duration sliceTime = 200ms;
    // Sums are formed at most this often: they take time for each instance.
    constexpr Duration reviewInterval = 200ms;
    // Longer than the second or two after which refused callers return, so that shares do not follow them.
    constexpr double smoothingSeconds = 3;
    // Time constant of the mean behind the smoothed demand by which its trend is known. The forecast reaches this far ahead: the
    // window, the interval of heartbeats, the smoothing and the limited rate of shares delay what follows from demand by more.
    constexpr double trendSeconds = 4;
    // Time constant of the usual demand.
    constexpr double usualSeconds = 60;
    // Part of the difference from the usual demand that is followed at once. Shares that followed all of a swing of 36 s came too late:
    // a small region with twice its load at the peak, 1.55 times with shares of capacity and 1.4 times with this part.
    constexpr double deviationPart = 0.4;
    // Limits the effect of one instance's figure to this many times the median one.
    constexpr double maxMedianFactor = 4;
    constexpr std::size_t minFiguresToCompare = 3;
    // Of services with few requests, figures vary by more than the factor.
    constexpr double minFigureLimit = 4;
    constexpr Duration serviceRetention = 60s;

    // The largest figure that counts in full. Instances without requests are left out: where callers keep few connections, most
    // instances may have none.
    auto figureLimit(std::vector<double> figures) -> std::optional<double>
    {
        if (figures.size() < minFiguresToCompare)
            return std::nullopt;
        std::erase(figures, 0);
        if (figures.empty())
            return minFigureLimit;
        const auto middle = figures.begin() + static_cast<std::ptrdiff_t>((figures.size() - 1) / 2);
        std::nth_element(figures.begin(), middle, figures.end());
        return std::max(*middle * maxMedianFactor, minFigureLimit);
    }
}

auto regionDemandMode(std::string_view name) -> RegionDemandMode
{
    if (name == "auto")
        return RegionDemandMode::Auto;
    return name == "always" ? RegionDemandMode::Always : RegionDemandMode::Never;
}

auto WindowedRate::record(MonotonicTime now) -> void
{
    const std::int64_t number = now.time_since_epoch() / sliceTime;
    auto& slice = slices_.at(static_cast<std::size_t>(number) % slices_.size());
    if (slice.number_ != number)
        slice = { number, 0 };
    ++slice.count_;
    lastAt_ = now;
}

auto WindowedRate::perSecond(MonotonicTime now) const -> double
{
    const std::int64_t number = now.time_since_epoch() / sliceTime;
    const auto begun = now.time_since_epoch() % sliceTime;
    const auto whole = static_cast<std::int64_t>(slices_.size()) - 1;
    double count = 0;
    for (const auto& slice : slices_)
        count += slice.number_ >= 0 && number - slice.number_ <= whole ? slice.count_ : 0;
    return count / inSeconds(whole * sliceTime + begun);
}

RegionDemand::RegionDemand(const Clock& clock, Metrics& metrics, std::string ownRegion, RegionDemandMode mode, ServicePredicate isEstimated)
    : clock_(clock)
    , metrics_(metrics)
    , ownRegion_(std::move(ownRegion))
    , mode_(mode)
    , isEstimated_(std::move(isEstimated))
    , startedAt_(clock.now())
{
}

RegionDemand::Estimate::Estimate(double perSecond, MonotonicTime now)
    : level_(perSecond)
    , trailing_(perSecond)
    , usual_(perSecond)
    , startedAt_(now)
    , updatedAt_(now)
{
}

auto RegionDemand::Estimate::update(double perSecond, MonotonicTime now) -> void
{
    const double elapsed = inSeconds(now - std::exchange(updatedAt_, now));
    const auto move = [elapsed](double& mean, double towards, double timeConstant) { mean += (towards - mean) * (1 - std::exp(-elapsed / timeConstant)); };
    move(level_, perSecond, smoothingSeconds);
    move(trailing_, level_, trendSeconds);
    // Until it is as old as its time constant, it is the mean of all figures.
    move(usual_, perSecond, std::clamp(inSeconds(now - startedAt_), smoothingSeconds, usualSeconds));
}

auto RegionDemand::Estimate::perSecond() const -> double
{
    const double forecast = level_ + (level_ - trailing_);
    return std::max(0.0, usual_ + deviationPart * (forecast - usual_));
}

auto RegionDemand::isFollowed(const std::string& service) const -> bool
{
    return mode_ == RegionDemandMode::Always || (mode_ == RegionDemandMode::Auto && isEstimated_(service));
}

// Until the first window is complete, own rates are too low and reports of peers are missing.
auto RegionDemand::isWarmedUp() const -> bool { return clock_.now() - startedAt_ >= demandWindow; }

auto RegionDemand::countRequest(const std::string& service) -> void
{
    if (mode_ != RegionDemandMode::Never)
        services_[service].offered_.record(clock_.now());
}

// Instances discover upstreams at different times, so a service may follow demand at some instances only. Therefore all services
// are listed as soon as one of them follows demand here or at a peer; those that do come first.
auto RegionDemand::forHeartbeat() const -> std::optional<std::vector<ServiceDemand>>
{
    const auto now = clock_.now();
    if (mode_ == RegionDemandMode::Never || !isWarmedUp())
        return std::nullopt;
    bool isUsed = mode_ == RegionDemandMode::Always || std::any_of(peers_.begin(), peers_.end(), [now](const auto& item) { return hasReported(item.second, now); });
    std::vector<std::pair<bool, ServiceDemand>> ranked;
    for (const auto& [name, service] : services_) {
        const bool isServiceFollowed = isFollowed(name);
        isUsed = isUsed || isServiceFollowed;
        const auto rate = static_cast<float>(service.offered_.perSecond(now));
        if (rate > 0)
            ranked.emplace_back(isServiceFollowed, ServiceDemand { stableHash(name), std::min(rate, maxDemandRate) });
    }
    if (!isUsed)
        return std::nullopt;
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return std::tuple(a.first, a.second.perSecond_, a.second.service_) > std::tuple(b.first, b.second.perSecond_, b.second.service_); });
    ranked.resize(std::min(ranked.size(), maxDemandServices));
    std::vector<ServiceDemand> reported;
    reported.reserve(ranked.size());
    for (const auto& [isServiceFollowed, demand] : ranked)
        reported.push_back(demand);
    return reported;
}

auto RegionDemand::hasReported(const Peer& peer, MonotonicTime now) -> bool
{
    return peer.reportedAt_ != MonotonicTime {} && now - peer.reportedAt_ <= demandWindow;
}

auto RegionDemand::apply(const MemberReport& report) -> void
{
    if (report.invalidDemands_ > 0)
        metrics_.increment({ "gateway_region_demand_invalid_total", {} }, report.invalidDemands_);
    if (mode_ == RegionDemandMode::Never)
        return;
    auto& peer = peers_[report.name_];
    peer.region_ = report.region_;
    peer.isReady_ = report.phase_ == MemberPhase::Ready;
    peer.heardAt_ = clock_.now();
    // Not every heartbeat reports demand.
    if (report.demand_) {
        peer.demand_ = *report.demand_;
        peer.isAnyInvalid_ = report.invalidDemands_ > 0;
        peer.reportedAt_ = peer.heardAt_;
    }
}

auto RegionDemand::removeExpired() -> void
{
    const auto now = clock_.now();
    std::erase_if(peers_, [now](const auto& item) { return now - item.second.heardAt_ > demandWindow; });
}

// A figure is unknown where an instance reports none, such as of an older build, or where its list is full or has invalid
// entries. It is assumed to be like those of the region's other instances.
auto RegionDemand::figures(const std::string& service) const -> FiguresByRegion
{
    const auto now = clock_.now();
    const auto hash = stableHash(service);
    FiguresByRegion regions;
    for (const auto& [name, peer] : peers_) {
        if (now - peer.heardAt_ > demandWindow)
            continue;
        auto& region = regions[peer.region_];
        if (!hasReported(peer, now)) {
            if (peer.isReady_)
                ++region.unknown_;
            continue;
        }
        const auto found = std::find_if(peer.demand_.begin(), peer.demand_.end(), [hash](const auto& demand) { return demand.service_ == hash; });
        if (found != peer.demand_.end())
            region.known_.push_back(found->perSecond_);
        else if (peer.isAnyInvalid_ || peer.demand_.size() >= maxDemandServices)
            ++region.unknown_;
        else
            region.known_.push_back(0);
    }
    return regions;
}

// Regions with too few instances to compare are limited by the figures of all regions.
auto RegionDemand::review(const std::string& name, Service& service) -> void
{
    const auto now = clock_.now();
    removeExpired();
    auto regions = figures(name);
    regions[ownRegion_].known_.push_back(service.offered_.perSecond(now));
    std::vector<double> all;
    for (const auto& [region, figures] : regions)
        all.insert(all.end(), figures.known_.begin(), figures.known_.end());
    const auto commonLimit = figureLimit(std::move(all)).value_or(std::numeric_limits<double>::infinity());
    service.loads_.clear();
    for (const auto& [region, figures] : regions) {
        if (figures.known_.empty())
            continue;
        const auto limit = figureLimit(figures.known_).value_or(commonLimit);
        double sum = 0;
        for (const auto figure : figures.known_)
            sum += std::min(figure, limit);
        const auto mean = sum / static_cast<double>(figures.known_.size());
        sum += mean * figures.unknown_;
        // Estimates of unreachable regions are kept, so that their long-term mean is available after the outage.
        auto& estimate = service.estimates_.try_emplace(region, sum, now).first->second;
        estimate.update(sum, now);
        service.loads_.push_back({ region, estimate.perSecond() });
    }
    service.reviewedAt_ = now;
}

auto RegionDemand::ofService(const std::string& service) -> const std::vector<RegionLoad>&
{
    if (!isFollowed(service))
        return none_;
    const auto now = clock_.now();
    auto& state = services_[service];
    // Until then, the last known demand stays in use.
    if (isWarmedUp() && now - state.reviewedAt_ >= reviewInterval)
        review(service, state);
    return state.loads_;
}

// After a freeze, the rates cover less than the window, as after a start.
auto RegionDemand::update() -> void
{
    const auto now = clock_.now();
    if (updatedAt_ != MonotonicTime {} && now - updatedAt_ > demandWindow)
        startedAt_ = now;
    updatedAt_ = now;
    removeExpired();
    std::erase_if(services_, [now](const auto& item) { return now - std::max(item.second.offered_.lastAt(), item.second.reviewedAt_) > serviceRetention; });
}

} // namespace sapphirepass
