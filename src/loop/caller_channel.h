// One connection of a caller: reads requests, has them answered one after the other, notices when the caller leaves.
#pragma once

#include "gateway/declaration/declaration_type.h"
#include "gateway/requests/running_request.h"
#include "loop/net_type.h"

#include <functional>
#include <memory>
#include <optional>

namespace sapphirepass {

class CallerHandler {
public:
    using Answer = std::function<void(HttpResponse)>;

    virtual ~CallerHandler() = default;
    // Answers once, at once or later. Null if the answer was given at once.
    virtual auto handle(HttpRequest request, Answer answer) -> std::shared_ptr<RunningRequest> = 0;
    virtual auto limits() const -> CallerLimits = 0;
    // Connections end after the answer under way.
    virtual auto isClosing() const -> bool = 0;
};

class CallerChannel : public std::enable_shared_from_this<CallerChannel> {
public:
    CallerChannel(Tcp::socket socket, CallerHandler& handler, const Clock& clock);

    auto start() -> void;
    // Closes at once if no request is being read or answered.
    auto closeIfIdle() -> void;
    // Ends a connection that has been idle, or a request that has been arriving, for too long.
    auto checkTime() -> void;
    auto isOpen() const -> bool { return state_ != State::Closed; }

private:
    enum class State { Reading,
        Answering,
        Writing,
        Closed };
    using Parser = http::request_parser<http::string_body>;

    auto beginRequest() -> void;
    auto readMore() -> void;
    auto onRead(NetError error, std::size_t count) -> void;
    auto parseBuffer() -> void;
    auto onHeader() -> bool;
    auto onWholeRequest() -> void;
    auto refuse(NetError error) -> void;
    auto answer(HttpResponse response, bool mayKeep) -> void;
    auto onWritten(NetError error) -> void;
    auto close() -> void;

    Tcp::socket socket_;
    CallerHandler& handler_;
    const Clock& clock_;
    CallerLimits limits_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::shared_ptr<RunningRequest> running_;
    std::string head_;
    std::string body_;
    State state_ = State::Reading;
    bool isReading_ = false;
    bool hasHeader_ = false;
    bool keepAfter_ = false;
    bool isHead_ = false;
    std::uint64_t answered_ = 0;
    // When the request under way began to arrive, or the connection became idle.
    MonotonicTime since_ {};
    bool hasBytes_ = false;
};

} // namespace sapphirepass
