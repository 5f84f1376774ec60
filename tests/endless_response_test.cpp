// Upstreams whose bytes never end must cost neither the gateway's memory nor other requests.
#include "loop/call_channel.h"
#include "standin/endless_server.h"
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"
#include "standin/resident_memory.h"

#include <catch2/catch.hpp>
#include <malloc.h>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t connections = 48;
// A quarter of the gateway's memory may be held for responses; growing strings and read buffers take about as much again.
constexpr std::size_t memoryMb = 128;
constexpr std::size_t allowedMb = memoryMb;

// The requests' deadlines must not end the responses in place of the bounds, however busy the machine is.
auto declaredWithoutHurry() -> nlohmann::json
{
    auto declaration = declared(1);
    declaration["routes"][0]["timeout_s"] = 60;
    return declaration;
}

auto orderOf(const std::string& path) -> std::string
{
    return fmt::format("POST /x/{} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: t1\r\nAuthorization: Token secret\r\nContent-Length: 2\r\n\r\nhi", path);
}

}

// Answers of the store, of its copies at peers and of health paths.
TEST_CASE("calls whose answers have no end are given up within their bounds", "[endless]")
{
    const auto endless = GENERATE(from_range(endlessForms()));
    CAPTURE(endless.name_);
    asio::io_context loop;
    EndlessServer server(loop, endless.bytes_, "");
    ::malloc_trim(0);
    const auto before = residentMb();
    std::vector<CallResult> results;
    std::vector<std::shared_ptr<CallChannel>> channels;
    for (std::size_t i = 0; i < connections; ++i) {
        constexpr std::uint64_t maxBodyBytes = 1'024 * 1'024;
        channels.push_back(std::make_shared<CallChannel>(loop, server.address(), maxBodyBytes));
        channels.back()->call(HttpRequest { http::verb::get, "/endless", 11 }, 60s, [&results](CallResult told) { results.push_back(std::move(told)); });
    }
    std::size_t highest = 0;
    CHECK(runUntil(loop, [&] {
        highest = std::max(highest, residentMb());
        return results.size() == connections;
    }));
    // Repeated whole answers have no first part; the call has the first of them.
    for (const auto& result : results)
        CHECK((std::holds_alternative<CallError>(result) || endless.bytes_.first_.empty()));
    CHECK(runUntil(loop, [&] { return server.ended() == connections; }));
    CHECK(highest - std::min(highest, before) <= allowedMb);
    for (const auto& channel : channels)
        channel->stop();
}

TEST_CASE("responses without end are given up within the gateway's memory, and other requests are answered meanwhile", "[endless]")
{
    const auto endless = GENERATE(from_range(endlessForms()));
    CAPTURE(endless.name_);
    GatewayFixture fixture([](int, const std::string&) -> ScriptedBytes { return { orderAnswer }; });
    EndlessServer server(fixture.loop_, endless.bytes_, orderAnswer);
    auto entry = listed(server.address());
    entry["info"]["slots"] = 4 * connections;
    fixture.store_.put("servers", "i-1", entry);
    fixture.store_.put("config", "main", declaredWithoutHurry());
    fixture.settings_.memoryMb_ = memoryMb;
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.gateway_->isReady(); }));
    ::malloc_trim(0);
    const auto before = residentMb();
    std::vector<std::unique_ptr<LoopClient>> callers;
    for (std::size_t i = 0; i < connections; ++i) {
        callers.push_back(std::make_unique<LoopClient>(fixture.loop_, fixture.settings_.front_));
        callers.back()->send(orderOf("endless"));
    }
    REQUIRE(runUntil(fixture.loop_, [&] { return server.begun() == connections; }));
    LoopClient other(fixture.loop_, fixture.settings_.front_);
    std::size_t highest = 0;
    std::size_t sent = 0;
    const auto answered = [&] { return std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return caller->count("HTTP/1.1 ") > 0; }); };
    CHECK(runUntil(fixture.loop_, [&] {
        highest = std::max(highest, residentMb());
        if (other.count("HTTP/1.1 ") == sent && answered() < static_cast<std::ptrdiff_t>(connections)) {
            other.send(orderOf("good"));
            ++sent;
        }
        return answered() == connections && other.count("HTTP/1.1 ") == sent;
    }));
    // No response is reported as complete or as not executed.
    for (const auto& caller : callers)
        CHECK(caller->received().starts_with("HTTP/1.1 502"));
    CHECK(other.count("HTTP/1.1 200") == sent);
    CHECK(runUntil(fixture.loop_, [&] { return server.ended() == connections; }));
    CHECK(highest - std::min(highest, before) <= allowedMb);
}
