#include "gateway/limits/room_gate.h"

#include "gateway/hashing.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Samples lose nine tenths of their weight within a second.
    constexpr double decaySeconds = 0.4;
    // Of its target, what a request can wait at least: the run alone may take longer than the target, and a short wait does not
    // mean a shortage then.
    constexpr double minSlackRatio = 0.5;
    // A long queue at a single upstream must not decide for the service.
    constexpr double maxPressure = 4;
    // Shortage begins above the first: with estimates that are smoothed, waits of a fifth of the target are usual on a service that has
    // room. At the second, waits count as a shortage at the peers as well.
    constexpr double highPressure = 0.5;
    constexpr double lowPressure = 0.25;
    // While requests are refused, pressure is held between the two bounds that these give, above its usual level. The usual level is
    // not zero, as the expected wait at an upstream with free slots is not, and it varies with the rate of requests: without the factor,
    // refusals outlast a burst. At half of the time left beside the run, varying run times make a tenth of the requests late.
    constexpr double usualFactor = 1.2;
    constexpr double fallMargin = 0.01;
    constexpr double riseMargin = 0.03;
    // Seconds over which the usual pressure follows one that is higher or lower. A shortage that begins must not count as usual.
    constexpr double usualRiseTime = 5;
    constexpr double usualFallTime = 1;
    // While requests are refused, it approaches the low pressure over this many seconds: a usual pressure learned at low load would
    // otherwise keep refusals up without end, and one learned in a shortage would never end them.
    constexpr double usualDriftTime = 240;
    // If peers report refusals within this time after the start, the shortage is older than the instance and its own pressure is not
    // the usual one. Covers two heartbeats of 0.4 s.
    constexpr Duration startTime = 800ms;
    // Change of the refused share per unit of pressure: at once when the pressure changes, and per second while it is too high
    // or too low. Larger ones make the share swing, as pressure follows it with the delay of the mean.
    constexpr double proportionalGain = 0.4;
    constexpr double integralGain = 0.5;
    // Change of the refused share per second and unit of pressure below the high pressure. Larger ones refuse workspaces within their
    // share.
    constexpr double holdingGain = 0.25;
    // Decrease of the refused share per second, growing by the first for each second that the pressure stays too low, up to the
    // second. A fast decrease at once makes the waits swing under a shortage that lasts.
    constexpr double recoveryGrowth = 0.06;
    constexpr double maxRecovery = 0.3;
    constexpr double maxStep = 0.06;
    constexpr double maxRefusedShare = 0.9;
    // Smaller refused shares come from noise and refuse nothing.
    constexpr double minRefusedShare = 0.02;
    // Part of the difference to the peers' refused share that is made up per second. Without it, shares of instances drift apart,
    // and one that starts would stay open while the others refuse.
    constexpr double peerPullPerSecond = 0.5;
    // Thresholds are reviewed after this time plus up to as much again, so that instances do not act together.
    constexpr Duration minStepTime = 120ms;
    // Counts are used for this long.
    constexpr Duration countWindow = 2s;
    // Without reports of peers only own counts are known: fewer requests need a longer time to compare workspaces.
    constexpr Duration lonelyCountWindow = 8s;
    constexpr Duration sliceTime = 200ms;
    // Each priority gets at least the first fraction of what all get on average, or the second if priority 0 would else lack room;
    // above the quarter that is required, as counts vary.
    constexpr double usualPriorityShare = 0.4;
    constexpr double minPriorityShare = 0.3;
    // A priority is refused below the first fraction admitted, until the second is reached.
    constexpr double refusingBelow = 0.95;
    constexpr double admittingFrom = 0.99;
    constexpr Duration minThresholdTime = 1s;
    // Late requests get at least this part of what they would get without regard to lateness.
    constexpr double minLateShare = 0.5;
    // Limits the effect of one instance's figures to this many times those of the median one. Instances differ by 7 times in cores.
    constexpr double maxPeerFactor = 4;
    constexpr std::size_t minPeersToCompare = 3;
    // Standard deviations that a workspace's count may be too high by.
    constexpr double countTolerance = 2;
    // Bounds memory; requests of further workspaces count without their workspace.
    constexpr std::size_t maxWorkspacesCounted = 256;
    constexpr Duration serviceRetention = 60s;
    constexpr Duration minRetryAfter = 100ms;
    constexpr Duration maxRetryAfter = 5s;

    auto priorityIndex(int priority) -> std::size_t { return static_cast<std::size_t>(std::clamp<int>(priority, 0, roomPriorities - 1)); }

    // Figures that make no sense say nothing about room.
    auto isUsable(const RoomQuery& query) -> bool
    {
        return query.latencyTarget_ > Duration::zero() && query.expectedWait_ >= Duration::zero() && query.expectedRun_ >= Duration::zero();
    }

    // A run time that is not learned takes nothing from the time to wait.
    auto pressureOf(const RoomQuery& query) -> double
    {
        const auto target = inSeconds(query.latencyTarget_);
        const auto run = query.isRunLearned_ ? inSeconds(query.expectedRun_) : 0;
        const auto slack = std::max(target - run, target * minSlackRatio);
        return std::min(inSeconds(query.expectedWait_) / slack, maxPressure);
    }

    auto isLate(const RoomQuery& query) -> bool { return query.isRunLearned_ && query.expectedWait_ + query.expectedRun_ > query.latencyTarget_; }

    template <typename T>
    auto sumOf(const T& values) -> double
    {
        double sum = 0;
        for (const auto value : values)
            sum += value;
        return sum;
    }
}

auto roomRefusalName(RoomRefusal refusal) -> std::string_view
{
    switch (refusal) {
    case RoomRefusal::Time:
        return "time";
    case RoomRefusal::Priority:
        return "priority";
    case RoomRefusal::Workspace:
        return "workspace";
    case RoomRefusal::Late:
        return "late";
    }
    return "unknown";
}

auto RoomGate::DecayedMean::decayTo(MonotonicTime now) -> void
{
    const auto factor = std::exp(-inSeconds(now - at_) / decaySeconds);
    sum_ *= factor;
    weight_ *= factor;
    at_ = now;
}

auto RoomGate::DecayedMean::record(double sample, MonotonicTime now) -> void
{
    decayTo(now);
    sum_ += sample;
    weight_ += 1;
}

RoomGate::RoomGate(const Clock& clock, DecisionLog& log, Metrics& metrics, std::uint64_t seed)
    : clock_(clock)
    , log_(log)
    , metrics_(metrics)
    , random_(seed)
{
}

auto RoomGate::random() -> double { return std::uniform_real_distribution<double>(0, 1)(random_); }

auto RoomGate::setWorkspaces(const std::vector<DeclaredWorkspace>& workspaces) -> void
{
    weights_.clear();
    for (const auto& workspace : workspaces) {
        if (workspace.ratePerSecond_ > 0)
            weights_[stableHash(workspace.name_)] = workspace.ratePerSecond_;
    }
}

auto RoomGate::weightOf(std::uint64_t workspace) const -> double
{
    const auto found = weights_.find(workspace);
    return found == weights_.end() ? 1 : found->second;
}

auto RoomGate::admit(const RoomQuery& query) -> RoomVerdict
{
    if (!isUsable(query))
        return {};
    const auto now = clock_.now();
    auto& service = services_[query.service_];
    service.usedAt_ = now;
    service.pressure_.record(pressureOf(query), now);
    stepIfDue(query.service_, service);
    const auto priority = priorityIndex(query.priority_);
    auto& share = service.shares_.at(priority);
    const auto end = query.expectedWait_ + query.expectedRun_;
    std::optional<RoomRefusal> refusal;
    Duration retryAfter = end - query.timeLeft_;
    if (query.isRunLearned_ && end > query.timeLeft_) {
        refusal = RoomRefusal::Time;
    } else {
        share.late_.record(isLate(query) ? 1 : 0, now);
        const auto workspace = stableHash(query.workspace_);
        refusal = refusalOf(query, share, workspace);
        // A caller whose requests are admitted rarely has to wait for longer.
        retryAfter = fromSeconds(inSeconds(end) / std::max(share.admitted_, 0.01));
        count(service, priority, workspace, !refusal);
    }
    if (!refusal) {
        metrics_.increment({ "gateway_room_admitted_total", fmt::format("priority=\"{}\"", priority) });
        return {};
    }
    metrics_.increment({ "gateway_room_refused_total", fmt::format("priority=\"{}\",cause=\"{}\"", priority, roomRefusalName(*refusal)) });
    return { refusal, std::clamp<Duration>(retryAfter, minRetryAfter, maxRetryAfter) };
}

// Requests that would be late are refused first, but what a workspace gets in total does not depend on how many of its
// priority's requests are late. So a route whose runs mostly take longer than its target is not shut out.
auto RoomGate::refusalOf(const RoomQuery& query, Share& share, std::uint64_t workspace) -> std::optional<RoomRefusal>
{
    if (!share.isRefusing_)
        return std::nullopt;
    const auto found = share.demand_.find(workspace);
    const auto admitted = admittedShare(found == share.demand_.end() ? Requests { 1, 1 } : found->second, share.perWeight_, weightOf(workspace));
    if (admitted >= 1)
        return std::nullopt;
    const auto late = std::clamp(share.late_.value(), 0.0, 0.99);
    const auto onTimeFactor = std::min(1 / std::max(admitted, 0.01), (1 - minLateShare * late) / (1 - late));
    const auto lateFactor = late < 0.01 ? minLateShare : std::clamp((1 - (1 - late) * onTimeFactor) / late, minLateShare, 1.0);
    const auto drawn = random();
    if (drawn < admitted * (isLate(query) ? lateFactor : onTimeFactor))
        return std::nullopt;
    if (drawn < admitted)
        return RoomRefusal::Late;
    return share.isAnyWithinShare_ ? RoomRefusal::Workspace : RoomRefusal::Priority;
}

auto RoomGate::count(Service& service, std::size_t priority, std::uint64_t workspace, bool isAdmitted) -> void
{
    const auto now = clock_.now();
    if (service.own_.empty() || now - service.own_.back().at_ >= sliceTime)
        service.own_.push_back({ now, {} });
    for (auto* counts : { &service.own_.back().counts_, &service.unsent_ }) {
        auto& total = counts->priorities_.at(priority);
        ++total.offered_;
        total.admitted_ += isAdmitted ? 1 : 0;
        const std::pair key { static_cast<std::uint8_t>(priority), workspace };
        if (counts->workspaces_.size() < maxWorkspacesCounted || counts->workspaces_.contains(key))
            ++counts->workspaces_[key];
    }
}

auto RoomGate::takeForHeartbeat() -> std::vector<RoomUse>
{
    std::vector<RoomUse> uses;
    for (auto& [name, service] : services_) {
        const auto counts = std::exchange(service.unsent_, {});
        if (!counts.workspaces_.empty())
            uses.push_back({ name, counts.priorities_, sampleWorkspaces(counts) });
    }
    std::stable_sort(uses.begin(), uses.end(), [](const auto& a, const auto& b) { return offeredTotal(a) > offeredTotal(b); });
    uses.resize(std::min(uses.size(), maxRoomServices));
    return uses;
}

// Priority sampling (Duffield, Lund and Thorup): the largest workspaces come with their counts, and a sample of the others with
// counts that stand for those left out, so that sums over instances are right in the mean. If only the largest were named, the
// requests of the others could not be told apart.
auto RoomGate::sampleWorkspaces(const Counts& counts) -> std::vector<WorkspaceUse>
{
    std::vector<std::pair<double, WorkspaceUse>> ranked;
    double total = 0;
    for (const auto& [key, offered] : counts.workspaces_) {
        total += offered;
        ranked.push_back({ offered / std::max(random(), 1e-6), { key.second, key.first, offered } });
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    const auto leastCount = ranked.size() > maxRoomWorkspaces ? std::min(ranked[maxRoomWorkspaces].first, total) : 0;
    std::vector<WorkspaceUse> named;
    for (std::size_t i = 0; i < std::min(ranked.size(), maxRoomWorkspaces); ++i) {
        auto& use = named.emplace_back(ranked[i].second);
        use.offered_ = std::max(use.offered_, static_cast<std::uint32_t>(std::floor(leastCount + random())));
        use.offered_ = std::min(use.offered_, static_cast<std::uint32_t>(total));
    }
    return named;
}

// Counts of services that this instance sends nothing to would decide nothing.
auto RoomGate::apply(const MemberReport& report) -> void
{
    const auto now = clock_.now();
    if (report.invalidRoomUses_ > 0)
        metrics_.increment({ "gateway_room_reports_invalid_total", {} }, report.invalidRoomUses_);
    for (const auto& use : report.roomUse_) {
        const auto found = services_.find(use.service_);
        if (found == services_.end())
            continue;
        Counts counts { use.priorities_, {} };
        for (const auto& workspace : use.workspaces_)
            counts.workspaces_[{ workspace.priority_, workspace.workspace_ }] += workspace.offered_;
        found->second.peers_[report.name_].push_back({ now, std::move(counts) });
    }
}

auto RoomGate::update() -> void
{
    const auto now = clock_.now();
    std::erase_if(services_, [now](const auto& item) { return now - item.second.usedAt_ > serviceRetention; });
    for (auto& [name, service] : services_)
        stepIfDue(name, service);
}

auto RoomGate::stepIfDue(const std::string& name, Service& service) -> void
{
    const auto now = clock_.now();
    if (now < service.nextStepAt_)
        return;
    const auto elapsed = service.steppedAt_ == MonotonicTime {} ? Duration::zero() : std::min<Duration>(now - service.steppedAt_, 2 * minStepTime);
    service.steppedAt_ = now;
    service.nextStepAt_ = now + minStepTime + fromSeconds(inSeconds(minStepTime) * random());
    const auto expire = [now](Slices& slices, Duration window) {
        while (!slices.empty() && now - slices.front().at_ > window)
            slices.pop_front();
    };
    for (auto& [peer, slices] : service.peers_)
        expire(slices, countWindow);
    std::erase_if(service.peers_, [](const auto& item) { return item.second.empty(); });
    expire(service.own_, service.peers_.empty() ? lonelyCountWindow : countWindow);
    const auto use = fleetUse(service);
    adjustRefusedShare(service, inSeconds(elapsed));
    divideOverPriorities(name, service, use);
}

auto RoomGate::fleetUse(const Service& service) const -> FleetUse
{
    const auto offeredIn = [](const Slices& slices) {
        double sum = 0;
        for (const auto& slice : slices) {
            for (const auto& count : slice.counts_.priorities_)
                sum += count.offered_;
        }
        return sum;
    };
    std::vector<double> totals;
    for (const auto& [peer, slices] : service.peers_)
        totals.push_back(offeredIn(slices));
    auto most = std::numeric_limits<double>::infinity();
    if (totals.size() >= minPeersToCompare) {
        const auto middle = totals.begin() + static_cast<std::ptrdiff_t>(totals.size() / 2);
        std::nth_element(totals.begin(), middle, totals.end());
        most = std::max(*middle, 1.0) * maxPeerFactor;
    }
    FleetUse use;
    const auto add = [&use](const Slices& slices, double weight) {
        for (const auto& slice : slices) {
            for (std::size_t priority = 0; priority < roomPriorities; ++priority)
                use.offered_.at(priority) += weight * slice.counts_.priorities_.at(priority).offered_;
            for (const auto& [key, offered] : slice.counts_.workspaces_) {
                auto& requests = use.demand_.at(key.first)[key.second];
                requests.count_ += weight * offered;
                requests.variance_ += weight * offered * weight * offered;
            }
        }
    };
    add(service.own_, 1);
    for (const auto& [peer, slices] : service.peers_)
        add(slices, std::min(1.0, most / std::max(offeredIn(slices), 1.0)));
    return use;
}

// Each peer is compared on its own mix of priorities. The median leaves out peers with figures that are far off.
auto RoomGate::excessAtPeers(const Service& service) const -> double
{
    std::vector<double> excesses;
    for (const auto& [peer, slices] : service.peers_) {
        double offered = 0;
        double excess = 0;
        for (const auto& slice : slices) {
            for (std::size_t priority = 0; priority < roomPriorities; ++priority) {
                const auto& count = slice.counts_.priorities_.at(priority);
                const auto& share = service.shares_.at(priority);
                offered += count.offered_;
                excess += (share.isRefusing_ ? share.admitted_ : 1) * count.offered_ - count.admitted_;
            }
        }
        if (offered > 0)
            excesses.push_back(excess / offered);
    }
    if (excesses.empty())
        return 0;
    const auto middle = excesses.begin() + static_cast<std::ptrdiff_t>(excesses.size() / 2);
    std::nth_element(excesses.begin(), middle, excesses.end());
    return *middle;
}

auto RoomGate::learnUsualPressure(Service& service, double pressure, double elapsedSeconds, bool doPeersRefuse) const -> void
{
    const auto now = clock_.now();
    if (service.firstSteppedAt_ == MonotonicTime {})
        service.firstSteppedAt_ = now;
    auto& usual = service.usualPressure_;
    const bool isShort = service.refusedShare_ > 0;
    if (doPeersRefuse && now - service.firstSteppedAt_ <= startTime)
        usual.reset();
    else if (!usual && !isShort && !doPeersRefuse)
        usual = std::min(pressure, lowPressure);
    else if (usual && isShort)
        *usual += (lowPressure - *usual) * elapsedSeconds / usualDriftTime;
    else if (usual)
        *usual += (pressure - *usual) * elapsedSeconds / (pressure > *usual ? usualRiseTime : usualFallTime);
}

// A proportional and integral controller of the pressure, without effect between the two bounds except to follow the pressure
// and the peers. Without requests, the pressure and with it the refused share fall. The bounds lie above the usual pressure,
// so that a shortage ends also where expected waits never fall to zero.
auto RoomGate::adjustRefusedShare(Service& service, double elapsedSeconds) -> void
{
    const auto now = clock_.now();
    service.pressure_.decayTo(now);
    const auto pressure = service.pressure_.value();
    const auto change = pressure - std::exchange(service.lastPressure_, pressure);
    const bool isShort = service.refusedShare_ > 0;
    const auto excess = excessAtPeers(service);
    const bool doPeersRefuse = service.peers_.size() >= minPeersToCompare && excess > minRefusedShare;
    learnUsualPressure(service, pressure, elapsedSeconds, doPeersRefuse);
    const auto& usual = service.usualPressure_;
    const auto riseAbove = isShort && usual ? std::min(*usual * usualFactor + riseMargin, highPressure) : highPressure;
    // Without a usual pressure, the peers alone tell when to refuse less.
    const auto otherFallBelow = !usual && doPeersRefuse ? 0 : lowPressure;
    const auto fallBelow = isShort && usual ? std::min(*usual * usualFactor + fallMargin, highPressure) : otherFallBelow;
    double step = 0;
    if (pressure > riseAbove)
        step = (integralGain * std::max(pressure - highPressure, 0.0) + holdingGain * (std::min(pressure, highPressure) - riseAbove)) * elapsedSeconds;
    else if (pressure < fallBelow)
        step = -std::min(recoveryGrowth * inSeconds(now - service.pressedAt_), maxRecovery) * elapsedSeconds;
    if (pressure >= fallBelow)
        service.pressedAt_ = now;
    if (isShort || pressure > highPressure)
        step += proportionalGain * change;
    // An instance that has just started follows the median of several peers at once, and a single one only if it sees waits as well:
    // while the others refuse, waits are short.
    if (isShort || doPeersRefuse || (pressure > lowPressure && excess > minRefusedShare))
        step += peerPullPerSecond * elapsedSeconds * excess;
    service.refusedShare_ = std::clamp(service.refusedShare_ + std::clamp(step, -maxStep, maxStep), 0.0, maxRefusedShare);
}

auto RoomGate::divideOverPriorities(const std::string& name, Service& service, const FleetUse& use) -> void
{
    const auto now = clock_.now();
    const auto offered = sumOf(use.offered_);
    const auto refused = service.refusedShare_ < minRefusedShare ? 0 : service.refusedShare_;
    // What priority 0 needs, and what is left for each of the others on average.
    const auto others = offered - use.offered_[0];
    const auto spare = others > 0 ? std::max((1 - refused) * offered - use.offered_[0], 0.0) / others : 0;
    const auto least = std::clamp(spare, minPriorityShare * (1 - refused), usualPriorityShare * (1 - refused));
    auto left = (1 - refused - least) * offered;
    for (std::size_t priority = 0; priority < roomPriorities; ++priority) {
        auto& share = service.shares_.at(priority);
        const auto wanted = (1 - least) * use.offered_.at(priority);
        const auto given = std::min(wanted, left);
        left -= given;
        share.admitted_ = refused == 0 || use.offered_.at(priority) <= 0 ? 1 : std::min(1.0, least + given / use.offered_.at(priority));
        const bool isRefusing = share.admitted_ < (share.isRefusing_ ? admittingFrom : refusingBelow);
        const bool mayChange = now - share.changedAt_ >= minThresholdTime;
        if (isRefusing != share.isRefusing_ && mayChange) {
            share.isRefusing_ = isRefusing;
            share.changedAt_ = now;
            log_.write(EventId::RoomThresholdChanged, { { "service", name }, { "priority", priority }, { "refusing", isRefusing }, { "admitted_share", share.admitted_ }, { "pressure", service.lastPressure_ }, { "refused_share", service.refusedShare_ }, { "peers", service.peers_.size() } });
        }
        if (share.isRefusing_)
            divideOverWorkspaces(share, use.offered_.at(priority), use.demand_.at(priority));
    }
}

// The count may be too high: in a short window, the counts of small workspaces vary by as much as they are, and a workspace
// inside its share must not be refused for that.
auto RoomGate::admittedShare(const Requests& requests, double perWeight, double weight) -> double
{
    const auto likely = std::max(requests.count_ - countTolerance * std::sqrt(requests.variance_), requests.count_ / 4);
    return likely <= 0 ? 1 : std::min(1.0, perWeight * weight / likely);
}

// Max-min fairness: the largest amount per weight at which the priority's requests in total get their share.
auto RoomGate::divideOverWorkspaces(Share& share, double offered, Demand demand) const -> void
{
    constexpr int halvings = 30;
    double named = 0;
    for (const auto& [workspace, requests] : demand)
        named += requests.count_;
    // Peers name a sample of their workspaces.
    const auto scale = named > 0 ? offered / named : 1;
    double high = 0;
    for (auto& [workspace, requests] : demand) {
        requests.count_ *= scale;
        requests.variance_ *= scale * scale;
        high = std::max(high, requests.count_ / weightOf(workspace));
    }
    const auto total = share.admitted_ * offered;
    double low = 0;
    for (int i = 0; i < halvings; ++i) {
        const auto middle = (low + high) / 2;
        double admitted = 0;
        for (const auto& [workspace, requests] : demand)
            admitted += requests.count_ * admittedShare(requests, middle, weightOf(workspace));
        (admitted < total ? low : high) = middle;
    }
    share.perWeight_ = high;
    share.isAnyWithinShare_ = std::any_of(demand.begin(), demand.end(), [&](const auto& item) { return admittedShare(item.second, high, weightOf(item.first)) >= 1; });
    share.demand_ = std::move(demand);
}

auto RoomGate::state(const std::string& service) const -> RoomState
{
    RoomState result;
    result.admittedShares_.fill(1);
    const auto found = services_.find(service);
    if (found == services_.end())
        return result;
    result.pressure_ = found->second.lastPressure_;
    result.refusedShare_ = found->second.refusedShare_;
    for (std::size_t priority = 0; priority < roomPriorities; ++priority) {
        const auto& share = found->second.shares_.at(priority);
        result.admittedShares_.at(priority) = share.isRefusing_ ? share.admitted_ : 1;
        result.isRefusing_.at(priority) = share.isRefusing_;
    }
    return result;
}

} // namespace sapphirepass
