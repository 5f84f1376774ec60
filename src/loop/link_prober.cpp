#include "loop/link_prober.h"

#include "loop/upstream_channel.h"

namespace sapphirepass {

struct LinkProber::Probe {
    Probe(asio::io_context& loop, UpstreamPtr upstream, MonotonicTime startedAt)
        : socket_(loop)
        , timer_(loop)
        , upstream_(std::move(upstream))
        , startedAt_(startedAt)
    {
    }

    Tcp::socket socket_;
    asio::steady_timer timer_;
    UpstreamPtr upstream_;
    MonotonicTime startedAt_;
};

LinkProber::LinkProber(asio::io_context& loop, const Clock& clock, LinkDetector& detector)
    : loop_(loop)
    , clock_(clock)
    , detector_(detector)
{
}

auto LinkProber::tick() -> void
{
    for (const auto& upstream : detector_.takeDueProbes())
        connect(upstream);
}

auto LinkProber::stop() -> void
{
    for (const auto& probe : probes_) {
        probe->timer_.cancel();
        closeQuietly(probe->socket_);
    }
    probes_.clear();
}

auto LinkProber::connect(const UpstreamPtr& upstream) -> void
{
    auto probe = std::make_shared<Probe>(loop_, upstream, clock_.now());
    probes_.insert(probe);
    ++count_;
    probe->timer_.expires_after(upstreamConnectLimit);
    probe->timer_.async_wait([this, probe](NetError error) {
        if (!error)
            onResult(probe, false);
    });
    probe->socket_.async_connect(endpointOf(upstream->entry_.address_), [this, probe](NetError error) { onResult(probe, !error); });
}

auto LinkProber::onResult(const std::shared_ptr<Probe>& probe, bool isConnected) -> void
{
    if (probes_.erase(probe) == 0)
        return;
    probe->timer_.cancel();
    closeQuietly(probe->socket_);
    detector_.recordConnect(*probe->upstream_, probe->startedAt_, isConnected);
}

} // namespace sapphirepass
