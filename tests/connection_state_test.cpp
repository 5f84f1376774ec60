// Tests of how long idle connections are used, and of the bytes that routes transfer.
#include "gateway/placement/route_bytes.h"
#include "gateway/upstreams/connection_state.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;

TEST_CASE("an idle connection is not used in the last second before its stated end", "[connections]")
{
    // Guards against requests that cross the upstream's close.
    CHECK(reusableTime(10s, ConnectionReuse::Cautious) == 5s);
    CHECK(reusableTime(10s, ConnectionReuse::Long) == 9s);
    CHECK(reusableTime(2s, ConnectionReuse::Long) == 1s);
    CHECK(reusableTime(1s, ConnectionReuse::Long) == 500ms);
    CHECK(reusableTime(0s, ConnectionReuse::Long) == 0s);
    CHECK(reusableTime(std::nullopt, ConnectionReuse::Long) == 2s);
    CHECK(reusableTime(std::nullopt, ConnectionReuse::Cautious) == 2s);
}

TEST_CASE("the bytes of a route are learned from its requests, and are none before", "[connections]")
{
    RouteBytes bytes;
    CHECK(bytes.expected("films") == 0);
    bytes.record("films", 90'000);
    CHECK(bytes.expected("films") == 90'000);
    for (int i = 0; i < 200; ++i)
        bytes.record("films", 30'000);
    CHECK(bytes.expected("films") == Approx(30'000).epsilon(0.01));
    CHECK(bytes.expected("tides") == 0);
}
