// A declaration with thousands of routes, as it reaches the followers of one instance.
#include "platform/wire_names.h"
#include "standin/kept_beliefs.h"
#include "standin/peer_pages.h"
#include "standin/platform_store.h"

#include <catch2/catch.hpp>
#include <random>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t followerCount = 20;
constexpr std::size_t addedRoutes = 1'400;
// What the smallest link of the deployments, 10 Mbit/s, carries in 700 ms. The watcher's probes of the store wait behind a
// change for no longer than that, which is their limit.
constexpr std::size_t mostBytesOfChange = 10'000'000 / 8 * 7 / 10;

class RandomNames {
public:
    auto next() -> std::string
    {
        constexpr std::string_view letters = "abcdefghijklmnopqrstuvwxyz0123456789";
        constexpr std::size_t length = 8;
        std::string name;
        for (std::size_t i = 0; i < length; ++i)
            name += letters[random_() % letters.size()];
        return name;
    }

private:
    std::mt19937_64 random_ { 63 };
};

auto addRoutes(nlohmann::json& document, RandomNames& names) -> void
{
    for (std::size_t i = 0; i < addedRoutes; ++i) {
        document["routes"].push_back({ { "name", "r-" + names.next() }, { "host", "a.example" }, { "path_prefix", "/" + names.next() + "/" }, { "kind", "idempotent" }, { "timeout_s", 1.5 }, { "target_latency_s", 0.8 }, { "priority", 2 }, { "service", "s" }, { "max_attempts", 2 }, { "anonymous", false }, { "session_affinity", true }, { "home_regions", nlohmann::json::array() } });
    }
}

// An instance that watches the store, and the others of its region, which follow it.
struct RegionFixture {
    RegionFixture()
    {
        store_.put("config", "main", document_);
        store_.put("servers", "i-0", listed({ "127.0.0.1", 7001 }));
        if (!listener_.listen(address_).empty())
            throw std::runtime_error("the watcher's address is taken");
        watcher_.start(watcherSink_, { "e0", { "127.0.0.1", 7000 } }, noPeers_);
        REQUIRE(runUntil(loop_, [this] { return watcherSink_.isComplete(); }));
        peers_.peers_ = { address_ };
        for (std::size_t i = 0; i < followerCount; ++i) {
            auto& follower = followers_.emplace_back(std::make_unique<Follower>(loop_, store_.address()));
            follower->source_.start(follower->sink_, { fmt::format("e{}", i + 1), { "127.0.0.1", 7002 } }, peers_);
        }
        REQUIRE(runUntil(loop_, [this] { return std::all_of(followers_.begin(), followers_.end(), [](const auto& follower) { return follower->sink_.isComplete(); }); }));
        // Their three first watches each.
        REQUIRE(runUntil(loop_, [this] { return pages_.asked_ >= static_cast<int>(3 * followerCount) && store_.watches() == 3; }));
    }

    // The bytes that the watcher has written when the next version is in force at all followers.
    auto bytesOfNextVersion() -> std::size_t
    {
        const auto before = pages_.bytes_;
        document_["version"] = fmt::format("{:08x}", ++version_);
        store_.put("config", "main", document_);
        REQUIRE(runUntil(loop_, [this] { return std::all_of(followers_.begin(), followers_.end(), [this](const auto& follower) { return follower->sink_.versions_.back() == version_; }); }));
        // The response to the last of them may just be on its way.
        const auto asked = pages_.asked_;
        REQUIRE(runUntil(loop_, [this, asked] { return pages_.asked_ > asked; }));
        return pages_.bytes_ - before;
    }

    struct Follower {
        Follower(asio::io_context& loop, const SocketAddress& store)
            : source_(loop, store, 300ms)
        {
        }
        KeptBeliefs sink_;
        platform::StoreSource source_;
    };

    asio::io_context loop_;
    SystemClock clock_;
    PlatformStore store_ { loop_ };
    std::uint64_t version_ = 1;
    nlohmann::json document_ = declared(1);
    NamedPeers noPeers_;
    NamedPeers peers_;
    KeptBeliefs watcherSink_;
    platform::StoreSource watcher_ { loop_, store_.address(), 300ms };
    PeerPages pages_ { watcher_ };
    CallerListener listener_ { loop_, pages_, clock_ };
    SocketAddress address_ = freeAddress();
    std::vector<std::unique_ptr<Follower>> followers_;
};

}

TEST_CASE("1400 routes more do not fill the link of the instance that twenty others follow", "[large-declaration]")
{
    RegionFixture fixture;
    RandomNames names;
    addRoutes(fixture.document_, names);
    CHECK(fixture.bytesOfNextVersion() <= mostBytesOfChange);
}

TEST_CASE("a changed weight in 4200 routes does not fill the link of the instance that twenty others follow", "[large-declaration]")
{
    RegionFixture fixture;
    RandomNames names;
    for (int i = 0; i < 3; ++i)
        addRoutes(fixture.document_, names);
    fixture.bytesOfNextVersion();
    fixture.document_["routes"][7]["priority"] = 1;
    CHECK(fixture.bytesOfNextVersion() <= mostBytesOfChange);
}
