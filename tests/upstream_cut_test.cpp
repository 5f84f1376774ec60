// Callers of an instance that has lost its links to all upstreams, while its peers still reach them.
#include "standin/fault_proxy.h"
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

constexpr int upstreamCount = 6;

enum class CutManner { Reset,
    // New connections are refused; open ones work.
    RefusedWhileOpenOnesWork,
    // New connections time out; data sent on open ones is lost.
    Silent };

// Two gateways of one region. The first reaches the upstreams through proxies, the second directly.
struct CutFixture {
    explicit CutFixture(const std::string& answer, const std::string& host = "127.0.0.1")
        : near_([answer](int, const std::string&) -> ScriptedBytes { return { answer }; })
    {
        for (auto* address : { &near_.settings_.front_, &near_.settings_.directory_, &near_.settings_.ready_, &near_.settings_.control_, &near_.settings_.peer_ })
            *address = freeAddress(host);
        near_.settings_.domains_ = { { "north-a", "north" }, { "north-b", "north" } };
        far_ = near_.settings_;
        far_.name_ = "e2";
        for (auto* address : { &far_.front_, &far_.directory_, &far_.ready_, &far_.control_, &far_.peer_ })
            *address = freeAddress("127.0.0.2");
        far_.peer_.port_ = near_.settings_.peer_.port_;
        far_.seeds_ = formatSocketAddress(near_.settings_.control_);
        for (int i = 0; i < upstreamCount; ++i) {
            proxies_.push_back(std::make_unique<FaultProxy>(near_.loop_, near_.server_.address()));
            near_.store_.put("servers", fmt::format("i-{}", i), entry(proxies_.back()->address(), i));
            farStore_.put("servers", fmt::format("i-{}", i), entry(near_.server_.address(), i));
        }
        for (auto* store : { &near_.store_, &farStore_ })
            store->put("config", "main", declared(1));
        near_.start();
        GatewayAdapter adapter { platform::headerNames(), { platform::directoryPath, platform::readinessPath }, std::make_unique<platform::StoreSource>(near_.loop_, farStore_.address(), testStoreTimeout) };
        farGateway_ = std::make_unique<Gateway>(near_.loop_, near_.clock_, far_, std::move(adapter));
        startOrThrow(*farGateway_);
        REQUIRE(runUntil(near_.loop_, [this] { return namedBy(near_.settings_) == 2 && namedBy(far_) == 2; }));
    }

    static auto entry(const SocketAddress& address, int number) -> nlohmann::json
    {
        auto spec = listed(address);
        spec["info"]["zone"] = number % 2 == 0 ? "north-a" : "north-b";
        return spec;
    }

    // Number of instances that the directory of an instance names.
    auto namedBy(const GatewaySettings& settings) -> int
    {
        const auto answer = near_.ask(settings.directory_, "/-/resolve?name=a.example&region=north&zone=north-a");
        int named = 0;
        for (const auto* front : { &near_.settings_.front_, &far_.front_ })
            named += answer.find(formatSocketAddress(*front)) != std::string::npos ? 1 : 0;
        return named;
    }

    auto cut(CutManner manner) -> void
    {
        for (const auto& proxy : proxies_) {
            proxy->setConnects(manner == CutManner::Silent ? Connects::Unanswered : Connects::Refused);
            if (manner == CutManner::Silent)
                proxy->setFault(LinkFault::Silent);
            if (manner == CutManner::Reset)
                proxy->resetAll();
        }
    }

    auto heal() -> void
    {
        for (const auto& proxy : proxies_) {
            proxy->setFault(LinkFault::None);
            proxy->setConnects(Connects::Accepted);
        }
    }

    // The status line of the answer to one request at the first gateway.
    auto send() -> std::string
    {
        LoopClient client(near_.loop_, near_.settings_.front_);
        client.send(order);
        REQUIRE(runUntil(near_.loop_, [&client] { return client.count("\r\n\r\n") == 1; }));
        return client.received().substr(0, client.received().find("\r\n"));
    }

    GatewayFixture near_;
    PlatformStore farStore_ { near_.loop_ };
    GatewaySettings far_;
    std::unique_ptr<Gateway> farGateway_;
    std::vector<std::unique_ptr<FaultProxy>> proxies_;
};

const std::string keptAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nKeep-Alive: timeout=10\r\nContent-Length: 4\r\n\r\ndone";
const std::string closingAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone";

}

// All upstreams were taken for crashed ones, and nothing carried a request to an instance that reached them.
TEST_CASE("an instance that has lost its links to all upstreams serves its callers through a peer", "[upstream-cut]")
{
    const auto manner = GENERATE(CutManner::Reset, CutManner::Silent);
    CAPTURE(static_cast<int>(manner));
    CutFixture fixture(closingAnswer);
    REQUIRE(fixture.send() == "HTTP/1.1 200 OK");
    fixture.cut(manner);
    for (int i = 0; i < 10; ++i)
        CHECK(fixture.send() == "HTTP/1.1 200 OK");
}

// With more load or new upstreams than open connections, every request that needed a new one was refused.
// Connections left from another address of the machine, and the peer took the instance for a caller.
TEST_CASE("an instance whose listed address is not its default one serves its callers through a peer", "[upstream-cut]")
{
    const auto manner = GENERATE(CutManner::Reset, CutManner::Silent);
    CAPTURE(static_cast<int>(manner));
    CutFixture fixture(closingAnswer, "127.0.0.3");
    fixture.cut(manner);
    // Attempts in flight end with the links; after that all requests are served.
    REQUIRE(runUntil(fixture.near_.loop_, [&fixture] { return fixture.send() == "HTTP/1.1 200 OK"; }));
    for (int i = 0; i < 20; ++i)
        CHECK(fixture.send() == "HTTP/1.1 200 OK");
}

TEST_CASE("while new connections to upstreams are refused, open ones and a peer serve the callers", "[upstream-cut]")
{
    CutFixture fixture(keptAnswer);
    REQUIRE(fixture.send() == "HTTP/1.1 200 OK");
    fixture.cut(CutManner::RefusedWhileOpenOnesWork);
    for (int i = 0; i < 10; ++i)
        CHECK(fixture.send() == "HTTP/1.1 200 OK");
}

TEST_CASE("an instance that is cut off from its upstreams stays ready, is not named to callers, and returns", "[upstream-cut]")
{
    CutFixture fixture(closingAnswer);
    fixture.cut(CutManner::Reset);
    CHECK(fixture.send() == "HTTP/1.1 200 OK");
    CHECK(runUntil(fixture.near_.loop_, [&fixture] { return fixture.namedBy(fixture.near_.settings_) == 1 && fixture.namedBy(fixture.far_) == 1; }));
    CHECK(fixture.near_.gateway_->isReady());
    fixture.heal();
    CHECK(runUntil(fixture.near_.loop_, [&fixture] { return fixture.namedBy(fixture.near_.settings_) == 2 && fixture.namedBy(fixture.far_) == 2; }));
    CHECK(fixture.send() == "HTTP/1.1 200 OK");
}

// The workspace that a peer names is trusted, so callers must not be able to delegate.
TEST_CASE("an instance takes delegated requests only from hosts of other instances", "[upstream-cut]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&fixture] { return fixture.gateway_->isReady(); }));
    LoopClient stranger(fixture.loop_, fixture.settings_.peer_);
    stranger.send(order);
    CHECK(runUntil(fixture.loop_, [&stranger] { return stranger.isEnded(); }));
    CHECK(stranger.received().starts_with("HTTP/1.1 403"));
    CHECK(stranger.count("Sapphirepass-Delegation-Outcome: {\"executed\":\"no\"}") == 1);
    CHECK(stranger.count("HTTP/1.1") == 1);
    CHECK(fixture.server_.requests().empty());
    CHECK(fixture.ask(fixture.settings_.control_, "/metrics").find("gateway_delegations_refused_total{cause=\"stranger\"} 1\n") != std::string::npos);
    // At the callers' own address the header has no meaning.
    LoopClient caller(fixture.loop_, fixture.settings_.front_);
    caller.send("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: t1\r\nSapphirepass-Delegation: {\"origin\":\"e9\",\"route\":\"r\",\"service\":\"s\",\"workspace\":\"acme\",\"homes\":[],\"idempotent\":true,\"attempts\":1,\"left_ms\":900,\"target_ms\":300}\r\nContent-Length: 2\r\n\r\nhi");
    REQUIRE(runUntil(fixture.loop_, [&caller] { return caller.count("HTTP/1.1") == 1; }));
    CHECK(caller.received().starts_with("HTTP/1.1 401"));
}
