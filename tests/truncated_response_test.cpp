// Truncated upstream responses: the caller gets a complete response of another upstream, or sees that the response is
// truncated. A truncated response must never look complete.
#include "bench/load/http_socket.h"
#include "standin/local_entry_http.h"
#include "standin/raw_upstream.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t smallBytes = 1'000;
constexpr std::size_t largeBytes = 3'000'000;

enum class Framing { Sized,
    Chunked };
enum class Completeness { Complete,
    Truncated,
    // The connection closes without a response.
    NoResponse };

auto render(Framing framing, std::size_t bytes, Completeness completeness) -> std::string
{
    if (completeness == Completeness::NoResponse)
        return {};
    const std::string body(completeness == Completeness::Truncated ? bytes / 2 : bytes, 'x');
    if (framing == Framing::Sized)
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n{}", bytes, body);
    return fmt::format("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n{:x}\r\n{}\r\n{}", body.size(), body, completeness == Completeness::Truncated ? "" : "0\r\n\r\n");
}

auto configuration(const std::vector<SocketAddress>& upstreams) -> std::string
{
    std::string text = "declare region luzon; declare domain d region luzon; declare workspace acme rate 1000000 burst 1000000;"
                       "declare route quotes path /quotes service core deadline 10s";
    for (std::size_t i = 0; i < upstreams.size(); ++i)
        text += fmt::format("; declare upstream u{} service core domain d address {} slots 4", i, formatSocketAddress(upstreams[i]));
    return text;
}

auto sendRequest(const standin::LocalEntry& entry, const std::string& method) -> load::SocketAnswer
{
    const auto body = method == "GET" ? "" : "quote";
    const auto request = load::renderRequest(method, "/w/acme/quotes/1", fmt::format("Authorization: Bearer {}\r\n", entry.bearer("acme")), body);
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

}

TEST_CASE("a truncated response is never forwarded as a complete one", "[forward]")
{
    const auto framing = GENERATE(Framing::Sized, Framing::Chunked);
    const auto bytes = GENERATE(smallBytes, largeBytes);
    const std::string method = GENERATE("GET", "POST");
    CAPTURE(static_cast<int>(framing), bytes, method);
    const standin::RawUpstream upstream([&](int, const std::string&) { return render(framing, bytes, Completeness::Truncated); });
    const standin::LocalEntry entry(configuration({ upstream.address() }));
    const auto answer = sendRequest(entry, method);
    CHECK((answer.status_ != 200 || !answer.whole_));
    if (method == "POST")
        CHECK(upstream.requests() == 1);
}

TEST_CASE("a response whose status HTTP does not have is not forwarded", "[forward]")
{
    const std::string status = GENERATE("000", "099", "600");
    CAPTURE(status);
    const standin::RawUpstream upstream([&](int, const std::string&) { return fmt::format("HTTP/1.1 {} OK\r\nContent-Length: 2\r\n\r\nok", status); });
    const standin::LocalEntry entry(configuration({ upstream.address() }));
    CHECK(sendRequest(entry, "POST").status_ == 502);
}

TEST_CASE("complete responses are forwarded in both framings", "[forward]")
{
    const auto framing = GENERATE(Framing::Sized, Framing::Chunked);
    const auto bytes = GENERATE(std::size_t { 0 }, smallBytes, largeBytes);
    CAPTURE(static_cast<int>(framing), bytes);
    const standin::RawUpstream upstream([&](int, const std::string&) { return render(framing, bytes, Completeness::Complete); });
    const standin::LocalEntry entry(configuration({ upstream.address() }));
    const auto answer = sendRequest(entry, "GET");
    CHECK(answer.status_ == 200);
    CHECK(answer.whole_);
    CHECK(answer.body_.size() == bytes);
}

TEST_CASE("an idempotent request is retried at another upstream after a truncated or missing response", "[forward]")
{
    const auto framing = GENERATE(Framing::Sized, Framing::Chunked);
    const auto completeness = GENERATE(Completeness::Truncated, Completeness::NoResponse);
    CAPTURE(static_cast<int>(framing), static_cast<int>(completeness));
    const auto script = [&](int, const std::string&) { return render(framing, smallBytes, completeness); };
    const standin::RawUpstream broken(script);
    const standin::RawUpstream healthy([&](int, const std::string&) { return render(framing, smallBytes, Completeness::Complete); });
    const standin::LocalEntry entry(configuration({ broken.address(), healthy.address() }));
    for (int i = 0; i < 4; ++i) {
        const auto answer = sendRequest(entry, "GET");
        CHECK(answer.status_ == 200);
        CHECK(answer.whole_);
        CHECK(answer.body_.size() == smallBytes);
    }
}
