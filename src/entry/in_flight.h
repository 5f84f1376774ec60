// Counts the requests in flight, so that a planned stop waits for the last one.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>

namespace sapphirepass {

class InFlight {
public:
    // A request counts as in flight while its token lives.
    using Token = std::shared_ptr<void>;

    auto enter() -> Token;
    auto count() const -> std::int64_t;
    // Blocks until no request has arrived for the quiet time, for the longest time, or until interrupt() was called.
    auto waitForQuiet(std::chrono::milliseconds quiet, std::chrono::milliseconds longest) -> void;
    // Blocks until no request is in flight or until interrupt() was called; true if none is in flight.
    auto waitForNone() -> bool;
    auto interrupt() -> void;

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t count_ = 0;
    std::int64_t entered_ = 0;
    bool interrupted_ = false;
};

} // namespace sapphirepass
