#include "admission/escrow_account.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    using Wide = __int128;
    constexpr std::int64_t nanosPerSecond = 1'000'000'000;
    constexpr std::int64_t million = 1'000'000;

    // Rounds down, so that the parts never add up to more than the whole.
    auto scale(std::int64_t value, std::int64_t numerator, std::int64_t denominator) -> std::int64_t
    {
        return static_cast<std::int64_t>(static_cast<Wide>(value) * numerator / denominator);
    }
}

auto fractionOf(std::int64_t amountMicros, std::int64_t total) -> Fraction
{
    if (total <= 0)
        return fullFraction;
    const auto exact = (static_cast<Wide>(amountMicros) * fullFraction + static_cast<Wide>(total) * microsPerUnit - 1) / (static_cast<Wide>(total) * microsPerUnit);
    return static_cast<Fraction>(std::min<Wide>(exact, fullFraction));
}

EscrowAccount::EscrowAccount(const BudgetTotal& total, MonotonicTime now)
    : total_(total)
    , refilled_(now)
{
}

auto EscrowAccount::capacity() const -> MicroUnits
{
    return scale(total_.burst_ * microsPerUnit, fraction_, fullFraction);
}

auto EscrowAccount::refillRate() const -> MicroUnits
{
    // Reduced by the clock drift, so that a fast clock does not refill faster than the declared rate.
    return scale(scale(total_.rate_ * microsPerUnit, fraction_, fullFraction), million - clockDriftPerMillion, million);
}

auto EscrowAccount::refill(MonotonicTime now) -> void
{
    if (now <= refilled_)
        return;
    const auto earned = static_cast<Wide>(refillRate()) * (now - refilled_).count() + remainder_;
    const auto whole = earned / nanosPerSecond;
    refilled_ = now;
    if (tokens_ + whole >= capacity()) {
        tokens_ = capacity();
        remainder_ = 0;
        return;
    }
    tokens_ += static_cast<MicroUnits>(whole);
    remainder_ = static_cast<std::int64_t>(earned % nanosPerSecond);
}

auto EscrowAccount::setTotal(const BudgetTotal& total, MonotonicTime now) -> void
{
    if (total == total_)
        return;
    refill(now);
    total_ = total;
    tokens_ = std::min(tokens_, capacity());
    remainder_ = 0;
}

auto EscrowAccount::trySpend(std::int64_t amount, MonotonicTime now) -> bool
{
    if (isConcurrencyLimit()) {
        if ((slotsInUse_ + amount) * microsPerUnit > capacity())
            return false;
        slotsInUse_ += amount;
        return true;
    }
    refill(now);
    if (tokens_ < amount * microsPerUnit)
        return false;
    tokens_ -= amount * microsPerUnit;
    return true;
}

auto EscrowAccount::releaseSlots(std::int64_t amount) -> void
{
    if (isConcurrencyLimit())
        slotsInUse_ = std::max<std::int64_t>(0, slotsInUse_ - amount);
}

auto EscrowAccount::credit(const Share& share, MonotonicTime now) -> void
{
    refill(now);
    fraction_ += share.fraction_;
    tokens_ = std::min(tokens_ + share.tokens_, capacity());
}

auto EscrowAccount::debit(Fraction wanted, MonotonicTime now) -> Share
{
    refill(now);
    auto part = std::min(wanted, fraction_);
    if (isConcurrencyLimit())
        part = std::min(part, fraction_ - std::min(fraction_, fractionOf(slotsInUse_ * microsPerUnit, total_.burst_)));
    if (part <= 0)
        return {};
    const Share taken { part, isConcurrencyLimit() ? 0 : scale(tokens_, part, fraction_) };
    fraction_ -= part;
    tokens_ = std::min(tokens_ - taken.tokens_, capacity());
    remainder_ = 0;
    return taken;
}

auto EscrowAccount::clear(MonotonicTime now) -> void
{
    fraction_ = 0;
    tokens_ = 0;
    remainder_ = 0;
    refilled_ = now;
}

auto EscrowAccount::timeUntil(std::int64_t amount) const -> Duration
{
    const auto missing = amount * microsPerUnit - tokens_;
    if (missing <= 0)
        return Duration::zero();
    if (refillRate() == 0 || capacity() < amount * microsPerUnit)
        return Duration::max();
    return Duration(static_cast<Duration::rep>(static_cast<Wide>(missing) * nanosPerSecond / refillRate()));
}

} // namespace sapphirepass
