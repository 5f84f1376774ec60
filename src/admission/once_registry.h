// Records the outcomes of requests that may run only once, on the instance that runs them. Pure.
#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace sapphirepass {

// A complete answer, kept to answer repeats of its request.
struct RecordedAnswer {
    int status_ = 0;
    std::string contentType_;
    std::string body_;

    auto operator<=>(const RecordedAnswer&) const = default;
};

struct OnceRunning {
    auto operator<=>(const OnceRunning&) const = default;
};

// It is not known whether the request ran, or it ran and its answer was not kept.
struct OnceOutcomeUnknown {
    auto operator<=>(const OnceOutcomeUnknown&) const = default;
};

using OnceOutcome = std::variant<OnceRunning, RecordedAnswer, OnceOutcomeUnknown>;

enum class OnceErrorKind {
    // The registry is full; nothing was recorded and the request must not run.
    Full,
};

struct OnceBounds {
    std::size_t records_ = 0;
    // Limit for all kept answers together.
    std::size_t answerBytes_ = 0;
};

// Single-threaded.
class OnceRegistry {
public:
    // An outcome is kept for the full retention time after its request ended.
    OnceRegistry(const OnceBounds& bounds, Duration retention);

    // Records that the request with this ticket is about to run. Returns Done if it may run now, or its outcome so far
    // if it was started before.
    auto begin(const std::string& ticketId, MonotonicTime now) -> Result<std::variant<Done, OnceOutcome>, OnceErrorKind>;
    // The request certainly did not run, so its ticket may be used again.
    auto release(const std::string& ticketId) -> void;
    // Records the outcome; an answer that does not fit within the limit is recorded as OnceOutcomeUnknown.
    auto finish(const std::string& ticketId, OnceOutcome outcome, MonotonicTime now) -> void;
    // The outcome so far of a request that was started before; nothing if there is no record of it.
    auto find(const std::string& ticketId, MonotonicTime now) -> std::optional<OnceOutcome>;
    auto size() const -> std::size_t { return records_.size(); }
    auto answerBytes() const -> std::size_t { return answerBytes_; }

private:
    struct Record {
        OnceOutcome outcome_;
        // When the record is removed; set once the request has finished.
        MonotonicTime expiry_ = MonotonicTime::max();
    };

    auto removeExpired(MonotonicTime now) -> void;

    OnceBounds bounds_;
    Duration retention_;
    std::map<std::string, Record> records_;
    std::multimap<MonotonicTime, std::string> expiries_;
    std::size_t answerBytes_ = 0;
};

} // namespace sapphirepass
