// One connection to an upstream.
#pragma once

#include "base/message_parser.h"
#include "gateway/requests/header_names.h"
#include "gateway/requests/response_budget.h"
#include "gateway/requests/upstream_caller.h"
#include "loop/net_type.h"

#include <optional>

namespace sapphirepass {

// A connection across regions takes a tenth of this; an upstream that needs longer is as good as gone.
inline constexpr Duration upstreamConnectLimit = std::chrono::milliseconds(400);

auto endpointOf(const SocketAddress& address) -> Tcp::endpoint;

class UpstreamChannel : public std::enable_shared_from_this<UpstreamChannel> {
public:
    // The outcome, and whether the connection may carry another request.
    using Done = std::function<void(AttemptOutcome, bool isReusable)>;
    // Gets responses to earlier requests, which are passed over otherwise.
    using LateResponse = std::function<void(const HttpResponse&)>;

    UpstreamChannel(asio::io_context& loop, const Clock& clock, const HeaderNames& names, ResponseBudget& budget, LateResponse onLateResponse);

    // Called once when the connection attempt ends, before Done.
    using Connected = std::function<void(bool isConnected)>;

    // The connection leaves from the source host; from any if it is empty.
    auto connectAndSend(const SocketAddress& address, const std::string& sourceHost, std::shared_ptr<const OutgoingRequest> request, Connected connected, Done done) -> void;
    auto send(std::shared_ptr<const OutgoingRequest> request, Done done) -> void;
    // Closes the connection; no outcome is told any more.
    auto abandon() -> void;
    // Idle, still open, and well inside the time that the upstream keeps it.
    auto isFresh() -> bool;
    // Whether its time or its upstream is over, without asking the kernel.
    auto isOver() const -> bool { return !isOpen_ || clock_.now() >= idleUntil_; }
    // How long the upstream states that it keeps the connection open while it is idle.
    auto statedIdle() const -> std::optional<Duration> { return statedIdle_; }
    // Sets for how long from now the connection may carry another request.
    auto setReusableFor(Duration duration) -> void { idleUntil_ = clock_.now() + duration; }
    // A response has begun and waits for memory.
    auto isHeldBack() const -> bool { return isHeldBack_; }

private:
    using Parser = MessageParser<false>;

    auto onConnected(NetError error) -> void;
    auto writeRequest() -> void;
    auto setPatience() -> void;
    auto onWritten(NetError error) -> void;
    auto readMore() -> void;
    // Reads on once the memory has room.
    auto readWhenRoom() -> void;
    auto onRead(NetError error, std::size_t count) -> void;
    auto parseBuffer() -> void;
    auto onEnd(NetError error) -> void;
    auto newParser() -> void;
    // The reason to give up the response because of its size or of the responses before it; empty if there is none.
    auto findExcess() -> std::string;
    auto onWholeResponse() -> void;
    auto skipResponse() -> void;
    auto lose(TransportErrorKind kind, std::string reason) -> void;
    auto tell(AttemptOutcome outcome, bool isReusable) -> void;
    static auto statedIdle(const HttpResponse& response) -> std::optional<Duration>;

    Tcp::socket socket_;
    asio::steady_timer timer_;
    const Clock& clock_;
    const HeaderNames& names_;
    LateResponse onLateResponse_;
    ResponseBudget& budget_;
    ResponseHold held_;
    std::shared_ptr<const OutgoingRequest> request_;
    std::string head_;
    Connected connected_;
    Done done_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    bool isOpen_ = false;
    bool isReading_ = false;
    bool isWriting_ = false;
    NetError writeFailure_;
    // The read met the end of the connection; the pending write decides whether it was orderly.
    bool endAwaitsWrite_ = false;
    // An answer to another request came on it: it carries no further one.
    bool isTainted_ = false;
    bool isHeldBack_ = false;
    bool hasCarriedResponse_ = false;
    // Current setting of the socket.
    PeerPatience patience_ = PeerPatience::Short;
    // Interim responses and those to earlier requests that came before the one awaited.
    int skippedResponses_ = 0;
    std::optional<Duration> statedIdle_;
    MonotonicTime idleUntil_ {};
};

} // namespace sapphirepass
