// A pool of connections to one server on a test's own event loop.
#pragma once

#include "loop/upstream_pool.h"
#include "standin/loop_peer.h"

#include <fmt/format.h>
#include <stdexcept>

namespace sapphirepass::standin {

inline const HeaderNames names { "Try-Id", "Left-Ms", "Object", "Key", "Workspace", "Only-At", "Proof", "Not-Run", "Load", "Cold-Ms", "Leaving", "Limit" };

inline auto success(const std::string& id, const std::string& body, const std::string& more = "") -> std::string
{
    return fmt::format("HTTP/1.1 200 OK\r\nTry-Id: {}\r\nProof: p\r\n{}Content-Length: {}\r\n\r\n{}", id, more, body.size(), body);
}

// Calls one server through a pool.
struct PoolFixture {
    explicit PoolFixture(LoopServer::Script script)
        : server_(loop_, std::move(script))
    {
        upstream_->entry_.address_ = server_.address();
    }

    // The outcome of one call.
    auto call(const std::string& id, std::string body = "") -> AttemptOutcome
    {
        auto request = std::make_shared<OutgoingRequest>(body.empty() ? http::verb::get : http::verb::post, "/x", 11);
        request->set(names.attempt_, id);
        request->body() = std::move(body);
        request->content_length(request->body().size());
        std::optional<AttemptOutcome> outcome;
        const auto attempt = pool_.call(upstream_, request, [&outcome](AttemptOutcome told) { outcome = std::move(told); });
        if (!runUntil(loop_, [&outcome] { return outcome.has_value(); }))
            throw std::runtime_error("no outcome of " + id);
        return *std::move(outcome);
    }

    auto body(const AttemptOutcome& outcome) const -> std::string
    {
        const auto* response = std::get_if<UpstreamResponse>(&outcome);
        return response == nullptr ? "(lost)" : response->body();
    }

    asio::io_context loop_;
    SystemClock clock_;
    UpstreamPool pool_ { loop_, clock_, names, { 1'000'000, 0 }, [this](Upstream&, const HttpResponse&) { ++lateResponses_; } };
    int lateResponses_ = 0;
    UpstreamPtr upstream_ = std::make_shared<Upstream>();
    LoopServer server_;
};

inline auto lossOf(const AttemptOutcome& outcome) -> std::optional<TransportErrorKind>
{
    const auto* loss = std::get_if<TransportError>(&outcome);
    return loss == nullptr ? std::nullopt : std::optional(loss->kind_);
}

} // namespace sapphirepass::standin
