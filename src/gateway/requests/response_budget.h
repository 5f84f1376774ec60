// Bounds the memory that responses of upstreams take while they arrive.
#pragma once

#include "gateway/requests/memory_budget.h"

#include <compare>
#include <cstddef>
#include <optional>

namespace sapphirepass {

struct ResponseBounds {
    // Bytes of all responses together.
    std::size_t total_ = 0;
    // Bytes that every response may hold, whatever the others hold.
    std::size_t guaranteed_ = 0;

    auto operator<=>(const ResponseBounds&) const = default;
};

// Each response may hold as many bytes as are still free: one alone up to half of the total, many large ones little each, and
// there is always room for a small one (dynamic thresholds; Choudhury and Hahne, 1998).
class ResponseBudget {
public:
    // Responses count in the memory too, if there is one, and are read only while it has room.
    explicit ResponseBudget(ResponseBounds bounds, MemoryBudget* memory = nullptr)
        : bounds_(bounds)
        , memory_(memory)
    {
    }

    // What one response may hold at most.
    auto maxResponse() const -> std::size_t { return bounds_.total_ / 2; }
    auto held() const -> std::size_t { return held_; }

private:
    friend class ResponseHold;

    ResponseBounds bounds_;
    MemoryBudget* memory_;
    std::size_t held_ = 0;
};

// The bytes that one response holds, from its first byte until it is passed on or given up.
class ResponseHold {
public:
    explicit ResponseHold(ResponseBudget& budget)
        : budget_(budget)
    {
        if (budget.memory_ != nullptr)
            counted_.emplace(*budget.memory_, MemoryKind::ArrivingResponse);
    }
    ~ResponseHold() { release(); }
    ResponseHold(const ResponseHold&) = delete;
    auto operator=(const ResponseHold&) -> ResponseHold& = delete;

    // Sets the bytes held. False if they are too many: the response must then be given up.
    auto set(std::size_t bytes) -> bool;
    // Whether the memory has room for more of the response now. A large response with a stated length is then counted whole.
    auto mayReadOn(std::size_t statedBytes) -> bool;
    // Does not refer to the budget if nothing is held: a connection may outlive its pool.
    auto release() -> void
    {
        reserved_ = 0;
        if (counted_)
            counted_->set(0);
        if (bytes_ > 0)
            static_cast<void>(set(0));
    }

private:
    ResponseBudget& budget_;
    std::optional<MemoryHold> counted_;
    std::size_t bytes_ = 0;
    // Stated bytes of the response that the memory has room for.
    std::size_t reserved_ = 0;
};

} // namespace sapphirepass
