#include "soak/world.h"

#include "base/http_status.h"

#include <fmt/format.h>
#include <unistd.h>

namespace sapphirepass::soak {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {
    // Callers give up after the routes' time and a while.
    constexpr auto callerTime = 4s;

    auto now() -> std::chrono::steady_clock::time_point { return std::chrono::steady_clock::now(); }

    auto routeOf(const std::string& prefix, const std::string& kind) -> json
    {
        return { { "name", prefix }, { "host", "a.example" }, { "path_prefix", fmt::format("/{}/", prefix) }, { "kind", kind }, { "timeout_s", 1.5 }, { "target_latency_s", 0.3 }, { "service", "s" }, { "max_attempts", 2 }, { "session_affinity", true } };
    }

    // Each gateway has a loopback host of its own, so that no outgoing connection takes its ports while it is down.
    auto ownHost(std::size_t gateway) -> std::string
    {
        const auto process = static_cast<unsigned>(::getpid());
        return fmt::format("127.{}.{}.{}", 1 + process / 250 % 250, 1 + process % 250, 1 + gateway);
    }

    // Runs may be longer than the grace time.
    auto longRoute() -> json
    {
        auto route = routeOf("long", "non_idempotent");
        route["timeout_s"] = 10;
        route["target_latency_s"] = 10;
        return route;
    }

    auto tenant(const std::string& name, const std::vector<std::string>& keys) -> json
    {
        return { { "name", name }, { "api_keys", keys } };
    }
}

auto headerOf(const std::string& message, const std::string& name) -> std::string
{
    const auto at = message.find("\r\n" + name + ": ");
    if (at == std::string::npos || at > message.find("\r\n\r\n"))
        return {};
    const auto from = at + name.size() + 4;
    return message.substr(from, message.find("\r\n", from) - from);
}

auto bodyOf(const std::string& attempt) -> std::string
{
    return fmt::format("made for {} {}", attempt, std::string(200, 'x'));
}

World::World(asio::io_context& loop, Programs programs, std::string folder, std::uint64_t seed)
    : loop_(loop)
    , store_(loop)
    , programs_(std::move(programs))
    , folder_(std::move(folder))
    , random_(seed)
    , laterRandom_(~seed)
    , unusualRandom_(~seed >> 1U)
{
    declare();
}

auto World::declare() -> void
{
    const auto beta = isRevoked_ ? std::vector<std::string>() : std::vector<std::string> { "key-beta" };
    store_.put("config", "main", { { "version", fmt::format("{:08x}", ++version_) }, { "routes", { routeOf("order", "non_idempotent"), routeOf("read", "idempotent"), longRoute() } }, { "services", { { { "name", "s" }, { "max_conns", 100 }, { "cold_start_s", 1 }, { "cold_per_s", 50 } } } }, { "tenants", { tenant("acme", { "key-acme" }), tenant("beta", beta) } } });
}

auto World::addGateway(std::size_t number) -> void
{
    auto slot = std::make_unique<GatewaySlot>();
    slot->storeProxy_ = std::make_unique<FaultProxy>(loop_, store_.address());
    GatewaySettings settings;
    settings.name_ = fmt::format("e{}", number);
    settings.store_ = slot->storeProxy_->address();
    for (auto* address : { &settings.front_, &settings.directory_, &settings.ready_, &settings.control_, &settings.peer_ })
        *address = standin::freeAddress(ownHost(number));
    slot->process_ = std::make_unique<GatewayProcess>(GatewayPlan { programs_, folder_, std::move(settings) });
    slot->process_->start();
    gateways_.push_back(std::move(slot));
}

auto World::addServer() -> void
{
    auto server = std::make_shared<Server>();
    server->id_ = fmt::format("u{}", ++lastServer_);
    // Every fourth one is in need.
    server->usualLimitPerSecond_ = lastServer_ % 4 == 0 ? 20 : 0;
    server->limitPerSecond_ = server->usualLimitPerSecond_;
    auto* raw = server.get();
    server->upstream_ = std::make_unique<standin::LoopServer>(loop_, [this, raw](int, const std::string& request) { return runOne(*raw, request); });
    server->proxy_ = std::make_unique<FaultProxy>(loop_, server->upstream_->address());
    server->spec_ = { { "address", formatSocketAddress(server->proxy_->address()) }, { "born", lastServer_ }, { "info", { { "service", "s" }, { "zone", "north-a" }, { "slots", 8 } } }, { "status", { { "state", "ready" }, { "seq", 1 }, { "cold_left_s", 0 } } } };
    store_.put("servers", server->id_, server->spec_);
    servers_.push_back(std::move(server));
}

auto World::putOddEntry() -> void
{
    constexpr std::size_t depth = 60'000;
    const std::vector<std::string> specs { std::string(depth, '[') + std::string(depth, ']'), R"({"status":{"cold_left_s":1e400}})", R"({"info":{"zone":"\ud83d"}})", "\"\xff\"", R"({"address":"127.0.0.1:70000"})", "[]", "null" };
    const std::vector<std::string> kinds { "servers", "config", "sapphirepass-instances" };
    const auto& kind = kinds[randomOfLater(kinds.size())];
    store_.putText(kind, fmt::format("odd-{}", ++lastOddEntry_ % 5), specs[randomOfLater(specs.size())]);
}

auto World::retireServer(std::size_t index) -> void
{
    store_.remove("servers", servers_[index]->id_);
    retired_.push_back(servers_[index]);
    servers_.erase(servers_.begin() + static_cast<std::ptrdiff_t>(index));
}

auto World::restoreStore() -> void
{
    store_.restore();
    for (const auto& server : retired_)
        store_.removeIfListed("servers", server->id_);
}

auto World::writeAgain(const Server& server) -> void
{
    auto spec = server.spec_;
    spec["status"]["seq"] = store_.revision();
    store_.put("servers", server.id_, spec);
}

auto World::runOne(Server& server, const std::string& request) -> standin::ScriptedBytes
{
    const auto attempt = headerOf(request, "Attempt-Id");
    if (headerOf(request, "Expected-Instance") != server.id_)
        return { "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n" };
    ++server.arrivals_;
    std::string notices = server.isLeaving_ ? "Server-Leaving: 1\r\n" : "";
    if (server.limitPerSecond_ > 0)
        notices += fmt::format("Server-Limit: {}\r\n", server.limitPerSecond_);
    if (server.isPausing_)
        return { fmt::format("HTTP/1.1 503 -\r\nAttempt-Id: {}\r\nNot-Executed: 1\r\nRetry-After: 30\r\n{}Content-Length: 0\r\n\r\n", attempt, notices) };
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        violations_.add("an upstream ran an attempt that nobody sent");
        return { "HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n" };
    }
    auto& record = found->second;
    judgeRun(server, request, record);
    ++record.runs_;
    const auto body = bodyOf(attempt);
    const auto response = fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Signature: made\r\n{}Keep-Alive: timeout=4\r\nContent-Length: {}\r\n\r\n{}", attempt, notices, body.size(), body);
    // Drawn only for attempts of usual callers, as ever.
    const auto work = record.work_ ? *record.work_ : std::chrono::milliseconds(10 + random(40));
    return { areUpstreamsFaulty_ ? damaged(response, record.work_ ? unusualRandom_ : laterRandom_) : response, standin::AfterBytes::Keep, work };
}

auto World::judgeRun(const Server& server, const std::string& request, const AttemptRecord& record) -> void
{
    const auto attempt = headerOf(request, "Attempt-Id");
    if (!record.mayRepeat_ && record.runs_ > 0)
        violations_.add(fmt::format("attempt {} ran twice", attempt));
    if (record.status_ == 503 || record.status_ == 429)
        violations_.add(fmt::format("attempt {} ran after its refusal", attempt));
    if (headerOf(request, "Tenant") != record.workspace_)
        violations_.add(fmt::format("attempt {} ran for another workspace", attempt));
    if (request.find("key-") != std::string::npos)
        violations_.add("an upstream was shown a key");
    if (!record.body_.empty() && request.substr(request.find("\r\n\r\n") + 4) != record.body_)
        violations_.add(fmt::format("{} was sent another body of attempt {}", server.id_, attempt));
}

// One response in fifty: another status, or a part of an earlier refusal before it.
auto World::damaged(std::string response, std::mt19937_64& draws) -> std::string
{
    constexpr std::size_t damagedOneIn = 50;
    static const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nServer-Load: 8,8,8\r\nAttempt-Id: t0-0\r\nContent-Length: 0\r\n\r\n";
    if (draws() % damagedOneIn != 0)
        return response;
    constexpr std::size_t statusAt = 9;
    if (draws() % 2 == 0)
        return response.replace(statusAt, 1, draws() % 2 == 0 ? "0" : "6");
    return refusal.substr(0, 1 + draws() % refusal.size()) + response;
}

auto World::checkAll() -> void
{
    for (const auto& [attempt, record] : attempts_) {
        const bool refused = record.status_ == 503 || record.status_ == 429 || record.status_ == 421 || record.status_ == 408;
        if (refused && record.runs_ > 0)
            violations_.add(fmt::format("attempt {} ran and was answered {}", attempt, record.status_));
        if (record.status_ == 200 && record.runs_ == 0)
            violations_.add(fmt::format("attempt {} was answered without a run", attempt));
        if (!record.cut_.empty() && record.runs_ > 0 && record.status_ == 0)
            violations_.add(fmt::format("attempt {} ran and got no answer: {}", attempt, record.cut_));
    }
}

Caller::Caller(asio::io_context& loop, World& world, std::size_t number)
    : loop_(loop)
    , world_(world)
    , number_(number)
{
}

auto Caller::step() -> void
{
    if (client_ && !attempt_.empty())
        readAnswer();
    if (client_ && client_->isEnded()) {
        noteCut();
        client_.reset();
        attempt_.clear();
    }
    if (client_ && !attempt_.empty() && now() - sentAt_ > callerTime) {
        client_.reset();
        attempt_.clear();
    }
    if (isClosing_)
        return;
    if (!client_)
        connect();
    if (client_ && attempt_.empty() && now() >= beginsAt_)
        sendNext();
}

auto Caller::connect() -> void
{
    gateway_ = world_.random(world_.gateways_.size());
    try {
        client_ = std::make_unique<standin::LoopClient>(loop_, world_.gateways_[gateway_]->process_->settings().front_);
        // Some connections carry nothing for a while.
        beginsAt_ = now() + (world_.randomOfLater(4) == 0 ? std::chrono::milliseconds(world_.randomOfLater(6'000)) : 0ms);
        seen_ = 0;
    } catch (const boost::system::system_error&) {
        // Nobody listens there now: another is tried at the next step.
        client_.reset();
    }
}

auto Caller::sendNext() -> void
{
    attempt_ = fmt::format("t{}-{}", number_, ++world_.lastAttempt_);
    const bool once = world_.random(2) == 0;
    const bool beta = world_.random(4) == 0;
    world_.attempts_[attempt_] = { !once, beta ? "beta" : "acme", 0, 0 };
    const auto body = once ? "Content-Length: 5\r\n\r\nhello" : "\r\n";
    client_->send(fmt::format("{} /{}/x{} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {}\r\nCookie: Affinity-Key={}\r\nAuthorization: Token {}\r\n{}", once ? "POST" : "GET", once ? "order" : "read", world_.lastAttempt_, attempt_, world_.random(20), beta ? "key-beta" : "key-acme", body));
    sentAt_ = now();
}

auto Caller::readAnswer() -> void
{
    const auto text = client_->received().substr(seen_);
    const auto end = text.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    const auto length = headerOf(text, "Content-Length");
    const auto size = length.empty() ? 0 : std::stoul(length);
    if (text.size() < end + 4 + size)
        return;
    auto& record = world_.attempts_[attempt_];
    record.status_ = std::stoi(text.substr(9, 3));
    if (!isHttpStatus(static_cast<unsigned>(record.status_)))
        world_.violations_.add(fmt::format("attempt {} got \"{}\"", attempt_, text.substr(0, text.find('\r'))));
    if (record.status_ == 200 && (text.substr(end + 4, size) != bodyOf(attempt_) || headerOf(text, "Attempt-Id") != attempt_))
        world_.violations_.add(fmt::format("attempt {} got an answer that is not its own", attempt_));
    seen_ += end + 4 + size;
    attempt_.clear();
}

// A planned stop cuts no request that was sent before the process could be gone.
auto Caller::noteCut() -> void
{
    const auto& slot = *world_.gateways_[gateway_];
    const bool harmed = now() - slot.harmedAt_ < graceTime;
    const bool stopping = now() - slot.stoppingAt_ < graceTime && sentAt_ > slot.stoppingAt_ - 4s && sentAt_ < slot.stoppingAt_ + 1s;
    // Runs take far less than the rest of the grace time.
    const bool hasRunLate = now() - slot.stoppingAt_ < graceTime && sentAt_ > slot.stoppingAt_ && world_.attempts_[attempt_].runs_ > 0;
    if (!attempt_.empty() && !harmed && ((stopping && now() - sentAt_ > 200ms) || hasRunLate))
        world_.violations_.add(fmt::format("attempt {} was cut by a planned stop", attempt_));
}

} // namespace sapphirepass::soak
