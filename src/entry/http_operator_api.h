// Operators' commands and queries over HTTP: POST /v1/operate.
#pragma once

#include "fleet/fleet_node.h"
#include "language/query.h"
#include "store/command_service.h"

#include <cpprest/http_msg.h>
#include <memory>
#include <vector>

namespace sapphirepass {

class HttpOperatorApi {
public:
    HttpOperatorApi(CommandService& commands, const ConfigState& config);

    // Makes one more subject known to show.
    auto addSource(std::unique_ptr<RowSource> source) -> void;
    // To be called before the first call; withdrawals then work without the store.
    auto setFleet(FleetNode* fleet) -> void { fleet_ = fleet; }
    auto handle(const web::http::http_request& message) -> void;

private:
    auto operate(const web::json::value& body, const std::string& from) -> web::http::http_response;
    auto runCommand(const CommandRequest& request) -> web::http::http_response;
    auto runQueryText(const QueryStatement& query, const std::string& text) -> web::http::http_response;
    auto findRows(const QueryStatement& query) const -> std::optional<Result<Rows, std::string>>;

    CommandService& commands_;
    const ConfigState& config_;
    std::vector<std::unique_ptr<RowSource>> sources_;
    FleetNode* fleet_ = nullptr;
};

} // namespace sapphirepass
