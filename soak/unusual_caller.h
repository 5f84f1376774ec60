// A caller that uses what HTTP allows and few callers do: requests sent ahead or in parts, bodies in chunks, Expect,
// half-closed connections; and one that leaves, sends work longer than the grace time, or sends late in it.
#pragma once

#include "soak/world.h"

#include <deque>

namespace sapphirepass::soak {

class UnusualCaller {
public:
    UnusualCaller(asio::io_context& loop, World& world, std::size_t number, std::uint64_t seed);

    auto step() -> void;
    auto finishOnly() -> void { isClosing_ = true; }
    auto isIdle() const -> bool { return waiting_.empty(); }

private:
    using Time = std::chrono::steady_clock::time_point;
    enum class Form { Together,
        InParts,
        Expect,
        Chunked,
        HalfClose,
        Leave,
        LongWork,
        LateInStop };

    struct Part {
        Time at_;
        std::string bytes_;
        // Sent at once when the gateway asks for the body.
        bool isAfterContinue_ = false;
    };

    auto random(std::size_t below) -> std::size_t { return random_() % below; }
    auto randomTime(std::size_t below) -> std::chrono::milliseconds { return std::chrono::milliseconds(random(below)); }
    auto connect() -> void;
    auto plan() -> void;
    auto planLate() -> void;
    auto sendDue() -> void;
    // Notes a new attempt and returns its request; a body of "" makes a request that may be repeated.
    auto newRequest(const std::string& route, const std::string& body, const std::string& fields) -> std::string;
    auto newWork() -> std::chrono::milliseconds;
    auto add(const std::string& bytes, std::chrono::milliseconds after = {}) -> void;
    auto addInParts(const std::string& bytes) -> void;
    auto addExpect() -> void;
    auto addChunked() -> void;
    auto readAnswers() -> void;
    auto takeAnswer(const std::string& text, std::size_t headEnd, std::size_t size) -> void;
    auto noteEnd() -> void;
    auto leave() -> void;

    asio::io_context& loop_;
    World& world_;
    std::size_t number_;
    std::mt19937_64 random_;
    std::unique_ptr<standin::LoopClient> client_;
    std::size_t gateway_ = 0;
    Form form_ = Form::Together;
    std::deque<Part> parts_;
    // Attempts without an answer, in the order in which they are sent.
    std::deque<std::string> waiting_;
    std::size_t seen_ = 0;
    Time plannedAt_ {};
    Time leavesAt_ {};
    bool isPlanned_ = false;
    bool isClosing_ = false;
};

} // namespace sapphirepass::soak
