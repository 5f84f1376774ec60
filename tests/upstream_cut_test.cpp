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
    // New connections get no answer; open ones swallow what is sent.
    Silent };

// Two gateways of one region. The first reaches the upstreams through proxies, the second directly.
struct CutFixture {
    explicit CutFixture(const std::string& answer)
        : near_([answer](int, const std::string&) -> ScriptedBytes { return { answer }; })
    {
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

const std::string closingAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone";

}

// All upstreams were taken for crashed ones, and nothing carried a request to an instance that reached them.
TEST_CASE("an instance that has lost its links to all upstreams serves its callers through a peer", "[upstream-cut][knownred]")
{
    const auto manner = GENERATE(CutManner::Reset, CutManner::Silent);
    CAPTURE(static_cast<int>(manner));
    CutFixture fixture(closingAnswer);
    REQUIRE(fixture.send() == "HTTP/1.1 200 OK");
    fixture.cut(manner);
    for (int i = 0; i < 10; ++i)
        CHECK(fixture.send() == "HTTP/1.1 200 OK");
}
