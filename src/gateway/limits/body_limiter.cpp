#include "gateway/limits/body_limiter.h"

#include <algorithm>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    constexpr std::size_t initialBound = 4 * 1024 * 1024;
    // Four small bodies; a lower bound would admit one large body at a time anyway.
    constexpr std::size_t minBound = 4 * BodyLimiter::smallBody;
    // A bound grows by this much in each interval, so from a half to the whole in 80 s: slowly, as every step too far costs a crash.
    constexpr std::size_t growth = 256 * 1024;
    constexpr Duration growthInterval = 10s;
    // A crash loses all connections to the upstream; losses this soon after the first are of the same crash.
    constexpr Duration sameCrash = 1s;
}

auto BodyLimiter::boundOf(const Entry& entry) const -> std::size_t
{
    if (entry.bound_ == 0)
        return initialBound;
    const auto steps = static_cast<std::size_t>((clock_.now() - entry.loweredAt_) / growthInterval);
    return std::min(initialBound, entry.bound_ + std::min(steps, initialBound / growth) * growth);
}

auto BodyLimiter::bound(const Upstream& upstream) const -> std::size_t
{
    const auto found = entries_.find(upstream.entry_.id_);
    return found == entries_.end() ? initialBound : boundOf(found->second);
}

auto BodyLimiter::outstanding(const Upstream& upstream) const -> std::size_t
{
    const auto found = entries_.find(upstream.entry_.id_);
    return found == entries_.end() ? 0 : found->second.outstanding_;
}

auto BodyLimiter::mayTakeBody(const Upstream& upstream, std::size_t bytes) const -> bool
{
    if (bytes <= smallBody)
        return true;
    const auto before = outstanding(upstream);
    return before == 0 || before + bytes <= bound(upstream);
}

auto BodyLimiter::recordSent(const Upstream& upstream, std::size_t bytes) -> void
{
    if (bytes > smallBody)
        entries_[upstream.entry_.id_].outstanding_ += bytes;
}

auto BodyLimiter::recordEnded(const Upstream& upstream, std::size_t bytes) -> void
{
    const auto found = entries_.find(upstream.entry_.id_);
    if (bytes <= smallBody || found == entries_.end())
        return;
    auto& entry = found->second;
    entry.outstanding_ -= std::min(entry.outstanding_, bytes);
    if (entry.outstanding_ == 0 && boundOf(entry) == initialBound)
        entries_.erase(found);
}

auto BodyLimiter::recordLost(const Upstream& upstream) -> void
{
    const auto found = entries_.find(upstream.entry_.id_);
    if (found == entries_.end() || found->second.outstanding_ == 0)
        return;
    auto& entry = found->second;
    if (entry.bound_ > 0 && clock_.now() - entry.loweredAt_ < sameCrash)
        return;
    entry.bound_ = std::max(minBound, boundOf(entry) / 2);
    entry.loweredAt_ = clock_.now();
    ++lowered_;
}

} // namespace sapphirepass
