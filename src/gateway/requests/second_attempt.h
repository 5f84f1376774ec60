// Decides whether and when a request that may be repeated gets a second attempt while the first one runs.
#pragma once

#include "gateway/limits/limits.h"
#include "gateway/placement/placement.h"
#include "gateway/requests/run_quantiles.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirepass {

// Why a second attempt that was due is not started.
enum class SecondAttemptRefusal {
    // Too few of the service's second attempts ended first.
    LittleGain,
    // The service's share of requests that get a second attempt is used.
    ShareUsed,
    RetryLimit,
    // The request crashes upstreams.
    Crashes,
    NoUpstream,
    // Placed without an estimate of its end.
    NotEstimated,
    // It would wait: the service is short of capacity.
    ShortOfCapacity,
    // The upstream is cold or names a limit.
    Restricted,
    // It would not end within the time left.
    TooLate,
};

auto secondAttemptRefusalName(SecondAttemptRefusal refusal) -> std::string_view;

class SecondAttemptPolicy {
public:
    SecondAttemptPolicy(const Clock& clock, RetryLimiter& retryLimiter, RunQuantiles& runs);

    // Counts a request of the service, which adds to the service's share.
    auto countRequest(const std::string& service) -> void;
    // Run time of a first attempt that succeeded.
    auto recordRun(const std::string& route, Duration run) -> void;
    // A first attempt was ended before its outcome, after this time.
    auto recordAbandonedRun(const std::string& route, Duration waited) -> void;
    auto runs() const -> const RunQuantiles& { return runs_; }
    // How long after a first attempt was sent a second one is due; empty if run times are not known, or if that is beyond
    // the time left.
    auto delay(const std::string& route, Duration timeLeft) const -> std::optional<Duration>;
    // Whether the service may get a second attempt now, before an upstream is chosen.
    auto refusal(const std::string& service) const -> std::optional<SecondAttemptRefusal>;
    // Takes a second attempt at this upstream from the service's share and the fleet's retry limit. On a refusal nothing
    // is taken.
    auto take(const std::string& service, const Placement& placement, Duration timeLeft) -> std::optional<SecondAttemptRefusal>;
    // A second attempt has ended; first means that its response was the first one that counts.
    auto recordEnd(const std::string& service, bool isFirst) -> void;

private:
    struct Account {
        double share_ = 0;
        // Outcomes of the last second attempts, the newest in the lowest bit; set if it ended first.
        std::uint64_t endedFirst_ = 0;
        int outcomes_ = 0;
        MonotonicTime lastStart_ {};
    };

    static auto gainsLittle(const Account& account) -> bool;
    auto refusalOf(const Placement& placement, Duration timeLeft) const -> std::optional<SecondAttemptRefusal>;

    const Clock& clock_;
    RetryLimiter& retryLimiter_;
    RunQuantiles& runs_;
    std::map<std::string, Account> accounts_;
};

} // namespace sapphirepass
