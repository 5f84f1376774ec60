// Bounds the memory that responses of upstreams take while they arrive.
#pragma once

#include <compare>
#include <cstddef>

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
    explicit ResponseBudget(ResponseBounds bounds)
        : bounds_(bounds)
    {
    }

    // What one response may hold at most.
    auto maxResponse() const -> std::size_t { return bounds_.total_ / 2; }
    auto held() const -> std::size_t { return held_; }

private:
    friend class ResponseHold;

    ResponseBounds bounds_;
    std::size_t held_ = 0;
};

// The bytes that one response holds, from its first byte until it is passed on or given up.
class ResponseHold {
public:
    explicit ResponseHold(ResponseBudget& budget)
        : budget_(budget)
    {
    }
    ~ResponseHold() { release(); }
    ResponseHold(const ResponseHold&) = delete;
    auto operator=(const ResponseHold&) -> ResponseHold& = delete;

    // Sets the bytes held. False if they are too many: the response must then be given up.
    auto set(std::size_t bytes) -> bool;
    auto release() -> void { static_cast<void>(set(0)); }

private:
    ResponseBudget& budget_;
    std::size_t bytes_ = 0;
};

} // namespace sapphirepass
