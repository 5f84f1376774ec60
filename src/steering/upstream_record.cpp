#include "steering/upstream_record.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    auto exponentialDelay(std::chrono::milliseconds base, int doublings, std::chrono::milliseconds limit) -> std::chrono::milliseconds
    {
        constexpr int maxDoublings = 16;
        return std::min(base * (1 << std::min(doublings, maxDoublings)), limit);
    }
}

auto UpstreamRecord::isCold(const Upstream& upstream, MonotonicTime now) const -> bool
{
    return coldSince_ && now - *coldSince_ < upstream.coldStart_;
}

auto UpstreamRecord::maxInFlight(const Upstream& upstream, MonotonicTime now) const -> std::int64_t
{
    if (needsProbe())
        return 1;
    if (!isCold(upstream, now))
        return upstream.slots_;
    const auto warmFraction = std::chrono::duration<double>(now - *coldSince_) / std::chrono::duration<double>(upstream.coldStart_);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(warmFraction * static_cast<double>(upstream.slots_)));
}

auto UpstreamRecord::freedAt(MonotonicTime now) const -> std::optional<MonotonicTime>
{
    if (freedSlots_ == 0 || now - freedAt_ > health::freedSlotLifetime)
        return std::nullopt;
    return freedAt_;
}

auto UpstreamRecord::occupySlot() -> void
{
    ++inFlight_;
    freedSlots_ = std::max<std::int64_t>(0, freedSlots_ - 1);
}

auto UpstreamRecord::release(CallOutcome outcome, MonotonicTime now, bool mayEject) -> bool
{
    --inFlight_;
    switch (outcome) {
    case CallOutcome::Answered:
        // An upstream that recovers after an ejection has most likely been restarted and is cold.
        if (needsProbe())
            coldSince_ = now;
        consecutiveEjections_ = 0;
        consecutiveLosses_ = 0;
        shedStreakStart_.reset();
        ++freedSlots_;
        freedAt_ = now;
        return false;
    case CallOutcome::Shed:
        freedSlots_ = 0;
        if (!shedStreakStart_)
            shedStreakStart_ = now;
        backoffUntil_ = now + std::clamp<Duration>((now - *shedStreakStart_) / health::backoffDivisor, health::minBackoff, health::maxBackoff);
        return false;
    case CallOutcome::NotSent:
        return recordFailure(health::lossesBeforeEjection, now, mayEject);
    case CallOutcome::Lost:
        return recordFailure(1, now, mayEject);
    case CallOutcome::TimedOut:
        freedSlots_ = 0;
        return false;
    }
    return false;
}

auto UpstreamRecord::recordFailure(int losses, MonotonicTime now, bool mayEject) -> bool
{
    freedSlots_ = 0;
    consecutiveLosses_ += losses;
    const bool ejected = mayEject && (needsProbe() || consecutiveLosses_ >= health::lossesBeforeEjection) && !isEjected(now);
    if (!ejected)
        return false;
    consecutiveLosses_ = 0;
    ejectedUntil_ = now + exponentialDelay(health::baseEjection, consecutiveEjections_++, health::maxEjection);
    return true;
}

} // namespace sapphirepass
