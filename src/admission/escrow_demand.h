// How much of a limit one holder needs, estimated from what it was asked to spend.
#pragma once

#include "admission/escrow_account.h"

namespace sapphirepass {

class EscrowDemand {
public:
    // Counts an attempt to spend, whether it succeeded or not.
    auto offered(std::int64_t amount, bool spent, MonotonicTime now) -> void;
    // Ends a measuring interval.
    auto tick(Duration elapsed) -> void;
    // The fraction that covers the demand with a margin in percent; reserve is the least that is kept.
    auto need(const EscrowAccount& account, std::int64_t marginPercent, Fraction reserve) const -> Fraction;
    // The fraction that is in use now; all else may go to a holder that is short.
    auto inUse(const EscrowAccount& account, std::int64_t marginPercent, MonotonicTime now) const -> Fraction;
    // Whether the tokens cover little of the demand, so that a larger share is worth a message.
    auto isRunningShort(const EscrowAccount& account) const -> bool;
    auto asked(MonotonicTime now) -> void;
    auto mayAsk(MonotonicTime now) const -> bool;
    // A share has arrived, so asking is worth while again.
    auto credited() -> void;
    auto askedReserve(MonotonicTime now) -> void { askedReserveAt_ = now; }
    auto mayAskReserve(MonotonicTime now) const -> bool;

private:
    double pending_ = 0;
    // Units a second, smoothed.
    double rate_ = 0;
    // The same, smoothed over a shorter time.
    double recentRate_ = 0;
    MonotonicTime lastOffered_ {};
    // Largest amount asked for at once lately.
    double largest_ = 0;
    bool refused_ = false;
    MonotonicTime askedAt_ {};
    // Doubles with each ask that brings nothing.
    Duration askPause_ {};
    MonotonicTime askedReserveAt_ {};
};

} // namespace sapphirepass
