#include "gateway/requests/second_attempt.h"

#include "gateway/limits/upstream_limiter.h"

#include <algorithm>
#include <bit>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Second attempts per request of the service.
    constexpr double sharePerRequest = 0.05;
    // Second attempts that a service may save up. Exceeding the p95 is random, so that several can be due together.
    constexpr double maxShare = 10;
    // Tolerance for the rounding error of a sum of shares.
    constexpr double shareTolerance = 1e-9;
    // Outcomes that the gain is judged by.
    constexpr int maxOutcomes = 40;
    constexpr std::uint64_t outcomeMask = (std::uint64_t { 1 } << maxOutcomes) - 1;
    // Second attempts are stopped if fewer than one in this number ended first.
    constexpr int minGainDivisor = 4;
    // While they are stopped, one is tried this often, so that a service recovers within about a minute.
    constexpr Duration trialInterval = 5s;
}

auto secondAttemptRefusalName(SecondAttemptRefusal refusal) -> std::string_view
{
    switch (refusal) {
    case SecondAttemptRefusal::LittleGain:
        return "little-gain";
    case SecondAttemptRefusal::ShareUsed:
        return "share-used";
    case SecondAttemptRefusal::RetryLimit:
        return "retry-limit";
    case SecondAttemptRefusal::Crashes:
        return "crashes";
    case SecondAttemptRefusal::NoUpstream:
        return "no-upstream";
    case SecondAttemptRefusal::NotEstimated:
        return "not-estimated";
    case SecondAttemptRefusal::ShortOfCapacity:
        return "short-of-capacity";
    case SecondAttemptRefusal::Restricted:
        return "restricted";
    case SecondAttemptRefusal::TooLate:
        return "too-late";
    }
    return "";
}

SecondAttemptPolicy::SecondAttemptPolicy(const Clock& clock, RetryLimiter& retryLimiter, RunQuantiles& runs)
    : clock_(clock)
    , retryLimiter_(retryLimiter)
    , runs_(runs)
{
}

auto SecondAttemptPolicy::countRequest(const std::string& service) -> void
{
    auto& share = accounts_[service].share_;
    share = std::min(maxShare, share + sharePerRequest);
}

auto SecondAttemptPolicy::recordRun(const std::string& route, Duration run) -> void
{
    runs_.record(route, run);
}

// Without the runs that a second attempt cut short, the p95 would fall with each of them. Their length is not known, but
// counting them at any length beyond the p95 leaves the p95 where it is.
auto SecondAttemptPolicy::recordAbandonedRun(const std::string& route, Duration waited) -> void
{
    const auto p95 = runs_.p95(route);
    if (p95 && waited > *p95)
        runs_.record(route, waited);
}

auto SecondAttemptPolicy::delay(const std::string& route, Duration timeLeft) const -> std::optional<Duration>
{
    const auto p95 = runs_.p95(route);
    return p95 && *p95 < timeLeft ? p95 : std::nullopt;
}

auto SecondAttemptPolicy::gainsLittle(const Account& account) -> bool
{
    return account.outcomes_ >= maxOutcomes && std::popcount(account.endedFirst_) * minGainDivisor < maxOutcomes;
}

auto SecondAttemptPolicy::refusal(const std::string& service) const -> std::optional<SecondAttemptRefusal>
{
    const auto found = accounts_.find(service);
    if (found == accounts_.end() || found->second.share_ + shareTolerance < 1)
        return SecondAttemptRefusal::ShareUsed;
    if (gainsLittle(found->second) && clock_.now() - found->second.lastStart_ < trialInterval)
        return SecondAttemptRefusal::LittleGain;
    return std::nullopt;
}

auto SecondAttemptPolicy::refusalOf(const Placement& placement, Duration timeLeft) const -> std::optional<SecondAttemptRefusal>
{
    if (!placement.isEstimated_)
        return SecondAttemptRefusal::NotEstimated;
    if (placement.upstream_->coldUntil_ > clock_.now() || UpstreamLimiter::isLimited(*placement.upstream_))
        return SecondAttemptRefusal::Restricted;
    if (placement.expectedWait_ > Duration::zero())
        return SecondAttemptRefusal::ShortOfCapacity;
    if (placement.expectedRun_ > timeLeft)
        return SecondAttemptRefusal::TooLate;
    return std::nullopt;
}

// The retry limit is asked last, as it counts each retry that it grants.
auto SecondAttemptPolicy::take(const std::string& service, const Placement& placement, Duration timeLeft) -> std::optional<SecondAttemptRefusal>
{
    if (const auto refused = refusal(service))
        return refused;
    if (const auto refused = refusalOf(placement, timeLeft))
        return refused;
    if (!retryLimiter_.takeRetry(service))
        return SecondAttemptRefusal::RetryLimit;
    auto& account = accounts_[service];
    account.share_ = std::max(0.0, account.share_ - 1);
    account.lastStart_ = clock_.now();
    return std::nullopt;
}

auto SecondAttemptPolicy::recordEnd(const std::string& service, bool isFirst) -> void
{
    auto& account = accounts_[service];
    account.endedFirst_ = ((account.endedFirst_ << 1U) | (isFirst ? 1U : 0U)) & outcomeMask;
    account.outcomes_ = std::min(maxOutcomes, account.outcomes_ + 1);
}

} // namespace sapphirepass
