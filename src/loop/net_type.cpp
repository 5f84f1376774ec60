#include "loop/net_type.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace sapphirepass {

namespace {
    // A connection without traffic is probed after a second and then every second.
    constexpr int keepAliveIdleS = 1;
    constexpr int keepAliveIntervalS = 1;

    struct SilenceLimits {
        // Written data that is not acknowledged for so long ends the connection. The kernel applies it to keep-alive probes
        // too, whatever their number, so the two must not contradict each other.
        int userTimeoutMs_ = 0;
        int keepAliveProbes_ = 0;
    };

    constexpr SilenceLimits shortLimits { 1'500, 1 };
    constexpr SilenceLimits longLimits { 3'000, 2 };
    // Longer than the write limit of callers' connections, which decides.
    constexpr SilenceLimits readingLimits { 35'000, 2 };

    auto limitsOf(PeerPatience patience) -> const SilenceLimits&
    {
        if (patience == PeerPatience::Short)
            return shortLimits;
        return patience == PeerPatience::Long ? longLimits : readingLimits;
    }

    auto setOption(int socket, int level, int name, int value) -> void
    {
        // A kernel that lacks the option leaves the connection to the time limits of its calls.
        static_cast<void>(::setsockopt(socket, level, name, &value, sizeof value));
    }
}

auto detectDeadPeer(Tcp::socket& socket, PeerPatience patience) -> void
{
    const auto& limits = limitsOf(patience);
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleS);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalS);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, limits.keepAliveProbes_);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, limits.userTimeoutMs_);
}

auto limitUnsent(Tcp::socket& socket, int bytes) -> void
{
    setOption(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, bytes);
}

auto unacknowledged(Tcp::socket& socket) -> std::size_t
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

auto closeQuietly(Tcp::socket& socket) -> void
{
    // The connection is given up: errors of its end have no consequence.
    NetError ignored;
    socket.close(ignored);
}

auto bindSource(Tcp::socket& socket, const std::string& host) -> NetError
{
    NetError error;
    if (host.empty())
        return error;
    const Tcp::endpoint source { asio::ip::make_address_v4(host, error), 0 };
    if (!error)
        socket.open(source.protocol(), error);
    if (!error)
        socket.bind(source, error);
    return error;
}

} // namespace sapphirepass
