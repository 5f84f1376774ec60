#include "entry/http_fleet_api.h"

#include "language/command_parser.h"

#include <charconv>
#include <cpprest/json.h>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    namespace http = web::http;
    using web::json::value;

    template <typename Number>
    auto numberOf(const std::map<std::string, std::string>& query, const std::string& name) -> Number
    {
        Number number = 0;
        const auto found = query.find(name);
        if (found != query.end())
            std::from_chars(found->second.data(), found->second.data() + found->second.size(), number);
        return number;
    }
}

auto answerInForce(FleetNode& fleet, const http::http_request& message) -> void
{
    const auto query = web::uri::split_query(message.request_uri().query());
    const InForceAsk ask { numberOf<Revision>(query, "revision"), numberOf<std::uint64_t>(query, "withdrawal") };
    const auto count = fleet.inForce(ask);
    auto missing = value::array();
    for (const auto& name : count.missing_)
        missing[missing.size()] = value::string(name);
    auto body = value::object();
    body["confirmed"] = value::number(static_cast<std::int64_t>(count.confirmed_));
    body["total"] = value::number(static_cast<std::int64_t>(count.total_));
    body["listed"] = value::boolean(count.listed_);
    body["missing"] = missing;
    message.reply(http::status_codes::OK, body);
}

auto withdrawWithoutStore(FleetNode& fleet, const Snapshot& snapshot, const CommandRequest& request) -> std::optional<value>
{
    const auto batch = parseBatch(request.text_);
    if (!isOk(batch) || request.mode_ != CommandMode::Real)
        return std::nullopt;
    std::vector<Withdrawal> withdrawals;
    for (const auto& command : valueOf(batch)) {
        const auto* withdraw = std::get_if<WithdrawKeyCommand>(&command);
        if (withdraw == nullptr || snapshot.find<Key>(withdraw->name_) == nullptr)
            return std::nullopt;
        // Each becomes a command of its own once the store answers; a batch of one keeps its id.
        auto id = valueOf(batch).size() == 1 ? request.id_ : fmt::format("{}-{}", request.id_, withdrawals.size() + 1);
        withdrawals.push_back({ withdraw->name_, std::move(id), request.who_, request.from_ });
    }
    const auto hash = fleet.withdraw(withdrawals);
    auto body = value::object();
    body["accepted"] = value::boolean(false);
    body["enforced"] = value::boolean(true);
    body["revision"] = value::number(snapshot.revision());
    body["withdrawal"] = value::string(fmt::format("{}", hash));
    body["id"] = value::string(request.id_);
    body["keys"] = value::array();
    return body;
}

} // namespace sapphirepass
