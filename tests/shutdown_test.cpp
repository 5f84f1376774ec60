// A planned stop of a whole gateway, over loopback: what it has passed on to an upstream, it answers.
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds grace = 2s;

struct ShutdownFixture : GatewayFixture {
    explicit ShutdownFixture(std::chrono::milliseconds work, const std::string& answer = orderAnswer)
        : GatewayFixture([work, answer](int, const std::string&) -> ScriptedBytes { return { answer, AfterBytes::Keep, work }; })
    {
        settings_.grace_ = grace;
        auto declaration = declared(1);
        // Beyond the grace time, so that no request ends by its timeout.
        declaration["routes"][0]["timeout_s"] = 60;
        store_.put("config", "main", declaration);
        store_.put("servers", "i-0", listed(server_.address()));
        start();
        REQUIRE(runUntil(loop_, [this] { return gateway_->isReady(); }));
    }

    // Serves a request, so that the gateway knows how long one takes.
    auto learn() -> void
    {
        LoopClient client(loop_, settings_.front_);
        client.send(order);
        REQUIRE(runUntil(loop_, [&client] { return client.count("done") == 1; }));
    }

    auto wait(Duration time) -> void
    {
        asio::steady_timer timer(loop_, time);
        bool isOver = false;
        timer.async_wait([&isOver](NetError) { isOver = true; });
        REQUIRE(runUntil(loop_, [&isOver] { return isOver; }));
    }
};

}

// review/5, and issue 50 where no run of the route is known. The connections were open before the stop, and had carried nothing
// or a part of a request.
TEST_CASE("a request that comes late in the grace time is answered, or was not sent", "[shutdown][gateway]")
{
    const bool isBegunBefore = GENERATE(false, true);
    const bool isRunKnown = GENERATE(true, false);
    CAPTURE(isBegunBefore, isRunKnown);
    ShutdownFixture fixture(1s);
    if (isRunKnown)
        fixture.learn();
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    const std::size_t firstBytes = isBegunBefore ? order.size() - 1 : 0;
    client.send(order.substr(0, firstBytes));
    fixture.wait(50ms);
    fixture.gateway_->beginStop();
    fixture.wait(1'400ms);
    client.send(order.substr(firstBytes));
    runUntil(fixture.loop_, [&client] { return client.isEnded(); });
    // On a machine that is busy for the rest of the grace time, the connection has closed before the request is read.
    CHECK((client.received().starts_with("HTTP/1.1 503 ") || (client.isEnded() && client.received().empty())));
    CHECK(fixture.server_.requests().size() == (isRunKnown ? 1 : 0));
}

TEST_CASE("a request that ends within the grace time is served on a connection opened before the stop", "[shutdown][gateway]")
{
    ShutdownFixture fixture(100ms);
    fixture.learn();
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    fixture.wait(50ms);
    fixture.gateway_->beginStop();
    const auto stoppedAt = fixture.clock_.now();
    fixture.wait(1s);
    const bool isInTime = fixture.clock_.now() - stoppedAt < grace - 500ms;
    client.send(order);
    runUntil(fixture.loop_, [&client] { return client.isEnded(); });
    const bool isServed = client.received().starts_with("HTTP/1.1 200 ") && client.count("done") == 1;
    CHECK((isServed || !isInTime));
    CHECK((isServed || fixture.server_.requests().size() == 1));
}

TEST_CASE("a gateway that ends with requests in flight cancels them all", "[shutdown][gateway]")
{
    constexpr std::size_t callers = 6;
    ShutdownFixture fixture(10s);
    std::vector<std::unique_ptr<LoopClient>> clients;
    for (std::size_t i = 0; i < callers; ++i) {
        clients.push_back(std::make_unique<LoopClient>(fixture.loop_, fixture.settings_.front_));
        clients.back()->send(order);
    }
    REQUIRE(runUntil(fixture.loop_, [&fixture] { return fixture.server_.requests().size() == callers; }));
    fixture.gateway_.reset();
    CHECK(runUntil(fixture.loop_, [&fixture] { return fixture.server_.ended() == callers; }));
    CHECK(runUntil(fixture.loop_, [&clients] { return std::all_of(clients.begin(), clients.end(), [](const auto& client) { return client->isEnded(); }); }));
}

TEST_CASE("a request of a route without known runs is served while several times its latency target is left", "[shutdown][gateway]")
{
    ShutdownFixture fixture(500ms);
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    fixture.wait(50ms);
    fixture.gateway_->beginStop();
    const auto stoppedAt = fixture.clock_.now();
    fixture.wait(800ms);
    const bool isInTime = fixture.clock_.now() - stoppedAt < grace - 1'100ms;
    client.send(order);
    runUntil(fixture.loop_, [&client] { return client.isEnded(); });
    const bool isServed = client.received().starts_with("HTTP/1.1 200 ") && client.count("done") == 1;
    CHECK((isServed || !isInTime));
}

// Issue 50: these connections were closed without an answer. Whether the request has run is not known.
TEST_CASE("a request still awaited at the end of the grace time gets a final answer", "[shutdown][gateway]")
{
    const std::string answer = GENERATE(as<std::string>(), "", orderAnswer.substr(0, orderAnswer.size() - 1), "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ndo\r\n");
    CAPTURE(answer);
    ShutdownFixture fixture(0s, answer);
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order);
    REQUIRE(runUntil(fixture.loop_, [&fixture] { return fixture.server_.requests().size() == 1; }));
    fixture.gateway_->beginStop();
    const auto stoppedAt = fixture.clock_.now();
    CHECK(runUntil(fixture.loop_, [&client] { return client.isEnded(); }));
    CHECK(fixture.clock_.now() - stoppedAt > grace - 200ms);
    CHECK(client.received().starts_with("HTTP/1.1 504 "));
    CHECK(client.count("\"executed\":\"unknown\"") == 1);
    CHECK(fixture.server_.requests().size() == 1);
}

TEST_CASE("a request of which a part has arrived at the end of the grace time is refused as not run", "[shutdown][gateway]")
{
    const auto arrived = GENERATE(as<std::size_t>(), 10, order.size() - 1);
    CAPTURE(arrived);
    ShutdownFixture fixture(0s);
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order.substr(0, arrived));
    fixture.wait(50ms);
    fixture.gateway_->beginStop();
    CHECK(runUntil(fixture.loop_, [&client] { return client.isEnded(); }));
    CHECK(client.received().starts_with("HTTP/1.1 503 "));
    CHECK(client.count("\"executed\":\"no\"") == 1);
    CHECK(fixture.server_.requests().empty());
}

// The refusal says that the request will not run.
TEST_CASE("bytes that arrive after a refusal at the end of the grace time are not run", "[shutdown][gateway]")
{
    ShutdownFixture fixture(0s);
    fixture.learn();
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order.substr(0, order.size() - 1));
    fixture.wait(50ms);
    fixture.gateway_->beginStop();
    REQUIRE(runUntil(fixture.loop_, [&client] { return client.count("HTTP/1.1 503 ") == 1; }));
    client.send(order.substr(order.size() - 1) + order);
    fixture.wait(50ms);
    CHECK(client.count("HTTP/1.1 ") == 1);
    CHECK(fixture.server_.requests().size() == 1);
}

TEST_CASE("a second signal does not take the final answer away", "[shutdown][gateway]")
{
    ShutdownFixture fixture(0s, "");
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order);
    REQUIRE(runUntil(fixture.loop_, [&fixture] { return fixture.server_.requests().size() == 1; }));
    fixture.gateway_->beginStop();
    fixture.wait(1s);
    fixture.gateway_->beginStop();
    CHECK(runUntil(fixture.loop_, [&client] { return client.isEnded(); }));
    CHECK(client.count("HTTP/1.1 504 ") == 1);
}

TEST_CASE("a request to an instance that is stopped right after its start is refused as not run", "[shutdown][gateway]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer, AfterBytes::Keep, 0ms }; });
    fixture.settings_.grace_ = grace;
    fixture.start();
    fixture.gateway_->beginStop();
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(order);
    CHECK(runUntil(fixture.loop_, [&client] { return client.isEnded(); }));
    CHECK(client.received().starts_with("HTTP/1.1 503 "));
    CHECK(client.count("\"executed\":\"no\"") == 1);
    CHECK(fixture.server_.requests().empty());
}
