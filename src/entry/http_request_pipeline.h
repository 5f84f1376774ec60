// The request pipeline: receive, authenticate, admit, steer, forward, answer.
#pragma once

#include "admission/admitter.h"
#include "admission/authenticate_func.h"
#include "admission/once_filter.h"
#include "base/clock.h"
#include "base/metrics.h"
#include "config/config_state.h"
#include "entry/in_flight.h"
#include "fleet/request_gate.h"
#include "forward/retry_policy.h"
#include "http/http_call.h"
#include "steering/link_meter.h"
#include "steering/steering.h"

#include <atomic>
#include <cpprest/http_msg.h>

namespace sapphirepass {

// What the pipeline is made of; all outlive it.
struct PipelineParts {
    const Clock& clock_;
    const ConfigState& config_;
    Admitter& admitter_;
    Steering& steering_;
    Metrics& metrics_;
    InFlight& inFlight_;
    std::size_t maxHeaderBytes_;
    // Region of this instance and the counter of what answers put on its links; null counts nothing.
    std::string region_ {};
    LinkMeter* links_ = nullptr;
};

class HttpRequestPipeline {
public:
    explicit HttpRequestPipeline(const PipelineParts& parts);

    // Answers the message, now or later on another thread.
    auto handle(const web::http::http_request& message) -> void;
    // To be called before the first request; asked about each request.
    auto setGate(const RequestGate* gate) -> void { gate_ = gate; }
    // To be called before the first request; without it no request needs a ticket.
    auto setOnce(OnceFilter* once) -> void { once_ = once; }
    // From now on new requests are refused as not run.
    auto refuseNew() -> void { refusing_ = true; }

private:
    struct Exchange;
    using ExchangePtr = std::shared_ptr<Exchange>;

    auto admit(const ExchangePtr& exchange) -> Result<Done, Refusal>;
    auto passOnce(const ExchangePtr& exchange) -> bool;
    auto settleOnce(const ExchangePtr& exchange, Executed executed) -> void;
    auto collectBody(const ExchangePtr& exchange) -> void;
    auto steer(const ExchangePtr& exchange) -> void;
    auto forward(const ExchangePtr& exchange, const Assignment& assignment) -> void;
    auto finishCall(const ExchangePtr& exchange, const Assignment& assignment, HttpCallResult result) -> void;
    auto retryOrRefuse(const ExchangePtr& exchange, const Assignment& assignment, CallOutcome outcome, const Refusal& refusal) -> void;
    auto answerWhole(const ExchangePtr& exchange, const Assignment& assignment, HttpAnswer upstream) -> void;
    auto answerStreamed(const ExchangePtr& exchange, const Assignment& assignment, const HttpAnswer& upstream) -> void;
    auto noteAnswerBytes(const ExchangePtr& exchange, const Assignment& assignment, std::int64_t bytes) -> void;
    auto refuseLate(const ExchangePtr& exchange, const Assignment& assignment) -> void;
    auto cancelRun(const ExchangePtr& exchange, const Assignment& assignment) -> void;
    auto refuse(const ExchangePtr& exchange, const Refusal& refusal) -> void;
    auto replyEarly(const ExchangePtr& exchange, const web::http::http_response& response) -> void;
    auto replyUncounted(const ExchangePtr& exchange, const web::http::http_response& response) -> void;
    auto reply(const ExchangePtr& exchange, const web::http::http_response& response) -> void;

    PipelineParts parts_;
    HttpCaller upstreams_;
    RetryBudget notRunRetries_;
    RetryBudget lostRetries_;
    const RequestGate* gate_ = nullptr;
    OnceFilter* once_ = nullptr;
    std::atomic<bool> refusing_ { false };
};

} // namespace sapphirepass
