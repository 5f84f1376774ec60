// Bad input at the socket: an in-process entry before an upstream that keeps what it receives byte by byte.
#include "bench/load/http_socket.h"
#include "standin/local_entry_http.h"
#include "standin/socket_upstream.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <random>

using namespace sapphirepass;

namespace {

constexpr std::chrono::seconds timeLimit { 10 };

struct Site {
    // A new instance's share of the rate starts empty, so the first requests may be refused.
    Site()
    {
        while (send("GET /w/acme/open/warm HTTP/1.1\r\nHost: e\r\n\r\n").status_ == 429) { }
        warmUps_ = upstream_.requests().size();
    }

    auto send(const std::string& bytes) const -> load::SocketAnswer
    {
        load::HttpSocket socket(entry_.address(), timeLimit);
        REQUIRE(socket.send(bytes));
        return socket.readAnswer();
    }

    // The entry still serves, and nothing but this one request has reached the upstream.
    auto checkOnlyProbeForwarded() const -> void
    {
        const auto answer = send("GET /w/acme/open/probe HTTP/1.1\r\nHost: e\r\n\r\n");
        CHECK(answer.status_ == 200);
        const auto requests = forwarded();
        REQUIRE(requests.size() == 1);
        CHECK(requests.front().starts_with("GET /open/probe HTTP/1.1\r\n"));
    }

    auto forwarded() const -> std::vector<std::string>
    {
        const auto all = upstream_.requests();
        return { all.begin() + static_cast<std::ptrdiff_t>(warmUps_), all.end() };
    }

    auto authorization() const -> std::string { return "Authorization: Bearer " + entry_.bearer("acme") + "\r\n"; }

    std::size_t warmUps_ = 0;
    standin::SocketUpstream upstream_ { "hello", standin::SocketUpstream::Recording::On };
    standin::LocalEntry entry_ { "declare region luzon; declare domain luzon-1 region luzon; declare route quotes path /quotes service core;"
                                 "declare route open path /open service core access open;"
                                 "declare upstream core-0 service core domain luzon-1 address "
        + formatSocketAddress(upstream_.address()) + " slots 20; declare workspace acme rate 1000000 burst 1000000; declare workspace bolt rate 1000000 burst 1000000" };
};

struct BadInput {
    std::string what_;
    // KEY stands for the Authorization header of workspace acme, BEARER for its key.
    std::string bytes_;
    int status_;
};

auto fillIn(std::string text, const Site& site) -> std::string
{
    const auto replace = [&text](std::string_view mark, const std::string& by) {
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + by.size()))
            text.replace(at, mark.size(), by);
    };
    replace("KEY\r\n", site.authorization());
    replace("BEARER", site.entry_.bearer("acme"));
    return text;
}

auto lengthsOf(const std::string& request) -> int
{
    int count = 0;
    for (auto at = request.find("Content-Length:"); at != std::string::npos; at = request.find("Content-Length:", at + 1))
        ++count;
    return count;
}

auto manyHeaders(int count) -> std::string
{
    std::string headers;
    for (int i = 0; i < count; ++i)
        headers += fmt::format("X-{}: 1\r\n", i);
    return headers;
}

const std::string second = "GET /w/acme/open/smuggled HTTP/1.1\r\nHost: e\r\n\r\n";

const std::vector<BadInput> badInputs {
    { "length list", "POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nContent-Length: 3, 3\r\n\r\nabc", 400 },
    { "length and encoding", "POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
    { "encoding and length", "POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n" + second, 400 },
    { "chunked", "POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 411 },
    { "no length", "POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\n\r\n", 411 },
    { "length with a sign", "POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nContent-Length: +3\r\n\r\nabc", 400 },
    { "length in hexadecimal", "POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nContent-Length: 0x3\r\n\r\nabc", 400 },
    { "length above any body", "POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400 },
    { "oversized header", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nX-Long: " + std::string(40'000, 'x') + "\r\n\r\n", 431 },
    { "many headers", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\n" + manyHeaders(5'000) + "\r\n", 431 },
    { "two keys", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nKEY\r\n\r\n", 400 },
    { "two hosts", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nHost: f\r\nKEY\r\n\r\n", 400 },
    { "no key", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\n\r\n", 401 },
    { "short key", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer acme-main.12\r\n\r\n", 401 },
    { "key without a dot", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer x\r\n\r\n", 401 },
    { "another scheme", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nAuthorization: Basic BEARER\r\n\r\n", 401 },
    { "wrong secret", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer acme-main." + std::string(48, '0') + "\r\n\r\n", 401 },
    { "key in the query only", "GET /w/acme/quotes/1?key=BEARER HTTP/1.1\r\nHost: e\r\n\r\n", 401 },
    { "key in a cookie only", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nCookie: key=BEARER\r\n\r\n", 401 },
    { "key in another header only", "GET /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nX-Api-Key: BEARER\r\n\r\n", 401 },
    { "key of another workspace", "GET /w/bolt/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\n\r\n", 403 },
    { "unknown workspace", "GET /w/nobody/open/1 HTTP/1.1\r\nHost: e\r\n\r\n", 404 },
    { "unknown route", "GET /w/acme/nothing HTTP/1.1\r\nHost: e\r\nKEY\r\n\r\n", 404 },
    { "dot segments", "GET /w/acme/open/../quotes/1 HTTP/1.1\r\nHost: e\r\n\r\n", 400 },
    { "encoded dots", "GET /w/acme/open/%2e%2e/quotes/1 HTTP/1.1\r\nHost: e\r\n\r\n", 400 },
    { "encoded slash", "GET /w/acme/open%2fx HTTP/1.1\r\nHost: e\r\n\r\n", 400 },
    { "double encoding", "GET /w/acme/open/%252e%252e/quotes HTTP/1.1\r\nHost: e\r\n\r\n", 400 },
    { "empty segment", "GET /w/acme//open/1 HTTP/1.1\r\nHost: e\r\n\r\n", 400 },
    { "backslash", "GET /w/acme/open\\..\\quotes HTTP/1.1\r\nHost: e\r\n\r\n", 400 },
    { "encoded line end", "GET /w/acme/open/%0d%0aX-Evil:1 HTTP/1.1\r\nHost: e\r\n\r\n", 400 },
    { "control byte in the path", "GET /w/acme/open/\x01 HTTP/1.1\r\nHost: e\r\n\r\n", 400 },
    { "malformed percent encoding", "GET /w/acme/open/%zz HTTP/1.1\r\nHost: e\r\n\r\n", 400 },
    { "bad deadline", "GET /w/acme/open/1 HTTP/1.1\r\nHost: e\r\nRequest-Deadline-Ms: -1\r\n\r\n", 400 },
};

}

TEST_CASE("malformed requests are refused as not run and never forwarded", "[entry]")
{
    const Site site;
    for (const auto& input : badInputs) {
        CAPTURE(input.what_);
        const auto answer = site.send(fillIn(input.bytes_, site));
        CHECK(answer.status_ == input.status_);
        if (answer.headers_.contains("content-type") && answer.headers_.at("content-type").starts_with("application/problem+json"))
            CHECK(answer.body_.find("\"executed\":\"no\"") != std::string::npos);
    }
    site.checkOnlyProbeForwarded();
}

TEST_CASE("a request that ends half-way is not forwarded", "[entry]")
{
    const Site site;
    const auto whole = fillIn("POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nContent-Length: 10\r\n\r\nabcdefghij", site);
    for (const std::size_t missing : { std::size_t { 1 }, std::size_t { 9 }, std::size_t { 11 }, whole.size() - 4 }) {
        load::HttpSocket socket(site.entry_.address(), timeLimit);
        REQUIRE(socket.send(whole.substr(0, whole.size() - missing)));
    }
    site.checkOnlyProbeForwarded();
}

// The library sends no answer before the whole body has arrived, so these callers wait; the entry must not.
TEST_CASE("a refused request whose body never arrives does not hold up a stop", "[entry][knownentry]")
{
    const auto length = GENERATE(as<std::string>(), "Content-Length: -3", "Content-Length: 7\r\nRequest-Deadline-Ms: -1", "Transfer-Encoding: xchunked\r\nContent-Length: 3");
    std::unique_ptr<load::HttpSocket> socket;
    {
        const Site site;
        socket = std::make_unique<load::HttpSocket>(site.entry_.address(), timeLimit);
        REQUIRE(socket->send(fillIn("POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\n" + length + "\r\n\r\nabc", site)));
        site.checkOnlyProbeForwarded();
        // The site's end waits until nothing is in flight.
    }
    CHECK(socket->isConnected());
}

TEST_CASE("a body that stalls beyond the deadline neither runs nor holds up a stop", "[entry][knownentry]")
{
    std::unique_ptr<load::HttpSocket> socket;
    {
        const Site site;
        socket = std::make_unique<load::HttpSocket>(site.entry_.address(), timeLimit);
        REQUIRE(socket->send(fillIn("POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\nContent-Length: 10\r\nRequest-Deadline-Ms: 50\r\n\r\nabc", site)));
        site.checkOnlyProbeForwarded();
        // The site's end waits until nothing is in flight.
    }
    CHECK(socket->isConnected());
}

TEST_CASE("garbage bytes neither stop the entry nor reach an upstream", "[entry]")
{
    const Site site;
    std::mt19937_64 random(20261203);
    constexpr int attempts = 50;
    for (int i = 0; i < attempts; ++i) {
        std::string bytes(1 + random() % 2'000, ' ');
        for (auto& byte : bytes)
            byte = static_cast<char>(random());
        load::HttpSocket socket(site.entry_.address(), timeLimit);
        socket.send(bytes + "\r\n\r\n");
    }
    site.checkOnlyProbeForwarded();
}

TEST_CASE("a valid request reaches the upstream once, with one length and without the key", "[entry]")
{
    const Site site;
    const auto answer = site.send(fillIn("POST /w/acme/quotes/1?a=1&k=BEARER HTTP/1.1\r\nHost: e\r\nKEY\r\nCookie: k=BEARER\r\nX-Other: BEARER\r\nContent-Length: 3\r\n\r\nabc", site));
    CHECK(answer.status_ == 200);
    CHECK(answer.body_ == "hello");
    const auto requests = site.forwarded();
    REQUIRE(requests.size() == 1);
    const auto& request = requests.front();
    CAPTURE(request);
    CHECK(request.starts_with("POST /quotes/1?a=1 HTTP/1.1\r\n"));
    CHECK(request.ends_with("\r\n\r\nabc"));
    CHECK(lengthsOf(request) == 1);
    CHECK(request.find("Transfer-Encoding") == std::string::npos);
    CHECK(request.find(site.entry_.bearer("acme").substr(10)) == std::string::npos);
}

// The library keeps the last of several Content-Lengths and drops the bytes that arrived behind the body.
TEST_CASE("differing lengths reach the upstream as one request with one length", "[entry]")
{
    const auto [headers, bytes, forwarded] = GENERATE(table<std::string, std::string, std::string>({
        { "Content-Length: 3\r\nContent-Length: 5\r\n", "abcde", "abcde" },
        { "Content-Length: 60\r\nContent-Length: 3\r\n", "abc" + second, "abc" },
        { "Content-Length: 60\r\nContent-Length: 0\r\n", second, "" },
    }));
    const Site site;
    load::HttpSocket socket(site.entry_.address(), timeLimit);
    REQUIRE(socket.send(fillIn("POST /w/acme/quotes/1 HTTP/1.1\r\nHost: e\r\nKEY\r\n" + headers + "\r\n" + bytes, site)));
    CHECK(socket.readAnswer().status_ == 200);
    const auto requests = site.forwarded();
    REQUIRE(requests.size() == 1);
    CAPTURE(requests.front());
    CHECK(requests.front().ends_with("\r\n\r\n" + forwarded));
    CHECK(lengthsOf(requests.front()) == 1);
}

TEST_CASE("HTTP/1.0 is answered and the connection closed", "[entry]")
{
    const Site site;
    load::HttpSocket socket(site.entry_.address(), timeLimit);
    REQUIRE(socket.send("GET /w/acme/open/1 HTTP/1.0\r\n\r\n"));
    const auto answer = socket.readAnswer();
    CHECK(answer.status_ == 200);
    CHECK(answer.body_ == "hello");
    CHECK(socket.isClosedByPeer());
}
