#include "admission/escrow_demand.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

namespace {
    // Time constants of the smoothing, in seconds.
    constexpr double smoothing = 1.0;
    constexpr double recentSmoothing = 0.4;
    // After a silence of this many mean intervals the demand counts as gone.
    constexpr double silentIntervals = 4;
    // Seconds of demand below which tokens count as short.
    constexpr double shortTokens = 0.3;
    // The same for the largest amount.
    constexpr double largestSmoothing = 60;
    // Units a second below which a limit counts as unused.
    constexpr double idleRate = 0.01;
    // Units a second above which a holder keeps room for one amount even while another is short.
    constexpr double steadyRate = 0.5;
    // An active holder keeps room for this many units, and for as many of the largest amounts.
    constexpr double activeAmounts = 2;
    constexpr Duration shortestAskPause = std::chrono::milliseconds(50);
    constexpr Duration longestAskPause = std::chrono::milliseconds(1'600);
    // A refused holder does not know its demand yet, so it asks for this much more.
    constexpr Fraction refusedStep = fullFraction / 4;
    constexpr Duration reserveInterval = std::chrono::seconds(5);

    auto scaledMicros(double units, std::int64_t marginPercent) -> MicroUnits
    {
        return static_cast<MicroUnits>(std::ceil(units * static_cast<double>(microsPerUnit * marginPercent) / 100));
    }
}

auto EscrowDemand::offered(std::int64_t amount, bool spent, MonotonicTime now) -> void
{
    lastOffered_ = now;
    pending_ += static_cast<double>(amount);
    largest_ = std::max(largest_, static_cast<double>(amount));
    refused_ = refused_ || !spent;
}

auto EscrowDemand::tick(Duration elapsed) -> void
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    if (seconds <= 0)
        return;
    const double measured = pending_ / seconds;
    rate_ += (measured - rate_) * (1 - std::exp(-seconds / smoothing));
    recentRate_ += (measured - recentRate_) * (1 - std::exp(-seconds / recentSmoothing));
    pending_ = 0;
    largest_ *= std::exp(-seconds / largestSmoothing);
}

auto EscrowDemand::need(const EscrowAccount& account, std::int64_t marginPercent, Fraction reserve) const -> Fraction
{
    const auto& total = account.total();
    const bool idle = rate_ < idleRate && account.running() == 0 && !refused_;
    if (idle)
        return reserve;
    const auto room = std::max(reserve, fractionOf(scaledMicros(activeAmounts * std::max(1.0, largest_), 100), total.burst_));
    if (total.rate_ == 0)
        return std::min(fullFraction, room + fractionOf(scaledMicros(static_cast<double>(account.running()), marginPercent), total.burst_));
    const auto known = std::max(room, fractionOf(scaledMicros(rate_, marginPercent), total.rate_));
    return refused_ ? std::min(fullFraction, std::max(known, account.fraction() + refusedStep)) : known;
}

auto EscrowDemand::isRunningShort(const EscrowAccount& account) const -> bool
{
    // Free slots are asked for only when one is missing, or two holders would take them from each other in turn.
    if (account.total().rate_ == 0 || refused_)
        return refused_;
    return static_cast<double>(account.tokens()) < shortTokens * rate_ * static_cast<double>(microsPerUnit);
}

auto EscrowDemand::inUse(const EscrowAccount& account, std::int64_t marginPercent, MonotonicTime now) const -> Fraction
{
    const auto& total = account.total();
    if (total.rate_ == 0)
        return fractionOf(account.running() * microsPerUnit, total.burst_);
    // A silence bounds the rate long before the smoothed rate has fallen.
    const double silence = std::chrono::duration<double>(now - lastOffered_).count();
    const double rate = std::min(recentRate_, silentIntervals * std::max(1.0, largest_) / std::max(silence, 1e-9));
    const auto used = fractionOf(scaledMicros(rate, marginPercent), total.rate_);
    return rate < steadyRate ? used : std::max(used, fractionOf(scaledMicros(std::max(1.0, largest_), 100), total.burst_));
}

auto EscrowDemand::asked(MonotonicTime now) -> void
{
    askedAt_ = now;
    refused_ = false;
    askPause_ = std::clamp(2 * askPause_, shortestAskPause, longestAskPause);
}

auto EscrowDemand::credited() -> void
{
    askPause_ = Duration::zero();
}

auto EscrowDemand::mayAsk(MonotonicTime now) const -> bool
{
    return now >= askedAt_ + std::max(askPause_, shortestAskPause);
}

auto EscrowDemand::mayAskReserve(MonotonicTime now) const -> bool
{
    return now >= askedReserveAt_ + reserveInterval;
}

} // namespace sapphirepass
