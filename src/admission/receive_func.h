// First filter: checks the form of a request. Whatever is ambiguous is refused and never forwarded.
#pragma once

#include "base/request_type.h"
#include "base/result.h"

namespace sapphirepass {

// Callers ask for a deadline with this header, in milliseconds from arrival. It is passed on, reduced by the time spent.
inline constexpr std::string_view deadlineHeader = "Request-Deadline-Ms";

auto receiveRequest(const RequestHead& head, std::size_t maxHeaderBytes, MonotonicTime arrival) -> Result<Request, Refusal>;

} // namespace sapphirepass
