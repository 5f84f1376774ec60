// Names of the event loop's types, and the options of its sockets.
#pragma once

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace sapphirepass {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using NetError = boost::system::error_code;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// How long a peer may stay silent.
enum class PeerPatience {
    // A server: requests that it does not acknowledge are given up early enough to be tried elsewhere.
    Short,
    // A caller, whose idle connection should outlive a short freeze or cut of its machine, and a server that is being sent a
    // large body and may pause.
    Long,
    // A caller that has not read all of its response. The kernel takes a reader that pauses for a silent peer.
    Reading
};

// Ends a connection whose peer is silent, which the kernel alone would not notice for minutes.
auto detectDeadPeer(Tcp::socket& socket, PeerPatience patience) -> void;
// Keeps at most about so many unsent bytes in the kernel, so that what a peer does not read stays in the process, where it is
// counted.
auto limitUnsent(Tcp::socket& socket, int bytes) -> void;
// Bytes that were written and are not acknowledged by the peer.
auto unacknowledged(Tcp::socket& socket) -> std::size_t;
auto closeQuietly(Tcp::socket& socket) -> void;
// Opens a socket whose connection will leave from this host, at any port. Does nothing if the host is empty.
auto bindSource(Tcp::socket& socket, const std::string& host) -> NetError;

} // namespace sapphirepass
