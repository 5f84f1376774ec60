// A planned stop under load: every request that reaches the instance gets a whole answer.
#include "bench/load/http_socket.h"
#include "standin/free_ports.h"
#include "standin/local_entry_http.h"
#include "standin/upstream_http.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <thread>
#include <vector>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr int clients = 16;
constexpr int answersBeforeStop = 200;
constexpr std::size_t answerBytes = 400'000;

struct Tally {
    std::atomic<int> whole_ { 0 };
    std::atomic<int> refused_ { 0 };
    std::atomic<int> cut_ { 0 };
};

// A new connection for each request, until the instance says that it stops or no longer listens.
auto runClient(const SocketAddress& address, const std::string& request, Tally& tally) -> void
{
    while (true) {
        load::HttpSocket socket(address, 20s);
        if (!socket.isConnected())
            return;
        socket.send(request);
        const auto answer = socket.readAnswer();
        if (answer.status_ == 200 && answer.whole_ && answer.body_.size() == answerBytes)
            ++tally.whole_;
        else if (answer.whole_ && answer.status_ >= 400)
            ++tally.refused_;
        else
            ++tally.cut_;
        if (answer.status_ == 503 && answer.body_.find("stopping") != std::string::npos)
            return;
    }
}

}

TEST_CASE("a stop under load cuts no request", "[stop]")
{
    const auto upstreamAddress = *parseSocketAddress(fmt::format("127.0.0.1:{}", standin::freePorts(1).front()));
    const standin::UpstreamServer upstream({ upstreamAddress, clients, 400, 5ms });
    auto entry = std::make_unique<standin::LocalEntry>(fmt::format("declare region luzon; declare domain d region luzon; declare workspace acme rate 1000000 burst 1000000;"
                                                                   "declare route quotes path /quotes service core; declare upstream u service core domain d address {} slots {}",
        formatSocketAddress(upstreamAddress), clients));
    const auto request = load::renderRequest("GET", fmt::format("/w/acme/quotes/1?bytes={}", answerBytes), fmt::format("Authorization: Bearer {}\r\n", entry->bearer("acme")), "");
    Tally tally;
    std::vector<std::thread> threads;
    threads.reserve(clients);
    for (int i = 0; i < clients; ++i)
        threads.emplace_back([&, address = entry->address()] { runClient(address, request, tally); });
    while (tally.whole_ < answersBeforeStop)
        std::this_thread::yield();
    // Refuses new requests, waits for those in flight, then closes the listener.
    entry.reset();
    for (auto& thread : threads)
        thread.join();
    CHECK(tally.cut_ == 0);
    CHECK(tally.whole_ >= answersBeforeStop);
}
