// Upstreams that say that they leave, or ask for a pause, over loopback with a whole gateway.
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

const std::string leaving = "Server-Leaving: 1\r\n";

auto orderAnswerWith(const std::string& headers, const std::string& status = "200 OK") -> std::string
{
    return fmt::format("HTTP/1.1 {}\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\n{}Content-Length: 4\r\n\r\ndone", status, headers);
}

// A gateway with two upstreams; the first answers by a script, the second always with success.
struct TwoUpstreams : GatewayFixture {
    explicit TwoUpstreams(LoopServer::Script script)
        : GatewayFixture(std::move(script))
    {
        store_.put("servers", "i-1", listed(server_.address()));
        store_.put("servers", "i-2", listed(other_.address()));
        store_.put("config", "main", declared(1));
        start();
        REQUIRE(runUntil(loop_, [&] { return gateway_->isReady(); }));
    }

    // Sends requests one after the other; returns how many reached the first upstream.
    auto send(std::size_t count) -> std::size_t
    {
        const auto before = server_.requests().size();
        LoopClient client(loop_, settings_.front_);
        for (std::size_t sent = 1; sent <= count; ++sent) {
            client.send(order);
            REQUIRE(runUntil(loop_, [&] { return client.count("HTTP/1.1 ") == sent; }));
        }
        last_ = client.received();
        return server_.requests().size() - before;
    }

    LoopServer other_ { loop_, [](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; } };
    std::string last_;
};

constexpr std::size_t manyRequests = 40;

}

TEST_CASE("an upstream that says in an answer that it leaves gets no further request", "[upstream-notice]")
{
    const auto answer = GENERATE(as<std::string> {}, orderAnswerWith(leaving), orderAnswerWith(leaving, "500 -"), orderAnswerWith(leaving, "404 -"),
        "HTTP/1.1 503 -\r\nNot-Executed: 1\r\n" + leaving + "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\n" + leaving + "Connection: close\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\n" + leaving + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
        // A late answer to another request, before the one that is awaited.
        "HTTP/1.1 200 OK\r\nAttempt-Id: t0\r\nResponse-Signature: p\r\n" + leaving + "Content-Length: 4\r\n\r\nlate" + orderAnswerWith(""));
    CAPTURE(answer);
    TwoUpstreams fixture([&](int, const std::string&) -> ScriptedBytes { return { answer, answer.find("Connection: close") == std::string::npos ? AfterBytes::Keep : AfterBytes::Close }; });
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.send(1) == 1; }));
    CHECK(fixture.send(manyRequests) == 0);
}

TEST_CASE("an upstream that leaves is avoided until another start of it is listed", "[upstream-notice]")
{
    TwoUpstreams fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswerWith(leaving) }; });
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.send(1) == 1; }));
    // Listed again under the same start, as after an entry has expired by mistake.
    const auto knows = [&](int count) {
        return runUntil(fixture.loop_, [&] { return fixture.ask(fixture.settings_.control_, "/metrics").find(fmt::format("gateway_upstreams_known {}\n", count)) != std::string::npos; });
    };
    fixture.store_.remove("servers", "i-1");
    REQUIRE(knows(1));
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    REQUIRE(knows(2));
    CHECK(fixture.send(manyRequests) == 0);
    auto restarted = listed(fixture.server_.address());
    restarted["born"] = 2;
    fixture.store_.put("servers", "i-1", restarted);
    CHECK(runUntil(fixture.loop_, [&] { return fixture.send(1) == 1; }));
}

TEST_CASE("an upstream that asks for a pause gets nothing until its end, and requests go elsewhere", "[upstream-notice]")
{
    const std::string busy = "HTTP/1.1 503 -\r\nAttempt-Id: t1\r\nNot-Executed: 1\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n";
    // Enough requests before it that the retry limit allows a second attempt.
    constexpr int answered = 20;
    TwoUpstreams fixture([&](int number, const std::string&) -> ScriptedBytes { return { number < answered ? orderAnswer : busy }; });
    REQUIRE(runUntil(fixture.loop_, [&] {
        fixture.send(1);
        return fixture.server_.requests().size() > answered;
    }));
    CHECK(fixture.last_.starts_with("HTTP/1.1 200"));
    CHECK(fixture.other_.requests().size() == 1);
    CHECK(fixture.send(manyRequests) == 0);
}

TEST_CASE("while all upstreams pause, requests are refused with the shortest wait", "[upstream-notice]")
{
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { "HTTP/1.1 503 -\r\nNot-Executed: 1\r\nRetry-After: 400\r\nContent-Length: 0\r\n\r\n" }; });
    LoopServer other(fixture.loop_, [](int, const std::string&) -> ScriptedBytes { return { "HTTP/1.1 503 -\r\nNot-Executed: 1\r\nRetry-After: 60.5\r\nContent-Length: 0\r\n\r\n" }; });
    fixture.store_.put("servers", "i-1", listed(fixture.server_.address()));
    fixture.store_.put("servers", "i-2", listed(other.address()));
    fixture.store_.put("config", "main", declared(1));
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady(); }));
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    for (std::size_t sent = 1; sent <= manyRequests; ++sent) {
        client.send(order);
        REQUIRE(runUntil(fixture.loop_, [&] { return client.count("HTTP/1.1 503") == sent; }));
    }
    CHECK(fixture.server_.requests().size() == 1);
    CHECK(other.requests().size() == 1);
    const auto last = client.received().substr(client.received().rfind("HTTP/1.1 503"));
    const auto at = last.find("Retry-After: ");
    REQUIRE(at != std::string::npos);
    const auto wait = std::stod(last.substr(at + 13));
    CHECK(wait > 30);
    CHECK(wait <= 60.5);
    CHECK(last.find("\"executed\":\"no\"") != std::string::npos);
}
