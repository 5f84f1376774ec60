// How a connection has ended.
#pragma once

#include <boost/asio/error.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sapphirepass {

// Whether all that the peer sent has arrived, from the errors of the read that met the end and of the write before it, if one failed.
// The kernel reports a reset once: if the write takes it, the read meets an end of file. A write whose peer ends its sending and
// resets the connection afterwards fails with a broken pipe instead.
inline auto isOrderlyEnd(const boost::system::error_code& read, const boost::system::error_code& write) -> bool
{
    return read == boost::asio::error::eof && (!write || write == boost::asio::error::broken_pipe);
}

// Whether the peer has shut down its sending side in order and the connection is still open for writing.
inline auto isHalfClosed(int socket) -> bool
{
    tcp_info info {};
    socklen_t size = sizeof info;
    return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && info.tcpi_state == TCP_CLOSE_WAIT;
}

} // namespace sapphirepass
