#include "operator/run_ctl.h"

#include "base/random.h"
#include "base/texts.h"
#include "language/query.h"
#include "operator/in_force_http.h"

#include <cpprest/http_client.h>
#include <fmt/format.h>
#include <iostream>

namespace sapphirepass {

namespace {
    namespace http = web::http;
    using web::json::value;

    constexpr std::size_t commandIdBytes = 16;
    constexpr std::chrono::seconds callTimeout { 30 };

    struct CtlAnswer {
        http::status_code status_ = 0;
        value body_;
    };

    auto makeBody(const CtlOptions& options, const std::string& text, const std::string& id) -> value
    {
        auto body = value::object();
        body["text"] = value::string(text);
        body["id"] = value::string(id);
        body["who"] = value::string(options.who_);
        body["test_run"] = value::boolean(options.testRun_);
        if (options.onlyAt_)
            body["only_at"] = value::number(*options.onlyAt_);
        return body;
    }

    auto post(const CtlOptions& options, const value& body) -> CtlAnswer
    {
        http::client::http_client_config config;
        config.set_timeout(callTimeout);
        http::client::http_client client(fmt::format("http://{}", formatSocketAddress(options.entry_)), config);
        auto response = client.request(http::methods::POST, "/v1/operate", body).get();
        return { response.status_code(), response.extract_json(true).get() };
    }

    auto toRows(const value& body) -> Rows
    {
        Rows rows;
        for (const auto& column : body.at("columns").as_array())
            rows.columns_.push_back(column.as_string());
        for (const auto& line : body.at("rows").as_array()) {
            std::vector<std::string> row;
            for (const auto& cell : line.as_array())
                row.push_back(cell.as_string());
            rows.rows_.push_back(std::move(row));
        }
        return rows;
    }

    auto isNotDurable(const value& body) -> bool { return body.has_boolean_field("enforced"); }

    auto printAnswer(const CtlOptions& options, const value& body, std::ostream& out) -> void
    {
        if (options.output_ == CtlOutput::Json) {
            out << body.serialize() << "\n";
            return;
        }
        if (body.has_field("rows")) {
            out << renderTable(toRows(body));
            return;
        }
        if (isNotDurable(body)) {
            out << texts::enforcedNotDurable << "\n";
            printInForce(options.entry_, body, options.wait_, out);
            return;
        }
        const bool accepted = body.at("accepted").as_bool();
        out << fmt::format("{} revision={}\n", accepted ? "accepted" : "test run passed", body.at("revision").as_number().to_int64());
        for (const auto& key : body.at("keys").as_array())
            out << fmt::format("key {}\n", key.as_string());
        if (accepted)
            printInForce(options.entry_, body, options.wait_, out);
    }

    auto exitFor(http::status_code status) -> CtlExit
    {
        switch (status) {
        case http::status_codes::OK:
            return CtlExit::Done;
        case http::status_codes::BadRequest:
            return CtlExit::Usage;
        case http::status_codes::Conflict:
        case http::status_codes::Forbidden:
            return CtlExit::Refused;
        case http::status_codes::GatewayTimeout:
            return CtlExit::Unknown;
        default:
            return CtlExit::Unavailable;
        }
    }
}

auto runCtlText(const CtlOptions& options, const std::string& text, std::ostream& out, std::ostream& err) -> CtlExit
{
    const auto id = options.id_.empty() ? randomHex(commandIdBytes) : options.id_;
    try {
        const auto answer = post(options, makeBody(options, text, id));
        const auto exit = exitFor(answer.status_);
        if (exit == CtlExit::Done)
            printAnswer(options, answer.body_, out);
        else
            err << "error: " << answer.body_.at("error").as_string() << "\n";
        return exit == CtlExit::Done && isNotDurable(answer.body_) ? CtlExit::NotDurable : exit;
    } catch (const http::http_exception& error) {
        const bool refused = error.error_code() == std::errc::connection_refused;
        err << fmt::format("error: no answer from {}: {} (command id {})\n", formatSocketAddress(options.entry_), error.what(), id);
        return refused ? CtlExit::Unavailable : CtlExit::Unknown;
    } catch (const web::json::json_exception& error) {
        err << fmt::format("error: {} does not answer as an entry: {}\n", formatSocketAddress(options.entry_), error.what());
        return CtlExit::Unavailable;
    }
}

auto runCtlBatch(const CtlOptions& options, std::istream& in, std::ostream& out, std::ostream& err) -> CtlExit
{
    const std::string text(std::istreambuf_iterator<char>(in), {});
    return runCtlText(options, text, out, err);
}

auto runCtlLines(const CtlOptions& options, std::istream& in, std::ostream& out, std::ostream& err) -> CtlExit
{
    std::string line;
    while (std::getline(in, line)) {
        const auto start = line.find_first_not_of(" \t\r");
        if (start == std::string::npos || line[start] == '#')
            continue;
        const auto exit = runCtlText(options, line, out, err);
        if (exit != CtlExit::Done)
            return exit;
    }
    return CtlExit::Done;
}

} // namespace sapphirepass
