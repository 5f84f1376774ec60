// The story of a request from the logs of several gateways.
#include "operator/explain.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace sapphirepass;

namespace {

const std::string logs = R"(front-1 {"time":"10:00:00","level":"info","event":220,"name":"declaration-in-force","instance":"e1","version":3,"before":0}
{"time":"10:00:01","level":"info","event":220,"name":"declaration-in-force","instance":"e1","version":4,"before":3}
{"time":"10:00:01","level":"info","event":220,"name":"declaration-in-force","instance":"e2","version":4,"before":3}
{"time":"10:00:02","level":"info","event":223,"name":"upstreams-changed","instance":"e1","upstream":"i-1","draining":false}
{"time":"10:00:02","level":"info","event":223,"name":"upstreams-changed","instance":"e1","upstream":"i-2","draining":false}
not a log line {
{"time":"10:00:05","level":"warning","event":620,"name":"attempt-lost","instance":"e1","request":"t1","upstream":"i-1","sent":true,"reason":"closed"}
{"time":"10:00:05","level":"warning","event":631,"name":"request-ended","instance":"e1","request":"t1","status":502,"reason":"upstream-lost"}
{"time":"10:00:05","level":"warning","event":631,"name":"request-ended","instance":"e1","request":"t2","status":401,"reason":"key-unknown"}
{"time":"10:00:09","level":"info","event":220,"name":"declaration-in-force","instance":"e1","version":5,"before":4}
)";

}

TEST_CASE("a request is explained by its lines and what its instance believed then", "[explain]")
{
    std::istringstream in(logs);
    const auto story = explainRequest(in, "t1");
    REQUIRE(story.size() == 4);
    CHECK(renderLogLine(story[0]) == "10:00:01 e1 declaration-in-force version=4 before=3");
    CHECK(renderLogLine(story[1]) == "10:00:02 e1 upstreams-changed upstream=i-1 draining=false");
    CHECK(renderLogLine(story[2]) == "10:00:05 e1 attempt-lost request=t1 upstream=i-1 sent=true reason=closed");
    CHECK(renderLogLine(story[3]) == "10:00:05 e1 request-ended request=t1 status=502 reason=upstream-lost");
}

TEST_CASE("a request that the logs do not have is explained by nothing", "[explain]")
{
    std::istringstream in(logs);
    CHECK(explainRequest(in, "t9").empty());
}
