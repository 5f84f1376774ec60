// The stand-in upstream. Runs requests in slots and records every run with all headers.
//
// Protocol towards the system:
//   Request-Deadline-Ms: a request that cannot end in time is answered 504 without running.
//   503 with Retry-After: shed, not run (slots full, connections full, or draining).
//   POST /v1/cancel/REQUEST-ID: ends the run whose Request-Id header was that.
//   GET /health, GET /load: state pages; they may lie.
// A request with the header Crash-Upstream ends the process. An answer is the
// method and target; with the query bytes=N it is filled up to N bytes.
//
// POST /control/settings {"draining": bool, "service_ms": n, "health": "ok"|"bad"|"true", "load": n, "cut_answers": bool}
// GET  /control/runs     the records
#pragma once

#include "base/socket_address.h"

#include <chrono>
#include <memory>

namespace sapphirepass::standin {

struct UpstreamOptions {
    SocketAddress address_;
    int slots_ = 3;
    int connections_ = 400;
    std::chrono::milliseconds serviceTime_ { 5 };
    // Time after the start in which runs take longer.
    std::chrono::milliseconds coldStart_ { 0 };
    // How much longer a run takes right after the start.
    double coldFactor_ = 4;
};

class UpstreamServer {
public:
    explicit UpstreamServer(const UpstreamOptions& options);
    ~UpstreamServer();
    UpstreamServer(const UpstreamServer&) = delete;
    auto operator=(const UpstreamServer&) -> UpstreamServer& = delete;

    auto setDraining(bool draining) -> void;
    auto setServiceTime(std::chrono::milliseconds time) -> void;
    // Ends answers after half of their bytes.
    auto setCutAnswers(bool cut) -> void;
    auto runCount() const -> std::size_t;
    // All records as JSON.
    auto runs() const -> std::string;

private:
    class Handler;
    std::unique_ptr<Handler> handler_;
};

} // namespace sapphirepass::standin
