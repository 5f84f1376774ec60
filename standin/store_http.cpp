#include "standin/store_http.h"

#include <boost/asio/steady_timer.hpp>
#include <cpprest/http_listener.h>
#include <cpprest/json.h>
#include <fmt/format.h>
#include <pplx/threadpool.h>

namespace sapphirepass::standin {

namespace {
    namespace http = web::http;
    using web::json::value;

    constexpr std::string_view objectsPath = "/v1/objects/";

    auto statusOf(const StoreError& error) -> http::status_code
    {
        switch (error.kind_) {
        case StoreErrorKind::NotFound:
            return http::status_codes::NotFound;
        case StoreErrorKind::Conflict:
            return http::status_codes::PreconditionFailed;
        case StoreErrorKind::TooLarge:
            return http::status_codes::RequestEntityTooLarge;
        default:
            return http::status_codes::ServiceUnavailable;
        }
    }

    auto objectAnswer(const StoredObject& object) -> http::http_response
    {
        http::http_response response(http::status_codes::OK);
        response.headers().add("ETag", object.version_);
        response.set_body(object.value_, "application/octet-stream");
        return response;
    }

    auto readInstance(const value& row) -> PlatformInstance
    {
        const auto address = [&row](const char* name) { return parseSocketAddress(row.at(name).as_string()).value_or(SocketAddress {}); };
        const bool leaving = row.has_field("phase") && row.at("phase").as_string() == "leaving";
        return { row.at("name").as_string(), row.at("region").as_string(), row.at("domain").as_string(), address("http"), address("peer"),
            leaving ? InstancePhase::Leaving : InstancePhase::Live };
    }

    auto writeInstance(const PlatformInstance& instance) -> value
    {
        auto row = value::object();
        row["name"] = value::string(instance.name_);
        row["region"] = value::string(instance.region_);
        row["domain"] = value::string(instance.domain_);
        row["http"] = value::string(formatSocketAddress(instance.http_));
        row["peer"] = value::string(formatSocketAddress(instance.peer_));
        row["phase"] = value::string(instance.phase_ == InstancePhase::Leaving ? "leaving" : "live");
        return row;
    }

    auto numberField(const value& body, const char* name) -> int
    {
        return body.has_integer_field(name) ? body.at(name).as_integer() : 0;
    }
}

class StoreServer::Handler {
public:
    Handler(MemoryStore& store, const SocketAddress& address)
        : store_(store)
        , listener_(fmt::format("http://{}", formatSocketAddress(address)))
    {
        listener_.support([this](const http::http_request& message) { delay(message); });
        listener_.open().wait();
    }

    ~Handler() { listener_.close().wait(); }
    Handler(const Handler&) = delete;
    auto operator=(const Handler&) -> Handler& = delete;

private:
    auto delay(const http::http_request& message) -> void
    {
        const auto slowness = store_.faults().slowness_;
        if (slowness.count() == 0 || message.request_uri().path().starts_with("/control/")) {
            handle(message);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(crossplat::threadpool::shared_instance().service(), slowness);
        timer->async_wait([this, timer, message](const boost::system::error_code&) { handle(message); });
    }

    auto handle(const http::http_request& message) -> void
    {
        const auto path = message.request_uri().path();
        if (path.starts_with("/control/"))
            control(message, path);
        else if (path.starts_with(objectsPath))
            objectCall(message, path.substr(objectsPath.size()));
        else if (path == "/v1/objects")
            answerList(message);
        else if (path == "/v1/instances")
            answerInstances(message);
        else
            message.reply(http::status_codes::NotFound);
    }

    auto objectCall(const http::http_request& message, const std::string& name) -> void
    {
        ObjectVersion expected = absentVersion;
        message.headers().match("If-Match", expected);
        if (message.method() == http::methods::GET) {
            answerRead(message, name);
        } else if (message.method() == http::methods::PUT) {
            http::http_request(message).extract_utf8string(true).then([this, message, name, expected](const std::string& body) { answerWrite(message, name, body, expected); });
        } else {
            const auto removed = store_.remove(name, expected);
            message.reply(isOk(removed) ? http::status_codes::OK : statusOf(errorOf(removed)));
        }
    }

    auto answerRead(const http::http_request& message, const std::string& name) -> void
    {
        const auto query = web::uri::split_query(message.request_uri().query());
        if (!query.contains("after")) {
            const auto object = store_.read(name);
            message.reply(isOk(object) ? objectAnswer(valueOf(object)) : http::http_response(statusOf(errorOf(object))));
            return;
        }
        const std::chrono::milliseconds longest(std::stoll(query.at("wait_ms")));
        // A waiting watch keeps a thread of the pool; stand-ins have few watchers.
        const auto watched = store_.watch(name, std::stoll(query.at("after")), longest);
        if (!isOk(watched))
            message.reply(statusOf(errorOf(watched)));
        else if (!valueOf(watched))
            message.reply(http::status_codes::NotModified);
        else
            message.reply(objectAnswer(*valueOf(watched)));
    }

    auto answerWrite(const http::http_request& message, const std::string& name, const std::string& body, ObjectVersion expected) -> void
    {
        const auto written = store_.write(name, body, expected);
        if (!isOk(written) && errorOf(written).kind_ == StoreErrorKind::AnswerLost) {
            loseAnswer(message);
            return;
        }
        http::http_response response(isOk(written) ? http::status_codes::OK : statusOf(errorOf(written)));
        if (isOk(written))
            response.headers().add("ETag", valueOf(written));
        message.reply(response);
    }

    // Keeps the request open without an answer; the client's time limit ends it.
    auto loseAnswer(const http::http_request& message) -> void
    {
        const std::lock_guard lock(mutex_);
        unanswered_.push_back(message);
    }

    auto answerList(const http::http_request& message) -> void
    {
        const auto query = web::uri::split_query(message.request_uri().query());
        const auto prefix = query.contains("prefix") ? web::uri::decode(query.at("prefix")) : std::string();
        const auto names = store_.list(prefix);
        if (!isOk(names)) {
            message.reply(statusOf(errorOf(names)));
            return;
        }
        auto body = value::array();
        for (const auto& name : valueOf(names))
            body[body.size()] = value::string(name);
        message.reply(http::status_codes::OK, body);
    }

    auto answerInstances(const http::http_request& message) -> void
    {
        const auto instances = store_.instances();
        if (!isOk(instances)) {
            message.reply(statusOf(errorOf(instances)));
            return;
        }
        auto body = value::array();
        for (const auto& instance : valueOf(instances))
            body[body.size()] = writeInstance(instance);
        message.reply(http::status_codes::OK, body);
    }

    auto control(const http::http_request& message, const std::string& path) -> void
    {
        if (path == "/control/calls") {
            const auto calls = store_.calls();
            auto body = value::object();
            body["reads"] = value::number(calls.reads_);
            body["writes"] = value::number(calls.writes_);
            body["watches"] = value::number(calls.watches_);
            body["lists"] = value::number(calls.lists_);
            message.reply(http::status_codes::OK, body);
            return;
        }
        message.extract_json(true).then([this, message, path](const value& body) {
            if (path == "/control/faults") {
                const bool outage = body.has_boolean_field("outage") && body.at("outage").as_bool();
                store_.setFaults({ outage, std::chrono::milliseconds(numberField(body, "slow_ms")), numberField(body, "lost_answers") });
            } else {
                std::vector<PlatformInstance> instances;
                for (const auto& row : body.as_array())
                    instances.push_back(readInstance(row));
                store_.setInstances(std::move(instances));
            }
            message.reply(http::status_codes::OK);
        });
    }

    MemoryStore& store_;
    std::mutex mutex_;
    std::vector<http::http_request> unanswered_;
    http::experimental::listener::http_listener listener_;
};

StoreServer::StoreServer(MemoryStore& store, const SocketAddress& address)
    : handler_(std::make_unique<Handler>(store, address))
{
}

StoreServer::~StoreServer() = default;

} // namespace sapphirepass::standin
