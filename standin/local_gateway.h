// Whole gateways on a test's own event loop, with a stand-in store and one upstream.
#pragma once

#include "loop/gateway.h"
#include "platform/store_source.h"
#include "platform/wire_names.h"
#include "standin/loop_peer.h"
#include "standin/platform_store.h"

#include <fmt/format.h>
#include <stdexcept>

namespace sapphirepass::standin {

// Time limit of calls to the store.
inline constexpr std::chrono::milliseconds testStoreTimeout { 300 };

inline auto startOrThrow(Gateway& gateway) -> void
{
    if (const auto error = gateway.start(); !error.empty())
        throw std::runtime_error(error);
}

// A whole gateway with a store and one upstream.
struct GatewayFixture {
    explicit GatewayFixture(LoopServer::Script script)
        : server_(loop_, std::move(script))
    {
        settings_.name_ = "e1";
        settings_.region_ = "north";
        settings_.domain_ = "north-a";
        settings_.domains_ = { { "north-a", "north" } };
        for (auto* address : { &settings_.front_, &settings_.directory_, &settings_.ready_, &settings_.control_, &settings_.peer_ })
            *address = freeAddress();
        settings_.storeTimeout_ = testStoreTimeout;
        settings_.store_ = store_.address();
    }

    auto start() -> void
    {
        GatewayAdapter adapter { platform::headerNames(), { platform::directoryPath, platform::readinessPath }, std::make_unique<platform::StoreSource>(loop_, store_.address(), testStoreTimeout) };
        gateway_ = std::make_unique<Gateway>(loop_, *gatewayClock_, settings_, std::move(adapter));
        startOrThrow(*gateway_);
    }

    auto ask(const SocketAddress& address, const std::string& path) -> std::string
    {
        LoopClient client(loop_, address);
        client.send(fmt::format("GET {} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", path));
        if (!runUntil(loop_, [&] { return client.isEnded(); }))
            throw std::runtime_error("no response to " + path);
        return client.received();
    }

    asio::io_context loop_;
    SystemClock clock_;
    // Of the gateways' decisions; their timers run on real time.
    const Clock* gatewayClock_ = &clock_;
    PlatformStore store_ { loop_ };
    LoopServer server_;
    GatewaySettings settings_;
    std::unique_ptr<Gateway> gateway_;
};

// A second gateway beside that of the fixture.
struct SecondGateway {
    explicit SecondGateway(GatewayFixture& fixture, const std::string& name = "e2", const std::string& host = "127.0.0.1")
        : settings_(fixture.settings_)
    {
        settings_.name_ = name;
        for (auto* address : { &settings_.front_, &settings_.directory_, &settings_.ready_, &settings_.control_, &settings_.peer_ })
            *address = freeAddress(host);
        // On another host heartbeats go to the same port as everywhere, found through a seed.
        if (host != "127.0.0.1") {
            settings_.peer_.port_ = fixture.settings_.peer_.port_;
            settings_.seeds_ = formatSocketAddress(fixture.settings_.control_);
        }
        GatewayAdapter adapter { platform::headerNames(), { platform::directoryPath, platform::readinessPath }, std::make_unique<platform::StoreSource>(fixture.loop_, fixture.store_.address(), testStoreTimeout) };
        gateway_ = std::make_unique<Gateway>(fixture.loop_, *fixture.gatewayClock_, settings_, std::move(adapter));
        startOrThrow(*gateway_);
    }

    GatewaySettings settings_;
    std::unique_ptr<Gateway> gateway_;
};

inline const std::string order = "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: t1\r\nAuthorization: Token secret\r\nContent-Length: 2\r\n\r\nhi";
inline const std::string orderAnswer = "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nContent-Length: 4\r\n\r\ndone";

} // namespace sapphirepass::standin
