#include "admission/escrow_demand.h"

#include <algorithm>
#include <cmath>

namespace sapphirepass {

namespace {
    // Time constant of the smoothing, in seconds.
    constexpr double smoothing = 0.4;
    // Units a second below which a limit counts as unused.
    constexpr double idleRate = 0.01;
    // Units that an active holder keeps room for.
    constexpr MicroUnits activeUnits = 2 * microsPerUnit;
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
}

auto EscrowDemand::need(const EscrowAccount& account, std::int64_t marginPercent, Fraction reserve) const -> Fraction
{
    const auto& total = account.total();
    const bool idle = rate_ < idleRate && account.running() == 0 && !refused_;
    if (idle)
        return reserve;
    const auto room = std::max(reserve, fractionOf(activeUnits, total.burst_));
    if (total.rate_ == 0)
        return std::min(wholeBudget, room + fractionOf(scaledMicros(static_cast<double>(account.running()), marginPercent), total.burst_));
    return std::max(room, fractionOf(scaledMicros(rate_, marginPercent), total.rate_));
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
