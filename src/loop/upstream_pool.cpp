#include "loop/upstream_pool.h"

#include "loop/upstream_channel.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    class ChannelAttempt final : public Attempt {
    public:
        explicit ChannelAttempt(std::shared_ptr<UpstreamChannel> channel)
            : channel_(std::move(channel))
        {
        }
        ~ChannelAttempt() override
        {
            if (!*isOver_)
                channel_->abandon();
        }
        ChannelAttempt(const ChannelAttempt&) = delete;
        auto operator=(const ChannelAttempt&) -> ChannelAttempt& = delete;

        auto isHeldBack() const -> bool override { return channel_->isHeldBack(); }
        auto overFlag() const -> std::shared_ptr<bool> { return isOver_; }

    private:
        std::shared_ptr<UpstreamChannel> channel_;
        std::shared_ptr<bool> isOver_ = std::make_shared<bool>(false);
    };
}

UpstreamPool::UpstreamPool(asio::io_context& loop, const Clock& clock, const HeaderNames& names, ResponseBounds bounds, LateResponse onLateResponse, ConnectListener onConnect, std::string sourceHost, MemoryBudget* memory)
    : loop_(loop)
    , clock_(clock)
    , names_(names)
    , budget_(bounds, memory)
    , onLateResponse_(std::move(onLateResponse))
    , onConnect_(std::move(onConnect))
    , sourceHost_(std::move(sourceHost))
{
}

UpstreamPool::~UpstreamPool()
{
    for (auto& [upstream, channels] : idle_) {
        for (auto& channel : channels)
            channel->abandon();
    }
}

auto UpstreamPool::takeIdle(const UpstreamPtr& upstream) -> std::shared_ptr<UpstreamChannel>
{
    auto& channels = idle_[upstream];
    while (!channels.empty()) {
        auto channel = std::move(channels.back());
        channels.pop_back();
        if (channel->isFresh())
            return channel;
        channel->abandon();
    }
    return nullptr;
}

auto UpstreamPool::hasOpenConnection(const UpstreamPtr& upstream) -> bool
{
    const auto found = idle_.find(upstream);
    return found != idle_.end() && std::any_of(found->second.begin(), found->second.end(), [](const auto& channel) { return channel->isFresh(); });
}

auto UpstreamPool::hasIdleConnection(const UpstreamPtr& upstream) const -> bool
{
    const auto found = idle_.find(upstream);
    return found != idle_.end() && std::any_of(found->second.rbegin(), found->second.rend(), [](const auto& channel) { return !channel->isOver(); });
}

auto UpstreamPool::call(const UpstreamPtr& upstream, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt>
{
    auto channel = takeIdle(upstream);
    const bool reused = channel != nullptr;
    if (!reused)
        channel = std::make_shared<UpstreamChannel>(loop_, clock_, names_, budget_, [this, upstream](const HttpResponse& response) { onLateResponse_(*upstream, response); });
    auto attempt = std::make_unique<ChannelAttempt>(channel);
    const auto onDone = [this, upstream, channel, over = attempt->overFlag(), done = std::move(done)](AttemptOutcome outcome, bool isReusable) {
        *over = true;
        if (isReusable)
            keep(upstream, channel);
        done(std::move(outcome));
    };
    ++(reused ? counts_.reused_ : counts_.opened_);
    if (reused)
        channel->send(std::move(request), onDone);
    else
        channel->connectAndSend(
            upstream->entry_.address_, sourceHost_, std::move(request), [this, upstream, startedAt = clock_.now()](bool isConnected) {
                if (onConnect_)
                    onConnect_(*upstream, startedAt, isConnected);
            },
            onDone);
    return attempt;
}

auto UpstreamPool::keep(const UpstreamPtr& upstream, std::shared_ptr<UpstreamChannel> channel) -> void
{
    if (upstream->retired_)
        return channel->abandon();
    channel->setReusableFor(reusableTime(channel->statedIdle(), reusePolicy_ ? reusePolicy_(*upstream) : ConnectionReuse::Cautious));
    idle_[upstream].push_back(std::move(channel));
}

auto UpstreamPool::sweep() -> void
{
    for (auto& [upstream, channels] : idle_) {
        std::erase_if(channels, [&upstream = upstream](const auto& channel) {
            const bool over = upstream->retired_ || channel->isOver();
            if (over)
                channel->abandon();
            return over;
        });
    }
    std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

auto UpstreamPool::idleCount() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto& [upstream, channels] : idle_)
        count += channels.size();
    return count;
}

} // namespace sapphirepass
