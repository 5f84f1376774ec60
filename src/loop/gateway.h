// The gateway daemon: wires decisions, beliefs and the event loop.
#pragma once

#include "gateway/feeds/arrival_tracker.h"
#include "gateway/feeds/discovery_state.h"
#include "gateway/feeds/feed_lag.h"
#include "gateway/feeds/feed_verifier.h"
#include "gateway/feeds/source_keepalive.h"
#include "gateway/fleet/relay_selector.h"
#include "gateway/placement/region_target_log.h"
#include "gateway/requests/request_handler.h"
#include "gateway/upstreams/load_exchange.h"
#include "loop/caller_listener.h"
#include "loop/cold_prober.h"
#include "loop/datagram_socket.h"
#include "loop/delegate_pool.h"
#include "loop/line_log.h"
#include "loop/link_prober.h"
#include "loop/loop_alarm.h"
#include "loop/upstream_pool.h"
#include "settings/gateway_settings.h"

#include <array>
#include <set>

namespace sapphirepass {

// Paths of the gateway's own that an adapter names.
struct GatewayPaths {
    std::string directory_;
    std::string readiness_;

    auto operator<=>(const GatewayPaths&) const = default;
};

struct GatewayAdapter {
    HeaderNames headers_;
    GatewayPaths paths_;
    std::unique_ptr<DiscoverySource> source_;
    // Whether the deployment's features ask for placement by expected end, whatever its upstreams report.
    bool asksForExpectedEnd_ = false;
};

class Gateway final : private RateAskSender, private LimitAskSender, private MemoryListener {
public:
    Gateway(asio::io_context& loop, const Clock& clock, GatewaySettings settings, GatewayAdapter adapter);
    // Ends what is still in flight without a response.
    ~Gateway() override;
    Gateway(const Gateway&) = delete;
    auto operator=(const Gateway&) -> Gateway& = delete;

    // An error message, or nothing.
    auto start() -> std::string;
    // Finishes what is in flight, then ends the loop.
    auto beginStop() -> void;
    auto rereadSettings(const std::string& path) -> void;
    auto log() const -> const LineLog& { return log_; }
    auto isReady() const -> bool { return beliefs_.isComplete() && !isStopping_; }

private:
    // Callers' requests.
    class FrontHandler final : public CallerHandler {
    public:
        explicit FrontHandler(Gateway& gateway)
            : gateway_(gateway)
        {
        }
        auto handle(HttpRequest request, Answer answer) -> std::shared_ptr<RunningRequest> override;
        auto limits() const -> CallerLimits override { return gateway_.callerLimits(); }
        auto isClosing() const -> bool override { return gateway_.isStopping_; }
        auto memory() -> MemoryBudget* override { return &gateway_.memory_; }

    private:
        Gateway& gateway_;
    };
    // Requests that peers have admitted and cannot send to upstreams themselves.
    class DelegationHandler final : public CallerHandler {
    public:
        explicit DelegationHandler(Gateway& gateway)
            : gateway_(gateway)
        {
        }
        auto handle(HttpRequest request, Answer answer) -> std::shared_ptr<RunningRequest> override;
        auto limits() const -> CallerLimits override;
        auto isClosing() const -> bool override { return gateway_.isStopping_; }
        auto memory() -> MemoryBudget* override { return &gateway_.memory_; }

    private:
        Gateway& gateway_;
    };
    // Requests to the delegation address from hosts of no known instance: refused, so that a peer which is not recognized
    // can try another one.
    class StrangerHandler final : public CallerHandler {
    public:
        explicit StrangerHandler(Gateway& gateway)
            : gateway_(gateway)
        {
        }
        auto handle(HttpRequest request, Answer answer) -> std::shared_ptr<RunningRequest> override;
        auto limits() const -> CallerLimits override { return gateway_.delegationHandler_.limits(); }
        auto isClosing() const -> bool override { return true; }
        auto memory() -> MemoryBudget* override { return &gateway_.memory_; }

    private:
        Gateway& gateway_;
    };
    // Pages of the gateway's own.
    class PageHandler final : public CallerHandler {
    public:
        using Answerer = std::function<std::shared_ptr<RunningRequest>(const HttpRequest& request, const Answer& answer)>;

        using WrittenListener = std::function<void(const WrittenResponse& response)>;

        explicit PageHandler(Answerer answerer, WrittenListener onWritten = {})
            : answerer_(std::move(answerer))
            , onWritten_(std::move(onWritten))
        {
        }
        auto handle(HttpRequest request, Answer answer) -> std::shared_ptr<RunningRequest> override { return answerer_(request, answer); }
        auto limits() const -> CallerLimits override { return {}; }
        auto isClosing() const -> bool override { return false; }
        auto responseWritten(const WrittenResponse& response) -> void override
        {
            if (onWritten_)
                onWritten_(response);
        }

    private:
        Answerer answerer_;
        WrittenListener onWritten_;
    };
    class Run;

    auto callerLimits() const -> CallerLimits;
    // For callers and the platform: the directory and readiness.
    auto answerPublic(const HttpRequest& request) const -> HttpResponse;
    // For operators and other instances; callers do not reach it.
    auto answerControl(const HttpRequest& request, const CallerHandler::Answer& answer) -> std::shared_ptr<RunningRequest>;
    auto onControlWritten(const WrittenResponse& response) -> void;
    auto answerDirectory(std::string_view query) const -> HttpResponse;
    auto answerReadiness() const -> HttpResponse;
    auto answerMetrics() -> HttpResponse;
    auto tick() -> void;
    auto scheduleTick() -> void;
    enum class Reach { All,
        Near };
    auto sendHeartbeat(Reach reach) -> void;
    // Sends the heartbeat with the counts of requests to the instances of the region, and without them to the others.
    // Sends the addresses of some live peers to a few of them, so that all come to know each other.
    auto gossipPeers() -> void;
    // Sends the addresses of all live peers to an instance that has just started.
    auto answerNewcomer(const MemberReport& newcomer) -> void;
    auto ownReport() const -> MemberReport;
    auto onDatagram(std::string_view bytes, const SocketAddress& from) -> void;
    auto onConnect(const Upstream& upstream, MonotonicTime startedAt, bool isConnected) -> void;
    auto onReport(const MemberReport& report) -> void;
    auto sendAsk(const Coordinator& keeper, const RateAsk& ask) -> void override;
    auto sendLimitAsk(const Coordinator& coordinator, const LimitAsk& ask) -> void override;
    auto bodyRefused(BodyRefusal cause, std::size_t bytes) -> void override;
    auto callerCut(std::size_t bytes, Duration silence) -> void override;
    auto roomFreed() -> void override;
    auto answerLimitAsk(const LimitAsk& ask, const SocketAddress& from) -> void;
    auto admitProbe(const UpstreamPtr& upstream, const std::function<void()>& send) -> void;
    auto onDeclaration() -> void;
    auto seedPeers() const -> std::vector<SocketAddress>;
    auto renewFeeds() -> void;
    auto onLinkChange(const LinkChange& change) -> void;
    auto selectDelegationHandler(const std::string& host) -> CallerHandler&;
    // Answers a delegated request that is not run here.
    auto refuseDelegation(const CallerHandler::Answer& answer, unsigned status, std::string_view cause, std::string_view why) -> void;
    auto onFoundCold(const std::string& upstream, Duration left) -> void;
    auto noteFleet() -> void;
    auto noteStatus() -> void;
    auto continueStop() -> void;
    // Shortly before the end of the grace time: takes no further requests and refuses those that were not sent.
    auto refuseUnsent() -> void;
    // At the end of the grace time: gives requests in flight their final answer.
    auto giveUp() -> void;
    auto continueStopAt(MonotonicTime at, std::function<void()> step) -> void;
    auto runningHandlers() const -> std::vector<std::shared_ptr<RequestHandler>>;
    auto end() -> void;
    auto listeners() -> std::array<CallerListener*, 5> { return { &front_, &directory_, &ready_, &control_, &delegated_ }; }

    asio::io_context& loop_;
    const Clock& clock_;
    GatewaySettings settings_;
    GatewayAdapter adapter_;
    std::uint64_t incarnation_;
    LineLog log_;
    LoopAlarmClock alarms_;
    UpstreamSet upstreams_;
    FleetView fleet_;
    DiscoveryState beliefs_;
    FeedLag feedLag_;
    FeedVerifier feedVerifier_;
    ArrivalTracker arrivals_;
    SourceKeepalive pulse_;
    RelaySelector relayChoice_;
    ColdDetector coldWatch_;
    EndEstimator endEstimator_;
    Placer placer_;
    RateLimiter rates_;
    UpstreamLimiter upstreamLimits_;
    RetryLimiter retries_;
    CrashTracker crashes_;
    BodyLimiter bodyLimits_;
    TrafficSplitter split_;
    ResponseTimes workTimes_;
    DecayingRunQuantiles runQuantiles_;
    SecondAttemptPolicy secondAttempts_;
    NoticeRecorder notices_;
    LinkDetector links_;
    LinkProber linkProber_;
    DelegateSelector delegates_;
    // Ends when connections that wait for memory are to be resumed.
    asio::steady_timer resumeTimer_;
    bool isResumeDue_ = false;
    MemoryBudget memory_;
    UpstreamPool pool_;
    DelegatePool delegatePool_;
    ColdProber coldProber_;
    Metrics metrics_;
    LoadExchange loadExchange_;
    RoomGate roomGate_;
    RegionDemand regionDemand_;
    RegionTargetLog regionTargetLog_;
    ShutdownWindow shutdown_;
    RequestContext context_;
    // Requests that are being handled.
    std::set<Run*> runs_;
    FrontHandler frontHandler_;
    DelegationHandler delegationHandler_;
    StrangerHandler strangerHandler_;
    PageHandler publicPages_;
    PageHandler controlPages_;
    CallerListener front_;
    CallerListener directory_;
    CallerListener ready_;
    CallerListener control_;
    CallerListener delegated_;
    DatagramSocket datagrams_;
    asio::steady_timer timer_;
    asio::steady_timer stopTimer_;
    std::uint64_t ticks_ = 0;
    std::uint64_t delegationsTaken_ = 0;
    std::size_t readyPeers_ = 0;
    std::size_t sentColdNotices_ = 0;
    bool isStopping_ = false;
    bool isEnded_ = false;
    MonotonicTime stoppingAt_ {};
    ShutdownTimes stopTimes_;
    MonotonicTime startedAt_;
};

} // namespace sapphirepass
