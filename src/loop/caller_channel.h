// One connection of a caller: reads requests, has them answered one after the other, notices when the caller leaves.
#pragma once

#include "base/message_parser.h"
#include "gateway/declaration/declaration_type.h"
#include "gateway/requests/memory_budget.h"
#include "gateway/requests/running_request.h"
#include "loop/net_type.h"

#include <functional>
#include <memory>
#include <optional>

namespace sapphirepass {

// A response whose last bytes have been handed to the kernel.
struct WrittenResponse {
    std::size_t bytes_ = 0;
    // Since the response was ready.
    Duration duration_ {};

    auto operator<=>(const WrittenResponse&) const = default;
};

class CallerHandler {
public:
    using Answer = std::function<void(HttpResponse)>;

    virtual ~CallerHandler() = default;
    // Answers once, at once or later. Null if the answer was given at once.
    virtual auto handle(HttpRequest request, Answer answer) -> std::shared_ptr<RunningRequest> = 0;
    virtual auto limits() const -> CallerLimits = 0;
    // Connections end after the answer under way.
    virtual auto isClosing() const -> bool = 0;
    // Where the bytes of requests and responses count; null if they do not.
    virtual auto memory() -> MemoryBudget* { return nullptr; }
    virtual auto responseWritten(const WrittenResponse&) -> void { }
};

class CallerChannel : public std::enable_shared_from_this<CallerChannel> {
public:
    CallerChannel(Tcp::socket socket, CallerHandler& handler, const Clock& clock);

    auto start() -> void;
    // Closes at once if no request is being read or answered.
    auto closeIfIdle() -> void;
    // Reads no further request: closes if nothing of one has been read, and refuses one of which a part has arrived.
    auto endReading() -> void;
    // Ends a connection that has been idle, or a request that has been arriving, for too long.
    auto checkTime() -> void;
    // Reads on if the connection waits for memory and there is room.
    auto resume() -> void;
    // Ends the connection and the request under way. Holds no memory after that.
    auto close() -> void;
    auto isOpen() const -> bool { return state_ != State::Closed; }
    // Bytes of the response being written that the caller has not acknowledged.
    auto unreadBytes() -> std::size_t;

private:
    enum class State { Reading,
        Answering,
        Writing,
        // A refusal was written; what the caller still sends is discarded, as closing at once could destroy the refusal.
        Draining,
        Closed };
    using Parser = MessageParser<true>;

    auto beginRequest() -> void;
    auto readMore() -> void;
    auto onReadable(NetError error) -> void;
    auto onRead(NetError error, std::size_t count) -> void;
    auto parseBuffer() -> void;
    auto onHeader() -> bool;
    auto takeBody() -> bool;
    auto sendContinue() -> void;
    auto refuseBody() -> void;
    // Answers a request that is still arriving; the rest is discarded.
    auto refuseArriving(HttpResponse response) -> void;
    auto onWholeRequest() -> void;
    auto refuse(NetError error) -> void;
    auto answer(HttpResponse response, bool mayKeep) -> void;
    auto onWritten(NetError error) -> void;
    auto checkWriting() -> void;
    // Gives a caller time that has not read all of the last response.
    auto checkUnread() -> void;
    auto beReadingPatient() -> void;

    Tcp::socket socket_;
    CallerHandler& handler_;
    const Clock& clock_;
    CallerLimits limits_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::shared_ptr<RunningRequest> running_;
    std::optional<BodyHold> bodyHold_;
    std::optional<ReaderHold> readerHold_;
    std::string head_;
    std::string body_;
    State state_ = State::Reading;
    bool isWaitingForBytes_ = false;
    bool hasHeader_ = false;
    bool mustContinue_ = false;
    bool keepAfter_ = false;
    bool isHead_ = false;
    // Set while the connection waits for memory: it is not read on, so nothing else keeps it.
    std::shared_ptr<CallerChannel> waiting_;
    // Set while reading is paused, as much was sent ahead of a response: nothing else keeps the connection alive then.
    std::shared_ptr<CallerChannel> selfWhilePaused_;
    // The body is refused: what arrives is discarded.
    bool isDiscarding_ = false;
    // The connection outlives a caller that reads the response slowly.
    bool isPatient_ = false;
    // Whether it is still to be seen if the caller has read the last response.
    bool isUnreadDue_ = false;
    std::size_t written_ = 0;
    std::size_t acknowledged_ = 0;
    std::uint64_t answered_ = 0;
    MonotonicTime answeredAt_ {};
    // When the request under way began to arrive, the connection became idle, or the caller last read some of the response.
    MonotonicTime since_ {};
    bool hasBytes_ = false;
};

} // namespace sapphirepass
