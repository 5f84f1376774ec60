// What became of the requests that may run only once, on the instance that runs them. Pure.
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

// A whole answer, kept for repeats.
struct RecordedAnswer {
    int status_ = 0;
    std::string contentType_;
    std::string body_;

    auto operator<=>(const RecordedAnswer&) const = default;
};

// The request is running.
struct OnceRunning {
    auto operator<=>(const OnceRunning&) const = default;
};

// The request may or may not have run, or it ran and its answer was not kept.
struct OnceOutcomeUnknown {
    auto operator<=>(const OnceOutcomeUnknown&) const = default;
};

using OnceOutcome = std::variant<OnceRunning, RecordedAnswer, OnceOutcomeUnknown>;

enum class OnceErrorKind {
    // No room for another outcome; nothing was recorded and the request must not run.
    Full,
};

struct OnceBounds {
    std::size_t records_ = 0;
    // Bytes of kept answers, all together.
    std::size_t answerBytes_ = 0;
};

// Single-threaded.
class OnceRegistry {
public:
    // An outcome is kept for the retention after its request ended, never shorter.
    OnceRegistry(const OnceBounds& bounds, Duration retention);

    // Records that the request of that name is about to run. Done if it may run now; the earlier outcome
    // if it was begun before.
    auto begin(const std::string& name, MonotonicTime now) -> Result<std::variant<Done, OnceOutcome>, OnceErrorKind>;
    // The request certainly did not run; its name may be used again.
    auto release(const std::string& name) -> void;
    // Keeps the answer if there is room for it, otherwise only that the outcome is not known.
    auto finish(const std::string& name, OnceOutcome outcome, MonotonicTime now) -> void;
    // The outcome of a request that was begun before; nothing if none is known.
    auto find(const std::string& name, MonotonicTime now) -> std::optional<OnceOutcome>;
    auto size() const -> std::size_t { return records_.size(); }
    auto answerBytes() const -> std::size_t { return answerBytes_; }

private:
    struct Record {
        OnceOutcome outcome_;
        // When a finished record is forgotten.
        MonotonicTime expiry_ = MonotonicTime::max();
    };

    auto forgetExpired(MonotonicTime now) -> void;

    OnceBounds bounds_;
    Duration retention_;
    std::map<std::string, Record> records_;
    std::multimap<MonotonicTime, std::string> expiries_;
    std::size_t answerBytes_ = 0;
};

} // namespace sapphirepass
