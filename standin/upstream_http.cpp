#include "standin/upstream_http.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cpprest/http_listener.h>
#include <cpprest/json.h>
#include <cpprest/producerconsumerstream.h>
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <pplx/threadpool.h>

namespace sapphirepass::standin {

namespace {
    namespace http = web::http;
    using web::json::value;
    using Clock = std::chrono::steady_clock;
    using Timer = boost::asio::steady_timer;

    constexpr int crashExit = 66;
    constexpr std::string_view cancelPath = "/v1/cancel/";

    enum class RunState { Running,
        Answered,
        Cancelled };

    struct Run {
        std::string id_;
        std::string method_;
        std::string target_;
        http::http_headers headers_;
        std::size_t bodyBytes_ = 0;
        RunState state_ = RunState::Running;
        Clock::time_point at_ = Clock::now();
    };

    auto stateName(RunState state) -> std::string
    {
        return state == RunState::Running ? "running" : state == RunState::Answered ? "answered"
                                                                                    : "cancelled";
    }

    auto toJson(const Run& run) -> value
    {
        auto row = value::object();
        row["id"] = value::string(run.id_);
        row["method"] = value::string(run.method_);
        row["target"] = value::string(run.target_);
        row["body_bytes"] = value::number(static_cast<std::int64_t>(run.bodyBytes_));
        row["at_us"] = value::number(static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::microseconds>(run.at_.time_since_epoch()).count()));
        row["state"] = value::string(stateName(run.state_));
        auto headers = value::object();
        for (const auto& [name, text] : run.headers_)
            headers[name] = value::string(text);
        row["headers"] = headers;
        return row;
    }

    auto shedAnswer() -> http::http_response
    {
        http::http_response response(http::status_codes::ServiceUnavailable);
        response.headers().add("Retry-After", 1);
        response.set_body("shed");
        return response;
    }
}

class UpstreamServer::Handler {
public:
    explicit Handler(const UpstreamOptions& options)
        : options_(options)
        , serviceTime_(options.serviceTime_)
        , started_(Clock::now())
        , listener_(fmt::format("http://{}", formatSocketAddress(options.address_)))
    {
        listener_.support([this](const http::http_request& message) { handle(message); });
        listener_.open().wait();
    }

    ~Handler() { listener_.close().wait(); }
    Handler(const Handler&) = delete;
    auto operator=(const Handler&) -> Handler& = delete;

    auto setDraining(bool draining) -> void
    {
        const std::lock_guard lock(mutex_);
        draining_ = draining;
    }

    auto setServiceTime(std::chrono::milliseconds time) -> void
    {
        const std::lock_guard lock(mutex_);
        serviceTime_ = time;
    }

    auto setCutAnswers(bool cut) -> void
    {
        const std::lock_guard lock(mutex_);
        cutAnswers_ = cut;
    }

    auto runCount() const -> std::size_t
    {
        const std::lock_guard lock(mutex_);
        return runs_.size();
    }

    auto runs() const -> std::string
    {
        const std::lock_guard lock(mutex_);
        auto rows = value::array();
        for (const auto& run : runs_)
            rows[rows.size()] = toJson(run);
        return rows.serialize();
    }

private:
    auto handle(const http::http_request& message) -> void
    {
        const auto path = message.request_uri().path();
        if (path == "/control/runs")
            message.reply(http::status_codes::OK, runs(), "application/json");
        else if (path == "/control/settings")
            message.extract_json(true).then([this, message](const value& body) { control(message, body); });
        else if (path == "/health")
            answerHealth(message);
        else if (path == "/load")
            message.reply(http::status_codes::OK, fmt::format("{}", claimedLoad()));
        else if (path.starts_with(cancelPath))
            cancel(message, path.substr(cancelPath.size()));
        else
            serve(message);
    }

    auto control(const http::http_request& message, const value& body) -> void
    {
        const std::lock_guard lock(mutex_);
        if (body.has_boolean_field("draining"))
            draining_ = body.at("draining").as_bool();
        if (body.has_boolean_field("cut_answers"))
            cutAnswers_ = body.at("cut_answers").as_bool();
        if (body.has_integer_field("service_ms"))
            serviceTime_ = std::chrono::milliseconds(body.at("service_ms").as_integer());
        if (body.has_string_field("health"))
            claimedHealth_ = body.at("health").as_string();
        if (body.has_integer_field("load"))
            claimedLoad_ = body.at("load").as_integer();
        message.reply(http::status_codes::OK);
    }

    auto answerHealth(const http::http_request& message) -> void
    {
        const std::lock_guard lock(mutex_);
        const bool good = claimedHealth_ == "true" ? !draining_ : claimedHealth_ == "ok";
        message.reply(good ? http::status_codes::OK : http::status_codes::ServiceUnavailable);
    }

    auto claimedLoad() const -> int
    {
        const std::lock_guard lock(mutex_);
        return claimedLoad_ < 0 ? running_ * 100 / options_.slots_ : claimedLoad_;
    }

    // Time that a run takes now; longer while the server is cold.
    auto currentServiceTime() const -> std::chrono::milliseconds
    {
        const auto age = Clock::now() - started_;
        if (age >= options_.coldStart_)
            return serviceTime_;
        const double coldness = 1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(options_.coldStart_);
        const double factor = 1 + (options_.coldFactor_ - 1) * coldness;
        return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(serviceTime_.count()) * factor));
    }

    auto serve(const http::http_request& message) -> void
    {
        if (message.headers().has("Crash-Upstream"))
            std::_Exit(crashExit);
        std::unique_lock lock(mutex_);
        if (draining_ || running_ >= options_.slots_ || running_ >= options_.connections_) {
            lock.unlock();
            message.reply(shedAnswer());
            return;
        }
        const auto time = currentServiceTime();
        std::int64_t deadline = 0;
        if (message.headers().match("Request-Deadline-Ms", deadline) && deadline < time.count()) {
            lock.unlock();
            message.reply(http::status_codes::GatewayTimeout, "not run: the deadline is too short");
            return;
        }
        ++running_;
        const auto index = runs_.size();
        utility::string_t id;
        message.headers().match("Request-Id", id);
        runs_.push_back({ id, message.method(), message.request_uri().to_string(), message.headers() });
        auto timer = std::make_shared<Timer>(crossplat::threadpool::shared_instance().service(), time);
        timers_[index] = timer;
        lock.unlock();
        message.extract_vector().then([this, message, index, timer](const pplx::task<std::vector<unsigned char>>& task) { run(message, index, timer, task); });
    }

    auto run(const http::http_request& message, std::size_t index, const std::shared_ptr<Timer>& timer, const pplx::task<std::vector<unsigned char>>& task) -> void
    {
        std::size_t bytes = 0;
        try {
            bytes = task.get().size();
        } catch (const std::exception&) {
            finish(index, RunState::Cancelled);
            return;
        }
        {
            const std::lock_guard lock(mutex_);
            runs_[index].bodyBytes_ = bytes;
        }
        timer->async_wait([this, message, index](const boost::system::error_code& cancelled) {
            finish(index, cancelled ? RunState::Cancelled : RunState::Answered);
            if (cancelled)
                message.reply(http::status_codes::InternalError, "cancelled");
            else
                answer(message);
        });
    }

    auto finish(std::size_t index, RunState state) -> void
    {
        const std::lock_guard lock(mutex_);
        runs_[index].state_ = state;
        timers_.erase(index);
        --running_;
    }

    auto answer(const http::http_request& message) -> void
    {
        const auto query = web::uri::split_query(message.request_uri().query());
        auto body = fmt::format("{} {}\n", message.method(), message.request_uri().to_string());
        if (query.contains("bytes"))
            body.resize(std::max<std::size_t>(body.size(), std::stoull(query.at("bytes"))), 'x');
        bool cut = false;
        {
            const std::lock_guard lock(mutex_);
            cut = cutAnswers_;
        }
        if (cut)
            cutAnswer(message, body);
        else
            message.reply(http::status_codes::OK, body, "text/plain");
    }

    // Promises more bytes than it sends, so the connection ends inside the body.
    static auto cutAnswer(const http::http_request& message, const std::string& body) -> void
    {
        concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer;
        http::http_response response(http::status_codes::OK);
        response.set_body(buffer.create_istream(), body.size(), "text/plain");
        message.reply(response);
        const auto half = body.size() / 2;
        auto copy = std::make_shared<std::string>(body);
        buffer.putn_nocopy(reinterpret_cast<const std::uint8_t*>(copy->data()), half).then([buffer, copy](std::size_t) mutable {
            buffer.close(std::ios_base::out);
        });
    }

    auto cancel(const http::http_request& message, const std::string& id) -> void
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [index, timer] : timers_) {
            if (runs_[index].id_ == id) {
                boost::system::error_code ignored;
                timer->cancel(ignored);
            }
        }
        message.reply(http::status_codes::OK);
    }

    UpstreamOptions options_;
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
    std::map<std::size_t, std::shared_ptr<Timer>> timers_;
    int running_ = 0;
    bool draining_ = false;
    bool cutAnswers_ = false;
    // "true" tells the truth.
    std::string claimedHealth_ = "true";
    // Negative tells the truth.
    int claimedLoad_ = -1;
    std::chrono::milliseconds serviceTime_;
    Clock::time_point started_;
    http::experimental::listener::http_listener listener_;
};

UpstreamServer::UpstreamServer(const UpstreamOptions& options)
    : handler_(std::make_unique<Handler>(options))
{
}

UpstreamServer::~UpstreamServer() = default;

auto UpstreamServer::setDraining(bool draining) -> void { handler_->setDraining(draining); }
auto UpstreamServer::setServiceTime(std::chrono::milliseconds time) -> void { handler_->setServiceTime(time); }
auto UpstreamServer::setCutAnswers(bool cut) -> void { handler_->setCutAnswers(cut); }
auto UpstreamServer::runCount() const -> std::size_t { return handler_->runCount(); }
auto UpstreamServer::runs() const -> std::string { return handler_->runs(); }

} // namespace sapphirepass::standin
