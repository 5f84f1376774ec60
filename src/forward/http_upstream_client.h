// Calls upstreams over HTTP.
#pragma once

#include "base/request_type.h"
#include "base/result.h"
#include "config/config_type.h"

#include <cpprest/http_client.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace sapphirepass {

// A body is held in memory, so that it can be sent again, or streamed through once.
using MemoryBody = std::vector<unsigned char>;
struct StreamBody {
    concurrency::streams::istream stream_;
    std::int64_t length_ = 0;
};
using UpstreamBody = std::variant<MemoryBody, StreamBody>;

struct UpstreamRequest {
    std::string method_;
    // Path and query.
    std::string target_;
    std::vector<Header> headers_;
    UpstreamBody body_;
    Repeatability repeatability_ = Repeatability::Once;
    std::chrono::milliseconds timeout_ { 0 };
};

enum class UpstreamErrorKind {
    // The connection was refused; nothing was sent.
    NotSent,
    // The call ended without a response; the request may have run.
    Lost,
    TimedOut,
};

struct UpstreamError {
    UpstreamErrorKind kind_;
    std::string message_;
};

// On success the head of the response; its body may still be arriving.
using UpstreamResult = Result<web::http::http_response, UpstreamError>;

class HttpUpstreamClient {
public:
    auto call(const Upstream& upstream, const UpstreamRequest& request) -> pplx::task<UpstreamResult>;

private:
    using Client = web::http::client::http_client;

    auto clientFor(const Upstream& upstream, Repeatability repeatability) -> std::shared_ptr<Client>;

    std::mutex mutex_;
    std::map<SocketAddress, std::shared_ptr<Client>> pooled_;
};

} // namespace sapphirepass
