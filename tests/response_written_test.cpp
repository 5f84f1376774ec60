// What a listener tells about the responses that it writes.
#include "loop/caller_listener.h"
#include "standin/loop_peer.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;

namespace {

constexpr std::size_t bodyBytes = 32 * 1024 * 1024;

// Answers everything with one large response.
class LargePage final : public CallerHandler {
public:
    auto handle(HttpRequest, Answer answer) -> std::shared_ptr<RunningRequest> override
    {
        HttpResponse response;
        response.result(200);
        response.body() = std::string(bodyBytes, 'a');
        answer(std::move(response));
        return nullptr;
    }
    auto limits() const -> CallerLimits override { return {}; }
    auto isClosing() const -> bool override { return false; }
    auto responseWritten(const WrittenResponse& response) -> void override { written_.push_back(response); }

    std::vector<WrittenResponse> written_;
};

}

TEST_CASE("a response that its reader has not taken counts as unread, and as written once it has", "[response-written]")
{
    asio::io_context loop;
    SystemClock clock;
    LargePage page;
    CallerListener listener(loop, page, clock);
    const auto address = freeAddress();
    REQUIRE(listener.listen(address).empty());
    Tcp::socket reader(loop);
    reader.connect({ asio::ip::make_address_v4(address.host_), address.port_ });
    reader.send(asio::buffer(std::string_view("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    REQUIRE(runUntil(loop, [&] { return listener.unreadBytes() > 0; }));
    CHECK(page.written_.empty());
    std::size_t received = 0;
    std::vector<char> bytes(1024 * 1024);
    reader.non_blocking(true);
    REQUIRE(runUntil(loop, [&] {
        NetError ignored;
        received += reader.read_some(asio::buffer(bytes), ignored);
        return received > bodyBytes;
    }));
    REQUIRE(runUntil(loop, [&] { return page.written_.size() == 1; }));
    CHECK(page.written_.front().bytes_ == received);
    CHECK(listener.unreadBytes() == 0);
}
