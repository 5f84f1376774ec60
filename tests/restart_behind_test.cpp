// An instance that starts while the store is out of service, beside a peer that has missed the newest changes.
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

// A gateway on a host of its own, with a store of its own.
struct DistantGateway {
    DistantGateway(GatewayFixture& fixture, const std::string& name, const std::string& host, PlatformStore& store)
        : settings_(fixture.settings_)
    {
        settings_.name_ = name;
        for (auto* address : { &settings_.front_, &settings_.directory_, &settings_.ready_, &settings_.control_, &settings_.peer_ })
            *address = freeAddress(host);
        settings_.peer_.port_ = fixture.settings_.peer_.port_;
        settings_.seeds_ = formatSocketAddress(fixture.settings_.control_);
        GatewayAdapter adapter { platform::headerNames(), { platform::directoryPath, platform::readinessPath }, std::make_unique<platform::StoreSource>(fixture.loop_, store.address(), testStoreTimeout) };
        gateway_ = std::make_unique<Gateway>(fixture.loop_, fixture.clock_, settings_, std::move(adapter));
        startOrThrow(*gateway_);
    }

    GatewaySettings settings_;
    std::unique_ptr<Gateway> gateway_;
};

}

// The peer that is behind was asked, and the withdrawn key and the upstream that had left were in use again.
TEST_CASE("an instance that starts in an outage of the store does not stay at the state of a peer that is behind", "[gateway][restart]")
{
    // The peer that is behind is the seed, so its heartbeat arrives first.
    GatewayFixture behind([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    LoopServer staying(behind.loop_, [](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    PlatformStore store(behind.loop_);
    for (auto* each : { &behind.store_, &store }) {
        each->put("servers", "i-1", listed(behind.server_.address()));
        each->put("servers", "i-2", listed(staying.address()));
        each->put("config", "main", declared(1));
    }
    behind.start();
    DistantGateway current(behind, "e2", "127.0.0.2", store);
    REQUIRE(runUntil(behind.loop_, [&] { return behind.gateway_->isReady() && current.gateway_->isReady() && behind.store_.watches() == 3 && store.watches() == 3; }));
    const auto mood = GENERATE(StoreMood::Busy, StoreMood::Silent);
    CAPTURE(static_cast<int>(mood));
    behind.store_.setMood(mood);
    behind.store_.cutWatches();
    store.put("config", "main", declared(2));
    const auto isCurrent = [&](const GatewaySettings& settings) {
        const auto metrics = behind.ask(settings.control_, "/metrics");
        return metrics.find("gateway_declaration_version 3") != std::string::npos && metrics.find("gateway_upstreams_known 1\n") != std::string::npos;
    };
    auto withdrawn = declared(3);
    withdrawn["tenants"][0]["api_keys"] = { "another" };
    store.put("config", "main", withdrawn);
    store.remove("servers", "i-1");
    REQUIRE(runUntil(behind.loop_, [&] { return isCurrent(current.settings_); }));
    store.setMood(mood);
    store.cutWatches();
    DistantGateway started(behind, "e3", "127.0.0.3", store);
    REQUIRE(runUntil(behind.loop_, [&] { return started.gateway_->isReady(); }));
    CHECK(runUntil(behind.loop_, [&] { return isCurrent(started.settings_); }));
    LoopClient client(behind.loop_, started.settings_.front_);
    client.send(order);
    REQUIRE(runUntil(behind.loop_, [&] { return client.count("HTTP/1.1") == 1; }));
    CHECK(client.received().starts_with("HTTP/1.1 401"));
    CHECK(behind.server_.requests().empty());
}
