#include "gateway/rate_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Part of a rate that is split evenly. Enough that an instance out of touch still serves, and little enough that
    // the rest follows callers that gather at a few instances.
    constexpr double evenPart = 0.4;
    // Part of what is allowed beyond the rate that is used; the rest covers granted tokens that are spent later.
    constexpr double capacityPart = 0.75;
    // Part of a capacity that a start brings along. Without it the first callers after a restart of all instances are
    // refused inside their rate; with more, restarts in a row would lend more than the tolerance.
    constexpr double initialPart = 0.25;
    // Granted tokens that are not spent lapse.
    constexpr Duration grantLife = 500ms;
    // Tokens are asked for what arrives in this time.
    constexpr double askSeconds = 0.25;
    constexpr int mostWanted = 16;
    // Datagrams get lost: an ask is sent again after longer than a round trip between regions, and given up then.
    constexpr Duration askLimit = 120ms;
    constexpr int mostAsks = 2;
    // Grants are remembered for longer than an ask is sent again.
    constexpr Duration grantMemory = 1s;
    // After a keeper had no token, it is not asked for a moment.
    constexpr Duration denialTime = 60ms;
    // Time constant of the measured arrivals.
    constexpr double arrivalMemory = 1.0;
    constexpr Duration leastRetryAfter = 100ms;
    // A workspace without a denial for this time is no longer over its rate.
    constexpr Duration overPause = 1s;
    constexpr Duration longestRetryAfter = 2s;
}

auto TokenBucket::refill(MonotonicTime now, double perSecond, double capacity, double initial) -> void
{
    if (filledAt_ == MonotonicTime {})
        tokens_ = initial;
    else
        tokens_ += inSeconds(now - filledAt_) * perSecond;
    tokens_ = std::min(capacity, tokens_);
    filledAt_ = now;
}

auto TokenBucket::take(double count) -> bool
{
    if (tokens_ < count)
        return false;
    tokens_ -= count;
    return true;
}

RateGate::RateGate(const Clock& clock, AlarmClock& alarms, const FleetView& fleet, RatePeers& peers, RateTolerance tolerance, std::uint64_t firstAsk)
    : clock_(clock)
    , alarms_(alarms)
    , fleet_(fleet)
    , peers_(peers)
    , tolerance_(tolerance)
    , lastAsk_(firstAsk)
{
}

auto RateGate::setLimits(const std::vector<DeclaredWorkspace>& workspaces) -> void
{
    for (const auto& workspace : workspaces)
        states_[workspace.name_].limit_ = { workspace.ratePerSecond_, workspace.burst_ };
}

// In a window, buckets give their capacity and what refills: together no more than the window allows.
auto RateGate::fleetCapacity(const Limit& limit) const -> double
{
    const double tolerated = (limit.ratePerSecond_ * inSeconds(tolerance_.window_) + limit.burst_) * tolerance_.over_ + tolerance_.slack_;
    return (limit.burst_ + tolerated) * capacityPart;
}

// A share that holds less than two tokens would refuse requests that come in pairs: then all tokens are common.
auto RateGate::localPart(const Limit& limit) const -> double
{
    const double share = fleetCapacity(limit) * evenPart / static_cast<double>(fleet_.memberCount());
    return share >= 2 ? evenPart : 0;
}

auto RateGate::takeLocal(State& state) -> bool
{
    const auto count = static_cast<double>(fleet_.memberCount());
    double part = localPart(state.limit_);
    double least = 0;
    // Out of touch there is no keeper to ask: few instances are, so a token each does not break the bound.
    if (part == 0 && !fleet_.hasQuorum()) {
        part = evenPart;
        least = 1;
    }
    const double capacity = std::max(least, fleetCapacity(state.limit_) * part / count);
    state.local_.refill(clock_.now(), state.limit_.ratePerSecond_ * part / count, capacity, capacity * initialPart);
    return state.local_.take(1);
}

auto RateGate::takeGranted(State& state) -> bool
{
    if (clock_.now() >= state.grantedUntil_)
        state.granted_ = 0;
    if (state.granted_ < 1)
        return false;
    state.granted_ -= 1;
    return true;
}

auto RateGate::noteArrival(State& state) -> void
{
    const auto now = clock_.now();
    const double elapsed = state.arrivedAt_ == MonotonicTime {} ? arrivalMemory : inSeconds(now - state.arrivedAt_);
    state.arrivalsPerSecond_ = state.arrivalsPerSecond_ * std::exp(-elapsed / arrivalMemory) + 1 / arrivalMemory;
    state.arrivedAt_ = now;
}

auto RateGate::admit(const DeclaredWorkspace& workspace, Done done) -> void
{
    if (workspace.ratePerSecond_ <= 0)
        return done({});
    auto& state = states_[workspace.name_];
    state.limit_ = { workspace.ratePerSecond_, workspace.burst_ };
    noteArrival(state);
    if (takeGranted(state))
        return done({ true, "granted", {} });
    if (takeLocal(state))
        return done({ true, "local", {} });
    if (clock_.now() < state.deniedUntil_)
        return done({ false, "denied", returnTime(state, state.deniedUntil_ - clock_.now()) });
    state.waiting_.push_back(std::move(done));
    if (state.ask_ == 0)
        ask(workspace.name_, state);
}

auto RateGate::wanted(const State& state) const -> int
{
    const auto ahead = static_cast<int>(std::lround(state.arrivalsPerSecond_ * askSeconds));
    return std::clamp(ahead, static_cast<int>(std::min<std::size_t>(state.waiting_.size(), mostWanted)), mostWanted);
}

auto RateGate::ask(const std::string& workspace, State& state) -> void
{
    const auto keeper = fleet_.coordinatorOf(workspace);
    if (!keeper || !fleet_.hasQuorum())
        return settle(state, false, leastRetryAfter);
    state.ask_ = ++lastAsk_;
    state.wanted_ = wanted(state);
    const RateAsk message { state.ask_, workspace, static_cast<std::uint16_t>(state.wanted_) };
    if (keeper->name_ == fleet_.self())
        return onGrant(onAsk(message));
    state.asked_ = 1;
    peers_.sendAsk(*keeper, message);
    state.askLimit_ = alarms_.after(askLimit, [this, workspace] { askAgain(workspace); });
}

auto RateGate::askAgain(const std::string& workspace) -> void
{
    auto& state = states_[workspace];
    const auto keeper = fleet_.coordinatorOf(workspace);
    if (!keeper || keeper->name_ == fleet_.self() || state.asked_ >= mostAsks) {
        state.ask_ = 0;
        return settle(state, false, leastRetryAfter);
    }
    ++state.asked_;
    // Under the same number: the keeper grants it once, and the second answer is dropped.
    peers_.sendAsk(*keeper, { state.ask_, workspace, static_cast<std::uint16_t>(state.wanted_) });
    state.askLimit_ = alarms_.after(askLimit, [this, workspace] { askAgain(workspace); });
}

// An answer to an earlier ask is dropped: its tokens are lost, never spent twice.
auto RateGate::onGrant(const RateGrant& grant) -> void
{
    const auto found = states_.find(grant.workspace_);
    if (found == states_.end() || grant.number_ == 0 || found->second.ask_ != grant.number_)
        return;
    auto& state = found->second;
    state.ask_ = 0;
    state.askLimit_.reset();
    state.granted_ = grant.granted_;
    state.grantedUntil_ = clock_.now() + grantLife;
    // Less than was asked for is all that there is: who waits beyond that would wait for nothing.
    const bool isAll = grant.granted_ >= state.wanted_;
    settle(state, isAll, std::max<Duration>(leastRetryAfter, grant.retryAfter_));
    if (!isAll)
        state.deniedUntil_ = clock_.now() + denialTime;
    else if (!state.waiting_.empty())
        ask(grant.workspace_, state);
}

auto RateGate::settle(State& state, bool isMoreToCome, Duration retryAfter) -> void
{
    auto waiting = std::exchange(state.waiting_, {});
    while (!waiting.empty() && takeGranted(state)) {
        const auto done = std::move(waiting.front());
        waiting.pop_front();
        done({ true, "granted", {} });
    }
    if (isMoreToCome) {
        state.waiting_.insert(state.waiting_.begin(), std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
        return;
    }
    for (const auto& done : waiting)
        done({ false, "denied", returnTime(state, retryAfter) });
}

// What has lasted for a while is likely to last as long again: callers who come back sooner are refused twice.
auto RateGate::returnTime(State& state, Duration soonest) -> Duration
{
    const auto now = clock_.now();
    if (state.overAt_ == MonotonicTime {} || now - state.overAt_ > overPause)
        state.overSince_ = now;
    state.overAt_ = now;
    return std::clamp(std::max(soonest, now - state.overSince_), leastRetryAfter, longestRetryAfter);
}

auto RateGate::takeCommon(State& state, int wanted) -> int
{
    const double part = 1 - localPart(state.limit_);
    const double capacity = fleetCapacity(state.limit_) * part;
    state.common_.refill(clock_.now(), state.limit_.ratePerSecond_ * part, capacity, capacity * initialPart);
    const int granted = std::min(wanted, static_cast<int>(state.common_.tokens()));
    return granted > 0 && state.common_.take(granted) ? granted : 0;
}

auto RateGate::pastGrant(const RateAsk& ask) -> std::optional<RateGrant>
{
    const auto now = clock_.now();
    while (!pastGrants_.empty() && now - pastGrants_.front().at_ > grantMemory)
        pastGrants_.pop_front();
    for (const auto& past : pastGrants_) {
        if (past.grant_.number_ == ask.number_)
            return past.grant_;
    }
    return std::nullopt;
}

// Out of touch, another instance may be the keeper of the others by now.
auto RateGate::onAsk(const RateAsk& ask) -> RateGrant
{
    RateGrant grant { ask.number_, ask.workspace_, 0, std::chrono::duration_cast<std::chrono::milliseconds>(leastRetryAfter) };
    const auto found = states_.find(ask.workspace_);
    const auto keeper = fleet_.coordinatorOf(ask.workspace_);
    if (found == states_.end() || !fleet_.hasQuorum() || !keeper || keeper->name_ != fleet_.self())
        return grant;
    if (const auto past = pastGrant(ask))
        return *past;
    auto& state = found->second;
    grant.granted_ = static_cast<std::uint16_t>(takeCommon(state, std::min<int>(ask.wanted_, mostWanted)));
    const double missing = std::max(0.0, 1 - state.common_.tokens());
    if (grant.granted_ == 0 && state.limit_.ratePerSecond_ > 0)
        grant.retryAfter_ = std::chrono::duration_cast<std::chrono::milliseconds>(std::min<Duration>(2s, fromSeconds(missing / state.limit_.ratePerSecond_)));
    pastGrants_.push_back({ clock_.now(), grant });
    return grant;
}

} // namespace sapphirepass
