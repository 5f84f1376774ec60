// Upstreams whose bytes never end must cost neither the gateway's memory nor other requests.
#include "standin/endless_server.h"
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t connections = 48;
// A quarter of the gateway's memory may be held for responses; growing strings and read buffers take about as much again.
constexpr std::size_t memoryMb = 128;
constexpr std::size_t allowedMb = memoryMb;

auto residentMb() -> std::size_t
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nTransfer-Encoding: chunked\r\n\r\n";

struct Endless {
    const char* name_;
    EndlessBytes bytes_;
};

auto endlessResponses() -> std::vector<Endless>
{
    const std::string filler(1'000, 'x');
    return {
        { "status line", { "HTTP/1.1 200 ", filler } },
        { "header fields", { "HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n" } },
        { "body that ends with the connection", { "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nConnection: close\r\n\r\n", filler } },
        { "body with a huge length", { "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nContent-Length: 33000000\r\n\r\n", filler } },
        { "chunks", { chunkedHead, "3e8\r\n" + filler + "\r\n" } },
        { "chunk extension", { chunkedHead + "1;", filler } },
        { "trailers", { chunkedHead + "0\r\n", "X-Filler: " + filler + "\r\n" } },
        { "interim responses", { "", "HTTP/1.1 103 Early Hints\r\nX-Filler: y\r\n\r\n" } },
        { "responses to another request", { "", "HTTP/1.1 200 OK\r\nAttempt-Id: t0\r\nResponse-Signature: p\r\nContent-Length: 4\r\n\r\nlate" } },
        { "no HTTP", { "", filler } },
    };
}

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

TEST_CASE("responses without end are given up within the gateway's memory, and other requests are answered meanwhile", "[endless]")
{
    const auto endless = GENERATE(from_range(endlessResponses()));
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
