// Status codes of HTTP responses.
#pragma once

namespace sapphirepass {

// Whether HTTP has such a status code (RFC 9110, 15). Parsers take any three digits.
constexpr auto isHttpStatus(unsigned status) -> bool { return status >= 100 && status <= 599; }

} // namespace sapphirepass
