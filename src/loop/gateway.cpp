#include "loop/gateway.h"

#include "base/random.h"
#include "gateway/fleet/datagram_codec.h"
#include "gateway/hashing.h"

#include <cmath>
#include <fmt/format.h>
#include <unistd.h>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Housekeeping: time limits, heartbeats, logs.
    constexpr Duration tickTime = 200ms;
    // Heartbeats go every so many ticks: several in the time after which an instance counts as silent.
    constexpr std::uint64_t heartbeatTicks = 2;
    // To other regions, whose bytes are priced, every so many: two in the shortest such time.
    constexpr std::uint64_t farHeartbeatTicks = 4;
    constexpr std::uint64_t statusTicks = 25;
    // Every so many heartbeats, an instance sends the addresses of some live peers to a few of them. Their number, and so the
    // bytes, do not grow with the fleet.
    constexpr std::uint64_t gossipHeartbeats = 10;
    constexpr std::size_t gossipTargets = 3;
    // Addresses in one datagram.
    constexpr std::size_t maxNamedPeers = 64;
    // After a request to stop: new connections are taken until callers have looked up another instance.
    constexpr Duration acceptAfterStop = 1'500ms;
    // Of responses at the control address.
    constexpr std::size_t loggedResponseBytes = 64 * 1024;
    constexpr const char* metricsPath = "/metrics";
    // Addresses in one answer of the directory.
    constexpr std::size_t mostAddresses = 64;

    auto queryValue(std::string_view query, std::string_view name) -> std::string
    {
        while (!query.empty()) {
            const auto end = query.find('&');
            const auto pair = query.substr(0, end);
            if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
                return std::string(pair.substr(name.size() + 1));
            query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
        }
        return {};
    }

    // A quarter of the memory for the bytes of responses: strings that grow take twice as much at times, and the rest serves
    // everything else.
    constexpr std::size_t responseMemoryParts = 4;
    constexpr std::size_t guaranteedResponseBytes = 16 * 1024;

    // Responses to delegated requests are only held while this instance holds few of upstreams.
    constexpr std::size_t delegateMemoryParts = 8;

    auto responseBounds(const GatewaySettings& settings, std::size_t parts) -> ResponseBounds
    {
        return { static_cast<std::size_t>(settings.memoryMb_) * 1024 * 1024 / parts, guaranteedResponseBytes };
    }

    // Half of the memory for all that is held for callers; the rest is for code, tables and the kernel's socket buffers.
    auto memoryBounds(const GatewaySettings& settings) -> MemoryBounds
    {
        return { static_cast<std::size_t>(settings.memoryMb_) * 1024 * 1024 / 2, guaranteedResponseBytes };
    }

    // What a delegation adds to the header of a request.
    constexpr std::size_t maxDelegationBytes = 16 * 1024;

    auto isExpectedEndAsked(const GatewaySettings& settings, const GatewayAdapter& adapter) -> bool
    {
        return settings.expectedEnd_ == "always" || (settings.expectedEnd_ == "auto" && adapter.asksForExpectedEnd_);
    }

    auto asMetric(std::uint64_t value) -> std::int64_t { return static_cast<std::int64_t>(value); }
}

// A request of a caller as the gateway counts it.
class Gateway::Run final : public RunningRequest {
public:
    Run(Gateway& gateway, HttpRequest request, CallerHandler::Answer answer, std::optional<Delegation> delegation = std::nullopt)
        : gateway_(gateway)
        , run_(std::make_shared<RequestHandler>(gateway.context_, std::move(request), std::move(answer), std::move(delegation)))
    {
        gateway_.runs_.insert(this);
    }
    ~Run() override { gateway_.runs_.erase(this); }
    Run(const Run&) = delete;
    auto operator=(const Run&) -> Run& = delete;

    auto start() -> void { run_->start(); }
    auto cancel() -> void override { run_->cancel(); }
    auto handler() const -> const std::shared_ptr<RequestHandler>& { return run_; }

private:
    Gateway& gateway_;
    std::shared_ptr<RequestHandler> run_;
};

auto Gateway::FrontHandler::handle(HttpRequest request, Answer answer) -> std::shared_ptr<RunningRequest>
{
    auto run = std::make_shared<Run>(gateway_, std::move(request), std::move(answer));
    run->start();
    return run;
}

auto Gateway::DelegationHandler::limits() const -> CallerLimits
{
    auto limits = gateway_.callerLimits();
    limits.headerBytes_ += maxDelegationBytes;
    return limits;
}

auto Gateway::StrangerHandler::handle(HttpRequest, Answer answer) -> std::shared_ptr<RunningRequest>
{
    gateway_.refuseDelegation(answer, 403, "stranger", "the sender is no known instance");
    return nullptr;
}

auto Gateway::DelegationHandler::handle(HttpRequest request, Answer answer) -> std::shared_ptr<RunningRequest>
{
    const boost::beast::string_view name { delegationHeader.data(), delegationHeader.size() };
    const auto text = request[name];
    auto delegation = decodeDelegation({ text.data(), text.size() });
    if (!isOk(delegation)) {
        gateway_.refuseDelegation(answer, 400, "invalid", errorOf(delegation).message_);
        return nullptr;
    }
    request.erase(name);
    ++gateway_.delegationsTaken_;
    auto run = std::make_shared<Run>(gateway_, std::move(request), std::move(answer), valueOf(std::move(delegation)));
    run->start();
    return run;
}

auto Gateway::refuseDelegation(const CallerHandler::Answer& answer, unsigned status, std::string_view cause, std::string_view why) -> void
{
    metrics_.increment({ "gateway_delegations_refused_total", fmt::format("cause=\"{}\"", cause) });
    log_.write(EventId::DelegationInvalid, { { "cause", cause }, { "why", why } });
    auto response = problemResponse(status, "delegation-refused", Executed::No);
    response.set({ delegationOutcomeHeader.data(), delegationOutcomeHeader.size() }, encodeDelegationOutcome({ Executed::No, {}, 0 }));
    answer(std::move(response));
}

Gateway::Gateway(asio::io_context& loop, const Clock& clock, GatewaySettings settings, GatewayAdapter adapter)
    : loop_(loop)
    , clock_(clock)
    , settings_(std::move(settings))
    , adapter_(std::move(adapter))
    , incarnation_(randomNumber())
    , log_(clock, STDOUT_FILENO, { static_cast<double>(settings_.logBytesPerSecond_), LineLogBounds {}.bufferBytes_, static_cast<std::uint64_t>(settings_.logSuccessSample_) }, settings_.name_)
    , alarms_(loop)
    , upstreams_(clock, settings_.domains_)
    , fleet_(clock, { settings_.silence_, settings_.reserve_ }, settings_.name_)
    , beliefs_(clock, upstreams_, fleet_, log_, settings_.drain_)
    , feedLag_(clock)
    , feedVerifier_(clock)
    , arrivals_(clock)
    , pulse_(clock)
    , relayChoice_(fleet_, settings_.region_)
    , coldWatch_(clock, upstreams_, fleet_)
    , endEstimator_(clock, upstreams_)
    , placer_(clock, upstreams_, fleet_, settings_.region_, settings_.domain_, settings_.expectedEnd_ == "never" ? nullptr : &endEstimator_)
    , rates_(clock, alarms_, fleet_, *this, { settings_.rateWindow_, settings_.rateOver_, settings_.rateSlack_ }, incarnation_)
    , upstreamLimits_(clock, alarms_, fleet_, upstreams_, *this, log_, incarnation_)
    , retries_(clock, fleet_, { settings_.retryRatio_, settings_.retrySlack_, settings_.retryWindow_ })
    , crashes_(clock, fleet_)
    , bodyLimits_(clock)
    , secondAttempts_(clock, retries_, runQuantiles_)
    , notices_(upstreams_, adapter_.headers_, log_, [this](const Upstream& upstream) { upstreamLimits_.announce(upstream); })
    , links_(clock, upstreams_, [this](const LinkChange& change) { onLinkChange(change); })
    , linkProber_(loop, clock, links_)
    , delegates_(clock, fleet_, settings_.region_, upstreams_.regions())
    , resumeTimer_(loop)
    , memory_(clock, memoryBounds(settings_), *this)
    , pool_(
          loop, clock, adapter_.headers_, responseBounds(settings_, responseMemoryParts), [this](Upstream& upstream, const HttpResponse& response) { notices_.record(upstream, response, std::nullopt); }, [this](const Upstream& upstream, MonotonicTime startedAt, bool isConnected) { onConnect(upstream, startedAt, isConnected); }, {}, &memory_)
    , delegatePool_(loop, clock, adapter_.headers_, responseBounds(settings_, delegateMemoryParts), settings_.peer_.host_, &memory_)
    , coldProber_(
          loop, adapter_.headers_, coldWatch_, [this](const UpstreamPtr& upstream, const std::function<void()>& send) { admitProbe(upstream, send); }, [this](const UpstreamPtr& upstream, const HttpResponse& response) { notices_.record(*upstream, response, std::nullopt); }, [this](const std::string& upstream, Duration left) { onFoundCold(upstream, left); })
    , loadExchange_(clock, upstreams_, metrics_, isExpectedEndAsked(settings_, adapter_) ? LoadExchange::Scope::AllUpstreams : LoadExchange::Scope::ReportedSpeeds)
    , roomGate_(clock, log_, metrics_, incarnation_)
    , regionDemand_(clock, metrics_, settings_.region_, regionDemandMode(settings_.regionDemand_), [this](const std::string& service) { return settings_.expectedEnd_ != "never" && endEstimator_.isServiceEstimated(service); })
    , regionTargetLog_(clock, log_)
    , shutdown_(clock)
    , context_ { clock, alarms_, adapter_.headers_, settings_.name_, nullptr, upstreams_, placer_, rates_, upstreamLimits_, roomGate_, retries_, crashes_, split_, workTimes_, endEstimator_, pool_, links_, delegates_, delegatePool_, notices_, loadExchange_, log_, metrics_, bodyLimits_, secondAttempts_, settings_.admissionByRoom_ == "on", &regionDemand_, &shutdown_ }
    , frontHandler_(*this)
    , delegationHandler_(*this)
    , strangerHandler_(*this)
    , publicPages_([this](const HttpRequest& request, const CallerHandler::Answer& answer) {
        answer(answerPublic(request));
        return nullptr;
    })
    , controlPages_([this](const HttpRequest& request, const CallerHandler::Answer& answer) { return answerControl(request, answer); }, [this](const WrittenResponse& response) { onControlWritten(response); })
    , front_(loop, frontHandler_, clock)
    , directory_(loop, publicPages_, clock)
    , ready_(loop, publicPages_, clock)
    , control_(loop, controlPages_, clock)
    , delegated_(
          loop, [this](const std::string& host) -> CallerHandler& { return selectDelegationHandler(host); }, clock)
    , datagrams_(loop, [this](std::string_view bytes, const SocketAddress& from) { onDatagram(bytes, from); })
    , timer_(loop)
    , stopTimer_(loop)
    , startedAt_(clock.now())
{
    loadExchange_.addListener(endEstimator_);
    placer_.setConnectionState(pool_);
    pool_.setReusePolicy([this](const Upstream& upstream) { return placer_.usesEstimates(upstream.entry_.service_) ? ConnectionReuse::Long : ConnectionReuse::Cautious; });
    placer_.followDemand(regionDemand_, regionTargetLog_);
    beliefs_.onDeclaration([this] { onDeclaration(); });
}

// Requests end while all that they refer to is alive, whatever the order of the members.
Gateway::~Gateway()
{
    for (auto* listener : listeners())
        listener->closeAll();
    log_.flush();
    adapter_.source_->stop();
    coldProber_.stop();
    linkProber_.stop();
}

auto Gateway::start() -> std::string
{
    struct Opening {
        CallerListener& listener_;
        const SocketAddress& address_;
    };
    for (const auto& opening : { Opening { front_, settings_.front_ }, Opening { directory_, settings_.directory_ }, Opening { ready_, settings_.ready_ }, Opening { control_, settings_.control_ }, Opening { delegated_, settings_.peer_ } }) {
        if (const auto error = opening.listener_.listen(opening.address_); !error.empty())
            return fmt::format("{}: {}", formatSocketAddress(opening.address_), error);
    }
    if (const auto error = datagrams_.open(settings_.peer_); !error.empty())
        return fmt::format("{}: {}", formatSocketAddress(settings_.peer_), error);
    log_.write(EventId::GatewayStarted, { { "front", formatSocketAddress(settings_.front_) }, { "region", settings_.region_ }, { "domain", settings_.domain_ }, { "incarnation", incarnation_ } });
    adapter_.source_->start(beliefs_, { settings_.name_, settings_.peer_ }, relayChoice_);
    sendHeartbeat(Reach::All);
    scheduleTick();
    return {};
}

auto Gateway::callerLimits() const -> CallerLimits
{
    return context_.index_ ? context_.index_->declaration().limits_ : CallerLimits {};
}

auto Gateway::answerPublic(const HttpRequest& request) const -> HttpResponse
{
    const std::string_view target { request.target().data(), request.target().size() };
    const auto path = target.substr(0, target.find('?'));
    if (path == adapter_.paths_.directory_)
        return answerDirectory(path.size() < target.size() ? target.substr(path.size() + 1) : std::string_view());
    if (path == adapter_.paths_.readiness_)
        return answerReadiness();
    return problemResponse(404, "no such page", Executed::No);
}

auto Gateway::answerControl(const HttpRequest& request, const CallerHandler::Answer& answer) -> std::shared_ptr<RunningRequest>
{
    if (request.target() != metricsPath)
        return adapter_.source_->answerPeer(request, answer);
    answer(answerMetrics());
    return nullptr;
}

auto Gateway::onControlWritten(const WrittenResponse& response) -> void
{
    metrics_.increment({ "gateway_control_bytes_sent_total", {} }, asMetric(response.bytes_));
    if (response.bytes_ >= loggedResponseBytes)
        log_.write(EventId::LargeFeedSent, { { "bytes", response.bytes_ }, { "took_ms", response.duration_ / 1ms }, { "unread_bytes", control_.unreadBytes() } });
}

auto Gateway::answerReadiness() const -> HttpResponse
{
    return isReady() ? problemResponse(200, "ready", Executed::No) : problemResponse(503, "not ready", Executed::No);
}

// Callers are named the ready instances of their own region; those of others only where it has none.
auto Gateway::answerDirectory(std::string_view query) const -> HttpResponse
{
    const auto region = queryValue(query, "region");
    const bool isOwnReady = region == settings_.region_ && isReady();
    auto members = fleet_.connectedMembers(region);
    bool isOwnNamed = isOwnReady && !links_.isCutOff();
    // Instances that reach no upstream are only named where no other one of the region does.
    if (members.empty() && !isOwnNamed) {
        members = fleet_.readyMembers(region);
        isOwnNamed = isOwnReady;
    }
    if (members.empty() && !isOwnNamed) {
        members = fleet_.allReadyMembers();
        isOwnNamed = isReady();
    }
    nlohmann::json addresses = nlohmann::json::array();
    if (isOwnNamed)
        addresses.push_back(formatSocketAddress(settings_.front_));
    for (const auto* member : members) {
        if (addresses.size() < mostAddresses)
            addresses.push_back(formatSocketAddress(member->front_));
    }
    if (addresses.empty())
        return problemResponse(503, "no ready instance is known", Executed::No, 500ms);
    HttpResponse response;
    response.result(200);
    response.set(http::field::content_type, "application/json");
    response.body() = nlohmann::json { { "addresses", addresses }, { "ttl_s", inSeconds(settings_.directoryTtl_) } }.dump();
    return response;
}

auto Gateway::answerMetrics() -> HttpResponse
{
    metrics_.set({ "gateway_requests_in_flight", {} }, asMetric(runs_.size()));
    metrics_.set({ "gateway_connections_open", {} }, asMetric(front_.openCount()));
    metrics_.set({ "gateway_upstream_connections_opened_total", {} }, asMetric(pool_.counts().opened_));
    metrics_.set({ "gateway_upstream_connections_reused_total", {} }, asMetric(pool_.counts().reused_));
    metrics_.set({ "gateway_response_bytes_held", {} }, asMetric(pool_.heldBytes()));
    for (const auto kind : allMemoryKinds)
        metrics_.set({ "gateway_memory_bytes_held", fmt::format("kind=\"{}\"", memoryKindName(kind)) }, asMetric(memory_.held(kind)));
    metrics_.set({ "gateway_body_limits_lowered_total", {} }, asMetric(bodyLimits_.lowered()));
    metrics_.set({ "gateway_memory_body_waits_total", {} }, asMetric(memory_.waits()));
    metrics_.set({ "gateway_store_calls_total", {} }, asMetric(adapter_.source_->calls()));
    metrics_.set({ "gateway_upstream_health_requests_total", {} }, asMetric(coldProber_.count()));
    metrics_.set({ "gateway_declaration_version", {} }, asMetric(context_.index_ ? context_.index_->declaration().version_ : 0));
    metrics_.set({ "gateway_upstreams_known", {} }, asMetric(upstreams_.size()));
    metrics_.set({ "gateway_link_probes_total", {} }, asMetric(linkProber_.count()));
    metrics_.set({ "gateway_regions_unreachable", {} }, asMetric(links_.unreachableRegions().size()));
    metrics_.set({ "gateway_delegations_taken_total", {} }, asMetric(delegationsTaken_));
    metrics_.set({ "gateway_delegations_in_flight", {} }, asMetric(delegates_.inFlight()));
    metrics_.set({ "gateway_upstreams_cold", {} }, asMetric(upstreams_.coldCount()));
    metrics_.set({ "gateway_upstreams_limited", {} }, asMetric(upstreams_.limitedCount()));
    metrics_.set({ "gateway_control_bytes_unread", {} }, asMetric(control_.unreadBytes()));
    metrics_.set({ "gateway_peers_ready", {} }, asMetric(fleet_.allReadyMembers().size()));
    metrics_.set({ "gateway_log_lines_dropped_total", {} }, asMetric(log_.dropped()));
    for (const auto& [service, shares] : placer_.regionShares().all()) {
        for (const auto& share : shares)
            metrics_.set({ "gateway_region_share_permille", fmt::format("service=\"{}\",region=\"{}\"", service, share.region_) }, std::lround(share.share_ * 1'000));
    }
    for (const auto& [kind, count] : beliefs_.refusedEntries())
        metrics_.set({ "gateway_entries_refused_total", fmt::format("kind=\"{}\"", kind) }, asMetric(count));
    for (const auto feed : allFeeds) {
        metrics_.set({ "gateway_feed_lost_milliseconds", fmt::format("feed=\"{}\"", feedName(feed)) }, beliefs_.outageDuration(feed) / 1ms);
        metrics_.set({ "gateway_feed_unverified_milliseconds", fmt::format("feed=\"{}\"", feedName(feed)) }, feedVerifier_.unverifiedFor(feed) / 1ms);
    }
    HttpResponse response;
    response.result(200);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = metrics_.render();
    return response;
}

auto Gateway::scheduleTick() -> void
{
    timer_.expires_after(tickTime);
    timer_.async_wait([this](NetError error) {
        if (error || isEnded_)
            return;
        tick();
        if (!isEnded_)
            scheduleTick();
    });
}

auto Gateway::tick() -> void
{
    ++ticks_;
    beliefs_.removeExpiredUpstreams();
    upstreamLimits_.removeExpired();
    endEstimator_.removeExpired();
    beliefs_.releaseKeptEvacuations();
    fleet_.setSourceLost(beliefs_.outageDuration(Feed::Upstreams) > Duration::zero());
    if (context_.index_)
        coldProber_.tick(*context_.index_);
    links_.update();
    linkProber_.tick();
    roomGate_.update();
    regionDemand_.update();
    if (ticks_ % heartbeatTicks == 0) {
        fleet_.removeSilent();
        rates_.refillShared();
        upstreamLimits_.refillShared();
        beliefs_.noteFleetOutage();
        sendHeartbeat(ticks_ % farHeartbeatTicks == 0 ? Reach::All : Reach::Near);
        noteFleet();
    }
    // A cold upstream crashes under its usual load, so instances without discovery are notified at once.
    else if (coldWatch_.activeNotices().size() > sentColdNotices_)
        sendHeartbeat(Reach::All);
    renewFeeds();
    if (pulse_.isProbeDue(adapter_.source_->answers()))
        adapter_.source_->probe();
    for (auto* listener : listeners())
        listener->sweep();
    memory_.relieve();
    pool_.sweep();
    delegatePool_.sweep();
    if (ticks_ % statusTicks == 0)
        noteStatus();
    if (isStopping_)
        continueStop();
    log_.flush();
}

// Instances share one port number for heartbeats; a seed names any listener of its instance.
auto Gateway::seedPeers() const -> std::vector<SocketAddress>
{
    std::vector<SocketAddress> peers;
    std::string_view rest = settings_.seeds_;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        if (const auto seed = parseSocketAddress(rest.substr(0, comma)); seed && seed->host_ != settings_.peer_.host_)
            peers.push_back({ seed->host_, settings_.peer_.port_ });
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
    return peers;
}

auto Gateway::ownReport() const -> MemberReport
{
    MemberReport report;
    report.name_ = settings_.name_;
    report.incarnation_ = incarnation_;
    report.front_ = settings_.front_;
    report.peer_ = settings_.peer_;
    report.control_ = settings_.control_;
    report.region_ = settings_.region_;
    report.domain_ = settings_.domain_;
    report.phase_ = isReady() ? MemberPhase::Ready : MemberPhase::Starting;
    if (isStopping_)
        report.phase_ = MemberPhase::Stopping;
    for (const auto feed : allFeeds)
        report.lastChangeRevisions_.at(static_cast<std::size_t>(feed)) = adapter_.source_->position(feed).lastChange_;
    report.isSourceLost_ = beliefs_.outageDuration(Feed::Upstreams) > Duration::zero();
    report.coldNotices_ = coldWatch_.activeNotices();
    report.limitNotices_ = upstreamLimits_.activeNotices();
    const auto unreachable = links_.unreachableRegions();
    report.unreachableRegions_.assign(unreachable.begin(), unreachable.end());
    report.isCutOff_ = links_.isCutOff();
    report.acceptsDelegation_ = true;
    report.wantsPeers_ = beliefs_.needsPeerList();
    report.silentMembers_ = fleet_.silentMembers();
    return report;
}

auto Gateway::sendHeartbeat(Reach reach) -> void
{
    fleet_.setReady(isReady());
    auto report = ownReport();
    sentColdNotices_ = report.coldNotices_.size();
    report.crashes_ = crashes_.counts();
    if (ticks_ % (heartbeatTicks * gossipHeartbeats) == 0)
        gossipPeers();
    // Taken even if there is nobody to send them to: by the next heartbeat they are old.
    auto observations = loadExchange_.takeForHeartbeat();
    auto roomUse = roomGate_.takeForHeartbeat();
    if (fleet_.memberCount() == 1)
        return datagrams_.send(encodeDatagram(report), seedPeers());
    // Sent as often to the own region as to others: figures are used for several of these intervals.
    if (reach == Reach::All) {
        report.demand_ = regionDemand_.forHeartbeat();
        datagrams_.send(encodeDatagram(report), fleet_.peerAddressesBeyond(settings_.region_));
    }
    // Bytes to other regions are priced, and their instances send few requests to the upstreams of this one.
    const auto nearPeers = fleet_.peerAddressesNear(settings_.region_);
    report.observations_ = std::move(observations);
    report.roomUse_ = std::move(roomUse);
    if (!nearPeers.empty() && !report.observations_.empty())
        metrics_.increment({ "gateway_observations_sent_total", {} }, static_cast<std::int64_t>(report.observations_.size()));
    datagrams_.send(encodeDatagram(report), nearPeers);
}

auto Gateway::gossipPeers() -> void
{
    const auto round = stableHash(settings_.name_, ticks_);
    auto report = ownReport();
    report.crashes_ = crashes_.counts();
    datagrams_.send(encodeDatagram(report), fleet_.sampleLostPeers(round, gossipTargets));
    report.knownPeers_ = fleet_.sampleLivePeers(round, maxNamedPeers);
    datagrams_.send(encodeDatagram(report), fleet_.sampleLivePeers(stableHash("targets", round), gossipTargets));
}

auto Gateway::answerNewcomer(const MemberReport& newcomer) -> void
{
    const auto live = fleet_.livePeerAddresses();
    auto report = ownReport();
    for (std::size_t from = 0; from < live.size(); from += maxNamedPeers) {
        const auto count = std::min(maxNamedPeers, live.size() - from);
        report.knownPeers_.assign(live.begin() + static_cast<std::ptrdiff_t>(from), live.begin() + static_cast<std::ptrdiff_t>(from + count));
        datagrams_.send(encodeDatagram(report), { newcomer.peer_ });
    }
}

auto Gateway::sendAsk(const Coordinator& keeper, const RateAsk& ask) -> void
{
    datagrams_.send(encodeDatagram(ask), { keeper.peer_ });
}

auto Gateway::sendLimitAsk(const Coordinator& coordinator, const LimitAsk& ask) -> void
{
    datagrams_.send(encodeDatagram(ask), { coordinator.peer_ });
}

auto Gateway::bodyRefused(BodyRefusal cause, std::size_t bytes) -> void
{
    metrics_.increment({ "gateway_memory_bodies_refused_total", fmt::format("cause=\"{}\"", bodyRefusalName(cause)) });
    log_.write(EventId::UploadRefused, { { "cause", bodyRefusalName(cause) }, { "bytes", bytes }, { "held", memory_.held() } });
}

auto Gateway::callerCut(std::size_t bytes, Duration silence) -> void
{
    metrics_.increment({ "gateway_memory_callers_cut_total", {} });
    log_.write(EventId::CallerCutForMemory, { { "bytes", bytes }, { "silent_ms", silence / 1ms }, { "held", memory_.held() } });
}

// Called while a connection releases its bytes, so others read on later.
auto Gateway::roomFreed() -> void
{
    if (std::exchange(isResumeDue_, true))
        return;
    resumeTimer_.expires_after(Duration::zero());
    resumeTimer_.async_wait([this](NetError error) {
        if (error)
            return;
        isResumeDue_ = false;
        front_.resumeWaiting();
        delegated_.resumeWaiting();
    });
}

auto Gateway::answerLimitAsk(const LimitAsk& ask, const SocketAddress& from) -> void
{
    const auto grant = upstreamLimits_.onAsk(ask);
    if (ask.ask_.wanted_ > 0)
        datagrams_.send(encodeDatagram(grant), { from });
}

// A probe that the upstream's limit has no room for is left out: the next one is due soon.
auto Gateway::admitProbe(const UpstreamPtr& upstream, const std::function<void()>& send) -> void
{
    upstreamLimits_.admit(*upstream, [send](const RateVerdict& verdict) {
        if (verdict.admitted_)
            send();
    });
}

auto Gateway::onDatagram(std::string_view bytes, const SocketAddress& from) -> void
{
    const auto decoded = decodeDatagram(bytes);
    if (!isOk(decoded)) {
        log_.write(EventId::DatagramRefused, { { "from", formatSocketAddress(from) }, { "why", errorOf(decoded).message_ } });
        return;
    }
    const auto& datagram = valueOf(decoded);
    if (const auto* report = std::get_if<MemberReport>(&datagram))
        onReport(*report);
    else if (const auto* ask = std::get_if<RateAsk>(&datagram))
        datagrams_.send(encodeDatagram(rates_.onAsk(*ask)), { from });
    else if (const auto* grant = std::get_if<RateGrant>(&datagram))
        rates_.onGrant(*grant);
    else if (const auto* limitAsk = std::get_if<LimitAsk>(&datagram))
        answerLimitAsk(*limitAsk, from);
    else
        upstreamLimits_.onGrant(std::get<LimitGrant>(datagram));
}

auto Gateway::onConnect(const Upstream& upstream, MonotonicTime startedAt, bool isConnected) -> void
{
    links_.recordConnect(upstream, startedAt, isConnected);
    if (isConnected)
        endEstimator_.recordConnect(upstream, clock_.now() - startedAt);
}

auto Gateway::onReport(const MemberReport& report) -> void
{
    fleet_.updateMember(report);
    coldWatch_.applyNotices(report.coldNotices_);
    upstreamLimits_.applyNotices(report.limitNotices_);
    loadExchange_.apply(report.observations_);
    if (report.region_ == settings_.region_ && report.name_ != settings_.name_)
        roomGate_.apply(report);
    if (report.name_ != settings_.name_)
        regionDemand_.apply(report);
    if (!report.knownPeers_.empty())
        beliefs_.peerListReceived();
    if (report.wantsPeers_)
        answerNewcomer(report);
    const auto known = fleet_.peerAddresses();
    std::vector<SocketAddress> strangers;
    for (const auto& address : report.knownPeers_) {
        if (address != settings_.peer_ && std::find(known.begin(), known.end(), address) == known.end())
            strangers.push_back(address);
    }
    if (!strangers.empty())
        datagrams_.send(encodeDatagram(ownReport()), strangers);
}

auto Gateway::onDeclaration() -> void
{
    context_.index_ = beliefs_.index();
    rates_.setLimits(beliefs_.index()->declaration().workspaces_);
    roomGate_.setWorkspaces(beliefs_.index()->declaration().workspaces_);
}

// A watch whose answer was lost on a connection that stays open would else keep its feed behind until its time limit.
auto Gateway::renewFeeds() -> void
{
    FeedVerifier::Positions positions;
    for (const auto feed : allFeeds)
        positions.at(static_cast<std::size_t>(feed)) = adapter_.source_->position(feed);
    for (const auto feed : allFeeds) {
        // It is asked again anyway.
        if (beliefs_.outageDuration(feed) > Duration::zero())
            continue;
        // The change is on its way; another request for it would only compete for the link.
        if (arrivals_.isArriving(feed, adapter_.source_->bytesArriving(feed)))
            continue;
        const auto& own = positions.at(static_cast<std::size_t>(feed));
        if (feedVerifier_.isDue(feed, positions, adapter_.source_->newestRevision()))
            adapter_.source_->verify(feed);
        const auto newest = fleet_.newestRevisionReported(static_cast<std::size_t>(feed));
        const auto source = beliefs_.followedPeer(feed);
        const auto followed = source ? fleet_.revisionReportedBy(*source, static_cast<std::size_t>(feed)) : std::nullopt;
        if (!feedLag_.isOverdue(feed, own, newest, followed))
            continue;
        beliefs_.feedBehind(feed, own, newest);
        adapter_.source_->reconnect(feed, newest);
    }
}

// Sends a heartbeat at once, so that peers do not delegate to this instance or list it to callers.
auto Gateway::onLinkChange(const LinkChange& change) -> void
{
    // A request that was reset with the links may have been recorded shortly before the first failed connection.
    constexpr Duration revertMargin = 500ms;
    if (change.state_ == LinkState::Suspected)
        return asio::post(loop_, [this] { linkProber_.tick(); });
    const LogFields fields { { "region", change.region_ }, { "state", linkStateName(change.state_) }, { "since_ms", (clock_.now() - change.since_) / 1ms } };
    if (change.state_ == LinkState::Unreachable) {
        upstreams_.revertLosses(change.region_, change.since_ - revertMargin);
        crashes_.revertLosses(change.since_ - revertMargin);
        log_.write(EventId::UpstreamsUnreachable, fields);
        asio::post(loop_, [this] { sendHeartbeat(Reach::All); });
    } else if (change.state_ == LinkState::Recovering) {
        log_.write(EventId::UpstreamsReachable, fields);
    }
}

// Callers must not pass for peers: requests are only taken from hosts that send heartbeats.
auto Gateway::selectDelegationHandler(const std::string& host) -> CallerHandler&
{
    const auto peers = fleet_.peerAddresses();
    const bool isPeer = std::any_of(peers.begin(), peers.end(), [&host](const auto& peer) { return peer.host_ == host; });
    return isPeer ? static_cast<CallerHandler&>(delegationHandler_) : strangerHandler_;
}

auto Gateway::onFoundCold(const std::string& upstream, Duration left) -> void
{
    log_.write(EventId::UpstreamFoundCold, { { "upstream", upstream }, { "cold_ms", left / 1ms } });
    sendHeartbeat(Reach::All);
}

auto Gateway::noteFleet() -> void
{
    const auto ready = fleet_.allReadyMembers().size();
    if (ready == readyPeers_)
        return;
    log_.write(EventId::FleetChanged, { { "ready", ready }, { "before", readyPeers_ }, { "spenders", fleet_.memberCount() } });
    readyPeers_ = ready;
}

auto Gateway::noteStatus() -> void
{
    log_.write(EventId::GatewayStatus, { { "ready", isReady() }, { "in_flight", runs_.size() }, { "connections", front_.openCount() }, { "opened", pool_.counts().opened_ }, { "reused", pool_.counts().reused_ }, { "store_calls", adapter_.source_->calls() }, { "feed_lost_ms", beliefs_.outageDuration(Feed::Upstreams) / 1ms }, { "peers_ready", fleet_.allReadyMembers().size() }, { "control_bytes_unread", control_.unreadBytes() } });
}

auto Gateway::beginStop() -> void
{
    if (isStopping_)
        return;
    isStopping_ = true;
    stoppingAt_ = clock_.now();
    log_.write(EventId::GatewayStopping, { { "in_flight", runs_.size() }, { "connections", front_.openCount() } });
    sendHeartbeat(Reach::All);
    stopTimes_ = shutdownTimes(stoppingAt_, settings_.grace_);
    shutdown_.begin(stopTimes_.endsAt_);
    continueStopAt(stopTimes_.refuseUnsentAt_, [this] { refuseUnsent(); });
}

auto Gateway::continueStopAt(MonotonicTime at, std::function<void()> step) -> void
{
    stopTimer_.expires_after(std::max<Duration>(Duration::zero(), at - clock_.now()));
    stopTimer_.async_wait([this, step = std::move(step)](NetError error) {
        if (!error && !isEnded_)
            step();
    });
}

// Answering destroys a run.
auto Gateway::runningHandlers() const -> std::vector<std::shared_ptr<RequestHandler>>
{
    std::vector<std::shared_ptr<RequestHandler>> handlers;
    for (const auto* run : runs_)
        handlers.push_back(run->handler());
    return handlers;
}

auto Gateway::refuseUnsent() -> void
{
    for (const auto& handler : runningHandlers())
        handler->refuseUnsent();
    for (auto* listener : { &front_, &delegated_ }) {
        listener->stopAccepting();
        listener->endReading();
    }
    continueStopAt(stopTimes_.giveUpAt_, [this] { giveUp(); });
}

auto Gateway::giveUp() -> void
{
    for (const auto& handler : runningHandlers())
        handler->giveUp();
    continueStopAt(stopTimes_.endsAt_, [this] { end(); });
}

// The end of the grace time has a timer of its own.
auto Gateway::continueStop() -> void
{
    const auto age = clock_.now() - stoppingAt_;
    for (auto* listener : { &front_, &delegated_ }) {
        listener->closeIdle();
        if (age >= acceptAfterStop)
            listener->stopAccepting();
    }
    if (age >= acceptAfterStop && front_.openCount() == 0 && delegated_.openCount() == 0)
        end();
}

auto Gateway::end() -> void
{
    isEnded_ = true;
    stopTimer_.cancel();
    log_.write(EventId::GatewayStopped, { { "in_flight", runs_.size() }, { "ran_s", inSeconds(clock_.now() - startedAt_) } });
    log_.flush();
    adapter_.source_->stop();
    coldProber_.stop();
    linkProber_.stop();
    loop_.stop();
}

auto Gateway::rereadSettings(const std::string& path) -> void
{
    const auto settings = loadGatewaySettings(path);
    LogFields fields { { "ok", isOk(settings) } };
    if (!isOk(settings))
        fields["why"] = renderViolation(path, errorOf(settings).front());
    log_.write(EventId::SettingsReread, std::move(fields));
}

} // namespace sapphirepass
