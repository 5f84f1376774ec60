// Runs the gateway until it is told to stop.
#pragma once

#include "loop/gateway.h"

#include <functional>
#include <string>

namespace sapphirepass {

using AdapterFactory = std::function<GatewayAdapter(asio::io_context& loop, const GatewaySettings& settings)>;

// SIGTERM and SIGINT stop it in order, SIGHUP makes it read its settings again. Returns the exit code.
auto runGateway(const std::string& settingsPath, const GatewaySettings& settings, const AdapterFactory& adapter) -> int;

} // namespace sapphirepass
