// Tickets through an entry: repeats are answered from the record, and an upstream sees each request once.
#include "standin/local_entry_http.h"
#include "standin/raw_upstream.h"

#include <catch2/catch.hpp>
#include <cpprest/http_client.h>
#include <fmt/format.h>

using namespace sapphirepass;
namespace http = web::http;

namespace {

auto declarations(const SocketAddress& upstream) -> std::string
{
    return fmt::format("declare region luzon; declare domain luzon-1 region luzon; declare workspace acme rate 1000 burst 1000;"
                       "declare route bids path /bids service desk repeat once; declare upstream desk-1 service desk domain luzon-1 address {} slots 4",
        formatSocketAddress(upstream));
}

struct Answer {
    int status_ = 0;
    std::string body_;
    std::string ticket_;
};

auto postBid(const standin::LocalEntry& entry, const std::string& ticket) -> Answer
{
    http::client::http_client client(fmt::format("http://{}", formatSocketAddress(entry.address())));
    http::http_request request(http::methods::POST);
    request.set_request_uri("/w/acme/bids/7");
    request.headers().add("Authorization", "Bearer " + entry.bearer("acme"));
    if (!ticket.empty())
        request.headers().add("Once-Ticket", ticket);
    request.set_body("bid");
    auto response = client.request(request).get();
    Answer answer { response.status_code(), {}, {} };
    response.headers().match("Once-Ticket", answer.ticket_);
    answer.body_ = response.extract_utf8string(true).get();
    return answer;
}

// The equal split starts empty, so the first tries may be over the rate.
auto firstTicket(const standin::LocalEntry& entry) -> std::string
{
    auto answer = postBid(entry, "");
    while (answer.status_ == 429)
        answer = postBid(entry, "");
    REQUIRE(answer.status_ == 428);
    return answer.ticket_;
}

auto postAdmitted(const standin::LocalEntry& entry, const std::string& ticket) -> Answer
{
    auto answer = postBid(entry, ticket);
    while (answer.status_ == 429)
        answer = postBid(entry, ticket);
    return answer;
}

}

TEST_CASE("a repeat with the same ticket gets the recorded answer and runs once", "[once]")
{
    const standin::RawUpstream upstream([](int number, const std::string&) {
        return fmt::format("HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nbid {}", number);
    });
    const standin::LocalEntry entry(declarations(upstream.address()));
    const auto ticket = firstTicket(entry);
    CHECK(upstream.requests() == 0);
    const auto first = postAdmitted(entry, ticket);
    CHECK(first.status_ == 201);
    const auto repeat = postAdmitted(entry, ticket);
    CHECK(repeat.status_ == 201);
    CHECK(repeat.body_ == first.body_);
    CHECK(upstream.requests() == 1);
}

TEST_CASE("a lost answer leaves the outcome unknown, and no repeat runs", "[once]")
{
    // Reads the whole request and hangs up.
    const standin::RawUpstream upstream([](int, const std::string&) { return std::string(); });
    const standin::LocalEntry entry(declarations(upstream.address()));
    const auto ticket = firstTicket(entry);
    const auto first = postAdmitted(entry, ticket);
    CHECK(first.status_ == 502);
    CHECK_THAT(first.body_, Catch::Contains("\"executed\":\"unknown\""));
    const auto repeat = postAdmitted(entry, ticket);
    CHECK(repeat.status_ == 409);
    CHECK_THAT(repeat.body_, Catch::Contains("\"executed\":\"unknown\""));
    CHECK(upstream.requests() == 1);
}

TEST_CASE("a ticket whose request was shed may be used again", "[once]")
{
    const standin::RawUpstream upstream([](int number, const std::string&) {
        return number == 0 ? std::string("HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n") : std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
    });
    const standin::LocalEntry entry(declarations(upstream.address()));
    const auto ticket = firstTicket(entry);
    const auto first = postAdmitted(entry, ticket);
    CHECK(first.status_ == 503);
    CHECK_THAT(first.body_, Catch::Contains("\"executed\":\"no\""));
    CHECK(postAdmitted(entry, ticket).status_ == 200);
    CHECK(upstream.requests() == 2);
}
