// The attempts at upstreams that a request has in flight: one, or two while a second attempt runs.
#pragma once

#include "gateway/limits/body_limiter.h"
#include "gateway/requests/upstream_caller.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace sapphirepass {

// What was known of an attempt when it was sent.
struct SentAttempt {
    UpstreamPtr upstream_;
    MonotonicTime at_ {};
    int rank_ = 0;
    int occupied_ = 0;
    std::size_t ownerCount_ = 0;
    // Sent while the first attempt was running.
    bool isSecond_ = false;
    std::size_t bodyBytes_ = 0;
    // Wait and run that the placement expected; empty where it did not estimate them.
    std::optional<Duration> expected_ {};
};

class AttemptsInFlight {
public:
    AttemptsInFlight(UpstreamSet& upstreams, BodyLimiter& bodyLimiter)
        : upstreams_(upstreams)
        , bodyLimiter_(bodyLimiter)
    {
    }

    // Takes over an attempt that was counted at its upstream, with its body, when it was sent.
    auto add(const SentAttempt& sent, std::unique_ptr<Attempt> attempt) -> void;
    // The attempt, if it is in flight.
    auto find(bool isSecond) const -> std::optional<SentAttempt>;
    // Ends the attempt, if it is in flight, and counts it as ended.
    auto release(bool isSecond) -> void;
    auto releaseAll() -> void;
    auto empty() const -> bool { return running_.empty(); }
    // The attempts whose upstreams are awaited, in the order in which they were sent: without those whose responses have begun
    // and are not read on, as this instance lacks memory for them.
    auto awaited() const -> std::vector<SentAttempt>;

private:
    struct Running {
        SentAttempt sent_;
        std::unique_ptr<Attempt> attempt_;
    };

    auto end(Running& running) -> void;

    UpstreamSet& upstreams_;
    BodyLimiter& bodyLimiter_;
    std::vector<Running> running_;
};

} // namespace sapphirepass
