// Cost of one entry hop for a small GET on loopback: a bare listener, the upstream directly, and
// the same upstream through an entry, in one run with the same client. Prints JSON.
#include "bench/load/http_socket.h"
#include "standin/free_ports.h"
#include "standin/local_entry_http.h"
#include "standin/socket_upstream.h"

#include <algorithm>
#include <atomic>
#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>
#include <fmt/format.h>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <pplx/threadpool.h>
#include <thread>

using namespace sapphirepass;

namespace {

using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;
using Listener = web::http::experimental::listener::http_listener;

constexpr int connections = 64;
constexpr std::size_t poolThreads = 8;
constexpr std::chrono::seconds closedLoopTime { 3 };
constexpr int rounds = 3;
// A request every this often on each connection: 3,200 a second over all.
constexpr std::chrono::milliseconds pacedInterval { 20 };
constexpr int pacedRequests = 200;
constexpr std::chrono::seconds socketTimeLimit { 10 };
const std::string smallBody(100, 'x');

struct Target {
    std::string name_;
    SocketAddress address_;
    std::string request_;
};

struct Sample {
    double requestsPerSecond_ = 0;
    std::vector<double> pacedSeconds_;
};

using Handler = std::function<void(const web::http::http_request&)>;

auto startListener(const Handler& handler) -> std::pair<std::unique_ptr<Listener>, SocketAddress>
{
    const auto address = *parseSocketAddress(fmt::format("127.0.0.1:{}", standin::freePorts(1).front()));
    auto listener = std::make_unique<Listener>(fmt::format("http://{}", formatSocketAddress(address)));
    listener->support(handler);
    listener->open().wait();
    return { std::move(listener), address };
}

// What the library's server and client cost with no filter between them.
auto relayTo(const SocketAddress& upstream) -> Handler
{
    auto client = std::make_shared<web::http::client::http_client>(fmt::format("http://{}", formatSocketAddress(upstream)));
    return [client](const web::http::http_request& message) {
        client->request(message.method(), message.request_uri().to_string())
            .then([](const web::http::http_response& response) { return response.extract_string(true); })
            .then([message](const std::string& body) { message.reply(200, body, "text/plain"); });
    };
}

auto exchange(load::HttpSocket& socket, const Target& target) -> bool
{
    if (!socket.send(target.request_))
        return false;
    const auto answer = socket.readAnswer();
    return answer.status_ == 200 && answer.body_ == smallBody;
}

template <typename Work>
auto onAllConnections(Work work) -> void
{
    std::vector<std::thread> threads;
    threads.reserve(connections);
    for (int i = 0; i < connections; ++i)
        threads.emplace_back([&work, i] { work(i); });
    for (auto& thread : threads)
        thread.join();
}

auto failRun(const Target& target) -> void
{
    std::cerr << "wrong answer from " << target.name_ << "\n";
    std::_Exit(1);
}

// Every connection sends its next request as soon as it has the answer.
auto closedLoop(const Target& target) -> double
{
    std::atomic<std::int64_t> answered { 0 };
    const auto end = Clock::now() + closedLoopTime;
    onAllConnections([&](int) {
        load::HttpSocket socket(target.address_, socketTimeLimit);
        while (Clock::now() < end) {
            if (!exchange(socket, target))
                failRun(target);
            ++answered;
        }
    });
    return static_cast<double>(answered) / Seconds(closedLoopTime).count();
}

// Every connection sends at fixed times; latency counts from those.
auto pacedLoop(const Target& target) -> std::vector<double>
{
    std::vector<std::vector<double>> latencies(connections);
    const auto start = Clock::now() + pacedInterval;
    onAllConnections([&](int index) {
        load::HttpSocket socket(target.address_, socketTimeLimit);
        for (int i = 0; i < pacedRequests; ++i) {
            const auto due = start + i * pacedInterval + index * pacedInterval / connections;
            std::this_thread::sleep_until(due);
            if (!exchange(socket, target))
                failRun(target);
            latencies[static_cast<std::size_t>(index)].push_back(Seconds(Clock::now() - due).count());
        }
    });
    std::vector<double> all;
    for (const auto& part : latencies)
        all.insert(all.end(), part.begin(), part.end());
    return all;
}

// A new instance's rate share starts empty, so the first requests may be refused.
auto warmUp(const Target& target) -> void
{
    load::HttpSocket socket(target.address_, socketTimeLimit);
    constexpr int attempts = 100;
    for (int i = 0; i < attempts; ++i) {
        if (exchange(socket, target))
            return;
    }
    failRun(target);
}

auto quantile(std::vector<double> values, double part) -> double
{
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

auto toJson(const Sample& sample) -> nlohmann::json
{
    return { { "requests_per_second", sample.requestsPerSecond_ / rounds }, { "paced_median_ms", quantile(sample.pacedSeconds_, 0.5) * 1000 },
        { "paced_p99_ms", quantile(sample.pacedSeconds_, 0.99) * 1000 } };
}

auto measure(const std::vector<Target>& targets) -> nlohmann::json
{
    std::map<std::string, Sample> samples;
    std::for_each(targets.begin(), targets.end(), warmUp);
    // Rounds alternate between the targets, so that other load on the machine falls on all alike.
    for (int round = 0; round < rounds; ++round) {
        for (const auto& target : targets) {
            auto& sample = samples[target.name_];
            sample.requestsPerSecond_ += closedLoop(target);
            const auto paced = pacedLoop(target);
            sample.pacedSeconds_.insert(sample.pacedSeconds_.end(), paced.begin(), paced.end());
        }
    }
    nlohmann::json result;
    for (const auto& [name, sample] : samples)
        result[name] = toJson(sample);
    const auto difference = [&result](const char* field) { return result["entry"][field].get<double>() - result["upstream"][field].get<double>(); };
    result["connections"] = connections;
    result["added_median_ms"] = difference("paced_median_ms");
    result["added_p99_ms"] = difference("paced_p99_ms");
    result["entry_share_of_relay_rate"] = samples["entry"].requestsPerSecond_ / samples["bare_relay"].requestsPerSecond_;
    result["entry_share_of_bare_rate"] = samples["entry"].requestsPerSecond_ / samples["bare"].requestsPerSecond_;
    return result;
}

}

auto main() -> int
{
    crossplat::threadpool::initialize_with_threads(poolThreads);
    const auto [bare, bareAddress] = startListener([](const auto& message) { message.reply(200, smallBody, "text/plain"); });
    // Its own cost must not hide that of the hop, so it is as cheap as can be.
    const standin::SocketUpstream upstream(smallBody, standin::SocketUpstream::Recording::Off);
    const auto [relay, relayAddress] = startListener(relayTo(upstream.address()));
    const standin::LocalEntry entry(fmt::format("declare region luzon; declare domain luzon-1 region luzon;"
                                                "declare route quotes path /quotes service core;"
                                                "declare upstream core-0 service core domain luzon-1 address {} slots 200;"
                                                "declare workspace acme rate 1000000 burst 1000000",
        formatSocketAddress(upstream.address())));
    const auto authorization = fmt::format("Authorization: Bearer {}\r\n", entry.bearer("acme"));
    const std::vector<Target> targets {
        { "bare", bareAddress, load::renderRequest("GET", "/quotes/1", "", "") },
        { "upstream", upstream.address(), load::renderRequest("GET", "/quotes/1", "", "") },
        { "bare_relay", relayAddress, load::renderRequest("GET", "/quotes/1", "", "") },
        { "entry", entry.address(), load::renderRequest("GET", "/w/acme/quotes/1", authorization, "") },
    };
    std::cout << measure(targets).dump(2) << "\n";
    bare->close().wait();
    relay->close().wait();
    return 0;
}
