#include "gateway/requests/problem_response.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace sapphirepass {

namespace http = boost::beast::http;

auto problemResponse(unsigned status, std::string_view title, Executed executed, std::optional<Duration> retryAfter) -> UpstreamResponse
{
    UpstreamResponse response;
    response.result(status);
    response.set(http::field::content_type, "application/problem+json");
    if (retryAfter)
        response.set(http::field::retry_after, fmt::format("{:.2f}", inSeconds(*retryAfter)));
    const nlohmann::ordered_json problem { { "title", title }, { "status", status }, { "executed", executed == Executed::No ? "no" : "unknown" } };
    response.body() = problem.dump();
    return response;
}

} // namespace sapphirepass
