// Tests the pure filters of the request pipeline.
#include "admission/admitter.h"
#include "admission/authenticate_func.h"
#include "admission/receive_func.h"
#include "config/command_func.h"
#include "config/key_func.h"
#include "forward/sanitize_func.h"
#include "language/command_parser.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t headerLimit = 1024;

auto receive(const RequestHead& head) -> Result<Request, Refusal>
{
    return receiveRequest(head, headerLimit, MonotonicTime {});
}

struct Deployment {
    Deployment()
    {
        const auto batch = valueOf(parseBatch("declare workspace acme rate 10 burst 5; declare workspace bolt rate 10 burst 5;"
                                              "declare route quotes path /quotes service core; declare route deep path /quotes/deep service deep repeat once;"
                                              "declare route status path /status service core access open"));
        snapshot_ = valueOf(applyBatch(snapshot_, batch)).with(issued_.key_);
    }

    auto authenticateAs(const std::string& workspace, const std::string& path, const std::string& bearer) const -> Result<Grant, Refusal>
    {
        Request request;
        request.method_ = "GET";
        request.workspace_ = workspace;
        request.path_ = path;
        request.bearer_ = bearer;
        return authenticate(snapshot_, request);
    }

    IssuedKey issued_ = issueKey("k", "acme");
    Snapshot snapshot_;
};

}

TEST_CASE("ambiguous and malformed requests are refused", "[receive]")
{
    const auto [head, kind] = GENERATE(table<RequestHead, RefusalKind>({
        { { "POST", "/w/a/x", "", { { "Content-Length", "5" }, { "Transfer-Encoding", "chunked" } } }, RefusalKind::BadRequest },
        { { "POST", "/w/a/x", "", { { "Content-Length", "5, 6" } } }, RefusalKind::BadRequest },
        { { "POST", "/w/a/x", "", { { "Content-Length", "-5" } } }, RefusalKind::BadRequest },
        { { "POST", "/w/a/x", "", {} }, RefusalKind::LengthRequired },
        { { "GET", "/w/a/../x", "", {} }, RefusalKind::BadRequest },
        { { "GET", "/w/a/%2E%2e/x", "", {} }, RefusalKind::BadRequest },
        { { "GET", "/w/a//x", "", {} }, RefusalKind::BadRequest },
        { { "GET", "/w/a", "", {} }, RefusalKind::BadRequest },
        { { "GET", "/w/a/x", "", { { "Authorization", "Bearer a.b, Bearer c.d" } } }, RefusalKind::BadRequest },
        { { "GET", "/w/a/x", "", { { "Request-Deadline-Ms", "soon" } } }, RefusalKind::BadRequest },
        { { "GET", "/w/a/x", "", { { "X-Long", std::string(headerLimit, 'x') } } }, RefusalKind::HeadersTooLarge },
    }));
    CAPTURE(head.path_, head.headers_.size());
    const auto received = receive(head);
    REQUIRE_FALSE(isOk(received));
    CHECK(errorOf(received).kind_ == kind);
    CHECK(errorOf(received).executed_ == Executed::No);
}

TEST_CASE("a request is accepted only for the workspace of its key", "[authenticate]")
{
    const Deployment deployment;
    const auto& bearer = deployment.issued_.bearer_;
    CHECK(isOk(deployment.authenticateAs("acme", "/quotes/1", bearer)));
    CHECK(errorOf(deployment.authenticateAs("bolt", "/quotes/1", bearer)).kind_ == RefusalKind::Forbidden);
    CHECK(errorOf(deployment.authenticateAs("acme", "/quotes/1", "")).kind_ == RefusalKind::Unauthorized);
    CHECK(errorOf(deployment.authenticateAs("acme", "/quotes/1", "k." + std::string(48, '0'))).kind_ == RefusalKind::Unauthorized);
    CHECK(errorOf(deployment.authenticateAs("acme", "/quotesx", bearer)).kind_ == RefusalKind::NotFound);
    CHECK(isOk(deployment.authenticateAs("acme", "/status", "")));
    CHECK(valueOf(deployment.authenticateAs("acme", "/quotes/deep/1", bearer)).repeatability_ == Repeatability::Once);
}

TEST_CASE("withdrawing a key invalidates the grants issued for it", "[authenticate]")
{
    const Deployment deployment;
    const auto grant = valueOf(deployment.authenticateAs("acme", "/quotes/1", deployment.issued_.bearer_));
    CHECK(isKeyStillValid(deployment.snapshot_, grant));
    const auto withdrawn = valueOf(applyBatch(deployment.snapshot_, valueOf(parseBatch("withdraw key k"))));
    CHECK_FALSE(isKeyStillValid(withdrawn, grant));
}

TEST_CASE("keys are removed from forwarded headers and queries", "[forward]")
{
    const auto bearer = issueKey("k", "acme").bearer_;
    const auto encoded = std::string("k%2E") + bearer.substr(2);
    const auto twice = std::string("%25") + "36" + bearer.substr(3);
    const std::vector<Header> headers { { "authorization", "Bearer " + bearer }, { "X-Debug", bearer }, { "Referer", "/?key=" + encoded }, { "Connection", "X-Hop" }, { "X-Hop", "1" }, { "Accept", "*/*" } };
    CHECK(sanitizeRequestHeaders(headers) == std::vector<Header> { { "Accept", "*/*" } });
    CHECK(sanitizeQuery("a=1&key=" + bearer + "&k2=" + encoded + "&b=2") == "a=1&b=2");
    CHECK(containsKey(twice + bearer));
}

TEST_CASE("a key is found in any surrounding text", "[forward]")
{
    rc::prop("key is found", [](const std::string& before, const std::string& after) {
        const auto bearer = issueKey("k", "acme").bearer_;
        RC_ASSERT(containsKey(before + bearer + after));
        RC_ASSERT(sanitizeRequestHeaders({ { "X-Any", before + bearer + after } }).empty());
    });
}

TEST_CASE("an equal split among instances never admits more than the burst plus the rate", "[admission]")
{
    rc::prop("rate bound", [](const std::vector<std::uint8_t>& steps) {
        constexpr std::int64_t instances = 3;
        const Workspace workspace { "acme", 30, 9 };
        ManualClock clock;
        std::vector<std::unique_ptr<EqualSplitAdmitter>> fleet;
        for (std::int64_t i = 0; i < instances; ++i)
            fleet.push_back(std::make_unique<EqualSplitAdmitter>(clock, instances));
        const auto start = clock.now();
        std::int64_t admitted = 0;
        for (const auto step : steps) {
            clock.advance(std::chrono::milliseconds(step));
            for (const auto& instance : fleet)
                admitted += isOk(instance->admit(workspace)) ? 1 : 0;
        }
        const double elapsed = std::chrono::duration<double>(clock.now() - start).count();
        RC_ASSERT(static_cast<double>(admitted) <= static_cast<double>(workspace.burst_) + static_cast<double>(workspace.rate_) * elapsed);
    });
}
