// What operators' clients ask of the fleet over HTTP: where something is in force, and withdrawals without the store.
#pragma once

#include "fleet/fleet_node.h"
#include "store/command_service.h"

#include <cpprest/http_msg.h>

namespace sapphirepass {

// GET /v1/in_force?revision=N&withdrawal=HASH: confirmed, total and the names of those that have not confirmed.
auto answerInForce(FleetNode& fleet, const web::http::http_request& message) -> void;
// Enforces a batch that only withdraws declared keys, although the log could not take it; nothing for other batches.
auto withdrawWithoutStore(FleetNode& fleet, const Snapshot& snapshot, const CommandRequest& request) -> std::optional<web::json::value>;

} // namespace sapphirepass
