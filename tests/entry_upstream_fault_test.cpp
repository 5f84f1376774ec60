// What callers and upstreams see when upstreams fail in the middle of a request.
#include "bench/load/http_socket.h"
#include "standin/free_ports.h"
#include "standin/local_entry_http.h"
#include "standin/socket_upstream.h"
#include "standin/upstream_http.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <mutex>
#include <thread>

using namespace sapphirepass;
using standin::SocketUpstream;

namespace {

constexpr std::chrono::seconds timeLimit { 20 };

auto declarations(const std::vector<SocketAddress>& upstreams) -> std::string
{
    std::string text = "declare region luzon; declare domain luzon-1 region luzon; declare route quotes path /quotes service core;"
                       "declare route open path /open service free access open; declare workspace acme rate 1000000 burst 1000000";
    for (std::size_t i = 0; i < upstreams.size(); ++i)
        text += fmt::format("; declare upstream core-{} service core domain luzon-1 address {} slots 100", i, formatSocketAddress(upstreams[i]));
    return text;
}

struct Site {
    explicit Site(const std::vector<SocketAddress>& upstreams)
        : entry_(declarations(upstreams))
    {
        // A new instance's share of the rate starts empty. No upstream serves the open route.
        while (send("GET", "/open/warm", "").status_ == 429) { }
    }

    auto send(std::string_view method, const std::string& path, const std::string& body) const -> load::SocketAnswer
    {
        load::HttpSocket socket(entry_.address(), timeLimit);
        const auto headers = fmt::format("Authorization: Bearer {}\r\n", entry_.bearer("acme"));
        socket.send(load::renderRequest(method, "/w/acme" + path, headers, body));
        return socket.readAnswer();
    }

    standin::LocalEntry entry_;
};

auto hangUp() -> std::unique_ptr<SocketUpstream>
{
    return std::make_unique<SocketUpstream>("", SocketUpstream::Recording::On, SocketUpstream::Behaviour::HangUp);
}

}

TEST_CASE("a POST whose upstream hangs up runs once and is answered as unknown", "[entry]")
{
    const auto one = hangUp();
    const auto two = hangUp();
    const Site site({ one->address(), two->address() });
    const auto answer = site.send("POST", "/quotes/1", "confirm");
    CHECK(answer.status_ == 502);
    CHECK(answer.body_.find("\"executed\":\"unknown\"") != std::string::npos);
    CHECK(one->requests().size() + two->requests().size() == 1);
}

TEST_CASE("a POST runs once when the connection could be reused", "[entry]")
{
    // The upstream has answered before, so a pooled connection would be there.
    const SocketUpstream upstream("hello", SocketUpstream::Recording::On);
    const Site site({ upstream.address() });
    constexpr std::size_t posts = 5;
    CHECK(site.send("GET", "/quotes/0", "").status_ == 200);
    for (std::size_t i = 1; i <= posts; ++i)
        CHECK(site.send("POST", fmt::format("/quotes/{}", i), "confirm").status_ == 200);
    CHECK(upstream.requests().size() == posts + 1);
}

TEST_CASE("no key reaches the upstreams that a request is tried again on", "[entry]")
{
    const auto one = hangUp();
    const auto two = hangUp();
    const Site site({ one->address(), two->address() });
    CHECK(site.send("GET", "/quotes/1?k=" + site.entry_.bearer("acme"), "").status_ != 200);
    const auto secret = site.entry_.bearer("acme").substr(std::string("acme-main.").size());
    for (const auto* upstream : { one.get(), two.get() }) {
        REQUIRE_FALSE(upstream->requests().empty());
        for (const auto& request : upstream->requests())
            CHECK(request.find(secret) == std::string::npos);
    }
}

TEST_CASE("an answer that the upstream cuts never looks whole to the caller", "[entry]")
{
    const auto size = GENERATE(as<std::size_t>(), 10, 1'000, 1'000'000);
    const SocketUpstream upstream(std::string(size, 'x'), SocketUpstream::Recording::On, SocketUpstream::Behaviour::CutAnswer);
    const Site site({ upstream.address() });
    const auto answer = site.send("POST", "/quotes/1", "confirm");
    CAPTURE(size, answer.status_, answer.body_.size());
    const bool wholeSuccess = answer.status_ == 200 && answer.whole_;
    CHECK_FALSE(wholeSuccess);
    CHECK(upstream.requests().size() == 1);
}

TEST_CASE("each of many callers gets its own whole answer when answers come late and out of order", "[entry]")
{
    const auto address = *parseSocketAddress(fmt::format("127.0.0.1:{}", standin::freePorts(1).front()));
    standin::UpstreamServer upstream({ address, 100, 400, std::chrono::milliseconds(1) });
    const Site site({ address });
    constexpr std::size_t callers = 24;
    constexpr std::size_t requests = 8;
    std::mutex mutex;
    std::vector<std::string> wrong;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (std::size_t caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (std::size_t i = 0; i < requests; ++i) {
                upstream.setServiceTime(std::chrono::milliseconds((caller * requests + i) % 7));
                const auto target = fmt::format("/quotes/{}-{}?bytes={}", caller, i, 50 + caller * 997);
                const auto answer = site.send("GET", target, "");
                const auto expected = 50 + caller * 997;
                if (answer.status_ == 200 && answer.whole_ && answer.body_.starts_with("GET " + target + "\n") && answer.body_.size() == expected)
                    continue;
                const std::lock_guard lock(mutex);
                wrong.push_back(fmt::format("{}: {} with {} bytes", target, answer.status_, answer.body_.size()));
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    CAPTURE(wrong);
    CHECK(wrong.empty());
}
