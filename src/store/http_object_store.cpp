#include "store/http_object_store.h"

#include "http/http_call.h"

#include <cpprest/http_msg.h>
#include <cpprest/json.h>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    namespace http = web::http;

    struct StoreAnswer {
        http::status_code status_ = 0;
        ObjectVersion version_ = absentVersion;
        std::string body_;
    };

    auto errorFor(const StoreAnswer& answer) -> StoreError
    {
        switch (answer.status_) {
        case http::status_codes::NotFound:
            return { StoreErrorKind::NotFound, "no such object" };
        case http::status_codes::PreconditionFailed:
            return { StoreErrorKind::Conflict, "the object is at another version" };
        case http::status_codes::RequestEntityTooLarge:
            return { StoreErrorKind::TooLarge, "the value is too large" };
        case http::status_codes::ServiceUnavailable:
            return { StoreErrorKind::Unreachable, "the store refuses calls" };
        default:
            return { StoreErrorKind::Protocol, fmt::format("unexpected status {}", answer.status_) };
        }
    }

    auto parseVersion(const http::http_headers& headers) -> ObjectVersion
    {
        ObjectVersion version = absentVersion;
        headers.match("ETag", version);
        return version;
    }

    auto phaseOf(const std::string& text) -> InstancePhase
    {
        return text == "leaving" ? InstancePhase::Leaving : InstancePhase::Live;
    }

    auto decodeInstance(const web::json::value& row) -> PlatformInstance
    {
        return { row.at("name").as_string(), row.at("region").as_string(), row.at("domain").as_string(),
            parseSocketAddress(row.at("http").as_string()).value_or(SocketAddress {}),
            parseSocketAddress(row.at("peer").as_string()).value_or(SocketAddress {}), phaseOf(row.at("phase").as_string()) };
    }
}

class HttpObjectStore::Transport {
public:
    Transport(const SocketAddress& address, std::chrono::milliseconds timeout)
        : address_(address)
        , timeout_(timeout)
    {
    }

    auto readCall(const std::string& path) -> Result<StoreAnswer, StoreError>
    {
        return call({ "GET", path, {}, MemoryBody {}, Repeatability::Idempotent, timeout_ });
    }

    auto watchCall(const std::string& path, std::chrono::milliseconds longest) -> Result<StoreAnswer, StoreError>
    {
        return call({ "GET", path, {}, MemoryBody {}, Repeatability::Once, longest + timeout_ });
    }

    auto writeCall(const std::string& method, const std::string& path, ObjectVersion expected, const std::string& value) -> Result<StoreAnswer, StoreError>
    {
        return call({ method, path, { { "If-Match", fmt::format("{}", expected) }, { "Content-Type", "application/octet-stream" } }, MemoryBody(value.begin(), value.end()), Repeatability::Once, timeout_ });
    }

private:
    auto call(HttpCall call) -> Result<StoreAnswer, StoreError>
    {
        const auto result = caller_.call(address_, std::move(call)).get();
        if (!isOk(result)) {
            const auto& error = errorOf(result);
            return StoreError { error.kind_ == HttpCallErrorKind::NotSent ? StoreErrorKind::Unreachable : StoreErrorKind::AnswerLost, error.message_ };
        }
        const auto& answer = valueOf(result);
        const auto& body = std::get<MemoryBody>(answer.body_);
        return StoreAnswer { static_cast<http::status_code>(answer.status_), parseVersion(answer.headers_), std::string(body.begin(), body.end()) };
    }

    SocketAddress address_;
    std::chrono::milliseconds timeout_;
    HttpCaller caller_;
};

HttpObjectStore::HttpObjectStore(const SocketAddress& address, std::chrono::milliseconds timeout)
    : transport_(std::make_unique<Transport>(address, timeout))
{
}

HttpObjectStore::~HttpObjectStore() = default;

auto HttpObjectStore::read(const std::string& name) -> Result<StoredObject, StoreError>
{
    auto answer = transport_->readCall("/v1/objects/" + name);
    if (!isOk(answer))
        return errorOf(answer);
    if (valueOf(answer).status_ != http::status_codes::OK)
        return errorFor(valueOf(answer));
    return StoredObject { name, valueOf(answer).version_, valueOf(answer).body_ };
}

auto HttpObjectStore::write(const std::string& name, const std::string& value, ObjectVersion expected) -> Result<ObjectVersion, StoreError>
{
    auto answer = transport_->writeCall("PUT", "/v1/objects/" + name, expected, value);
    if (!isOk(answer))
        return errorOf(answer);
    if (valueOf(answer).status_ != http::status_codes::OK)
        return errorFor(valueOf(answer));
    return valueOf(answer).version_;
}

auto HttpObjectStore::remove(const std::string& name, ObjectVersion expected) -> Result<Done, StoreError>
{
    auto answer = transport_->writeCall("DELETE", "/v1/objects/" + name, expected, "");
    if (!isOk(answer))
        return errorOf(answer);
    if (valueOf(answer).status_ != http::status_codes::OK)
        return errorFor(valueOf(answer));
    return Done {};
}

auto HttpObjectStore::watch(const std::string& name, ObjectVersion after, std::chrono::milliseconds longest) -> Result<std::optional<StoredObject>, StoreError>
{
    auto answer = transport_->watchCall(fmt::format("/v1/objects/{}?after={}&wait_ms={}", name, after, longest.count()), longest);
    if (!isOk(answer))
        return errorOf(answer);
    if (valueOf(answer).status_ == http::status_codes::NotModified)
        return std::optional<StoredObject> {};
    if (valueOf(answer).status_ != http::status_codes::OK)
        return errorFor(valueOf(answer));
    return std::optional { StoredObject { name, valueOf(answer).version_, valueOf(answer).body_ } };
}

auto HttpObjectStore::list(const std::string& prefix) -> Result<std::vector<std::string>, StoreError>
{
    auto answer = transport_->readCall("/v1/objects?prefix=" + web::uri::encode_data_string(prefix));
    if (!isOk(answer))
        return errorOf(answer);
    if (valueOf(answer).status_ != http::status_codes::OK)
        return errorFor(valueOf(answer));
    std::vector<std::string> names;
    try {
        const auto body = web::json::value::parse(valueOf(answer).body_);
        for (const auto& name : body.as_array())
            names.push_back(name.as_string());
    } catch (const web::json::json_exception& error) {
        return StoreError { StoreErrorKind::Protocol, error.what() };
    }
    return names;
}

auto HttpObjectStore::instances() -> Result<std::vector<PlatformInstance>, StoreError>
{
    auto answer = transport_->readCall("/v1/instances");
    if (!isOk(answer))
        return errorOf(answer);
    if (valueOf(answer).status_ != http::status_codes::OK)
        return errorFor(valueOf(answer));
    std::vector<PlatformInstance> instances;
    try {
        const auto body = web::json::value::parse(valueOf(answer).body_);
        for (const auto& row : body.as_array())
            instances.push_back(decodeInstance(row));
    } catch (const web::json::json_exception& error) {
        return StoreError { StoreErrorKind::Protocol, error.what() };
    }
    return instances;
}

} // namespace sapphirepass
