// The store's dialect and the whole gateway, against a stand-in of the platform on loopback.
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

struct SourceFixture {
    SourceFixture()
    {
        store_.put("config", "main", declared(1));
        for (int i = 0; i < 5; ++i)
            store_.put("servers", fmt::format("i-{}", i), listed({ "127.0.0.1", 9000 }));
    }
    ~SourceFixture() { source_.stop(); }
    SourceFixture(const SourceFixture&) = delete;
    auto operator=(const SourceFixture&) -> SourceFixture& = delete;

    auto start() -> void
    {
        source_.start(beliefs_, { "e1", { "127.0.0.1", 7000 } }, peers_);
        REQUIRE(runUntil(loop_, [this] { return beliefs_.lists_ == 1 && !beliefs_.versions_.empty() && !beliefs_.instances_.empty(); }));
    }

    asio::io_context loop_;
    PlatformStore store_ { loop_ };
    KeptBeliefs beliefs_;
    NamedPeers peers_;
    platform::StoreSource source_ { loop_, store_.address(), 300ms };
};

}

TEST_CASE("everything in the store is told, over several pages", "[store-source]")
{
    SourceFixture fixture;
    fixture.store_.setPage(2);
    fixture.store_.put("evacuations", "north-a", json::object());
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return !fixture.beliefs_.evacuated_.empty(); }));
    CHECK(fixture.beliefs_.versions_ == std::vector<std::uint64_t> { 1 });
    CHECK(fixture.beliefs_.upstreams_.size() == 5);
    CHECK(fixture.beliefs_.evacuated_ == std::set<std::string> { "north-a" });
    CHECK(fixture.beliefs_.instances_ == std::vector<ListedInstance> { { "e1", { "127.0.0.1", 7000 } } });
    CHECK(fixture.beliefs_.lost_ == 0);
}

TEST_CASE("changes are told as they come", "[store-source]")
{
    SourceFixture fixture;
    fixture.start();
    fixture.store_.put("config", "main", declared(2));
    fixture.store_.put("servers", "i-9", listed({ "127.0.0.1", 9000 }));
    fixture.store_.remove("servers", "i-0");
    fixture.store_.put("evacuations", "north-a", json::object());
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.versions_.size() == 2 && fixture.beliefs_.upstreams_.contains("i-9") && !fixture.beliefs_.upstreams_.contains("i-0") && fixture.beliefs_.evacuated_.size() == 1; }));
    fixture.store_.remove("evacuations", "north-a");
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.evacuated_.empty(); }));
    CHECK(fixture.beliefs_.lists_ == 1);
}

// review/4, as callers see it.
TEST_CASE("a damaged status line of an upstream reaches no caller", "[gateway][odd-responses]")
{
    const std::string status = GENERATE("000", "099", "600", "999");
    CAPTURE(status);
    auto damaged = orderAnswer;
    damaged.replace(std::string("HTTP/1.1 ").size(), status.size(), status);
    GatewayFixture fixture([&damaged](int, const std::string&) -> ScriptedBytes { return { damaged }; });
    fixture.store_.put("config", "main", declared(1));
    fixture.store_.put("servers", "i-0", listed(fixture.server_.address()));
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady(); }));
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order);
    REQUIRE(runUntil(fixture.loop_, [&client] { return !client.received().empty(); }));
    CHECK(client.received().starts_with("HTTP/1.1 502 "));
    CHECK(fixture.server_.requests().size() == 1);
}

TEST_CASE("a watch that is cut, or whose history is gone, is no outage and loses no change", "[store-source]")
{
    SourceFixture fixture;
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.watches() == 3; }));
    const bool forgets = GENERATE(false, true);
    CAPTURE(forgets);
    if (forgets)
        fixture.store_.forgetHistory();
    else
        fixture.store_.cutWatches();
    fixture.store_.remove("servers", "i-0");
    REQUIRE(runUntil(fixture.loop_, [&] { return !fixture.beliefs_.upstreams_.contains("i-0"); }));
    CHECK(fixture.beliefs_.lost_ == 0);
}

// Seen on a grown day: a server left while the later pages of a list were read, and got requests for seconds more.
TEST_CASE("a change between two pages of a list is not lost", "[store-source]")
{
    SourceFixture fixture;
    fixture.store_.setPage(2);
    bool isDone = false;
    fixture.store_.onPage([&](const std::string& kind) {
        if (kind == "servers" && !std::exchange(isDone, true))
            fixture.store_.remove("servers", "i-0");
    });
    fixture.start();
    CHECK(isDone);
    CHECK(runUntil(fixture.loop_, [&] { return !fixture.beliefs_.upstreams_.contains("i-0"); }));
}

TEST_CASE("an outage is told once, and what changed meanwhile after it", "[store-source]")
{
    SourceFixture fixture;
    fixture.start();
    const auto mood = GENERATE(StoreMood::Busy, StoreMood::Silent, StoreMood::Resetting);
    CAPTURE(static_cast<int>(mood));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.watches() == 3; }));
    fixture.store_.setMood(mood);
    fixture.store_.cutWatches();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.lost_ >= 3; }));
    fixture.store_.put("config", "main", declared(4));
    fixture.store_.remove("servers", "i-0");
    fixture.store_.setMood(StoreMood::Well);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.versions_.back() == 4 && !fixture.beliefs_.upstreams_.contains("i-0"); }));
}

TEST_CASE("a feed tells an outage of the store from calls of its own that fail", "[store-source][feeds]")
{
    SourceFixture fixture;
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.watches() == 3; }));
    SECTION("the store is out of service")
    {
        const auto mood = GENERATE(StoreMood::Busy, StoreMood::Silent, StoreMood::Resetting);
        CAPTURE(static_cast<int>(mood));
        fixture.store_.setMood(mood);
        fixture.store_.cutWatches();
        CHECK(runUntil(fixture.loop_, [&] { return fixture.beliefs_.platformDown_ >= 3; }));
    }
    SECTION("the call rate is exceeded")
    {
        fixture.store_.setMood(StoreMood::Limiting);
        fixture.store_.cutWatches();
        REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.lost_ >= 6; }));
        CHECK(fixture.beliefs_.platformDown_ == 0);
    }
    SECTION("an open connection falls silent while new ones work")
    {
        const auto answers = fixture.source_.answers();
        fixture.source_.probe();
        REQUIRE(runUntil(fixture.loop_, [&] { return fixture.source_.answers() == answers + 1; }));
        fixture.store_.silenceOpenConnections();
        fixture.source_.probe();
        REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.lost_ == 3; }));
        fixture.source_.probe();
        CHECK(runUntil(fixture.loop_, [&] { return fixture.beliefs_.regained_ >= 3 && fixture.store_.watches() == 3; }));
        CHECK(fixture.beliefs_.platformDown_ == 0);
    }
}

TEST_CASE("entries of other writers are told as unreadable, the others hold", "[store-source]")
{
    SourceFixture fixture;
    fixture.store_.put("servers", "i-bad", { { "address", 7 } });
    fixture.store_.put("servers", "i-none", json());
    fixture.start();
    CHECK(fixture.beliefs_.upstreams_.size() == 5);
    CHECK(fixture.beliefs_.unreadable_ == 2);
    fixture.store_.put("config", "main", { { "version", "zz" } });
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.unreadable_ == 3; }));
    CHECK(fixture.beliefs_.versions_.back() == 1);
}

TEST_CASE("a gateway is ready once it knows everything, and serves", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.start();
    CHECK(fixture.ask(fixture.settings_.ready_, "/-/readiness").starts_with("HTTP/1.1 503"));
    LoopClient early(fixture.loop_, fixture.settings_.front_);
    early.send(order);
    REQUIRE(runUntil(fixture.loop_, [&] { return early.count("HTTP/1.1") == 1; }));
    CHECK(early.received().starts_with("HTTP/1.1 503"));
    CHECK(early.count("Retry-After") == 1);
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("config", "main", declared(1));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady(); }));
    CHECK(fixture.ask(fixture.settings_.ready_, "/-/readiness").starts_with("HTTP/1.1 200"));
    CHECK(fixture.ask(fixture.settings_.directory_, "/-/resolve?name=a.example&region=north&zone=north-a").find(formatSocketAddress(fixture.settings_.front_)) != std::string::npos);
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order);
    REQUIRE(runUntil(fixture.loop_, [&] { return client.count("done") == 1; }));
    REQUIRE(fixture.server_.requests().size() == 1);
    const auto& sent = fixture.server_.requests().front();
    CHECK(sent.find("Expected-Instance: i-1") != std::string::npos);
    CHECK(sent.find("Tenant: acme") != std::string::npos);
    CHECK(sent.find("secret") == std::string::npos);
    CHECK(fixture.ask(fixture.settings_.control_, "/metrics").find("gateway_requests_total{outcome=\"answered\"} 1") != std::string::npos);
}

TEST_CASE("a gateway serves on through an outage of the store", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady(); }));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.watches() == 3; }));
    fixture.store_.setMood(StoreMood::Silent);
    fixture.store_.cutWatches();
    const auto calls = fixture.store_.calls();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.calls() > calls + 3; }));
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order);
    REQUIRE(runUntil(fixture.loop_, [&] { return client.count("done") == 1; }));
    CHECK(fixture.gateway_->isReady());
}

TEST_CASE("while the store is away an upstream is asked whether it is cold, and spared if it is", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string& request) -> ScriptedBytes {
        if (request.starts_with("GET /health"))
            return { "HTTP/1.1 200 OK\r\nCold-Ms: 60000\r\nContent-Length: 0\r\n\r\n" };
        return { orderAnswer };
    });
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    auto document = declared(1);
    document["services"][0]["health_path"] = "/health";
    fixture.store_.put("config", "main", document);
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady(); }));
    CHECK(fixture.ask(fixture.settings_.control_, "/metrics").find("gateway_upstream_health_requests_total 0") != std::string::npos);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.watches() == 3; }));
    fixture.store_.setMood(StoreMood::Busy);
    fixture.store_.cutWatches();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.ask(fixture.settings_.control_, "/metrics").find("gateway_upstream_health_requests_total 1") != std::string::npos; }));
    const auto& asked = fixture.server_.requests();
    REQUIRE(runUntil(fixture.loop_, [&] { return asked.size() == 1; }));
    CHECK(asked.front().find("Expected-Instance: i-1") != std::string::npos);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.ask(fixture.settings_.control_, "/metrics").find("gateway_upstreams_cold 1") != std::string::npos; }));
    // It was in use until now: it gets nothing for a second, then what it bears.
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order);
    REQUIRE(runUntil(fixture.loop_, [&] { return client.count("HTTP/1.1") == 1; }));
    CHECK(client.received().starts_with("HTTP/1.1 503"));
    CHECK(client.count("Retry-After") == 1);
    const auto served = [&] {
        LoopClient later(fixture.loop_, fixture.settings_.front_);
        later.send(order);
        return runUntil(fixture.loop_, [&] { return later.count("HTTP/1.1") == 1; }) && later.count("done") == 1;
    };
    CHECK(runUntil(fixture.loop_, served));
}

TEST_CASE("a gateway that is told to stop finishes what is in flight", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return {}; });
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady(); }));
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.server_.requests().size() == 1; }));
    fixture.gateway_->beginStop();
    CHECK(fixture.ask(fixture.settings_.ready_, "/-/readiness").starts_with("HTTP/1.1 503"));
    CHECK(fixture.ask(fixture.settings_.directory_, "/-/resolve?region=north").starts_with("HTTP/1.1 503"));
    CHECK_FALSE(client.isEnded());
    fixture.server_.push(orderAnswer);
    REQUIRE(runUntil(fixture.loop_, [&] { return client.isEnded(); }));
    CHECK(client.count("done") == 1);
    CHECK(client.count("Connection: close") == 1);
}

// The swallowed watch would end by itself after 21.5 s; runUntil gives up earlier.
TEST_CASE("an instance whose watch is swallowed learns from the others that it has missed a change", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    SecondGateway second(fixture);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady() && second.gateway_->isReady(); }));
    fixture.store_.swallowWatches("config", 1);
    fixture.store_.put("config", "main", declared(2));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.isSwallowed("config"); }));
    fixture.store_.put("config", "main", declared(3));
    const auto isAtThree = [&](const GatewaySettings& settings) {
        return fixture.ask(settings.control_, "/metrics").find("gateway_declaration_version 3") != std::string::npos;
    };
    CHECK(runUntil(fixture.loop_, [&] { return isAtThree(fixture.settings_) && isAtThree(second.settings_); }));
}

TEST_CASE("a key that is withdrawn while callers are connected stops working, also where the watch is swallowed", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    SecondGateway second(fixture);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady() && second.gateway_->isReady(); }));
    LoopClient first(fixture.loop_, fixture.settings_.front_);
    LoopClient other(fixture.loop_, second.settings_.front_);
    const auto answered = [&](LoopClient& client) {
        const auto before = client.count("HTTP/1.1 ");
        client.send(order);
        return runUntil(fixture.loop_, [&] { return client.count("HTTP/1.1 ") == before + 1; });
    };
    REQUIRE((answered(first) && answered(other)));
    REQUIRE(first.count("done") + other.count("done") == 2);
    fixture.store_.swallowWatches("config", 1);
    fixture.store_.put("config", "main", declared(2));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.isSwallowed("config"); }));
    auto withdrawn = declared(3);
    withdrawn["tenants"][0]["api_keys"] = { "another" };
    fixture.store_.put("config", "main", withdrawn);
    for (auto* client : { &first, &other }) {
        CHECK(runUntil(fixture.loop_, [&] { return answered(*client) && client->count("HTTP/1.1 401") == 1; }));
        const auto done = client->count("done");
        const auto sent = fixture.server_.requests().size();
        REQUIRE(answered(*client));
        CHECK(client->count("done") == done);
        CHECK(fixture.server_.requests().size() == sent);
    }
}

TEST_CASE("an upstream that leaves gets no new work, also where the watch is swallowed", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    LoopServer staying(fixture.loop_, [](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("servers", "i-2", listed(staying.address()));
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    SecondGateway second(fixture);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady() && second.gateway_->isReady(); }));
    // Twenty requests at each gateway; how many the first upstream got.
    const auto workAtLeaving = [&] {
        const auto before = fixture.server_.requests().size();
        for (const auto& front : { fixture.settings_.front_, second.settings_.front_ }) {
            LoopClient client(fixture.loop_, front);
            for (std::size_t sent = 1; sent <= 20; ++sent) {
                client.send(order);
                REQUIRE(runUntil(fixture.loop_, [&] { return client.count("HTTP/1.1 200") == sent; }));
            }
        }
        return fixture.server_.requests().size() - before;
    };
    CHECK(workAtLeaving() > 0);
    fixture.store_.swallowWatches("servers", 1);
    fixture.store_.put("servers", "i-2", listed(staying.address()));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.isSwallowed("servers"); }));
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address(), "draining"));
    CHECK(runUntil(fixture.loop_, [&] { return workAtLeaving() == 0; }));
    CHECK(workAtLeaving() == 0);
}

TEST_CASE("an instance that starts while the store is away learns from another what that last heard, and serves", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady() && fixture.store_.watches() == 3; }));
    fixture.store_.setMood(GENERATE(StoreMood::Busy, StoreMood::Silent, StoreMood::Resetting));
    fixture.store_.cutWatches();
    SecondGateway second(fixture, "e2", "127.0.0.2");
    LoopClient early(fixture.loop_, second.settings_.front_);
    early.send(order);
    REQUIRE(runUntil(fixture.loop_, [&] { return early.count("HTTP/1.1 503") == 1; }));
    REQUIRE(runUntil(fixture.loop_, [&] { return second.gateway_->isReady(); }));
    LoopClient client(fixture.loop_, second.settings_.front_);
    client.send(order);
    CHECK(runUntil(fixture.loop_, [&] { return client.count("done") == 1; }));
    // It goes on with the store's own news.
    fixture.store_.setMood(StoreMood::Well);
    auto withdrawn = declared(2);
    withdrawn["tenants"][0]["api_keys"] = { "another" };
    fixture.store_.put("config", "main", withdrawn);
    CHECK(runUntil(fixture.loop_, [&] {
        const auto before = client.count("HTTP/1.1 ");
        client.send(order);
        return runUntil(fixture.loop_, [&] { return client.count("HTTP/1.1 ") > before; }) && client.count("HTTP/1.1 401") == 1;
    }));
}

TEST_CASE("what instances tell each other is not told to callers", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady(); }));
    const auto path = platform::objectsPath + platform::declarationKind;
    CHECK(fixture.ask(fixture.settings_.control_, path).find("secret") != std::string::npos);
    for (const auto& address : { fixture.settings_.front_, fixture.settings_.directory_, fixture.settings_.ready_ })
        CHECK(fixture.ask(address, path).starts_with("HTTP/1.1 404"));
}

TEST_CASE("ten gateways of a region all hear a change, and two of them ask the store", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    std::vector<std::unique_ptr<SecondGateway>> others;
    for (int number = 2; number <= 10; ++number)
        others.push_back(std::make_unique<SecondGateway>(fixture, fmt::format("e{}", number)));
    const auto allAt = [&](int version) {
        const auto line = fmt::format("gateway_declaration_version {}", version);
        const auto isAt = [&](const GatewaySettings& settings) { return fixture.ask(settings.control_, "/metrics").find(line) != std::string::npos; };
        return isAt(fixture.settings_) && std::all_of(others.begin(), others.end(), [&](const auto& other) { return isAt(other->settings_); });
    };
    REQUIRE(runUntil(fixture.loop_, [&] { return allAt(1); }));
    // Each change is one answered watch at each watcher; ten of them would be fifty in five changes. A slow machine may
    // let a follower ask the store for some changes, but not for good.
    constexpr int changes = 5;
    constexpr std::size_t most = 2 * changes + 4;
    std::size_t calls = most + 1;
    for (int version = 2; version < 60 && calls > most; version += changes) {
        const auto before = fixture.store_.calls();
        for (int change = 0; change < changes; ++change) {
            fixture.store_.put("config", "main", declared(version + change));
            REQUIRE(runUntil(fixture.loop_, [&] { return allAt(version + change); }));
        }
        calls = fixture.store_.calls() - before;
    }
    CHECK(calls <= most);
}

TEST_CASE("two gateways find each other through the store and name each other", "[gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    auto second = fixture.settings_;
    second.name_ = "e2";
    for (auto* address : { &second.front_, &second.directory_, &second.ready_, &second.control_, &second.peer_ })
        *address = freeAddress();
    GatewayAdapter adapter { platform::headerNames(), { platform::directoryPath, platform::readinessPath }, std::make_unique<platform::StoreSource>(fixture.loop_, fixture.store_.address(), 300ms) };
    Gateway other(fixture.loop_, fixture.clock_, second, std::move(adapter));
    REQUIRE(other.start().empty());
    const auto names = [&](const SocketAddress& directory) {
        const auto answer = fixture.ask(directory, "/-/resolve?region=north");
        return answer.find(formatSocketAddress(fixture.settings_.front_)) != std::string::npos && answer.find(formatSocketAddress(second.front_)) != std::string::npos;
    };
    CHECK(runUntil(fixture.loop_, [&] { return names(fixture.settings_.directory_) && names(second.directory_); }));
    other.beginStop();
    CHECK(runUntil(fixture.loop_, [&] { return fixture.ask(fixture.settings_.directory_, "/-/resolve?region=north").find(formatSocketAddress(second.front_)) == std::string::npos; }));
}

// An instance contacts an upstream too rarely to know its load by itself.
TEST_CASE("what one gateway observes of an upstream reaches another of its region, and none of another region", "[gateway][load-exchange]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes {
        auto answer = orderAnswer;
        answer.insert(answer.find("Content-Length"), "Server-Load: 3,0,6,120\r\n");
        return { answer };
    });
    fixture.settings_.domains_ = { { "north-a", "north" }, { "south-a", "south" } };
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    const SecondGateway nearPeer(fixture, "e2");
    auto inNorth = std::exchange(fixture.settings_.region_, "south");
    const SecondGateway farPeer(fixture, "e3");
    fixture.settings_.region_ = std::move(inNorth);
    const auto received = [&](const GatewaySettings& settings) {
        const auto metrics = fixture.ask(settings.control_, "/metrics");
        const std::string name = "\nsapphirepass_gateway_observations_received_total ";
        const auto found = metrics.find(name);
        return found == std::string::npos ? 0 : std::stoi(metrics.substr(found + name.size()));
    };
    const auto peersReady = [&](const GatewaySettings& settings) { return fixture.ask(settings.control_, "/metrics").find("sapphirepass_gateway_peers_ready 2") != std::string::npos; };
    REQUIRE(runUntil(fixture.loop_, [&] { return peersReady(fixture.settings_) && peersReady(nearPeer.settings_) && peersReady(farPeer.settings_); }));
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order);
    REQUIRE(runUntil(fixture.loop_, [&client] { return client.count("HTTP/1.1") == 1; }));
    REQUIRE(client.received().starts_with("HTTP/1.1 200"));
    CHECK(runUntil(fixture.loop_, [&] { return received(nearPeer.settings_) == 1; }));
    // Past the next heartbeat to all regions.
    const auto until = fixture.clock_.now() + 1s;
    runUntil(fixture.loop_, [&] { return fixture.clock_.now() >= until; });
    CHECK(received(nearPeer.settings_) == 1);
    CHECK(received(farPeer.settings_) == 0);
}

// A watch that the store takes in a short silence is never answered, and looked like one without changes for 20 s.
TEST_CASE("a change is received although the store never answers the watch for it", "[gateway][feeds]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("servers", "i-2", listed(fixture.server_.address()));
    fixture.store_.put("config", "main", declared(1));
    for (const auto* kind : { "config", "servers", "evacuations" })
        fixture.store_.swallowWatches(kind, 1);
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady() && fixture.store_.isSwallowed("config") && fixture.store_.isSwallowed("servers") && fixture.store_.isSwallowed("evacuations"); }));
    const auto request = [&fixture] {
        LoopClient client(fixture.loop_, fixture.settings_.front_);
        client.send(order);
        REQUIRE(runUntil(fixture.loop_, [&client] { return client.count("HTTP/1.1") == 1; }));
        return client.received().substr(9, 3);
    };
    REQUIRE(request() == "200");
    SECTION("a key that is withdrawn")
    {
        auto withdrawn = declared(2);
        withdrawn["tenants"][0]["api_keys"] = { "another" };
        fixture.store_.put("config", "main", withdrawn);
        CHECK(runUntil(fixture.loop_, [&] { return request() == "401"; }));
    }
    SECTION("upstreams that drain")
    {
        for (const auto* id : { "i-1", "i-2" })
            fixture.store_.put("servers", id, listed(fixture.server_.address(), "draining"));
        CHECK(runUntil(fixture.loop_, [&] { return request() == "503"; }));
    }
    SECTION("a domain that is evacuated")
    {
        fixture.store_.put("evacuations", "north-a", json::object());
        CHECK(runUntil(fixture.loop_, [&] { return request() == "503"; }));
    }
}

TEST_CASE("a copy of the store that is behind does not confirm a watch that has missed a change", "[store-source][feeds]")
{
    SourceFixture fixture;
    fixture.store_.swallowWatches("servers", 1);
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.isSwallowed("servers") && fixture.store_.watches() == 2; }));
    fixture.store_.freezeCopies();
    fixture.store_.remove("servers", "i-0");
    fixture.store_.put("config", "main", declared(2));
    // The watch of another feed tells that the store is ahead of its copies.
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.versions_.back() == 2; }));
    const auto calls = fixture.source_.calls();
    fixture.source_.verify(Feed::Upstreams);
    CHECK(runUntil(fixture.loop_, [&] { return !fixture.beliefs_.upstreams_.contains("i-0"); }));
    CHECK(fixture.beliefs_.missed_ == 1);
    // The copy, the store, and the watch that replaces the one that hangs and the one after it.
    CHECK(fixture.source_.calls() <= calls + 5);
}

// Its return was noticed when the next call was due: until then, and for the grace period after it, upstreams that had left
// got requests.
TEST_CASE("the return of a silent store is noticed by a probe although calls wait or hang", "[store-source][feeds]")
{
    SourceFixture fixture;
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.watches() == 3; }));
    fixture.store_.setMood(StoreMood::Silent);
    fixture.store_.cutWatches();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.lost_ >= 3; }));
    // The calls that are repeated from now on hang, also after the store's return.
    for (const auto* kind : { "config", "servers", "evacuations" })
        fixture.store_.swallowWatches(kind, 1);
    fixture.store_.setMood(StoreMood::Well);
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.isSwallowed("config") && fixture.store_.isSwallowed("servers") && fixture.store_.isSwallowed("evacuations"); }));
    const auto calls = fixture.source_.calls();
    fixture.store_.remove("servers", "i-0");
    fixture.source_.probe();
    CHECK(runUntil(fixture.loop_, [&] { return !fixture.beliefs_.upstreams_.contains("i-0") && fixture.store_.watches() == 3; }));
    // The probe, and for each feed the call that replaces the one that hangs and the watch after it.
    CHECK(fixture.source_.calls() <= calls + 8);
    CHECK(fixture.beliefs_.lost_ == 3);
}
