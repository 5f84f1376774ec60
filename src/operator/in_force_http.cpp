#include "operator/in_force_http.h"

#include "operator/in_force_wait.h"

#include <cpprest/http_client.h>
#include <fmt/format.h>
#include <iostream>

namespace sapphirepass {

namespace {
    namespace http = web::http;
    using web::json::value;

    class HttpQuestion final : public InForceQuestion {
    public:
        HttpQuestion(const SocketAddress& entry, std::string path)
            : client_(fmt::format("http://{}", formatSocketAddress(entry)))
            , path_(std::move(path))
        {
        }

        auto ask() -> std::optional<InForceCount> override
        {
            auto response = client_.request(http::methods::GET, path_).get();
            if (response.status_code() != http::status_codes::OK)
                return std::nullopt;
            const auto body = response.extract_json(true).get();
            InForceCount count { body.at("confirmed").as_integer(), body.at("total").as_integer(), body.at("listed").as_bool(), {} };
            for (const auto& name : body.at("missing").as_array())
                count.missing_.push_back(name.as_string());
            return count;
        }

    private:
        http::client::http_client client_;
        std::string path_;
    };
}

auto printInForce(const SocketAddress& entry, const value& answer, std::chrono::milliseconds longest, std::ostream& out) -> void
{
    const auto withdrawal = answer.has_string_field("withdrawal") ? answer.at("withdrawal").as_string() : "0";
    HttpQuestion question(entry, fmt::format("/v1/in_force?revision={}&withdrawal={}", answer.at("revision").as_number().to_int64(), withdrawal));
    const SystemClock clock;
    SystemSleeper sleeper;
    const auto count = waitInForce(question, clock, sleeper, longest);
    if (!count)
        return;
    const auto* listed = count->isListed_ ? "" : " known; the platform does not list this instance yet, so there may be more";
    out << fmt::format("in force on {} of {}{}\n", count->confirmed_, count->total_, listed);
    for (const auto& name : count->missing_)
        out << fmt::format("not confirmed by {}\n", name);
}

} // namespace sapphirepass
