// The soak's surroundings of the gateways: store, upstreams and callers on one loop, and what they have seen.
#pragma once

#include "soak/gateway_process.h"
#include "standin/fault_proxy.h"
#include "standin/platform_store.h"

#include <map>
#include <random>
#include <set>

namespace sapphirepass::soak {

using standin::FaultProxy;
using standin::LinkFault;

// What callers and upstreams have seen of one attempt.
struct AttemptRecord {
    bool mayRepeat_ = false;
    std::string workspace_;
    int runs_ = 0;
    // 0 while there is no answer.
    int status_ = 0;
    // Set for attempts of unusual callers, which draw from numbers of their own.
    std::optional<std::chrono::milliseconds> work_ {};
    std::string body_ {};
    // How its connection was ended from the other side without an answer, where nothing but the gateway can be the cause.
    std::string cut_ {};
};

class Violations {
public:
    auto add(const std::string& text) -> void { texts_.insert(text); }
    auto texts() const -> const std::set<std::string>& { return texts_; }

private:
    std::set<std::string> texts_;
};

struct Server {
    std::string id_;
    // As it registers in the store.
    nlohmann::json spec_;
    // Says in all its responses that it is leaving.
    bool isLeaving_ = false;
    // Turns all requests away and asks for a pause of several seconds.
    bool isPausing_ = false;
    // Requests a second that it takes from all gateways, as it says in its responses; 0 for no limit.
    int limitPerSecond_ = 0;
    int usualLimitPerSecond_ = 0;
    int arrivals_ = 0;
    std::unique_ptr<standin::LoopServer> upstream_;
    std::unique_ptr<FaultProxy> proxy_;
};

struct GatewaySlot {
    std::unique_ptr<FaultProxy> storeProxy_;
    std::unique_ptr<GatewayProcess> process_;
    std::chrono::steady_clock::time_point stoppingAt_ {};
    std::chrono::steady_clock::time_point harmedAt_ {};
    std::chrono::steady_clock::time_point restartAt_ {};
    AskedEnd asked_;
};

// A planned stop ends within the grace time.
inline constexpr std::chrono::seconds graceTime { 6 };

auto headerOf(const std::string& message, const std::string& name) -> std::string;
// What an upstream answers to an attempt.
auto bodyOf(const std::string& attempt) -> std::string;

// Sends one request after the other on a kept connection, to another gateway once it ends.
class Caller {
public:
    Caller(asio::io_context& loop, class World& world, std::size_t number);

    auto step() -> void;
    auto finishOnly() -> void { isClosing_ = true; }
    auto isIdle() const -> bool { return attempt_.empty(); }

private:
    auto connect() -> void;
    auto sendNext() -> void;
    auto readAnswer() -> void;
    auto noteCut() -> void;

    asio::io_context& loop_;
    World& world_;
    std::size_t number_;
    std::unique_ptr<standin::LoopClient> client_;
    std::size_t gateway_ = 0;
    std::string attempt_;
    std::size_t seen_ = 0;
    std::chrono::steady_clock::time_point sentAt_ {};
    // The first request of a connection is sent then.
    std::chrono::steady_clock::time_point beginsAt_ {};
    bool isClosing_ = false;
};

class World {
public:
    World(asio::io_context& loop, Programs programs, std::string folder, std::uint64_t seed);

    auto addGateway(std::size_t number) -> void;
    auto addServer() -> void;
    // The server says that it leaves, and ends a moment later.
    auto retireServer(std::size_t index) -> void;
    auto declare() -> void;
    // The store returns from its last copy; what has ended since expires there.
    auto restoreStore() -> void;
    auto writeAgain(const Server& server) -> void;
    auto random(std::size_t below) -> std::size_t { return random_() % below; }
    // Draws for what was added after the seeds in seeds.txt: what these draw stays as it was.
    auto randomOfLater(std::size_t below) -> std::size_t { return laterRandom_() % below; }
    auto randomOfUnusual(std::size_t below) -> std::size_t { return unusualRandom_() % below; }
    // Another writer puts an entry there that names nothing to use.
    auto putOddEntry() -> void;
    auto runOne(Server& server, const std::string& request) -> standin::ScriptedBytes;
    auto judgeRun(const Server& server, const std::string& request, const AttemptRecord& record) -> void;
    auto damaged(std::string response, std::mt19937_64& draws) -> std::string;
    auto checkAll() -> void;

    asio::io_context& loop_;
    standin::PlatformStore store_;
    Programs programs_;
    std::string folder_;
    std::mt19937_64 random_;
    std::mt19937_64 laterRandom_;
    // Draws for unusual callers and what was added with them.
    std::mt19937_64 unusualRandom_;
    std::map<std::string, AttemptRecord> attempts_;
    Violations violations_;
    std::vector<std::unique_ptr<GatewaySlot>> gateways_;
    std::vector<std::shared_ptr<Server>> servers_;
    // Servers that have left keep their connections until the end.
    std::vector<std::shared_ptr<Server>> retired_;
    std::uint64_t lastAttempt_ = 0;
    int version_ = 0;
    int lastServer_ = 0;
    int lastOddEntry_ = 0;
    bool isRevoked_ = false;
    // Upstreams damage some of their responses.
    bool areUpstreamsFaulty_ = false;
};

} // namespace sapphirepass::soak
