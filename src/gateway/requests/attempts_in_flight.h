// The attempts at upstreams that a request has in flight: one, or two while a second attempt runs.
#pragma once

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
};

class AttemptsInFlight {
public:
    explicit AttemptsInFlight(UpstreamSet& upstreams)
        : upstreams_(upstreams)
    {
    }

    // Takes over an attempt that was counted at its upstream when it was sent.
    auto add(const SentAttempt& sent, std::unique_ptr<Attempt> attempt) -> void;
    // Ends the attempt and counts it as ended; empty if it is not in flight.
    auto release(bool isSecond) -> std::optional<SentAttempt>;
    auto releaseAll() -> void;
    auto empty() const -> bool { return running_.empty(); }
    // The attempts in the order in which they were sent.
    auto sent() const -> std::vector<SentAttempt>;

private:
    struct Running {
        SentAttempt sent_;
        std::unique_ptr<Attempt> attempt_;
    };

    auto end(Running& running) -> void;

    UpstreamSet& upstreams_;
    std::vector<Running> running_;
};

} // namespace sapphirepass
