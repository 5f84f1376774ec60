#include "operator/in_force_http.h"

#include <cpprest/http_client.h>
#include <fmt/format.h>
#include <iostream>
#include <thread>

namespace sapphirepass {

namespace {
    namespace http = web::http;
    using web::json::value;

    constexpr std::chrono::milliseconds askPause { 100 };
}

auto printInForce(const SocketAddress& entry, const value& answer, std::chrono::milliseconds longest, std::ostream& out) -> void
{
    const auto withdrawal = answer.has_string_field("withdrawal") ? answer.at("withdrawal").as_string() : "0";
    const auto path = fmt::format("/v1/in_force?revision={}&withdrawal={}", answer.at("revision").as_number().to_int64(), withdrawal);
    http::client::http_client client(fmt::format("http://{}", formatSocketAddress(entry)));
    const auto end = std::chrono::steady_clock::now() + longest;
    value count;
    while (true) {
        auto response = client.request(http::methods::GET, path).get();
        if (response.status_code() != http::status_codes::OK)
            return;
        count = response.extract_json(true).get();
        const bool whole = count.at("confirmed").as_integer() >= count.at("total").as_integer();
        if (whole || std::chrono::steady_clock::now() >= end)
            break;
        std::this_thread::sleep_for(askPause);
    }
    const auto* listed = count.at("listed").as_bool() ? "" : " known; the platform does not list this instance yet, so there may be more";
    out << fmt::format("in force on {} of {}{}\n", count.at("confirmed").as_integer(), count.at("total").as_integer(), listed);
    for (const auto& name : count.at("missing").as_array())
        out << fmt::format("not confirmed by {}\n", name.as_string());
}

} // namespace sapphirepass
