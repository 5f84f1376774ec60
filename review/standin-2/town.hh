// A small deployment: two regions of two zones, gateways, servers and clients; and what clients and servers have seen.
#pragma once

#include "rig.hh"

namespace rig {

struct Tenant {
    std::string name_;
    std::string key_;
    double rate_ = 0;
    double burst_ = 0;
};

// One client attempt, as its client and the servers have seen it.
struct Attempt {
    std::string tenant_;
    bool mayRepeat_ = false;
    bool isKiller_ = false;
    Time sentAt_ {};
    // When servers began to run it.
    std::vector<Time> runAt_;
    // As in request(); -2 while there is no outcome.
    int status_ = -2;
};

class Town {
public:
    // The folder holds settings and logs of the gateways.
    Town(const std::string& recordPath, std::string folder)
        : record_(recordPath)
        , folder_(std::move(folder))
        , store_(hostNumber(250))
        , settings_(store_.address().text(), freePorts(), zones(), { hostNumber(1), hostNumber(2), hostNumber(3) })
    {
    }
    ~Town()
    {
        stopClients();
        for (const auto& gateway : gateways_)
            gateway->killNow();
        for (const auto& server : servers_)
            server->end();
    }
    Town(const Town&) = delete;
    auto operator=(const Town&) -> Town& = delete;

    static auto zones() -> std::map<std::string, std::string> { return { { "north-a", "north" }, { "north-b", "north" }, { "south-a", "south" }, { "south-b", "south" } }; }

    // Returns once the store has acknowledged the manifest.
    auto declare(const std::vector<Tenant>& tenants, int version = 1, long maxBodyBytes = 67108864) -> void
    {
        Json routes = Json::array();
        for (const auto& [prefix, kind] : std::map<std::string, std::string> { { "read", "idempotent" }, { "order", "non_idempotent" } })
            routes.push_back({ { "name", prefix }, { "host", "a.example" }, { "path_prefix", "/" + prefix + "/" }, { "kind", kind }, { "timeout_s", 1.5 }, { "target_latency_s", 0.3 }, { "priority", 1 }, { "service", "desk" }, { "max_attempts", 2 }, { "anonymous", false }, { "session_affinity", true }, { "home_regions", Json::array() } });
        Json list = Json::array();
        for (const auto& tenant : tenants)
            list.push_back({ { "name", tenant.name_ }, { "api_keys", { tenant.key_ } }, { "priority", 1 }, { "rate_per_s", tenant.rate_ }, { "burst", tenant.burst_ }, { "home_regions", Json::array() } });
        store_.put("config", "main", { { "version", hexVersion(version) }, { "routes", routes }, { "services", { { { "name", "desk" }, { "health_path", "/health" }, { "max_conns", 390 }, { "cold_start_s", 3.0 }, { "cold_per_s", 9.2 } } } }, { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", maxBodyBytes }, { "header_timeout_s", 3 }, { "idle_timeout_s", 15 } } }, { "tenants", list } });
    }
    auto addServer(const std::string& id, const std::string& zone, Millis work, Server::OnRun onRun = {}) -> Server&
    {
        const Server::Plan plan { id, "desk", zone, 4, 12, work };
        servers_.push_back(std::make_unique<Server>(store_, hostNumber(200), plan, [this, onRun = std::move(onRun)](const Server& server, const Message& message) {
            noteRun(server, message);
            return onRun && onRun(server, message);
        }));
        servers_.back()->start(id);
        return *servers_.back();
    }
    // Its entry is gone from the store, as after a crash.
    auto removeServer(const Server& server) -> void { store_.remove("servers", server.plan().id_); }
    // Names end with a number; those of a zone are counted from 1.
    auto addGateway(const std::string& zone, int number) -> Gateway&
    {
        const auto name = "front-" + zone + "-" + std::to_string(number);
        const GatewayPlace place { name, zones().at(zone), zone, hostNumber(static_cast<int>(gateways_.size()) + 1) };
        gateways_.push_back(std::make_unique<Gateway>(settings_, place, folder_));
        gateways_.back()->start();
        record_.line("start %s at %s", name.c_str(), gateways_.back()->front().text().c_str());
        return *gateways_.back();
    }
    auto waitReady() -> void
    {
        for (const auto& gateway : gateways_) {
            if (gateway->isRunning())
                gateway->waitReady(15s);
        }
    }
    auto gateway(const std::string& name) -> Gateway&
    {
        for (const auto& gateway : gateways_) {
            if (gateway->place().name_ == name)
                return *gateway;
        }
        cannotRun("no gateway " + name);
    }
    auto gateways() -> std::vector<std::unique_ptr<Gateway>>& { return gateways_; }
    auto servers() -> std::vector<std::unique_ptr<Server>>& { return servers_; }
    auto record() -> Record& { return record_; }

    // Clients of a region ask the directory for where to connect, and keep the answer for two seconds.
    auto frontOf(const std::string& region, std::uint64_t draw) -> Address
    {
        const std::lock_guard lock(directoryMutex_);
        auto& known = known_[region];
        if (known.second.empty() || now() - known.first > 2s) {
            for (const auto& gateway : gateways_) {
                if (gateway->place().region_ != region || !gateway->isRunning())
                    continue;
                auto found = lookUp(gateway->directory(), region, region + "-a");
                if (found.empty())
                    continue;
                known = { now(), std::move(found) };
                break;
            }
        }
        if (known.second.empty())
            return gateways_.front()->front();
        return known.second[draw % known.second.size()];
    }
    // One attempt of a client, from its sending to its outcome.
    auto attempt(const Tenant& tenant, const std::string& region, bool mayRepeat, std::uint64_t draw, std::optional<std::string> object = std::nullopt) -> int
    {
        const auto number = ++lastAttempt_;
        const auto id = "c" + std::to_string(number);
        const auto front = frontOf(region, draw);
        const auto thing = object.value_or(std::to_string(draw % 80));
        {
            const std::lock_guard lock(mutex_);
            attempts_[id] = { tenant.name_, mayRepeat, object.has_value(), now(), {}, -2 };
        }
        record_.line("send %s %s %s to %s", id.c_str(), tenant.name_.c_str(), mayRepeat ? "GET" : "POST", front.text().c_str());
        const auto status = request(front, mayRepeat ? "GET" : "POST", (mayRepeat ? "/read/" : "/order/") + thing, id, tenant.key_, thing, 2000ms, mayRepeat ? "" : "item " + thing);
        record_.line("answer %s %d", id.c_str(), status);
        const std::lock_guard lock(mutex_);
        attempts_[id].status_ = status;
        return status;
    }
    // Clients of a tenant that together send so many requests a second, evenly in time, until they are stopped.
    class Load {
    public:
        Load(Town& town, Tenant tenant, std::vector<std::string> regions, double perSecond, double shareOfReads, int threads)
            : town_(town)
            , tenant_(std::move(tenant))
            , regions_(std::move(regions))
            , gap_(1.0 / perSecond)
            , shareOfReads_(shareOfReads)
            , startedAt_(now())
        {
            for (int i = 0; i < threads; ++i)
                threads_.emplace_back([this, i] { run(static_cast<std::uint64_t>(i)); });
        }
        ~Load() { stop(); }
        Load(const Load&) = delete;
        auto operator=(const Load&) -> Load& = delete;
        auto stop() -> void
        {
            isStopped_ = true;
            for (auto& thread : threads_) {
                if (thread.joinable())
                    thread.join();
            }
        }

    private:
        auto run(std::uint64_t seed) -> void
        {
            std::mt19937_64 random(seed * 7919 + 17);
            while (!isStopped_) {
                const auto turn = turn_++;
                const auto at = startedAt_ + std::chrono::duration_cast<Steady::duration>(gap_ * static_cast<double>(turn));
                while (!isStopped_ && now() < at)
                    pause(std::min<Millis>(20ms, std::chrono::ceil<Millis>(at - now())));
                if (isStopped_)
                    return;
                const auto draw = random();
                town_.attempt(tenant_, regions_[turn % regions_.size()], static_cast<double>(draw >> 40U & 1023U) < shareOfReads_ * 1024, draw);
            }
        }

        Town& town_;
        Tenant tenant_;
        std::vector<std::string> regions_;
        std::chrono::duration<double> gap_;
        double shareOfReads_;
        Time startedAt_;
        std::atomic<std::uint64_t> turn_ { 0 };
        std::atomic<bool> isStopped_ { false };
        std::vector<std::thread> threads_;
    };
    auto startLoad(const Tenant& tenant, std::vector<std::string> regions, double perSecond, double shareOfReads, int threads) -> Load&
    {
        loads_.push_back(std::make_unique<Load>(*this, tenant, std::move(regions), perSecond, shareOfReads, threads));
        return *loads_.back();
    }
    auto stopClients() -> void { loads_.clear(); }
    auto attempts() -> std::map<std::string, Attempt>
    {
        const std::lock_guard lock(mutex_);
        return attempts_;
    }
    // Ends with 2 if a gateway ended that nobody stopped.
    auto checkGateways() -> void
    {
        for (const auto& gateway : gateways_) {
            if (const auto status = gateway->endedByItself())
                cannotRun(gateway->place().name_ + " ended by itself, status " + std::to_string(*status));
        }
    }

private:
    static auto hexVersion(int version) -> std::string
    {
        std::array<char, 16> text {};
        std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(version));
        return text.data();
    }
    static auto freePorts() -> Ports
    {
        const auto ip = hostNumber(1);
        return { freePort(ip), freePort(ip), freePort(ip), freePort(ip), freePort(ip) };
    }
    auto noteRun(const Server& server, const Message& message) -> void
    {
        const auto id = message.header("Attempt-Id");
        record_.line("run %s at %s for %s", id.c_str(), server.plan().id_.c_str(), message.header("Tenant").c_str());
        const std::lock_guard lock(mutex_);
        attempts_[id].runAt_.push_back(now());
    }

    Record record_;
    std::string folder_;
    Store store_;
    Settings settings_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::mutex mutex_;
    std::map<std::string, Attempt> attempts_;
    std::atomic<std::uint64_t> lastAttempt_ { 0 };
    std::mutex directoryMutex_;
    std::map<std::string, std::pair<Time, std::vector<Address>>> known_;
    std::vector<std::unique_ptr<Load>> loads_;
};

// Most runs of a tenant in some window, of requests that were both sent and run in it; and when it begins.
inline auto busiestWindow(const std::map<std::string, Attempt>& attempts, const std::string& tenant, Millis length) -> std::pair<int, Time>
{
    std::vector<std::pair<Time, Time>> runs;
    for (const auto& [id, attempt] : attempts) {
        if (attempt.tenant_ == tenant && !attempt.runAt_.empty())
            runs.emplace_back(attempt.sentAt_, attempt.runAt_.front());
    }
    std::sort(runs.begin(), runs.end());
    std::pair<int, Time> most { 0, {} };
    for (std::size_t i = 0; i < runs.size(); ++i) {
        int count = 0;
        for (std::size_t j = i; j < runs.size() && runs[j].first - runs[i].first <= length; ++j)
            count += runs[j].second - runs[i].first <= length ? 1 : 0;
        if (count > most.first)
            most = { count, runs[i].first };
    }
    return most;
}

} // namespace rig
