// Calls to HTTP servers that may be faulty: what their answers take of the memory is bounded.
#pragma once

#include "base/request_type.h"
#include "base/result.h"
#include "base/socket_address.h"

#include <chrono>
#include <cpprest/http_headers.h>
#include <cpprest/streams.h>
#include <memory>
#include <optional>
#include <pplx/pplxtasks.h>
#include <string>
#include <variant>
#include <vector>

namespace sapphirepass {

// Bytes of one answer that are held in memory. Longer ones are given up unless they are streamed through.
inline constexpr std::size_t maxHeldAnswer = 8 * 1024 * 1024;

// A body is held in memory, so that it can be sent again, or streamed through once.
using MemoryBody = std::vector<unsigned char>;
struct StreamBody {
    concurrency::streams::istream stream_;
    std::int64_t length_ = 0;
};
using RequestBody = std::variant<MemoryBody, StreamBody>;

struct HttpCall {
    std::string method_;
    // Path and query.
    std::string target_;
    std::vector<Header> headers_;
    RequestBody body_;
    // An idempotent call may go out on a kept connection, and once more if the server has closed it.
    Repeatability repeatability_ = Repeatability::Once;
    // For the whole call, until the last byte of the answer.
    std::chrono::milliseconds timeout_ { 0 };
    // Answers whose stated length is above this are streamed through; none are without it.
    std::optional<std::size_t> streamAbove_ {};
};

// The body of an answer that is still arriving.
struct ArrivingBody {
    concurrency::streams::istream stream_;
    std::int64_t length_ = 0;
    // Why it broke off; empty if it is complete.
    pplx::task<std::string> end_;
};

struct HttpAnswer {
    unsigned status_ = 0;
    std::string reason_;
    web::http::http_headers headers_;
    std::variant<MemoryBody, ArrivingBody> body_;
};

enum class HttpCallErrorKind {
    // There was no connection; nothing was sent.
    NotSent,
    // The call ended without a whole answer; it may have taken effect.
    Lost,
    TimedOut,
};

struct HttpCallError {
    HttpCallErrorKind kind_;
    std::string message_;

    auto operator<=>(const HttpCallError&) const = default;
};

using HttpCallResult = Result<HttpAnswer, HttpCallError>;

// Thread-safe. Calls go on after it has been destroyed.
class HttpCaller {
public:
    HttpCaller();
    // Never throws; the task has no exception.
    auto call(const SocketAddress& server, HttpCall call) -> pplx::task<HttpCallResult>;

private:
    class Shared;
    class Exchange;

    std::shared_ptr<Shared> shared_;
};

} // namespace sapphirepass
