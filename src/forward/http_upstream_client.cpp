#include "forward/http_upstream_client.h"

#include "base/http_status.h"

#include <boost/asio/steady_timer.hpp>
#include <cpprest/rawptrstream.h>
#include <fmt/format.h>
#include <pplx/threadpool.h>

namespace sapphirepass {

namespace {
    namespace http = web::http;
    using Client = http::client::http_client;

    // Deadlines are enforced by cancellation; the library's own timeout only has to be longer.
    constexpr std::chrono::seconds clientTimeout { 7'200 };

    auto makeClient(const SocketAddress& address) -> std::shared_ptr<Client>
    {
        http::client::http_client_config config;
        config.set_timeout(clientTimeout);
        return std::make_shared<Client>(fmt::format("http://{}", formatSocketAddress(address)), config);
    }

    auto makeMessage(const UpstreamRequest& request) -> http::http_request
    {
        http::http_request message(request.method_);
        message.set_request_uri(request.target_);
        for (const auto& header : request.headers_)
            message.headers().add(header.name_, header.value_);
        // set_body() overwrites the content type, so the caller's is restored afterwards.
        utility::string_t type;
        message.headers().match("Content-Type", type);
        if (const auto* memory = std::get_if<MemoryBody>(&request.body_); memory != nullptr && !memory->empty())
            message.set_body(*memory);
        else if (const auto* stream = std::get_if<StreamBody>(&request.body_))
            message.set_body(stream->stream_, static_cast<utility::size64_t>(stream->length_), type);
        if (!type.empty())
            message.headers().set_content_type(type);
        return message;
    }

    // Cancels a call on timeout. Has no effect once the call has ended.
    class CallTimer {
    public:
        explicit CallTimer(std::chrono::milliseconds timeout)
            : timer_(crossplat::threadpool::shared_instance().service(), timeout)
        {
        }

        auto start() -> void
        {
            auto cancellation = cancellation_;
            auto expired = expired_;
            timer_.async_wait([cancellation, expired](const boost::system::error_code& aborted) {
                if (aborted)
                    return;
                *expired = true;
                cancellation.cancel();
            });
        }

        auto stop() -> void
        {
            boost::system::error_code ignored;
            timer_.cancel(ignored);
        }

        auto token() const -> pplx::cancellation_token { return cancellation_.get_token(); }
        auto isExpired() const -> bool { return *expired_; }

    private:
        boost::asio::steady_timer timer_;
        pplx::cancellation_token_source cancellation_;
        std::shared_ptr<std::atomic<bool>> expired_ = std::make_shared<std::atomic<bool>>(false);
    };

    auto errorFor(const http::http_exception& error, bool expired) -> UpstreamError
    {
        if (expired)
            return { UpstreamErrorKind::TimedOut, "the deadline has passed" };
        const bool refused = error.error_code() == std::errc::connection_refused;
        return { refused ? UpstreamErrorKind::NotSent : UpstreamErrorKind::Lost, error.what() };
    }
}

auto HttpUpstreamClient::clientFor(const Upstream& upstream, Repeatability repeatability) -> std::shared_ptr<Client>
{
    // The library silently resends a request when a reused connection closes before the response,
    // so a request that may run only once is never sent on a reused connection.
    if (repeatability == Repeatability::Once)
        return makeClient(upstream.address_);
    const std::lock_guard lock(mutex_);
    auto& client = pooled_[upstream.address_];
    if (!client)
        client = makeClient(upstream.address_);
    return client;
}

auto HttpUpstreamClient::call(const Upstream& upstream, const UpstreamRequest& request) -> pplx::task<UpstreamResult>
{
    auto client = clientFor(upstream, request.repeatability_);
    auto timer = std::make_shared<CallTimer>(request.timeout_);
    timer->start();
    return client->request(makeMessage(request), timer->token()).then([client, timer](const pplx::task<http::http_response>& task) -> UpstreamResult {
        try {
            auto response = task.get();
            if (!isHttpStatus(response.status_code())) {
                timer->stop();
                return UpstreamError { UpstreamErrorKind::Lost, "the status is out of range" };
            }
            // The deadline covers the body as well, so the timer runs until the body has arrived.
            response.content_ready().then([client, timer](const pplx::task<http::http_response>& ready) {
                timer->stop();
                try {
                    ready.wait();
                } catch (const std::exception&) {
                    // Ignored here: the reader of the body gets the same error.
                }
            });
            return response;
        } catch (const http::http_exception& error) {
            timer->stop();
            return errorFor(error, timer->isExpired());
        } catch (const pplx::task_canceled&) {
            return UpstreamError { UpstreamErrorKind::TimedOut, "the deadline has passed" };
        }
    });
}

} // namespace sapphirepass
