// Connections to upstreams: one request at a time on each, kept while they are surely open.
#pragma once

#include "gateway/requests/header_names.h"
#include "gateway/requests/response_budget.h"
#include "gateway/requests/upstream_caller.h"
#include "loop/net_type.h"

#include <map>
#include <vector>

namespace sapphirepass {

class UpstreamChannel;

struct PoolCounts {
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
};

class UpstreamPool final : public UpstreamCaller {
public:
    // Gets responses to requests whose attempts are over.
    using LateResponse = std::function<void(Upstream&, const HttpResponse&)>;

    // Gets the outcome of each attempt to open a connection.
    using ConnectListener = std::function<void(const Upstream&, MonotonicTime startedAt, bool isConnected)>;

    // Connections leave from the source host; from any if it is empty. Responses count in the memory too, if there is one.
    UpstreamPool(asio::io_context& loop, const Clock& clock, const HeaderNames& names, ResponseBounds bounds, LateResponse onLateResponse, ConnectListener onConnect = {}, std::string sourceHost = {}, MemoryBudget* memory = nullptr);
    ~UpstreamPool() override;
    UpstreamPool(const UpstreamPool&) = delete;
    auto operator=(const UpstreamPool&) -> UpstreamPool& = delete;

    // Decides for each upstream how long idle connections to it are used; Cautious if it is not set.
    using ReusePolicy = std::function<ConnectionReuse(const Upstream&)>;
    auto setReusePolicy(ReusePolicy policy) -> void { reusePolicy_ = std::move(policy); }
    auto hasOpenConnection(const UpstreamPtr& upstream) -> bool override;
    auto hasIdleConnection(const UpstreamPtr& upstream) const -> bool override;
    auto call(const UpstreamPtr& upstream, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt> override;
    // Closes connections that have been idle for too long or whose upstream is retired.
    auto sweep() -> void;
    auto counts() const -> const PoolCounts& { return counts_; }
    // Bytes of responses that are arriving.
    auto heldBytes() const -> std::size_t { return budget_.held(); }
    auto idleCount() const -> std::size_t;
    // Takes a channel back whose last answer allows another request.
    auto keep(const UpstreamPtr& upstream, std::shared_ptr<UpstreamChannel> channel) -> void;

private:
    using Idle = std::vector<std::shared_ptr<UpstreamChannel>>;

    auto takeIdle(const UpstreamPtr& upstream) -> std::shared_ptr<UpstreamChannel>;

    asio::io_context& loop_;
    const Clock& clock_;
    const HeaderNames& names_;
    ResponseBudget budget_;
    LateResponse onLateResponse_;
    ConnectListener onConnect_;
    std::string sourceHost_;
    ReusePolicy reusePolicy_;
    std::map<UpstreamPtr, Idle> idle_;
    PoolCounts counts_;
};

} // namespace sapphirepass
