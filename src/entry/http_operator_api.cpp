#include "entry/http_operator_api.h"

#include "base/random.h"
#include "base/texts.h"
#include "config/kind_func.h"
#include "entry/http_fleet_api.h"
#include "language/reference_rows.h"

#include <cpprest/json.h>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    namespace http = web::http;
    using web::json::value;

    // Commands come from this machine; operators elsewhere reach it through their own tunnel.
    constexpr std::string_view operatorPrefix = "127.";

    auto errorAnswer(http::status_code status, const std::string& message) -> http::http_response
    {
        http::http_response response(status);
        auto body = value::object();
        body["error"] = value::string(message);
        response.set_body(body);
        return response;
    }

    auto statusOf(CommandErrorKind kind) -> http::status_code
    {
        switch (kind) {
        case CommandErrorKind::BadCommand:
            return http::status_codes::BadRequest;
        case CommandErrorKind::Refused:
        case CommandErrorKind::RevisionMismatch:
            return http::status_codes::Conflict;
        case CommandErrorKind::NotAccepted:
            return http::status_codes::ServiceUnavailable;
        case CommandErrorKind::OutcomeUnknown:
            return http::status_codes::GatewayTimeout;
        }
        return http::status_codes::InternalError;
    }

    auto okAnswer(const value& body) -> http::http_response
    {
        http::http_response response(http::status_codes::OK);
        response.set_body(body);
        return response;
    }

    auto isStoreFailure(const CommandError& error) -> bool
    {
        return error.kind_ == CommandErrorKind::NotAccepted || error.kind_ == CommandErrorKind::OutcomeUnknown;
    }

    auto toJson(const Rows& rows) -> value
    {
        auto columns = value::array();
        for (const auto& column : rows.columns_)
            columns[columns.size()] = value::string(column);
        auto lines = value::array();
        for (const auto& row : rows.rows_) {
            auto line = value::array();
            for (const auto& cell : row)
                line[line.size()] = value::string(cell);
            lines[lines.size()] = line;
        }
        auto body = value::object();
        body["columns"] = columns;
        body["rows"] = lines;
        return body;
    }

    auto textField(const value& body, const std::string& name) -> std::string
    {
        return body.has_string_field(name) ? body.at(name).as_string() : std::string();
    }

    auto readRequest(const value& body, const std::string& from) -> CommandRequest
    {
        CommandRequest request { textField(body, "text"), textField(body, "id"), textField(body, "who"), from, CommandMode::Real, std::nullopt };
        if (request.id_.empty())
            request.id_ = randomHex(16);
        if (body.has_boolean_field("test_run") && body.at("test_run").as_bool())
            request.mode_ = CommandMode::TestRun;
        if (body.has_integer_field("only_at"))
            request.onlyAt_ = body.at("only_at").as_number().to_int64();
        return request;
    }

    auto singleQuery(const std::vector<Statement>& statements) -> const QueryStatement*
    {
        return statements.size() == 1 ? std::get_if<QueryStatement>(&statements.front()) : nullptr;
    }
}

HttpOperatorApi::HttpOperatorApi(CommandService& commands, const ConfigState& config)
    : commands_(commands)
    , config_(config)
{
}

auto HttpOperatorApi::addSource(std::unique_ptr<RowSource> source) -> void
{
    sources_.push_back(std::move(source));
}

auto HttpOperatorApi::handle(const http::http_request& message) -> void
{
    const auto& from = message.remote_address();
    if (!from.starts_with(operatorPrefix)) {
        message.reply(errorAnswer(http::status_codes::Forbidden, "operators' calls are taken from this machine only"));
        return;
    }
    message.extract_json(true).then([this, message, from](const pplx::task<value>& task) {
        try {
            message.reply(operate(task.get(), from));
        } catch (const web::json::json_exception& error) {
            message.reply(errorAnswer(http::status_codes::BadRequest, error.what()));
        } catch (const http::http_exception& error) {
            message.reply(errorAnswer(http::status_codes::BadRequest, error.what()));
        }
    });
}

auto HttpOperatorApi::operate(const value& body, const std::string& from) -> http::http_response
{
    const auto request = readRequest(body, from);
    const auto statements = parseStatements(request.text_);
    if (!isOk(statements))
        return errorAnswer(http::status_codes::BadRequest, renderError(errorOf(statements), request.text_));
    if (const auto* query = singleQuery(valueOf(statements)))
        return runQueryText(*query, request.text_);
    return runCommand(request);
}

auto HttpOperatorApi::runCommand(const CommandRequest& request) -> http::http_response
{
    const auto result = commands_.submit(request);
    if (!isOk(result) && fleet_ != nullptr && isStoreFailure(errorOf(result))) {
        if (const auto enforced = withdrawWithoutStore(*fleet_, *config_.snapshot(), request))
            return okAnswer(*enforced);
    }
    if (!isOk(result))
        return errorAnswer(statusOf(errorOf(result).kind_), errorOf(result).message_);
    auto body = value::object();
    body["accepted"] = value::boolean(request.mode_ == CommandMode::Real);
    body["revision"] = value::number(valueOf(result).revision_);
    body["id"] = value::string(request.id_);
    auto keys = value::array();
    for (const auto& bearer : valueOf(result).bearers_)
        keys[keys.size()] = value::string(bearer);
    body["keys"] = keys;
    http::http_response response(http::status_codes::OK);
    response.set_body(body);
    return response;
}

auto HttpOperatorApi::findRows(const QueryStatement& query) const -> std::optional<Result<Rows, std::string>>
{
    const auto& subject = query.subject_.text_;
    for (const auto& source : sources_) {
        if (source->subject() == subject)
            return source->rowsFor(query);
    }
    if (auto rows = declaredRows(*config_.snapshot(), subject))
        return *rows;
    if (auto rows = referenceRows(subject))
        return *rows;
    return std::nullopt;
}

auto HttpOperatorApi::runQueryText(const QueryStatement& query, const std::string& text) -> http::http_response
{
    const auto rows = findRows(query);
    if (!rows) {
        auto subjects = kindNames() + ", kinds, fields";
        for (const auto& source : sources_)
            subjects += ", " + source->subject();
        return errorAnswer(http::status_codes::BadRequest, renderError({ query.subject_.location_, fmt::format(texts::subjectUnknown, query.subject_.text_, subjects) }, text));
    }
    if (!isOk(*rows))
        return errorAnswer(http::status_codes::ServiceUnavailable, errorOf(*rows));
    const auto result = runQuery(valueOf(*rows), query);
    if (!isOk(result))
        return errorAnswer(http::status_codes::BadRequest, renderError(errorOf(result), text));
    http::http_response response(http::status_codes::OK);
    response.set_body(toJson(valueOf(result)));
    return response;
}

} // namespace sapphirepass
