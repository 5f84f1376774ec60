// Responses that a faulty server damages or breaks off must not reach callers, wherever responses are read.
#include "loop/call_channel.h"
#include "standin/damaged_head.h"
#include "standin/early_responder.h"
#include "standin/local_pool.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

// More than the kernel takes: the request is still being written when its response comes.
constexpr std::size_t uploadBytes = 16 * 1024 * 1024;

const std::string before = "Try-Id: t0\r\nProof: p\r\n";

auto uploadTo(const std::string& response, EarlyEnd end) -> AttemptOutcome
{
    PoolFixture fixture([](int, const std::string&) -> ScriptedBytes { return {}; });
    EarlyResponder server(fixture.loop_, response, end);
    fixture.upstream_->entry_.address_ = server.address();
    auto outcome = fixture.call("t0", std::string(uploadBytes, 'u'));
    CHECK(server.requests() == 1);
    return outcome;
}

}

// A reset that the pending write saw was read as the end of the body.
TEST_CASE("a response without a length that is reset during the upload is not complete", "[pool][broken-response]")
{
    const std::string response = GENERATE(as<std::string> {},
        "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nProof: p\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nProof: p\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTry-Id: t0\r\nProof: p\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nProof: p\r\nConnection: close\r\n\r\npart",
        "HTTP/1.1 500 Internal Server Error\r\nTry-Id: t0\r\nProof: p\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nContent-Length: 10\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    const auto end = GENERATE(EarlyEnd::Reset, EarlyEnd::CloseUnread);
    CAPTURE(response, static_cast<int>(end));
    CHECK(lossOf(uploadTo(response, end)) == TransportErrorKind::ConnectionLost);
}

TEST_CASE("a response that is complete before its upload is reset is passed on", "[pool][broken-response]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTry-Id: t0\r\nProof: p\r\n";
    struct Case {
        std::string rest_;
        EarlyEnd end_;
    };
    const auto row = GENERATE_COPY(values<Case>({
        { "\r\nbody", EarlyEnd::HalfClose },
        { "\r\nbody", EarlyEnd::HalfCloseThenReset },
        { "Content-Length: 4\r\n\r\nbody", EarlyEnd::Reset },
        { "Content-Length: 4\r\n\r\nbody", EarlyEnd::CloseUnread },
        { "Content-Length: 4\r\n\r\nbody", EarlyEnd::Keep },
        { "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", EarlyEnd::Reset },
    }));
    CAPTURE(row.rest_, static_cast<int>(row.end_));
    const auto outcome = uploadTo(head + row.rest_, row.end_);
    REQUIRE(std::holds_alternative<UpstreamResponse>(outcome));
    CHECK(std::get<UpstreamResponse>(outcome).body() == "body");
}

namespace {

// The result of one call to a server that responds while the call's body is still being written.
auto callDuringUpload(const std::string& response, EarlyEnd end) -> CallResult
{
    asio::io_context loop;
    EarlyResponder server(loop, response, end);
    const auto channel = std::make_shared<CallChannel>(loop, server.address());
    HttpRequest request { http::verb::put, "/", 11 };
    request.body() = std::string(uploadBytes, 'u');
    std::optional<CallResult> result;
    channel->call(std::move(request), 10s, [&result](CallResult told) { result = std::move(told); });
    REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
    return *std::move(result);
}

}

TEST_CASE("a call whose answer without a length ends with its connection has failed", "[pool][broken-response]")
{
    const auto end = GENERATE(EarlyEnd::Reset, EarlyEnd::CloseUnread, EarlyEnd::HalfClose, EarlyEnd::HalfCloseThenReset);
    const std::string response = GENERATE(as<std::string> {}, "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\npart");
    CAPTURE(response, static_cast<int>(end));
    const auto result = callDuringUpload(response, end);
    REQUIRE(std::holds_alternative<CallError>(result));
    CHECK(std::get<CallError>(result).kind_ == CallErrorKind::AnswerLost);
}

// The line was joined to the value of the field before; without its length, all that came was taken for the body.
TEST_CASE("a response with a damaged field name or a folded line is none", "[pool][broken-response]")
{
    for (const auto& head : damagedHeads(before)) {
        CAPTURE(head);
        for (const auto after : { AfterBytes::Close, AfterBytes::Keep }) {
            PoolFixture fixture([&](int, const std::string&) -> ScriptedBytes { return { "HTTP/1.1 200 OK\r\n" + head + "\r\nbody and more", after }; });
            CHECK(lossOf(fixture.call("t0", "order")) == TransportErrorKind::InvalidResponse);
        }
    }
}

TEST_CASE("a damaged line that arrives in parts is found", "[pool][broken-response]")
{
    const std::string line = GENERATE(as<std::string> {}, " X-Further: 1\r\n", "\tontent-Length: 4\r\n", "X-Further: 1\r\n 2\r\n");
    const auto response = "HTTP/1.1 200 OK\r\n" + before + line + "Content-Length: 4\r\n\r\nbody";
    for (std::size_t cut = 1; cut < response.size(); ++cut) {
        CAPTURE(response.substr(0, cut));
        PoolFixture fixture([&](int, const std::string&) -> ScriptedBytes { return { response.substr(0, cut) }; });
        asio::steady_timer rest(fixture.loop_, 2ms);
        rest.async_wait([&](NetError) { fixture.server_.push(response.substr(cut)); });
        CHECK(lossOf(fixture.call("t0")) == TransportErrorKind::InvalidResponse);
    }
}

TEST_CASE("a response with a folded line among its trailers is none", "[pool][broken-response]")
{
    const std::string trailer = GENERATE(as<std::string> {}, "X-Sum: 1\r\n X-Further: 2\r\n", "X-Sum: 1\r\n\t2\r\n", " X-Sum: 1\r\n", "X Sum: 1\r\n");
    CAPTURE(trailer);
    PoolFixture fixture([&](int, const std::string&) -> ScriptedBytes { return { "HTTP/1.1 200 OK\r\n" + before + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailer + "\r\n" }; });
    CHECK(lossOf(fixture.call("t0")) == TransportErrorKind::InvalidResponse);
}

TEST_CASE("blanks at the start of lines of a body are passed on", "[pool][broken-response]")
{
    const std::string body = " a\r\n b\r\n\tc\r\n\r\n d\r\n";
    const auto isChunked = GENERATE(false, true);
    const auto framed = isChunked ? fmt::format("Transfer-Encoding: chunked\r\n\r\n3\r\n a\r\r\n{:x}\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n", body.size() - 3, body.substr(3)) : fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    PoolFixture fixture([&](int, const std::string&) -> ScriptedBytes { return { "HTTP/1.1 200 OK\r\n" + before + framed }; });
    CHECK(fixture.body(fixture.call("t0")) == body);
}

// Answers of the store, of its copies at peers and of health paths.
TEST_CASE("a call whose answer has a damaged field name or a folded line has failed", "[pool][broken-response]")
{
    for (const auto& head : damagedHeads(before)) {
        CAPTURE(head);
        asio::io_context loop;
        LoopServer server(loop, [&](int, const std::string&) -> ScriptedBytes { return { "HTTP/1.1 200 OK\r\n" + head + "\r\nbody and more" }; });
        const auto channel = std::make_shared<CallChannel>(loop, server.address());
        std::optional<CallResult> result;
        channel->call(HttpRequest { http::verb::get, "/", 11 }, 10s, [&result](CallResult told) { result = std::move(told); });
        REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
        REQUIRE(std::holds_alternative<CallError>(*result));
        CHECK(std::get<CallError>(*result).message_ != "no answer in time");
    }
}

// The parser lost its own error if some of the body came with the head, and reserved the stated bytes.
TEST_CASE("a response that states an absurd length is given up at once", "[pool][broken-response]")
{
    const std::string length = GENERATE("1000001", "9000000000000000000", "18446744073709551615", "18446744073709551616", "99999999999999999999999999");
    const std::string body = GENERATE("", "body");
    CAPTURE(length, body);
    PoolFixture fixture([&](int, const std::string&) -> ScriptedBytes { return { "HTTP/1.1 200 OK\r\n" + before + "Content-Length: " + length + "\r\n\r\n" + body }; });
    CHECK(lossOf(fixture.call("t0")) == TransportErrorKind::InvalidResponse);
}

TEST_CASE("a call whose answer states more than the channel takes has failed at once", "[pool][broken-response]")
{
    const std::string length = GENERATE("1001", "9000000000000000000", "18446744073709551615");
    const std::string body = GENERATE("", "body");
    CAPTURE(length, body);
    asio::io_context loop;
    LoopServer server(loop, [&](int, const std::string&) -> ScriptedBytes { return { "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + body }; });
    const auto channel = std::make_shared<CallChannel>(loop, server.address(), 1'000);
    std::optional<CallResult> result;
    channel->call(HttpRequest { http::verb::get, "/", 11 }, 10s, [&result](CallResult told) { result = std::move(told); });
    REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
    REQUIRE(std::holds_alternative<CallError>(*result));
    CHECK(std::get<CallError>(*result).message_ != "no answer in time");
}
