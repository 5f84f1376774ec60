// Parses HTTP messages of peers that may be faulty.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace sapphirepass {

template <bool isRequest, typename Body = boost::beast::http::string_body>
class MessageParser : public boost::beast::http::parser<isRequest, Body> {
public:
    using Error = boost::system::error_code;

    // Parses what has arrived. An error, or none: then the message is complete or needs more.
    auto parseArrived(boost::beast::flat_buffer& buffer) -> Error
    {
        while (buffer.size() > 0 && !this->is_done()) {
            Error error;
            // The parser is not eager: an eager one goes on with the body after an error at the end of the head, which is lost.
            const auto used = this->put(buffer.data(), error);
            buffer.consume(used);
            if (error && error != boost::beast::http::error::need_more)
                return error;
            if (error || used == 0)
                break;
        }
        return {};
    }
};

} // namespace sapphirepass
