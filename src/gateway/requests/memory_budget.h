// Bounds the memory that an instance holds for callers: request bodies, arriving responses, and responses that wait to be read.
#pragma once

#include "base/clock.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string_view>

namespace sapphirepass {

enum class MemoryKind { RequestBody,
    ArrivingResponse,
    WaitingResponse };

inline constexpr std::array allMemoryKinds { MemoryKind::RequestBody, MemoryKind::ArrivingResponse, MemoryKind::WaitingResponse };

auto memoryKindName(MemoryKind kind) -> std::string_view;

struct MemoryBounds {
    // Bytes of all kinds together.
    std::size_t total_ = 0;
    // A request or response up to this size always has room.
    std::size_t small_ = 16 * 1024;

    auto operator<=>(const MemoryBounds&) const = default;
};

enum class BodyVerdict {
    // The body may be read.
    Granted,
    // Must not be read on for now; to be asked again.
    Wait,
    // The request must be refused.
    Refused
};

enum class BodyRefusal {
    // Larger than all bodies together may be.
    TooLarge,
    // Bodies that wait already need all the room that can become free.
    NoProspect,
    // Has waited for the longest time.
    Waited
};

auto bodyRefusalName(BodyRefusal cause) -> std::string_view;

class MemoryListener {
public:
    virtual ~MemoryListener() = default;
    virtual auto bodyRefused(BodyRefusal cause, std::size_t bytes) -> void = 0;
    virtual auto callerCut(std::size_t bytes, Duration silence) -> void = 0;
    // Bytes were released while bodies wait.
    virtual auto roomFreed() -> void = 0;
};

class ReaderHold;

class MemoryBudget {
public:
    MemoryBudget(const Clock& clock, MemoryBounds bounds, MemoryListener& listener)
        : clock_(clock)
        , bounds_(bounds)
        , listener_(listener)
    {
    }
    MemoryBudget(const MemoryBudget&) = delete;
    auto operator=(const MemoryBudget&) -> MemoryBudget& = delete;

    auto held() const -> std::size_t;
    auto held(MemoryKind kind) const -> std::size_t { return held_.at(static_cast<std::size_t>(kind)); }
    // What all request bodies together may hold, small ones excepted.
    auto maxBodies() const -> std::size_t;
    // How often a body had to wait.
    auto waits() const -> std::uint64_t { return waits_; }
    // Whether a response that holds some bytes may be read up to a number.
    auto mayReadResponse(std::size_t held, std::size_t wanted) const -> bool;
    // Cuts callers that do not read while the total is nearly used.
    auto relieve() -> void;

private:
    friend class BodyHold;
    friend class MemoryHold;
    friend class ReaderHold;

    auto change(MemoryKind kind, std::size_t from, std::size_t to) -> void;
    auto fitsBody(std::size_t more) const -> bool;
    // The reader to be cut first; null if none may be cut.
    auto findCut() const -> ReaderHold*;

    const Clock& clock_;
    MemoryBounds bounds_;
    MemoryListener& listener_;
    std::array<std::size_t, allMemoryKinds.size()> held_ {};
    // Those that hold more than a small response.
    std::set<ReaderHold*> readers_;
    // Bytes of bodies that wait.
    std::size_t waiting_ = 0;
    std::uint64_t waits_ = 0;
};

// Bytes of one kind, counted until they are released. After that, holds do not refer to the budget any more.
class MemoryHold {
public:
    MemoryHold(MemoryBudget& budget, MemoryKind kind)
        : budget_(budget)
        , kind_(kind)
    {
    }
    ~MemoryHold() { set(0); }
    MemoryHold(const MemoryHold&) = delete;
    auto operator=(const MemoryHold&) -> MemoryHold& = delete;

    auto set(std::size_t bytes) -> void;
    auto bytes() const -> std::size_t { return bytes_; }
    auto mayGrowTo(std::size_t bytes) const -> bool { return budget_.mayReadResponse(bytes_, bytes); }

private:
    MemoryBudget& budget_;
    MemoryKind kind_;
    std::size_t bytes_ = 0;
};

// The body of one request, from its first byte until the request ends.
class BodyHold {
public:
    explicit BodyHold(MemoryBudget& budget)
        : budget_(budget)
        , hold_(budget, MemoryKind::RequestBody)
    {
    }
    ~BodyHold() { release(); }
    BodyHold(const BodyHold&) = delete;
    auto operator=(const BodyHold&) -> BodyHold& = delete;

    // Asks to hold this many bytes in all. Never gives bytes back.
    auto ask(std::size_t bytes) -> BodyVerdict;
    auto release() -> void;

private:
    auto refuse(BodyRefusal cause, std::size_t bytes) -> BodyVerdict;
    auto wait(std::size_t bytes) -> BodyVerdict;
    auto endWait() -> void;

    MemoryBudget& budget_;
    MemoryHold hold_;
    // Bytes that it waits for; 0 if it does not wait.
    std::size_t waitsFor_ = 0;
    MonotonicTime waitsSince_ {};
};

// A response that waits to be read by its caller.
class ReaderHold {
public:
    // cut must release the hold.
    ReaderHold(MemoryBudget& budget, std::function<void()> cut)
        : budget_(budget)
        , hold_(budget, MemoryKind::WaitingResponse)
        , cut_(std::move(cut))
    {
    }
    ~ReaderHold() { release(); }
    ReaderHold(const ReaderHold&) = delete;
    auto operator=(const ReaderHold&) -> ReaderHold& = delete;

    auto begin(std::size_t bytes) -> void;
    // The caller has read something.
    auto recordProgress() -> void { lastReadAt_ = budget_.clock_.now(); }
    auto release() -> void;

private:
    friend class MemoryBudget;

    MemoryBudget& budget_;
    MemoryHold hold_;
    std::function<void()> cut_;
    MonotonicTime lastReadAt_ {};
    bool isCandidate_ = false;
};

} // namespace sapphirepass
