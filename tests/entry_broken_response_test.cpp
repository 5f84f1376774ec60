// Responses that a faulty upstream damages, breaks off or never ends, at the entry daemon and at its store.
#include "bench/load/http_socket.h"
#include "standin/background_loop.h"
#include "standin/damaged_head.h"
#include "standin/early_responder.h"
#include "standin/endless_server.h"
#include "standin/local_entry_http.h"
#include "standin/loop_peer.h"
#include "standin/resident_memory.h"
#include "store/http_object_store.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <malloc.h>
#include <mutex>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

auto configuration(const SocketAddress& upstream) -> std::string
{
    return "declare region luzon; declare domain d region luzon; declare workspace acme rate 1000000 burst 1000000;"
           "declare route quotes path /quotes service core deadline 10s; declare route open path /open service free access open;"
           "declare upstream u0 service core domain d address "
        + formatSocketAddress(upstream) + " slots 100";
}

auto renderOrder(const LocalEntry& entry, const std::string& path, const std::string& body) -> std::string
{
    return load::renderRequest("POST", "/w/acme" + path, fmt::format("Authorization: Bearer {}\r\n", entry.bearer("acme")), body);
}

auto sendOrder(const LocalEntry& entry, const std::string& body, const std::string& path = "/quotes/1") -> load::SocketAnswer
{
    const auto request = renderOrder(entry, path, body);
    // The rate share of a new instance starts empty, so the first requests may be refused.
    constexpr int tooManyRequests = 429;
    load::SocketAnswer answer;
    do {
        load::HttpSocket socket(entry.address(), 20s);
        socket.send(request);
        answer = socket.readAnswer();
    } while (answer.status_ == tooManyRequests);
    return answer;
}

auto isWholeSuccess(const load::SocketAnswer& answer) -> bool
{
    return answer.status_ == 200 && answer.whole_;
}

}

TEST_CASE("an entry passes on no response without a length that is reset during the upload", "[entry][broken-response]")
{
    const std::string response = GENERATE(as<std::string> {},
        "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
    const auto end = GENERATE(EarlyEnd::Reset, EarlyEnd::CloseUnread);
    // Held in memory, and streamed.
    const auto bytes = GENERATE(as<std::size_t> {}, 60'000, 16 * 1024 * 1024);
    CAPTURE(response, static_cast<int>(end), bytes);
    const BackgroundLoop<EarlyResponder> upstream(response, end);
    const LocalEntry entry(configuration(upstream.address()));
    const auto answer = sendOrder(entry, std::string(bytes, 'u'));
    CAPTURE(answer.status_, answer.body_);
    CHECK_FALSE(isWholeSuccess(answer));
}

TEST_CASE("an entry passes on no response with a damaged field name or a folded line", "[entry][broken-response]")
{
    std::string response;
    std::mutex mutex;
    const LoopServer::Script script = [&](int, const std::string&) -> ScriptedBytes {
        const std::lock_guard lock(mutex);
        return { response, AfterBytes::Close };
    };
    const BackgroundLoop<LoopServer> upstream(script);
    const LocalEntry entry(configuration(upstream.address()));
    for (const auto& head : damagedHeads("X-First: 1\r\n")) {
        {
            const std::lock_guard lock(mutex);
            response = "HTTP/1.1 200 OK\r\n" + head + "\r\nbody and more";
        }
        CAPTURE(head);
        CHECK(sendOrder(entry, "order").status_ == 502);
    }
}

TEST_CASE("an entry gives up responses without end, and its memory is bounded", "[entry][endless]")
{
    const auto endless = GENERATE(from_range(endlessForms()));
    CAPTURE(endless.name_);
    // What states a length is streamed through as far as the caller takes it.
    if (endless.bytes_.first_.find("Content-Length") != std::string::npos)
        return;
    constexpr std::size_t callers = 16;
    constexpr std::size_t allowedMb = 128;
    BackgroundLoop<EndlessServer> upstream(endless.bytes_, std::string());
    const LocalEntry entry(configuration(upstream.address()));
    ::malloc_trim(0);
    const auto before = residentMb();
    std::atomic<std::size_t> answered { 0 };
    std::atomic<std::size_t> successes { 0 };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            successes += isWholeSuccess(sendOrder(entry, "order")) ? 1 : 0;
            ++answered;
        });
    }
    std::size_t highest = before;
    while (answered < callers && highest - before <= allowedMb) {
        highest = std::max(highest, residentMb());
        std::this_thread::sleep_for(2ms);
    }
    // The test must not take the machine's memory either.
    if (highest - before > allowedMb)
        upstream.stopServer();
    for (auto& thread : threads)
        thread.join();
    CAPTURE(highest - before);
    CHECK(highest - before <= allowedMb);
    // Repeated whole responses have no first part; the entry's protocol has no ids, so the first of them is taken.
    if (!endless.bytes_.first_.empty())
        CHECK(successes == 0);
}

TEST_CASE("an entry reads a large response no faster than its caller", "[entry][endless]")
{
    constexpr std::size_t callers = 8;
    constexpr std::size_t allowedMb = 64;
    const EndlessBytes response { "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", std::string(1'000, 'x') };
    BackgroundLoop<EndlessServer> upstream(response, std::string());
    const LocalEntry entry(configuration(upstream.address()));
    // No upstream serves this route: only the workspace's share of the rate is awaited.
    sendOrder(entry, "order", "/open/1");
    ::malloc_trim(0);
    const auto before = residentMb();
    std::vector<std::unique_ptr<load::HttpSocket>> sockets;
    for (std::size_t i = 0; i < callers; ++i) {
        sockets.push_back(std::make_unique<load::HttpSocket>(entry.address(), 20s));
        sockets.back()->send(renderOrder(entry, "/quotes/1", "order"));
    }
    std::size_t highest = before;
    constexpr int looks = 500;
    for (int i = 0; i < looks && highest - before <= allowedMb; ++i) {
        highest = std::max(highest, residentMb());
        std::this_thread::sleep_for(2ms);
    }
    upstream.stopServer();
    CAPTURE(highest - before);
    CHECK(highest - before <= allowedMb);
}

TEST_CASE("the answers of a faulty store are given up", "[store][broken-response]")
{
    std::string response;
    std::mutex mutex;
    const LoopServer::Script script = [&](int, const std::string&) -> ScriptedBytes {
        const std::lock_guard lock(mutex);
        return { response, AfterBytes::Close };
    };
    const BackgroundLoop<LoopServer> server(script);
    HttpObjectStore store(server.address(), 2s);
    std::vector<std::string> responses { "HTTP/1.1 000 OK\r\nETag: 1\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nETag: 1\r\nContent-Length: 5\r\n\r\nbody" };
    for (const auto& head : damagedHeads("ETag: 1\r\n"))
        responses.push_back("HTTP/1.1 200 OK\r\n" + head + "\r\nbody and more");
    for (const auto& each : responses) {
        {
            const std::lock_guard lock(mutex);
            response = each;
        }
        CAPTURE(each);
        const auto read = store.read("a");
        REQUIRE_FALSE(isOk(read));
        CHECK(errorOf(read).kind_ == StoreErrorKind::AnswerLost);
    }
}

TEST_CASE("an answer of the store without a length that is reset during a write is lost", "[store][broken-response]")
{
    const auto end = GENERATE(EarlyEnd::Reset, EarlyEnd::CloseUnread);
    const BackgroundLoop<EarlyResponder> server(std::string("HTTP/1.1 200 OK\r\nETag: 1\r\n\r\n"), end);
    HttpObjectStore store(server.address(), 10s);
    const auto written = store.write("a", std::string(16 * 1024 * 1024, 'u'), absentVersion);
    REQUIRE_FALSE(isOk(written));
    CHECK(errorOf(written).kind_ == StoreErrorKind::AnswerLost);
}

TEST_CASE("answers of the store without end are given up within bounds", "[store][endless]")
{
    const auto endless = GENERATE(from_range(endlessForms()));
    CAPTURE(endless.name_);
    constexpr std::size_t allowedMb = 64;
    BackgroundLoop<EndlessServer> server(endless.bytes_, std::string());
    HttpObjectStore store(server.address(), 10s);
    ::malloc_trim(0);
    const auto before = residentMb();
    std::atomic<bool> isRead { false };
    std::optional<Result<StoredObject, StoreError>> read;
    std::thread reader([&] {
        read = store.read("a");
        isRead = true;
    });
    std::size_t highest = before;
    while (!isRead && highest - before <= allowedMb) {
        highest = std::max(highest, residentMb());
        std::this_thread::sleep_for(2ms);
    }
    if (highest - before > allowedMb)
        server.stopServer();
    reader.join();
    CAPTURE(highest - before);
    CHECK(highest - before <= allowedMb);
    if (!endless.bytes_.first_.empty())
        CHECK_FALSE(isOk(*read));
}
