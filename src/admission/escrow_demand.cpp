#include "admission/escrow_demand.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

namespace {
    // Time constant of the smoothing, in seconds.
    constexpr double smoothing = 0.4;
    // The same for the largest amount.
    constexpr double largestSmoothing = 60;
    // Units a second below which a limit counts as unused.
    constexpr double idleRate = 0.01;
    // Units a second above which a holder keeps room for one amount even while another is short.
    constexpr double steadyRate = 0.5;
    // An active holder keeps room for this many units, and for as many of the largest amounts.
    constexpr double activeAmounts = 2;
    constexpr Duration askInterval = std::chrono::milliseconds(200);
    constexpr Duration reserveInterval = std::chrono::seconds(5);

    auto scaledMicros(double units, std::int64_t marginPercent) -> MicroUnits
    {
        return static_cast<MicroUnits>(std::ceil(units * static_cast<double>(microsPerUnit * marginPercent) / 100));
    }
}

auto EscrowDemand::offered(std::int64_t amount, bool spent) -> void
{
    pending_ += static_cast<double>(amount);
    largest_ = std::max(largest_, static_cast<double>(amount));
    refused_ = refused_ || !spent;
}

auto EscrowDemand::tick(Duration elapsed) -> void
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    if (seconds <= 0)
        return;
    const double weight = 1 - std::exp(-seconds / smoothing);
    rate_ += (pending_ / seconds - rate_) * weight;
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
        return std::min(wholeBudget, room + fractionOf(scaledMicros(static_cast<double>(account.running()), marginPercent), total.burst_));
    return std::max(room, fractionOf(scaledMicros(rate_, marginPercent), total.rate_));
}

auto EscrowDemand::inUse(const EscrowAccount& account, std::int64_t marginPercent) const -> Fraction
{
    const auto& total = account.total();
    if (total.rate_ == 0)
        return fractionOf(account.running() * microsPerUnit, total.burst_);
    const auto used = fractionOf(scaledMicros(rate_, marginPercent), total.rate_);
    return rate_ < steadyRate ? used : std::max(used, fractionOf(scaledMicros(std::max(1.0, largest_), 100), total.burst_));
}

auto EscrowDemand::asked(MonotonicTime now) -> void
{
    askedAt_ = now;
    refused_ = false;
}

auto EscrowDemand::mayAsk(MonotonicTime now) const -> bool
{
    return now >= askedAt_ + askInterval;
}

auto EscrowDemand::mayAskReserve(MonotonicTime now) const -> bool
{
    return now >= askedReserveAt_ + reserveInterval;
}

} // namespace sapphirepass
