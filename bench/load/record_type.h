// What callers and upstreams saw of each request. The promises are checked from these alone.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sapphirepass::load {

// The machine's steady clock, the same in every process of a run.
using Instant = std::chrono::microseconds;

// One sending of a request.
struct Attempt {
    // 0 if no whole head arrived.
    int status_ = 0;
    // From a refusal: "no", "unknown" or nothing.
    std::string executed_;
    // Whether the body arrived to its promised end.
    bool whole_ = false;
    // Whether a successful answer was that to this request.
    bool own_ = true;
    Instant sent_ { 0 };
    Instant ended_ { 0 };

    auto operator<=>(const Attempt&) const = default;
};

struct CallRecord {
    std::string id_;
    std::string workspace_;
    bool idempotent_ = true;
    // Latency counts from here, so that a stall of the callers is part of it.
    Instant scheduled_ { 0 };
    std::vector<Attempt> attempts_;

    auto operator<=>(const CallRecord&) const = default;
};

// A run as an upstream recorded it.
struct RunRecord {
    std::string id_;
    std::string upstream_;
    std::string workspace_;
    Instant started_ { 0 };
    bool answered_ = false;
    // Target and headers as one text.
    std::string seen_;

    auto operator<=>(const RunRecord&) const = default;
};

} // namespace sapphirepass::load
