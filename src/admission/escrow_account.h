// Share of one limit that one instance holds: a token bucket for a rate limit, or a count of slots in use for a
// concurrency limit.
#pragma once

#include "admission/escrow_type.h"

namespace sapphirepass {

class EscrowAccount {
public:
    EscrowAccount(const BudgetTotal& total, MonotonicTime now);

    // Applies a changed total; tokens above the new burst are dropped.
    auto setTotal(const BudgetTotal& total, MonotonicTime now) -> void;
    auto trySpend(std::int64_t amount, MonotonicTime now) -> bool;
    // Returns slots of a concurrency limit. No effect on rate limits.
    auto releaseSlots(std::int64_t amount) -> void;
    auto credit(const Share& share, MonotonicTime now) -> void;
    // Removes up to the wanted fraction, with the matching part of the tokens, and returns it. Slots in use stay.
    auto debit(Fraction wanted, MonotonicTime now) -> Share;
    // Drops the share but keeps the count of slots in use.
    auto clear(MonotonicTime now) -> void;

    auto fraction() const -> Fraction { return fraction_; }
    auto total() const -> const BudgetTotal& { return total_; }
    auto tokens() const -> MicroUnits { return tokens_; }
    auto slotsInUse() const -> std::int64_t { return slotsInUse_; }
    // Time until the share holds enough tokens; Duration::max() if it never will.
    auto timeUntil(std::int64_t amount) const -> Duration;

    auto operator<=>(const EscrowAccount&) const = default;

private:
    auto isConcurrencyLimit() const -> bool { return total_.rate_ == 0; }
    // Burst of this share, in millionths of a unit.
    auto capacity() const -> MicroUnits;
    // Millionths of a unit per second.
    auto refillRate() const -> MicroUnits;
    auto refill(MonotonicTime now) -> void;

    BudgetTotal total_;
    Fraction fraction_ = 0;
    MicroUnits tokens_ = 0;
    // Refill not yet credited because of rounding, in millionths of a unit times nanoseconds; less than one second's worth.
    std::int64_t remainder_ = 0;
    MonotonicTime refilled_;
    std::int64_t slotsInUse_ = 0;
};

// Converts an amount to the fraction of the total that covers it, rounded up.
auto fractionOf(std::int64_t amountMicros, std::int64_t total) -> Fraction;

} // namespace sapphirepass
