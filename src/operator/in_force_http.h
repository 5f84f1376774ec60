// The client's wait until a change is in force everywhere.
#pragma once

#include "base/socket_address.h"

#include <chrono>
#include <cpprest/json.h>
#include <iosfwd>

namespace sapphirepass {

// Prints "in force on X of Y" once all instances have confirmed or the time is over, then names those that
// have not. The answer is that of an accepted command or of a withdrawal that is not durable yet.
auto printInForce(const SocketAddress& entry, const web::json::value& answer, std::chrono::milliseconds longest, std::ostream& out) -> void;

} // namespace sapphirepass
