#include "standin/memory_peers.h"

namespace sapphirepass::standin {

class MemoryPeers::Link final : public PeerLink {
public:
    Link(MemoryPeers& network, InstanceId id)
        : network_(network)
        , id_(std::move(id))
    {
    }

    auto send(const std::string& instance, const PeerMessage& message) -> void override { network_.send(id_, instance, message); }
    auto onReceive(PeerTopic topic, Handler handler) -> void override { network_.handlers_[id_.name_][topic] = std::move(handler); }

private:
    MemoryPeers& network_;
    InstanceId id_;
};

auto MemoryPeers::join(const InstanceId& id) -> std::unique_ptr<PeerLink>
{
    handlers_[id.name_].clear();
    return std::make_unique<Link>(*this, id);
}

auto MemoryPeers::leave(const std::string& name) -> void
{
    handlers_.erase(name);
}

auto MemoryPeers::setCut(const std::string& a, const std::string& b, bool cut) -> void
{
    for (const auto& pair : { std::pair(a, b), std::pair(b, a) }) {
        if (cut)
            cuts_.insert(pair);
        else
            cuts_.erase(pair);
    }
}

auto MemoryPeers::chance(int percent) -> bool
{
    return percent > 0 && std::uniform_int_distribution(0, 99)(random_) < percent;
}

auto MemoryPeers::send(const InstanceId& from, const std::string& to, const PeerMessage& message) -> void
{
    ++messages_;
    bytes_ += message.payload_.size();
    if (chance(faults_.lost_))
        return;
    waiting_.push_back({ from, to, message });
    if (chance(faults_.doubled_))
        waiting_.push_back({ from, to, message });
    if (chance(faults_.reordered_) && waiting_.size() > 1)
        std::swap(waiting_.back(), waiting_[std::uniform_int_distribution<std::size_t>(0, waiting_.size() - 1)(random_)]);
}

auto MemoryPeers::deliverOne() -> bool
{
    if (waiting_.empty())
        return false;
    const auto next = std::move(waiting_.front());
    waiting_.pop_front();
    const auto receiver = handlers_.find(next.to_);
    if (receiver == handlers_.end() || cuts_.contains({ next.from_.name_, next.to_ }))
        return true;
    const auto handler = receiver->second.find(next.message_.topic_);
    if (handler != receiver->second.end())
        handler->second(next.from_, next.message_.payload_);
    return true;
}

auto MemoryPeers::deliver(std::size_t most) -> void
{
    for (std::size_t i = 0; i < most && deliverOne(); ++i) { }
}

} // namespace sapphirepass::standin
