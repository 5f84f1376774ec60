// First filter of the request pipeline: validates the form of a request. Ambiguous requests are refused, never forwarded.
#pragma once

#include "base/request_type.h"
#include "base/result.h"

namespace sapphirepass {

// Header in which callers request a deadline, in milliseconds from arrival. Forwarded with the remaining time.
inline constexpr std::string_view deadlineHeader = "Request-Deadline-Ms";

auto receiveRequest(const RequestHead& head, std::size_t maxHeaderBytes, MonotonicTime arrival) -> Result<Request, Refusal>;

} // namespace sapphirepass
