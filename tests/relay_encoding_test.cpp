// Feeds that are compressed from instance to instance, beside instances of builds that do not know it.
#include "base/compression.h"
#include "gateway/feeds/relay_encoding.h"
#include "platform/object_mirror.h"
#include "platform/store_source.h"
#include "standin/kept_beliefs.h"
#include "standin/platform_store.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxBytes = 1024 * 1024;

// Large enough to be compressed and to serve as a dictionary.
auto largeText(char letter) -> std::string
{
    std::string text;
    for (int i = 0; i < 2'000; ++i)
        text += fmt::format("{}{},", letter, i);
    return text;
}

auto responseOf(const std::string& body) -> UpstreamResponse
{
    UpstreamResponse response;
    response.body() = body;
    return response;
}

}

TEST_CASE("what was compressed is restored, with and without a dictionary", "[relay-encoding]")
{
    rc::prop("any text", [](const std::string& text, const std::string& dictionary, std::uint8_t copies) {
        std::string repeated;
        for (int i = 0; i < copies; ++i)
            repeated += text;
        for (const auto& used : { std::string(), dictionary, repeated }) {
            const auto restored = decompressText(compressText(repeated, used), used, maxBytes);
            RC_ASSERT(isOk(restored));
            RC_ASSERT(valueOf(restored) == repeated);
        }
    });
}

TEST_CASE("damaged compressed bytes are an error or restore the text", "[relay-encoding]")
{
    const auto text = largeText('a') + "tail";
    const auto dictionary = largeText('a');
    const auto bytes = compressText(text, dictionary);
    rc::prop("any damage", [&] {
        auto damaged = bytes;
        const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[at] = *rc::gen::arbitrary<char>();
        if (*rc::gen::inRange(0, 4) == 0)
            damaged.resize(at);
        const auto restored = decompressText(damaged, dictionary, maxBytes);
        if (isOk(restored))
            RC_ASSERT(valueOf(restored) == text);
    });
    CHECK_FALSE(isOk(decompressText(bytes, largeText('b'), maxBytes)));
    CHECK_FALSE(isOk(decompressText(bytes, "", maxBytes)));
    CHECK_FALSE(isOk(decompressText("plain text", "", maxBytes)));
    CHECK_FALSE(isOk(decompressText("", "", maxBytes)));
}

TEST_CASE("compressed bytes that stand for a longer text than is allowed are refused", "[relay-encoding]")
{
    const auto bytes = compressText(std::string(maxBytes + 1, 'a'), "");
    CHECK(bytes.size() < 1'000);
    CHECK_FALSE(isOk(decompressText(bytes, "", maxBytes)));
}

TEST_CASE("only large texts are kept as dictionaries, and only the last few", "[relay-encoding]")
{
    RecentTexts texts;
    texts.add("small");
    CHECK(texts.newest() == nullptr);
    for (const char letter : { 'a', 'b', 'c', 'd', 'b' })
        texts.add(largeText(letter));
    CHECK(*texts.newest()->text_ == largeText('b'));
    RecentTexts other;
    for (const auto& [letter, isKept] : std::map<char, bool> { { 'a', false }, { 'b', true }, { 'c', true }, { 'd', true } }) {
        CAPTURE(letter);
        other.add(largeText(letter));
        CHECK((texts.find(other.newest()->digest_) != nullptr) == isKept);
    }
}

TEST_CASE("a response refers only to a text that the follower has offered", "[relay-encoding]")
{
    RecentTexts follower;
    RecentTexts watcher;
    follower.add(largeText('a'));
    OutgoingRequest request;
    const auto offered = offerEncoding(request, follower);
    REQUIRE(offered);
    auto response = responseOf(largeText('a') + "tail");
    const auto plainBytes = response.body().size();
    SECTION("the watcher does not hold it")
    {
        encodeResponse(response, acceptedEncoding(request), watcher);
        CHECK(response.body().size() < plainBytes / 2);
        CHECK(decodeResponse(response, std::nullopt).empty());
        CHECK(response.body() == largeText('a') + "tail");
    }
    SECTION("the watcher holds it")
    {
        watcher.add(largeText('a'));
        watcher.add(largeText('b'));
        encodeResponse(response, acceptedEncoding(request), watcher);
        CHECK(response.body().size() < 200);
        auto copy = response;
        CHECK_FALSE(decodeResponse(copy, std::nullopt).empty());
        copy = response;
        CHECK_FALSE(decodeResponse(copy, *watcher.newest()).empty());
        CHECK(decodeResponse(response, offered).empty());
        CHECK(response.body() == largeText('a') + "tail");
    }
    SECTION("another encoding, or bytes that have none")
    {
        response.set(boost::beast::http::field::content_encoding, GENERATE("br", "zstd"));
        CHECK_FALSE(decodeResponse(response, offered).empty());
    }
}

TEST_CASE("an instance of a build that knows no encodings gets plain responses", "[relay-encoding]")
{
    asio::io_context loop;
    platform::ObjectMirror mirror(loop);
    mirror.replace({ { "main", largeText('a') } }, 100);
    mirror.setLive(true);
    std::vector<HttpResponse> answers;
    const auto keep = [&](HttpResponse response) { answers.push_back(std::move(response)); };
    const auto waiting = mirror.answer("watch=100&wait_ms=20000", acceptedEncoding({}), keep);
    const auto newer = mirror.answer("watch=100&wait_ms=20000", { true, "unknown" }, keep);
    mirror.apply({ { "main", largeText('b'), false } }, 101);
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].count(boost::beast::http::field::content_encoding) == 0);
    CHECK(answers[0].body().find(largeText('b')) != std::string::npos);
    CHECK(answers[1].body().size() < answers[0].body().size() / 2);
    CHECK(decodeResponse(answers[1], std::nullopt).empty());
    CHECK(answers[1].body() == answers[0].body());
}

TEST_CASE("a follower whose watcher sends what it cannot decode reads from the store", "[relay-encoding]")
{
    asio::io_context loop;
    PlatformStore store(loop);
    store.put("config", "main", declared(1));
    store.put("servers", "i-0", listed({ "127.0.0.1", 7001 }));
    const std::string body = R"({"events":[],"current_rev":1})";
    LoopServer watcher(loop, [&](int, const std::string&) -> ScriptedBytes {
        return { fmt::format("HTTP/1.1 200 OK\r\nContent-Encoding: zstd\r\nContent-Length: {}\r\n\r\n{}", body.size(), body) };
    });
    NamedPeers peers;
    KeptBeliefs sink;
    platform::StoreSource source(loop, store.address(), 300ms);
    source.start(sink, { "e1", { "127.0.0.1", 7000 } }, peers);
    peers.peers_ = { watcher.address() };
    REQUIRE(runUntil(loop, [&] { return sink.isComplete() && watcher.requests().size() >= 3; }));
    store.put("config", "main", declared(2));
    CHECK(runUntil(loop, [&] { return sink.versions_.back() == 2; }));
    CHECK(watcher.requests().front().find("Accept-Encoding: zstd") != std::string::npos);
}
