// Contract tests for both PeerLink implementations: in memory and over Cap'n Proto RPC.
#include "fleet/capnp_peer_link.h"
#include "standin/free_ports.h"
#include "standin/memory_peers.h"

#include <catch2/catch.hpp>
#include <condition_variable>

using namespace sapphirepass;

namespace {

using Received = std::vector<std::pair<InstanceId, std::string>>;

// Collects the messages that a link delivers on its thread.
struct Inbox {
    auto receive(const InstanceId& from, const std::string& payload) -> void
    {
        const std::lock_guard lock(mutex_);
        received_.emplace_back(from, payload);
        changed_.notify_all();
    }

    auto waitFor(std::size_t count) -> Received
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::seconds(20), [&] { return received_.size() >= count; });
        return received_;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    Received received_;
};

struct CapnpPair {
    CapnpPair()
        : ports_(standin::freePorts(2))
    {
    }

    auto resolver() -> CapnpPeerLink::Resolver
    {
        return [this](const std::string& name) -> std::optional<SocketAddress> {
            if (name != "a" && name != "b")
                return std::nullopt;
            return SocketAddress { "127.0.0.1", ports_[name == "a" ? 0 : 1] };
        };
    }

    auto make(const InstanceId& id) -> std::unique_ptr<CapnpPeerLink>
    {
        return std::make_unique<CapnpPeerLink>(id, SocketAddress { "127.0.0.1", ports_[id.name_ == "a" ? 0 : 1] }, resolver(), metrics_);
    }

    std::vector<std::uint16_t> ports_;
    Metrics metrics_;
};

template <typename Deliver>
auto checkContract(PeerLink& a, PeerLink& b, Inbox& inboxA, Inbox& inboxB, const Deliver& deliver) -> void
{
    a.send("b", { PeerTopic::Relay, "one" });
    a.send("b", { PeerTopic::Ticket, "nobody listens to this topic" });
    a.send("nowhere", { PeerTopic::Relay, "lost" });
    a.send("b", { PeerTopic::Relay, std::string("t\0wo", 4) });
    deliver();
    CHECK(inboxB.waitFor(2) == Received { { { "a", 7 }, "one" }, { { "a", 7 }, std::string("t\0wo", 4) } });
    b.send("a", { PeerTopic::Relay, std::string(1'000'000, 'x') });
    deliver();
    CHECK(inboxA.waitFor(1).front().second.size() == 1'000'000);
}

auto listen(PeerLink& link, Inbox& inbox) -> void
{
    link.onReceive(PeerTopic::Relay, [&inbox](const InstanceId& from, const std::string& payload) { inbox.receive(from, payload); });
}

}

TEST_CASE("the in-memory link fulfills the PeerLink contract", "[fleet]")
{
    standin::MemoryPeers network(1);
    Inbox inboxA;
    Inbox inboxB;
    const auto a = network.join({ "a", 7 });
    const auto b = network.join({ "b", 8 });
    listen(*a, inboxA);
    listen(*b, inboxB);
    checkContract(*a, *b, inboxA, inboxB, [&network] { network.deliver(100); });
}

TEST_CASE("the Cap'n Proto link fulfills the PeerLink contract", "[fleet]")
{
    CapnpPair pair;
    Inbox inboxA;
    Inbox inboxB;
    const auto a = pair.make({ "a", 7 });
    const auto b = pair.make({ "b", 8 });
    listen(*a, inboxA);
    listen(*b, inboxB);
    a->start();
    b->start();
    checkContract(*a, *b, inboxA, inboxB, [] {});
    a->send("b", { PeerTopic::Relay, std::string(maxPeerPayloadBytes + 1, 'x') });
    CHECK(pair.metrics_.render().find("peer_dropped_total{reason=\"refused\"} 1") != std::string::npos);
}

TEST_CASE("a link reconnects to a peer that restarted", "[fleet]")
{
    CapnpPair pair;
    Inbox first;
    Inbox second;
    const auto a = pair.make({ "a", 7 });
    auto b = pair.make({ "b", 8 });
    listen(*b, first);
    a->start();
    b->start();
    a->send("b", { PeerTopic::Relay, "before" });
    REQUIRE(first.waitFor(1).size() == 1);
    b = pair.make({ "b", 9 });
    listen(*b, second);
    b->start();
    // The first message may be sent on the broken connection and be lost, which the interface allows.
    while (second.waitFor(0).empty()) {
        a->send("b", { PeerTopic::Relay, "after" });
        std::this_thread::yield();
    }
    CHECK(second.waitFor(1).front() == std::pair<InstanceId, std::string>({ "a", 7 }, "after"));
}

TEST_CASE("the send queue of an unreachable peer is bounded", "[fleet]")
{
    CapnpPair pair;
    const auto a = pair.make({ "a", 7 });
    for (std::size_t i = 0; i < maxQueuedMessages + 3; ++i)
        a->send("b", { PeerTopic::Relay, "x" });
    CHECK(pair.metrics_.render().find("peer_dropped_total{reason=\"queue\"} 3") != std::string::npos);
}

TEST_CASE("start fails if the listen address is in use", "[fleet]")
{
    CapnpPair pair;
    const auto a = pair.make({ "a", 7 });
    a->start();
    const auto again = pair.make({ "a", 8 });
    CHECK_THROWS_AS(again->start(), std::runtime_error);
}
