// Asks upstreams for their health while discovery is away. See gateway/upstreams/cold_detector.h.
#pragma once

#include "gateway/declaration/declaration_index.h"
#include "gateway/requests/header_names.h"
#include "gateway/upstreams/cold_detector.h"
#include "loop/call_channel.h"

namespace sapphirepass {

class ColdProber {
public:
    // Gets every health answer of an upstream.
    using HealthAnswer = std::function<void(const UpstreamPtr& upstream, const HttpResponse& response)>;

    // Calls send if the upstream may be probed now, at once or a moment later.
    using Admission = std::function<void(const UpstreamPtr& upstream, std::function<void()> send)>;

    // onCold is called when an upstream was found cold.
    ColdProber(asio::io_context& loop, const HeaderNames& headers, ColdDetector& watch, Admission admission, HealthAnswer onAnswer, std::function<void(const std::string& upstream, Duration left)> onCold);

    // Sends what is due. Called now and then.
    auto tick(const DeclarationIndex& index) -> void;
    auto stop() -> void;
    auto count() const -> std::uint64_t { return count_; }

private:
    struct Probe {
        std::shared_ptr<CallChannel> channel_;
        SocketAddress address_;
        bool isWaiting_ = false;
    };

    auto ask(const UpstreamPtr& upstream, const std::string& path) -> void;
    auto onAnswer(const UpstreamPtr& upstream, const CallResult& result) -> void;

    asio::io_context& loop_;
    const HeaderNames& headers_;
    ColdDetector& watch_;
    Admission admission_;
    HealthAnswer onHealthAnswer_;
    std::function<void(const std::string&, Duration)> onCold_;
    std::map<std::string, Probe> probes_;
    std::uint64_t count_ = 0;
};

} // namespace sapphirepass
