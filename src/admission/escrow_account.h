// What one instance holds of one limit: a token bucket over its fraction, or a count of things running.
#pragma once

#include "admission/escrow_type.h"

namespace sapphirepass {

class EscrowAccount {
public:
    EscrowAccount(const BudgetTotal& total, MonotonicTime now);

    // Takes over a changed total; tokens above the new burst are lost.
    auto setTotal(const BudgetTotal& total, MonotonicTime now) -> void;
    auto trySpend(std::int64_t amount, MonotonicTime now) -> bool;
    // Ends things running at once. No effect on limits over time.
    auto releaseSlots(std::int64_t amount) -> void;
    auto credit(const Share& share, MonotonicTime now) -> void;
    // Takes out at most that fraction with its part of the tokens.
    auto debit(Fraction wanted, MonotonicTime now) -> Share;
    // Forgets the share, but not what is running.
    auto clear(MonotonicTime now) -> void;

    auto fraction() const -> Fraction { return fraction_; }
    auto total() const -> const BudgetTotal& { return total_; }
    auto tokens() const -> MicroUnits { return tokens_; }
    auto running() const -> std::int64_t { return running_; }
    // Time until the share holds enough tokens; the longest duration if it never does.
    auto timeUntil(std::int64_t amount) const -> Duration;

    auto operator<=>(const EscrowAccount&) const = default;

private:
    auto isConcurrent() const -> bool { return total_.rate_ == 0; }
    // Of the fraction's part of the burst.
    auto capacity() const -> MicroUnits;
    // Millionths of a unit a second.
    auto refillRate() const -> MicroUnits;
    auto refill(MonotonicTime now) -> void;

    BudgetTotal total_;
    Fraction fraction_ = 0;
    MicroUnits tokens_ = 0;
    // Earned, in millionths of a unit times nanoseconds; below one second's worth.
    std::int64_t remainder_ = 0;
    MonotonicTime refilled_;
    std::int64_t running_ = 0;
};

// The fraction that corresponds to an amount of a total, rounded up.
auto fractionOf(std::int64_t amountMicros, std::int64_t total) -> Fraction;

} // namespace sapphirepass
