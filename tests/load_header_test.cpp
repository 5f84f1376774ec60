// Tests of the load that upstreams report in a response header.
#include "gateway/declaration/declaration_type.h"
#include "gateway/requests/forwarding.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;

namespace {

auto load(const std::string& text) -> LoadHeader
{
    HeaderNames names;
    names.load_ = "Load";
    UpstreamResponse response;
    if (!text.empty())
        response.set("Load", text);
    return readLoad(response, names);
}

}

// A header with four figures was dropped whole, so that no load was known of upstreams that report their speed.
TEST_CASE("a load header has three figures or four", "[forwarding]")
{
    CHECK(load("3,0,8") == LoadHeader { ReportedLoad { 3, 0, 8, std::nullopt }, {} });
    CHECK(load("3,0,8,100") == LoadHeader { ReportedLoad { 3, 0, 8, 1.0 }, {} });
    CHECK(load(" 6, 2 ,6, 250 ") == LoadHeader { ReportedLoad { 6, 2, 6, 2.5 }, {} });
    CHECK(load("") == LoadHeader {});
}

// A figure such as NaN would make every comparison of estimates false.
TEST_CASE("figures of a load header that are not valid decide nothing and are reported", "[forwarding]")
{
    const auto* const bad = GENERATE("nan", "-5", "1e300", "fast", "0", "10001", "99999999999999999999", "");
    const auto slowdown = load(std::string("3,0,8,") + bad);
    CHECK(slowdown.load_ == ReportedLoad { 3, 0, 8, std::nullopt });
    CHECK_FALSE(slowdown.invalid_.empty());
    const auto* const badCount = GENERATE("nan", "-5", "1e300", "many", "1000001", "");
    const auto count = load(std::string("3,") + badCount + ",8,100");
    CHECK_FALSE(count.load_);
    CHECK_FALSE(count.invalid_.empty());
    CHECK_FALSE(load("3,0").load_);
    CHECK_FALSE(load("1,2,3,4,5").load_);
    CHECK(load(std::string(1'000, 'x')).invalid_.size() <= 64);
}

// Priorities were decoded and read by nothing.
TEST_CASE("the priority of a workspace goes before that of the route", "[declaration]")
{
    DeclaredRoute route;
    route.priority_ = 2;
    DeclaredWorkspace workspace;
    CHECK(effectivePriority(route, nullptr) == 2);
    CHECK(effectivePriority(route, &workspace) == 2);
    workspace.priority_ = 0;
    CHECK(effectivePriority(route, &workspace) == 0);
}
