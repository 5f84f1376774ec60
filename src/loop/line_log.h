// Structured lines on standard output that never hold up the event loop.
#pragma once

#include "base/clock.h"
#include "gateway/requests/decision_log.h"

#include <atomic>
#include <string>
#include <string_view>

namespace sapphirepass {

struct LineLogBounds {
    // Lines beyond this are dropped and counted.
    double bytesPerSecond_ = 24.0 * 1024;
    // Unwritten lines that are kept for a reader that is slow.
    std::size_t bufferBytes_ = 256 * 1024;
    // One ordinary success of so many is told.
    std::uint64_t successSample_ = 100;
};

class LineLog final : public DecisionLog {
public:
    LineLog(const Clock& clock, int handle, LineLogBounds bounds, std::string instance);

    auto isSuccessSampled(std::string_view requestId) const -> bool override;
    auto write(EventId id, LogFields fields) -> void override;
    // Writes what the reader takes without waiting. Called now and then by the loop.
    auto flush() -> void;
    // Whole lines that are not yet written, though the first may have lost its beginning. May be called by a signal handler
    // at any time, as the bytes never move to other memory.
    auto pending() const -> std::string_view { return { bytes_, pendingBytes_.load() }; }
    auto dropped() const -> std::uint64_t { return dropped_; }

private:
    auto append(EventId id, const LogFields& fields) -> bool;

    const Clock& clock_;
    int handle_;
    LineLogBounds bounds_;
    std::string instance_;
    std::string buffer_;
    const char* bytes_;
    std::atomic<std::size_t> pendingBytes_ { 0 };
    double allowance_;
    MonotonicTime filledAt_;
    std::uint64_t dropped_ = 0;
    std::uint64_t toldDropped_ = 0;
};

} // namespace sapphirepass
