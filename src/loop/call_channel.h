// A client of one HTTP server: one call at a time on one kept connection, each with a time limit.
#pragma once

#include "base/clock.h"
#include "base/message_parser.h"
#include "base/socket_address.h"
#include "loop/net_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace sapphirepass {

enum class CallErrorKind {
    // No connection: nothing was sent.
    NotSent,
    // Sent; whether it took effect is not known.
    AnswerLost,
};

struct CallError {
    CallErrorKind kind_ = CallErrorKind::NotSent;
    std::string message_;
    // The call went out on a connection that had been opened for an earlier one.
    bool wasReused_ = false;
    // Ended by its time limit.
    bool isTimeout_ = false;

    auto operator<=>(const CallError&) const = default;
};

using CallResult = std::variant<HttpResponse, CallError>;

class CallChannel : public std::enable_shared_from_this<CallChannel> {
public:
    // The platform's answers hold a list of about a megabyte at most.
    static constexpr std::uint64_t defaultMaxBodyBytes = 8 * 1024 * 1024;

    using Done = std::function<void(CallResult)>;

    // Answers with longer bodies are given up.
    CallChannel(asio::io_context& loop, SocketAddress server, std::uint64_t maxBodyBytes = defaultMaxBodyBytes);

    // Calls go to another server from now on; the connection to the one before ends.
    auto setServer(const SocketAddress& server) -> void;
    // One call at a time. An answer that is still arriving at its time limit gets a few seconds more.
    auto call(HttpRequest request, Duration limit, Done done) -> void;
    // Drops the call under way, unanswered.
    auto stop() -> void;
    // Bytes of all answers so far, incomplete ones included.
    auto receivedBytes() const -> std::uint64_t { return receivedBytes_; }

private:
    auto startTimer(Duration limit) -> void;
    auto onTimeLimit() -> void;
    auto connect() -> void;
    auto write() -> void;
    auto readMore() -> void;
    auto onRead(NetError error, std::size_t count) -> void;
    auto fail(std::string message) -> void;
    auto failByTimeout() -> void;
    auto end(CallError error) -> void;

    Tcp::socket socket_;
    asio::steady_timer timer_;
    SocketAddress server_;
    std::uint64_t maxBodyBytes_;
    std::optional<HttpRequest> request_;
    std::string bytes_;
    Done done_;
    boost::beast::flat_buffer buffer_;
    std::optional<MessageParser<false>> parser_;
    bool isConnected_ = false;
    bool isSent_ = false;
    bool isWriting_ = false;
    bool isReused_ = false;
    std::uint64_t number_ = 0;
    std::uint64_t receivedBytes_ = 0;
    // When the time limit was last set.
    std::uint64_t receivedBefore_ = 0;
    int extensions_ = 0;
};

} // namespace sapphirepass
