#include "steering/upstream_record.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    auto doubled(std::chrono::milliseconds first, int times, std::chrono::milliseconds longest) -> std::chrono::milliseconds
    {
        constexpr int mostDoublings = 16;
        return std::min(first * (1 << std::min(times, mostDoublings)), longest);
    }
}

auto UpstreamRecord::isCold(const Upstream& upstream, MonotonicTime now) const -> bool
{
    return coldSince_ && now - *coldSince_ < upstream.coldStart_;
}

auto UpstreamRecord::allowed(const Upstream& upstream, MonotonicTime now) const -> std::int64_t
{
    if (isOnTrial())
        return 1;
    if (!isCold(upstream, now))
        return upstream.slots_;
    const auto warmth = std::chrono::duration<double>(now - *coldSince_) / std::chrono::duration<double>(upstream.coldStart_);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(warmth * static_cast<double>(upstream.slots_)));
}

auto UpstreamRecord::freedAt(MonotonicTime now) const -> std::optional<MonotonicTime>
{
    if (freed_ == 0 || now - freedAt_ > trust::freedSlot)
        return std::nullopt;
    return freedAt_;
}

auto UpstreamRecord::take() -> void
{
    ++running_;
    freed_ = std::max<std::int64_t>(0, freed_ - 1);
}

auto UpstreamRecord::release(CallOutcome outcome, MonotonicTime now, bool mayEject) -> bool
{
    --running_;
    switch (outcome) {
    case CallOutcome::Answered:
        // What comes back after an ejection has most likely been restarted.
        if (isOnTrial())
            coldSince_ = now;
        ejections_ = 0;
        lost_ = 0;
        shedSince_.reset();
        ++freed_;
        freedAt_ = now;
        return false;
    case CallOutcome::Shed:
        freed_ = 0;
        if (!shedSince_)
            shedSince_ = now;
        pausedUntil_ = now + std::clamp<Duration>((now - *shedSince_) / trust::pauseDivisor, trust::shortestPause, trust::longestPause);
        return false;
    case CallOutcome::NotSent:
        return fail(trust::lostLimit, now, mayEject);
    case CallOutcome::Lost:
        return fail(1, now, mayEject);
    case CallOutcome::TimedOut:
        freed_ = 0;
        return false;
    }
    return false;
}

auto UpstreamRecord::fail(int strikes, MonotonicTime now, bool mayEject) -> bool
{
    freed_ = 0;
    lost_ += strikes;
    const bool ejected = mayEject && (isOnTrial() || lost_ >= trust::lostLimit) && !isEjected(now);
    if (!ejected)
        return false;
    lost_ = 0;
    ejectedUntil_ = now + doubled(trust::firstEjection, ejections_++, trust::longestEjection);
    return true;
}

} // namespace sapphirepass
