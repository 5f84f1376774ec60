// The daemon's HTTP listener: look-ups, health, metrics, operators' calls and callers' requests.
#pragma once

#include "base/metrics.h"
#include "config/config_state.h"
#include "entry/http_operator_api.h"
#include "entry/http_request_pipeline.h"
#include "fleet/instance_list.h"
#include "settings/entry_settings.h"

#include <cpprest/http_listener.h>

namespace sapphirepass {

class HttpEntryServer {
public:
    HttpEntryServer(const EntrySettings& settings, const ConfigState& config, const InstanceList& instances,
        HttpRequestPipeline& pipeline, HttpOperatorApi& operators, Metrics& metrics, InFlight& inFlight);

    // To be called before open().
    auto setFleet(FleetNode* fleet) -> void { fleet_ = fleet; }
    // Makes GET /v1/ticket?workspace=NAME answer; to be called before open().
    auto setOnce(const OnceFilter* once) -> void { once_ = once; }
    // Throws web::http::http_exception if the address cannot be listened on.
    auto open() -> void;
    // Cuts what is in flight, so it comes after the last request.
    auto close() -> void;
    // Look-ups no longer name this instance, and its health page says that it is leaving.
    auto announceLeaving() -> void { leaving_ = true; }

private:
    auto handle(const web::http::http_request& message) -> void;
    auto answerTicket(const web::http::http_request& message) -> void;
    auto answerLookup(const web::http::http_request& message) -> void;
    auto answerHealth(const web::http::http_request& message) -> void;

    const EntrySettings& settings_;
    const ConfigState& config_;
    const InstanceList& instances_;
    HttpRequestPipeline& pipeline_;
    HttpOperatorApi& operators_;
    Metrics& metrics_;
    InFlight& inFlight_;
    FleetNode* fleet_ = nullptr;
    const OnceFilter* once_ = nullptr;
    std::atomic<bool> leaving_ { false };
    web::http::experimental::listener::http_listener listener_;
};

} // namespace sapphirepass
