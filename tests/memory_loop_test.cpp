// Callers that read slowly or not at all, and many large uploads, must cost neither the gateway's memory nor other requests.
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t memoryMb = 48;
constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t largeBody = 540 * 1024;
constexpr std::size_t upload = 360 * 1024;
// Every request may hold this in any case.
constexpr std::size_t small = 16 * 1024;

auto residentBytes() -> std::size_t
{
    std::ifstream file("/proc/self/statm");
    std::size_t pages = 0;
    std::size_t resident = 0;
    file >> pages >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

auto orderOf(const std::string& path, std::size_t bytes = 2) -> std::string
{
    return fmt::format("POST /x/{} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: t1\r\nAuthorization: Token secret\r\nContent-Length: {}\r\n\r\n{}", path, bytes, std::string(bytes, 'b'));
}

auto answerOf(std::size_t bytes) -> std::string
{
    return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nContent-Length: {}\r\n\r\n{}", bytes, std::string(bytes, 'a'));
}

// Answers requests for /x/large with a large response, all others with a small one.
auto answerByPath(int, const std::string& request) -> ScriptedBytes
{
    static const auto large = answerOf(largeBody);
    return { request.starts_with("POST /x/large") ? large : orderAnswer };
}

// A caller that reads only when the test says so.
class PausedCaller {
public:
    // The receive buffer is small, so that most of a response cannot leave the gateway.
    PausedCaller(asio::io_context& loop, const SocketAddress& server, int receiveBuffer = 32 * 1024)
        : socket_(loop)
    {
        socket_.open(Tcp::v4());
        socket_.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
        socket_.connect({ asio::ip::make_address_v4(server.host_), server.port_ });
    }

    auto send(const std::string& bytes) -> void
    {
        NetError ignored;
        asio::write(socket_, asio::buffer(bytes), ignored);
    }
    // Reads some of what has arrived.
    auto read(std::size_t most) -> void
    {
        std::vector<char> bytes(most);
        NetError error;
        socket_.non_blocking(true);
        const auto count = socket_.read_some(asio::buffer(bytes), error);
        received_.append(bytes.data(), count);
        isEnded_ = isEnded_ || (error && error != asio::error::would_block);
    }
    auto close() -> void { closeQuietly(socket_); }
    auto received() const -> const std::string& { return received_; }
    auto isEnded() const -> bool { return isEnded_; }
    auto hasWhole(std::size_t body) const -> bool
    {
        const auto head = received_.find("\r\n\r\n");
        return head != std::string::npos && received_.size() == head + 4 + body;
    }

private:
    Tcp::socket socket_;
    std::string received_;
    bool isEnded_ = false;
};

// An upstream that pauses after it has accepted a connection, then reads all and answers.
class PausingServer {
public:
    PausingServer(asio::io_context& loop, Duration pause)
        : acceptor_(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , socket_(loop)
        , timer_(loop)
    {
        // Inherited by its connections.
        acceptor_.set_option(asio::socket_base::receive_buffer_size(32 * 1024));
        acceptor_.async_accept(socket_, [this, pause](NetError error) {
            timer_.expires_after(pause);
            timer_.async_wait([this, error](NetError cancelled) {
                if (!error && !cancelled)
                    read();
            });
        });
    }
    auto address() const -> SocketAddress { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }

private:
    auto read() -> void
    {
        socket_.async_read_some(asio::buffer(buffer_), [this](NetError error, std::size_t count) {
            if (error)
                return;
            received_ += count;
            NetError ignored;
            // Headers are on top.
            if (received_ >= upload && !std::exchange(isAnswered_, true))
                asio::write(socket_, asio::buffer(orderAnswer), ignored);
            read();
        });
    }

    Tcp::acceptor acceptor_;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    std::array<char, 64 * 1024> buffer_ {};
    std::size_t received_ = 0;
    bool isAnswered_ = false;
};

auto passTime(asio::io_context& loop, Duration time) -> void
{
    asio::steady_timer timer(loop, time);
    bool isOver = false;
    timer.async_wait([&isOver](NetError) { isOver = true; });
    REQUIRE(runUntil(loop, [&isOver] { return isOver; }));
}

struct MemoryFixture : GatewayFixture {
    explicit MemoryFixture(LoopServer::Script script = answerByPath, int upstreams = 1)
        : GatewayFixture(std::move(script))
    {
        auto entry = listed(server_.address());
        entry["info"]["slots"] = 400;
        for (int i = 0; i < upstreams; ++i)
            store_.put("servers", fmt::format("i-{}", i), entry);
        store_.put("config", "main", declared(1));
        settings_.memoryMb_ = memoryMb;
        start();
        REQUIRE(runUntil(loop_, [&] { return gateway_->isReady(); }));
    }

    auto metrics() -> std::string { return ask(settings_.control_, "/metrics"); }
    static auto metricOn(const std::string& page, const std::string& name) -> std::size_t
    {
        const auto at = page.find("\nsapphirepass_" + name + " ");
        return at == std::string::npos ? 0 : std::stoul(page.substr(at + name.size() + 15));
    }
    auto metric(const std::string& name) -> std::size_t { return metricOn(metrics(), name); }
    auto held(const std::string& kind) -> std::size_t { return metric("gateway_memory_bytes_held{kind=\"" + kind + "\"}"); }
    // Of all kinds, at one moment: bytes change their kind.
    auto held() -> std::size_t
    {
        std::size_t sum = 0;
        const auto page = metrics();
        for (const auto* kind : { "request-body", "arriving-response", "waiting-response" })
            sum += metricOn(page, fmt::format("gateway_memory_bytes_held{{kind=\"{}\"}}", kind));
        return sum;
    }
    // Sends an ordinary request on a connection of its own; whether it was answered with success.
    auto isServed() -> bool
    {
        LoopClient other(loop_, settings_.front_);
        other.send(orderOf("good"));
        return runUntil(loop_, [&] { return other.count("\"status\"") + other.count("done") > 0 || other.isEnded(); }) && other.count("HTTP/1.1 200") == 1;
    }
    auto waitUntilHeld(const std::string& kind, const std::function<bool(std::size_t)>& holds) -> bool
    {
        for (int i = 0; i < 2'000; ++i) {
            if (holds(held(kind)))
                return true;
            loop_.run_for(5ms);
        }
        return false;
    }
};

}

// The kernel took a caller that did not read for a silent one after three seconds and reset its connection.
TEST_CASE("a caller that pauses for some seconds gets the rest of a response that is not large", "[memory-loop][slow]")
{
    constexpr std::size_t body = 12'000;
    constexpr int smallBuffer = 2'048;
    const bool isLastRequest = GENERATE(false, true);
    CAPTURE(isLastRequest);
    MemoryFixture fixture([](int, const std::string&) -> ScriptedBytes { return { answerOf(body) }; });
    PausedCaller caller(fixture.loop_, fixture.settings_.front_, smallBuffer);
    auto request = orderOf("1");
    if (isLastRequest)
        request.insert(request.find("Content-Length"), "Connection: close\r\n");
    caller.send(request);
    passTime(fixture.loop_, 3'800ms);
    const auto hasWhole = [&] {
        caller.read(body);
        return caller.hasWhole(body) || caller.isEnded();
    };
    runUntil(fixture.loop_, hasWhole);
    CHECK(caller.hasWhole(body));
}

// The connection to an upstream that did not read for a second and a half was given up, and the upload with it.
TEST_CASE("an upload to an upstream that pauses is not given up", "[memory-loop][slow]")
{
    MemoryFixture fixture;
    PausingServer server(fixture.loop_, 1'900ms);
    auto declaration = declared(1);
    declaration["version"] = "00000002";
    declaration["routes"][0]["timeout_s"] = 60;
    fixture.store_.put("config", "main", declaration);
    fixture.store_.put("servers", "i-0", listed(server.address()));
    passTime(fixture.loop_, 1s);
    LoopClient client(fixture.loop_, fixture.settings_.front_);
    client.send(orderOf("1", upload));
    REQUIRE(runUntil(fixture.loop_, [&client] { return !client.received().empty(); }));
    CHECK(client.received().starts_with("HTTP/1.1 200 "));
}

TEST_CASE("callers that read nothing are cut within the memory; slow readers get all, and others are served", "[memory]")
{
    constexpr std::size_t stalled = 60;
    constexpr std::size_t slow = 8;
    MemoryFixture fixture;
    ::malloc_trim(0);
    const auto before = residentBytes();
    std::vector<std::unique_ptr<PausedCaller>> callers;
    for (std::size_t i = 0; i < slow + stalled; ++i) {
        callers.push_back(std::make_unique<PausedCaller>(fixture.loop_, fixture.settings_.front_));
        callers.back()->send(orderOf("large"));
        // The slow readers' responses have arrived before those of the others.
        if (i + 1 == slow)
            REQUIRE(fixture.waitUntilHeld("waiting-response", [](std::size_t bytes) { return bytes >= slow * largeBody; }));
    }
    std::size_t highestHeld = 0;
    std::size_t highestResident = 0;
    const auto areSlowDone = [&] { return std::all_of(callers.begin(), callers.begin() + slow, [](const auto& caller) { return caller->hasWhole(largeBody) || caller->isEnded(); }); };
    // Until the slow ones have read all, at about 100 KB a second, and some others were cut.
    for (int round = 0; round < 400 && (!areSlowDone() || fixture.metric("gateway_memory_callers_cut_total") == 0); ++round) {
        for (std::size_t i = 0; i < slow; ++i)
            callers[i]->read(8 * 1024);
        CHECK(fixture.isServed());
        highestHeld = std::max(highestHeld, fixture.held());
        highestResident = std::max(highestResident, residentBytes());
        fixture.loop_.run_for(60ms);
    }
    for (std::size_t i = 0; i < slow; ++i) {
        CAPTURE(i, callers[i]->received().size(), callers[i]->isEnded());
        CHECK(callers[i]->hasWhole(largeBody));
    }
    CHECK(fixture.metric("gateway_memory_callers_cut_total") > 0);
    CHECK(highestHeld > memoryMb * megabyte / 4);
    CHECK(highestHeld <= memoryMb * megabyte / 2 + (slow + stalled) * 2 * small);
    CHECK(highestResident - std::min(highestResident, before) <= memoryMb * megabyte);
    // Callers that close release what they hold.
    callers.clear();
    CHECK(fixture.waitUntilHeld("waiting-response", [](std::size_t bytes) { return bytes == 0; }));
    CHECK(fixture.held() == 0);
}

TEST_CASE("a caller that pauses for some seconds gets its whole response while there is room", "[memory]")
{
    MemoryFixture fixture;
    PausedCaller caller(fixture.loop_, fixture.settings_.front_);
    caller.send(orderOf("large"));
    // Longer than the kernel waits for a silent peer, for which it takes one whose window is closed.
    fixture.loop_.run_for(6s);
    for (int i = 0; i < 5'000 && !caller.hasWhole(largeBody) && !caller.isEnded(); ++i) {
        caller.read(64 * 1024);
        fixture.loop_.run_for(2ms);
    }
    CHECK(caller.hasWhole(largeBody));
    CHECK(fixture.metric("gateway_memory_callers_cut_total") == 0);
}

TEST_CASE("of many uploads at once each is answered, or refused as not run and within the memory", "[memory]")
{
    constexpr std::size_t count = 200;
    MemoryFixture fixture(answerByPath, 8);
    std::vector<std::unique_ptr<LoopClient>> callers;
    for (std::size_t i = 0; i < count; ++i) {
        callers.push_back(std::make_unique<LoopClient>(fixture.loop_, fixture.settings_.front_));
        callers.back()->send(orderOf("good", upload));
    }
    std::size_t highest = 0;
    const auto areAnswered = [&] { return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->count("HTTP/1.1 ") > 0; }); };
    for (int round = 0; round < 2'000 && !areAnswered(); ++round) {
        highest = std::max(highest, fixture.held("request-body"));
        CHECK(fixture.isServed());
        fixture.loop_.run_for(1ms);
    }
    CAPTURE(highest, std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return caller->count("HTTP/1.1 ") > 0; }), fixture.server_.requests().size());
    REQUIRE(areAnswered());
    std::size_t served = 0;
    for (const auto& caller : callers) {
        const bool isServed = caller->received().starts_with("HTTP/1.1 200");
        served += isServed ? 1 : 0;
        if (isServed)
            continue;
        CAPTURE(caller->received());
        CHECK(caller->received().starts_with("HTTP/1.1 503"));
        CHECK(caller->count("Retry-After: ") == 1);
        CHECK(caller->count("\"executed\":\"no\"") == 1);
    }
    CHECK(served > 0);
    const auto& requests = fixture.server_.requests();
    CHECK(served == static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), [](const auto& request) { return request.size() > upload; })));
    CHECK(highest <= memoryMb * megabyte / 2 + count * small);
    callers.clear();
    CHECK(fixture.waitUntilHeld("request-body", [](std::size_t bytes) { return bytes == 0; }));
}

TEST_CASE("a refused upload reaches a caller that sends all of its body first, and costs no memory", "[memory]")
{
    MemoryFixture fixture;
    LoopClient caller(fixture.loop_, fixture.settings_.front_);
    caller.send(orderOf("good", memoryMb * megabyte / 16));
    PausedCaller tooLarge(fixture.loop_, fixture.settings_.front_);
    tooLarge.send(fmt::format("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: t1\r\nAuthorization: Token secret\r\nExpect: 100-continue\r\nContent-Length: {}\r\n\r\n", memoryMb * megabyte));
    REQUIRE(runUntil(fixture.loop_, [&] { return caller.count("HTTP/1.1 200") == 1; }));
    REQUIRE(runUntil(fixture.loop_, [&] {
        tooLarge.read(4'096);
        return tooLarge.isEnded() || tooLarge.received().find("\"executed\":\"no\"") != std::string::npos;
    }));
    CHECK(tooLarge.received().starts_with("HTTP/1.1 503"));
    CHECK(tooLarge.received().find("Retry-After: ") != std::string::npos);
    CHECK(fixture.metric("gateway_memory_bodies_refused_total{cause=\"too-large\"}") == 1);
    CHECK(fixture.held() == 0);
}

TEST_CASE("no bytes are held after a request has ended in any way", "[memory]")
{
    struct Ending {
        const char* name_;
        ScriptedBytes answer_;
    };
    const auto ending = GENERATE(values<Ending>({
        { "success", { orderAnswer } },
        { "large success", { answerOf(largeBody) } },
        { "connection reset", { "", AfterBytes::Reset } },
        { "closed within the response", { "HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nResponse-Signature: p\r\nContent-Length: 40000\r\n\r\n" + std::string(20'000, 'a'), AfterBytes::Close } },
        { "not run", { "HTTP/1.1 503 Full\r\nAttempt-Id: t1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" } },
        { "server error", { "HTTP/1.1 500 Error\r\nAttempt-Id: t1\r\nContent-Length: 0\r\n\r\n" } },
        { "no HTTP", { std::string(40'000, 'x'), AfterBytes::Close } },
        { "silence", { "" } },
    }));
    const bool doesLeave = GENERATE(false, true);
    CAPTURE(ending.name_, doesLeave);
    MemoryFixture fixture([&ending](int, const std::string&) { return ending.answer_; });
    {
        LoopClient caller(fixture.loop_, fixture.settings_.front_);
        caller.send(orderOf("any", upload));
        REQUIRE(runUntil(fixture.loop_, [&] { return doesLeave ? !fixture.server_.requests().empty() : caller.count("HTTP/1.1 ") > 0; }));
        if (doesLeave)
            caller.close();
        else
            REQUIRE(runUntil(fixture.loop_, [&] { return caller.count("\r\n\r\n") > 0; }));
    }
    for (const auto* kind : { "request-body", "arriving-response", "waiting-response" }) {
        CAPTURE(kind);
        CHECK(fixture.waitUntilHeld(kind, [](std::size_t bytes) { return bytes == 0; }));
    }
}

TEST_CASE("a caller that leaves within its upload releases it", "[memory]")
{
    MemoryFixture fixture;
    PausedCaller caller(fixture.loop_, fixture.settings_.front_);
    const auto whole = orderOf("good", upload);
    caller.send(whole.substr(0, whole.size() / 2));
    REQUIRE(fixture.waitUntilHeld("request-body", [](std::size_t bytes) { return bytes == upload; }));
    caller.close();
    CHECK(fixture.waitUntilHeld("request-body", [](std::size_t bytes) { return bytes == 0; }));
}
