#include "fleet/capnp_peer_link.h"

#include "fleet/capnp_peer_loop.h"

#include <fmt/format.h>
#include <future>

namespace sapphirepass {

namespace {
    auto topicName(PeerTopic topic) -> std::string_view
    {
        switch (topic) {
        case PeerTopic::Membership:
            return "membership";
        case PeerTopic::Relay:
            return "relay";
        case PeerTopic::Withdrawal:
            return "withdrawal";
        case PeerTopic::Budget:
            return "budget";
        case PeerTopic::Ticket:
            return "ticket";
        case PeerTopic::Steering:
            return "steering";
        }
        return "unknown";
    }
}

CapnpPeerLink::CapnpPeerLink(InstanceId self, SocketAddress listen, Resolver resolver, Metrics& metrics)
    : self_(std::move(self))
    , listen_(std::move(listen))
    , resolver_(std::move(resolver))
    , metrics_(metrics)
{
}

CapnpPeerLink::~CapnpPeerLink()
{
    stop();
}

auto CapnpPeerLink::start() -> void
{
    std::promise<void> listening;
    auto started = listening.get_future();
    thread_ = std::thread([this, &listening] {
        try {
            Loop loop(*this);
            {
                const std::lock_guard lock(mutex_);
                loop_ = &loop;
            }
            loop.wake();
            listening.set_value();
            loop.run();
        } catch (const std::exception& error) {
            listening.set_exception(std::make_exception_ptr(std::runtime_error(error.what())));
        }
    });
    started.get();
}

auto CapnpPeerLink::stop() -> void
{
    {
        const std::lock_guard lock(mutex_);
        if (loop_ != nullptr)
            loop_->requestStop();
        loop_ = nullptr;
    }
    if (thread_.joinable())
        thread_.join();
}

auto CapnpPeerLink::send(const std::string& instance, const PeerMessage& message) -> void
{
    if (message.payload_.size() > maxPeerPayloadBytes || instance == self_.name_) {
        metrics_.increment({ "peer_dropped_total", "reason=\"refused\"" });
        return;
    }
    const std::lock_guard lock(mutex_);
    auto& queue = queues_[instance];
    if (queue.size() == maxQueuedMessages) {
        queue.pop_front();
        metrics_.increment({ "peer_dropped_total", "reason=\"queue\"" });
    }
    queue.push_back(message);
    if (loop_ != nullptr)
        loop_->wake();
}

auto CapnpPeerLink::onReceive(PeerTopic topic, Handler handler) -> void
{
    handlers_[topic] = std::move(handler);
}

auto CapnpPeerLink::popQueued(const std::string& instance) -> std::optional<PeerMessage>
{
    const std::lock_guard lock(mutex_);
    const auto queue = queues_.find(instance);
    if (queue == queues_.end())
        return std::nullopt;
    auto message = std::move(queue->second.front());
    queue->second.pop_front();
    if (queue->second.empty())
        queues_.erase(queue);
    return message;
}

auto CapnpPeerLink::queuedPeers() -> std::vector<std::string>
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto& [name, queue] : queues_)
        names.push_back(name);
    return names;
}

auto CapnpPeerLink::dropQueued(const std::string& instance) -> void
{
    const std::lock_guard lock(mutex_);
    const auto queue = queues_.find(instance);
    if (queue == queues_.end())
        return;
    metrics_.increment({ "peer_dropped_total", "reason=\"unknown\"" }, static_cast<std::int64_t>(queue->second.size()));
    queues_.erase(queue);
}

auto CapnpPeerLink::receive(const InstanceId& from, PeerTopic topic, const std::string& payload) -> void
{
    countMessage("received", topic, payload.size());
    const auto handler = handlers_.find(topic);
    if (handler == handlers_.end())
        return;
    try {
        handler->second(from, payload);
    } catch (const std::exception&) {
        metrics_.increment({ "peer_dropped_total", "reason=\"malformed\"" });
    }
}

auto CapnpPeerLink::countMessage(const char* direction, PeerTopic topic, std::size_t bytes) -> void
{
    const auto labels = fmt::format("topic=\"{}\",direction=\"{}\"", topicName(topic), direction);
    metrics_.increment({ "peer_messages_total", labels });
    metrics_.increment({ "peer_bytes_total", labels }, static_cast<std::int64_t>(bytes));
}

} // namespace sapphirepass
