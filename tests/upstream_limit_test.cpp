// Upstreams that name how many requests they take from all instances, over loopback with whole gateways.
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

auto answerWith(const std::string& headers) -> std::string
{
    return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\n{}Content-Length: 4\r\n\r\ndone", headers);
}

// What a limit allows in a span: one and a half times its rate, in windows of four seconds, and five requests.
auto allowed(double limit, Duration span) -> double
{
    return 1.5 * limit * std::max(4.0, inSeconds(span)) + 5;
}

// Two gateways with two upstreams; the first names what it takes.
struct LimitedUpstream : GatewayFixture {
    explicit LimitedUpstream(std::string limit)
        : GatewayFixture([this](int, const std::string&) -> ScriptedBytes { return { answerWith(limit_.empty() ? "" : "Server-Limit: " + limit_ + "\r\n") }; })
        , limit_(std::move(limit))
    {
        store_.put("servers", "i-1", listed(server_.address()));
        store_.put("servers", "i-2", listed(other_.address()));
        store_.put("config", "main", declared(1));
        start();
        second_ = std::make_unique<SecondGateway>(*this);
        REQUIRE(runUntil(loop_, [&] { return gateway_->isReady() && second_->gateway_->isReady(); }));
    }

    // Sends requests to both gateways in turn, one after the other; returns how many reached the first upstream.
    auto send(std::size_t count) -> std::size_t
    {
        const auto before = server_.requests().size();
        LoopClient toFirst(loop_, settings_.front_);
        LoopClient toSecond(loop_, second_->settings_.front_);
        for (std::size_t sent = 1; sent <= count; ++sent) {
            for (auto* client : { &toFirst, &toSecond }) {
                client->send(order);
                REQUIRE(runUntil(loop_, [&] { return client->count("HTTP/1.1 ") == sent; }));
            }
        }
        answered_ = toFirst.count("HTTP/1.1 200") + toSecond.count("HTTP/1.1 200");
        last_ = toFirst.received().substr(toFirst.received().rfind("HTTP/1.1"));
        return server_.requests().size() - before;
    }

    std::string limit_;
    LoopServer other_ { loop_, [](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; } };
    std::unique_ptr<SecondGateway> second_;
    std::size_t answered_ = 0;
    std::string last_;
};

constexpr std::size_t manyRequests = 60;

}

TEST_CASE("two instances together send an upstream no more than the limit that it names, and the rest elsewhere", "[upstream-limit]")
{
    const auto limit = GENERATE(as<std::string> {}, "4.9", "0.5", "0");
    CAPTURE(limit);
    LimitedUpstream fixture(limit);
    const auto startedAt = fixture.clock_.now();
    const auto arrived = fixture.send(manyRequests);
    CHECK(arrived > 0);
    CHECK(static_cast<double>(arrived) <= allowed(std::stod(limit), fixture.clock_.now() - startedAt));
    CHECK(fixture.answered_ == 2 * manyRequests);
}

TEST_CASE("while the only upstream names a limit, requests beyond it are refused at once with a wait", "[upstream-limit]")
{
    LimitedUpstream fixture("0.5");
    fixture.store_.remove("servers", "i-2");
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.ask(fixture.settings_.control_, "/metrics").find("gateway_upstreams_known 1\n") != std::string::npos && fixture.ask(fixture.second_->settings_.control_, "/metrics").find("gateway_upstreams_known 1\n") != std::string::npos; }));
    const auto startedAt = fixture.clock_.now();
    const auto arrived = fixture.send(manyRequests);
    CHECK(arrived > 0);
    CHECK(static_cast<double>(arrived) <= allowed(0.5, fixture.clock_.now() - startedAt));
    CHECK(fixture.answered_ == arrived);
    CHECK(fixture.last_.starts_with("HTTP/1.1 503"));
    CHECK(fixture.last_.find("Retry-After: ") != std::string::npos);
    CHECK(fixture.last_.find("\"executed\":\"no\"") != std::string::npos);
}

TEST_CASE("an upstream that names no limit any more gets its share again", "[upstream-limit]")
{
    LimitedUpstream fixture("0.5");
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.send(5) > 0; }));
    fixture.limit_.clear();
    CHECK(runUntil(fixture.loop_, [&] { return fixture.send(10) >= 5; }));
}
