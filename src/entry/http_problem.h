// Refusals as HTTP answers (RFC 9457 problem details).
#pragma once

#include "base/request_type.h"

#include <cpprest/http_msg.h>

namespace sapphirepass {

auto makeProblem(const Refusal& refusal) -> web::http::http_response;

} // namespace sapphirepass
