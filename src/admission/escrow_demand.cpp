#include "admission/escrow_demand.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

namespace {
    // Time constants of the exponential smoothing of the rates.
    constexpr double rateSmoothingSeconds = 1.0;
    constexpr double recentRateSmoothingSeconds = 0.4;
    // After no attempt for this many mean intervals, the time since the last attempt bounds the rate in use.
    constexpr double idleAfterIntervals = 4;
    // Tokens count as short if they cover less than this much of the demand.
    constexpr double shortTokensSeconds = 0.3;
    // Time constant of the decay of the largest amount.
    constexpr double largestAmountDecaySeconds = 60;
    // A limit with a lower rate counts as unused.
    constexpr double idleRatePerSecond = 0.01;
    // At this rate or above a holder keeps enough for one attempt even while another holder is short.
    constexpr double steadyRatePerSecond = 0.5;
    // An active holder keeps enough for this many units, or this many attempts of the largest amount if that is more.
    constexpr double activeAmounts = 2;
    constexpr Duration minRequestBackoff = std::chrono::milliseconds(50);
    constexpr Duration maxRequestBackoff = std::chrono::milliseconds(1'600);
    // A holder that was refused does not know its full demand yet, so it requests this much more than it has.
    constexpr Fraction refusedIncrement = fullFraction / 4;
    constexpr Duration reserveRequestInterval = std::chrono::seconds(5);

    auto scaledMicros(double units, std::int64_t marginPercent) -> MicroUnits
    {
        return static_cast<MicroUnits>(std::ceil(units * static_cast<double>(microsPerUnit * marginPercent) / 100));
    }
}

auto EscrowDemand::recordAttempt(std::int64_t amount, bool spent, MonotonicTime now) -> void
{
    lastAttempt_ = now;
    pending_ += static_cast<double>(amount);
    largestAmount_ = std::max(largestAmount_, static_cast<double>(amount));
    refused_ = refused_ || !spent;
}

auto EscrowDemand::tick(Duration elapsed) -> void
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    if (seconds <= 0)
        return;
    const double measured = pending_ / seconds;
    rate_ += (measured - rate_) * (1 - std::exp(-seconds / rateSmoothingSeconds));
    recentRate_ += (measured - recentRate_) * (1 - std::exp(-seconds / recentRateSmoothingSeconds));
    pending_ = 0;
    largestAmount_ *= std::exp(-seconds / largestAmountDecaySeconds);
}

auto EscrowDemand::neededFraction(const EscrowAccount& account, std::int64_t marginPercent, Fraction reserve) const -> Fraction
{
    const auto& total = account.total();
    const bool idle = rate_ < idleRatePerSecond && account.slotsInUse() == 0 && !refused_;
    if (idle)
        return reserve;
    const auto room = std::max(reserve, fractionOf(scaledMicros(activeAmounts * std::max(1.0, largestAmount_), 100), total.burst_));
    if (total.rate_ == 0)
        return std::min(fullFraction, room + fractionOf(scaledMicros(static_cast<double>(account.slotsInUse()), marginPercent), total.burst_));
    const auto known = std::max(room, fractionOf(scaledMicros(rate_, marginPercent), total.rate_));
    return refused_ ? std::min(fullFraction, std::max(known, account.fraction() + refusedIncrement)) : known;
}

auto EscrowDemand::isRunningShort(const EscrowAccount& account) const -> bool
{
    // Free slots are requested only after a refusal; otherwise two holders would keep taking them from each other.
    if (account.total().rate_ == 0 || refused_)
        return refused_;
    return static_cast<double>(account.tokens()) < shortTokensSeconds * rate_ * static_cast<double>(microsPerUnit);
}

auto EscrowDemand::fractionInUse(const EscrowAccount& account, std::int64_t marginPercent, MonotonicTime now) const -> Fraction
{
    const auto& total = account.total();
    if (total.rate_ == 0)
        return fractionOf(account.slotsInUse() * microsPerUnit, total.burst_);
    // The time since the last attempt bounds the rate well before the smoothed rate has decayed.
    const double silence = std::chrono::duration<double>(now - lastAttempt_).count();
    const double rate = std::min(recentRate_, idleAfterIntervals * std::max(1.0, largestAmount_) / std::max(silence, 1e-9));
    const auto used = fractionOf(scaledMicros(rate, marginPercent), total.rate_);
    return rate < steadyRatePerSecond ? used : std::max(used, fractionOf(scaledMicros(std::max(1.0, largestAmount_), 100), total.burst_));
}

auto EscrowDemand::requestSent(MonotonicTime now) -> void
{
    requestSentAt_ = now;
    refused_ = false;
    requestBackoff_ = std::clamp(2 * requestBackoff_, minRequestBackoff, maxRequestBackoff);
}

auto EscrowDemand::sharesReceived() -> void
{
    requestBackoff_ = Duration::zero();
}

auto EscrowDemand::mayRequest(MonotonicTime now) const -> bool
{
    return now >= requestSentAt_ + std::max(requestBackoff_, minRequestBackoff);
}

auto EscrowDemand::mayRequestReserve(MonotonicTime now) const -> bool
{
    return now >= reserveRequestSentAt_ + reserveRequestInterval;
}

} // namespace sapphirepass
