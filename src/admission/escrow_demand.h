// Estimates how much of a limit one holder needs from its attempts to spend.
#pragma once

#include "admission/escrow_account.h"

namespace sapphirepass {

class EscrowDemand {
public:
    // Counts an attempt to spend, successful or not.
    auto recordAttempt(std::int64_t amount, bool spent, MonotonicTime now) -> void;
    // Ends a measurement interval and updates the smoothed rates.
    auto tick(Duration elapsed) -> void;
    // The fraction that covers the demand. marginPercent scales the demand (100 adds no margin); reserve is the minimum.
    auto neededFraction(const EscrowAccount& account, std::int64_t marginPercent, Fraction reserve) const -> Fraction;
    // The fraction in use now; the rest may be transferred to a holder that is short.
    auto fractionInUse(const EscrowAccount& account, std::int64_t marginPercent, MonotonicTime now) const -> Fraction;
    // Whether the remaining tokens cover so little of the demand that a larger share is worth a message.
    auto isRunningShort(const EscrowAccount& account) const -> bool;
    auto requestSent(MonotonicTime now) -> void;
    auto mayRequest(MonotonicTime now) const -> bool;
    // Resets the backoff, since a share has arrived.
    auto sharesReceived() -> void;
    auto reserveRequestSent(MonotonicTime now) -> void { reserveRequestSentAt_ = now; }
    auto mayRequestReserve(MonotonicTime now) const -> bool;

private:
    double pending_ = 0;
    // Units per second, smoothed.
    double rate_ = 0;
    // Units per second, smoothed over a shorter time.
    double recentRate_ = 0;
    MonotonicTime lastAttempt_ {};
    // Largest recent amount of a single attempt; decays over time.
    double largestAmount_ = 0;
    bool refused_ = false;
    MonotonicTime requestSentAt_ {};
    // Doubles with each request until a share arrives.
    Duration requestBackoff_ {};
    MonotonicTime reserveRequestSentAt_ {};
};

} // namespace sapphirepass
