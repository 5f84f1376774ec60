// Parses HTTP messages of peers that may be faulty.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <string_view>

namespace sapphirepass {

// Whether a line begins with a blank, which makes it a part of the line before (RFC 9112, 5.2).
inline auto holdsFoldedLine(std::string_view lines) -> bool
{
    return lines.find("\r\n ") != std::string_view::npos || lines.find("\r\n\t") != std::string_view::npos;
}

// Messages with folded lines are invalid: a damaged byte at the start of a line would hide a field, such as the length, in the
// value of the field before.
template <bool isRequest, typename Body = boost::beast::http::string_body>
class MessageParser : public boost::beast::http::parser<isRequest, Body> {
public:
    using Error = boost::system::error_code;

    // Parses what has arrived. An error, or none: then the message is complete or needs more.
    auto parseArrived(boost::beast::flat_buffer& buffer) -> Error
    {
        while (buffer.size() > 0 && !this->is_done()) {
            Error error;
            // The parser is not eager: the bytes used belong to the head, to a part of the body, or to the last chunk and its trailers.
            const bool isHead = !this->is_header_done();
            const auto used = this->put(buffer.data(), error);
            const bool isFolded = (isHead || endsInTrailers()) && holdsFoldedLine({ static_cast<const char*>(buffer.data().data()), used });
            buffer.consume(used);
            if (error && error != boost::beast::http::error::need_more)
                return error;
            if (isFolded)
                return boost::beast::http::error::bad_obs_fold;
            if (error || used == 0)
                break;
        }
        return {};
    }

private:
    auto endsInTrailers() const -> bool { return this->is_done() && this->chunked(); }
};

} // namespace sapphirepass
