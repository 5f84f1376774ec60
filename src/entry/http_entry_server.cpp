#include "entry/http_entry_server.h"

#include "base/texts.h"
#include "entry/http_fleet_api.h"
#include "entry/http_problem.h"
#include "steering/lookup_func.h"

#include <cpprest/json.h>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    namespace http = web::http;
    using web::json::value;

    auto instanceJson(const PlatformInstance& instance) -> value
    {
        auto json = value::object();
        json["instance"] = value::string(instance.name_);
        json["region"] = value::string(instance.region_);
        json["address"] = value::string(formatSocketAddress(instance.http_));
        return json;
    }

    auto refuseAs(const http::http_request& message, RefusalKind kind, std::string_view text) -> void
    {
        message.reply(makeProblem({ kind, std::string(text) }));
    }
}

HttpEntryServer::HttpEntryServer(const EntrySettings& settings, const ConfigState& config, const InstanceList& instances,
    HttpRequestPipeline& pipeline, HttpOperatorApi& operators, Metrics& metrics, InFlight& inFlight)
    : settings_(settings)
    , config_(config)
    , instances_(instances)
    , pipeline_(pipeline)
    , operators_(operators)
    , metrics_(metrics)
    , inFlight_(inFlight)
    , listener_(fmt::format("http://{}", formatSocketAddress(settings.http_)))
{
    listener_.support([this](const http::http_request& message) { handle(message); });
}

auto HttpEntryServer::open() -> void
{
    listener_.open().wait();
}

auto HttpEntryServer::close() -> void
{
    listener_.close().wait();
}

auto HttpEntryServer::handle(const http::http_request& message) -> void
{
    const auto path = message.request_uri().path();
    const bool get = message.method() == http::methods::GET;
    if (path.starts_with("/w/"))
        pipeline_.handle(message);
    else if (get && path == "/v1/lookup")
        answerLookup(message);
    else if (get && path == "/v1/ticket" && once_ != nullptr)
        answerTicket(message);
    else if (get && path == "/healthz")
        answerHealth(message);
    else if (get && path == "/metrics")
        message.reply(http::status_codes::OK, metrics_.render(), "text/plain; version=0.0.4");
    else if (get && path == "/v1/in_force" && fleet_ != nullptr)
        answerInForce(*fleet_, message);
    else if (message.method() == http::methods::POST && path == "/v1/operate")
        operators_.handle(message);
    else
        refuseAs(message, RefusalKind::NotFound, texts::pathInvalid);
}

auto HttpEntryServer::answerTicket(const http::http_request& message) -> void
{
    const auto query = web::uri::split_query(message.request_uri().query());
    const auto workspace = query.find("workspace");
    if (workspace == query.end() || config_.snapshot()->find<Workspace>(workspace->second) == nullptr) {
        refuseAs(message, RefusalKind::NotFound, texts::ticketWorkspace);
        return;
    }
    auto body = value::object();
    body["ticket"] = value::string(once_->issueTicket(workspace->second));
    body["instance"] = value::string(settings_.name_);
    message.reply(http::status_codes::OK, body);
}

auto HttpEntryServer::answerLookup(const http::http_request& message) -> void
{
    const auto query = web::uri::split_query(message.request_uri().query());
    const auto field = [&query](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : web::uri::decode(found->second);
    };
    const LookupRequest request { field("workspace"), field("client").empty() ? message.remote_address() : field("client") };
    const auto snapshot = config_.snapshot();
    if (!request.workspace_.empty() && snapshot->find<Workspace>(request.workspace_) == nullptr) {
        refuseAs(message, RefusalKind::NotFound, fmt::format(texts::workspaceUnknown, request.workspace_));
        return;
    }
    auto instances = instances_.instances();
    if (leaving_)
        std::erase_if(instances, [this](const auto& instance) { return instance.name_ == settings_.name_; });
    // Who announced that it leaves is named no more, although the platform still lists it.
    if (fleet_ != nullptr)
        std::erase_if(instances, [this](const auto& instance) { return !fleet_->isMember(instance.name_); });
    const auto answer = lookUpInstances(*snapshot, instances, settings_.region_, request);
    if (answer.instances_.empty()) {
        message.reply(makeProblem({ RefusalKind::Overloaded, std::string(texts::noInstance), Executed::No, std::chrono::seconds(1) }));
        return;
    }
    auto body = value::object();
    body["use"] = instanceJson(answer.instances_.front());
    auto others = value::array();
    for (std::size_t i = 1; i < answer.instances_.size(); ++i)
        others[i - 1] = instanceJson(answer.instances_[i]);
    body["alternatives"] = others;
    body["lifetime_seconds"] = value::number(static_cast<std::int64_t>(answer.lifetime_.count()));
    message.reply(http::status_codes::OK, body);
}

auto HttpEntryServer::answerHealth(const http::http_request& message) -> void
{
    const auto snapshot = config_.snapshot();
    auto body = value::object();
    body["instance"] = value::string(settings_.name_);
    body["region"] = value::string(settings_.region_);
    body["domain"] = value::string(settings_.domain_);
    body["state"] = value::string(leaving_ ? "leaving" : "serving");
    body["revision"] = value::number(snapshot->revision());
    body["state_hash"] = value::string(fmt::format("{:016x}", snapshot->stateHash()));
    if (fleet_ != nullptr)
        body["current"] = value::boolean(fleet_->isCurrent());
    body["in_flight"] = value::number(inFlight_.count());
    message.reply(leaving_ ? http::status_codes::ServiceUnavailable : http::status_codes::OK, body);
}

} // namespace sapphirepass
