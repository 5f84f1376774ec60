// Callers that send requests before the responses to earlier ones have come (RFC 9112, 9.3.2).
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

auto orderNumber(int number, std::size_t bodyBytes) -> std::string
{
    return fmt::format("POST /x/{} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: t{}\r\nAuthorization: Token secret\r\nContent-Length: {}\r\n\r\n{}", number, number, bodyBytes, std::string(bodyBytes, 'b'));
}

auto pathOf(const std::string& request) -> std::string
{
    return request.substr(0, request.find(" HTTP/1.1"));
}

// Answers with the request's path, and its attempt's id.
auto answerWithPath(int, const std::string& request) -> ScriptedBytes
{
    const auto number = request.substr(8, request.find(" HTTP/1.1") - 8);
    return { fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: t{}\r\nResponse-Signature: p\r\nContent-Length: {}\r\n\r\nran {}", number, 4 + number.size(), number), AfterBytes::Keep, 30ms };
}

struct AheadFixture : GatewayFixture {
    AheadFixture()
        : GatewayFixture(answerWithPath)
    {
        store_.put("config", "main", declared(1));
        store_.put("servers", "i-0", listed(server_.address()));
        start();
        REQUIRE(runUntil(loop_, [this] { return gateway_->isReady(); }));
    }

    auto awaitAnswers(const LoopClient& client, std::size_t count) -> void
    {
        REQUIRE(runUntil(loop_, [&] { return client.count("ran ") >= count || client.isEnded(); }));
    }

    auto checkRunOnceInOrder(const LoopClient& client, int count) const -> void
    {
        std::vector<std::string> expected;
        std::vector<std::string> seen;
        std::size_t at = 0;
        for (int number = 1; number <= count; ++number) {
            expected.push_back(fmt::format("POST /x/{}", number));
            const auto found = client.received().find(fmt::format("ran {}", number));
            CHECK(found != std::string::npos);
            CHECK(found >= at);
            at = found;
        }
        for (const auto& request : server_.requests())
            seen.push_back(pathOf(request));
        CHECK(seen == expected);
        CHECK(client.count("HTTP/1.1 200") == static_cast<std::size_t>(count));
    }
};

}

// The second one ran twice, and its response was taken for that to the third.
TEST_CASE("requests sent ahead on one connection run once each and get their own responses", "[caller][ahead]")
{
    const bool isSentTogether = GENERATE(true, false);
    const std::size_t thirdBody = GENERATE(as<std::size_t> {}, 2, 500, 12'000);
    CAPTURE(isSentTogether, thirdBody);
    AheadFixture fixture;
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    if (isSentTogether) {
        client.send(orderNumber(1, 2) + orderNumber(2, 2));
    } else {
        client.send(orderNumber(1, 2));
        REQUIRE(runUntil(fixture.loop_, [&fixture] { return fixture.server_.requests().size() == 1; }));
        client.send(orderNumber(2, 2));
    }
    fixture.awaitAnswers(client, 2);
    client.send(orderNumber(3, thirdBody));
    fixture.awaitAnswers(client, 3);
    fixture.checkRunOnceInOrder(client, 3);
}

TEST_CASE("a request sent ahead in parts runs once, whatever parts have come when the response before it is written", "[caller][ahead]")
{
    AheadFixture fixture;
    const auto second = orderNumber(2, 300);
    const std::size_t firstPart = GENERATE(as<std::size_t> {}, 1, 40, 130, 200, 400);
    CAPTURE(firstPart);
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(orderNumber(1, 2) + second.substr(0, firstPart));
    fixture.awaitAnswers(client, 1);
    client.send(second.substr(firstPart) + orderNumber(3, 900).substr(0, 60));
    fixture.awaitAnswers(client, 2);
    client.send(orderNumber(3, 900).substr(60));
    fixture.awaitAnswers(client, 3);
    fixture.checkRunOnceInOrder(client, 3);
}

// Beyond 64 KB the connection is not read on until the response is written.
TEST_CASE("a request is answered although more is sent ahead of its response than is read", "[caller][ahead]")
{
    AheadFixture fixture;
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(orderNumber(1, 2) + orderNumber(2, 90'000));
    fixture.awaitAnswers(client, 2);
    fixture.checkRunOnceInOrder(client, 2);
}
