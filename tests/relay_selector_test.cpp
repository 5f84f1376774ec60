// Which instances watch the platform, and which follow another instance.
#include "gateway/fleet/relay_selector.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <set>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

auto member(std::size_t number, const std::string& region) -> MemberReport
{
    MemberReport report;
    report.name_ = fmt::format("{}-{}", region, number);
    report.region_ = region;
    report.phase_ = MemberPhase::Ready;
    report.peer_ = { "127.0.0.1", 8001 };
    report.control_ = { "127.0.0.1", static_cast<std::uint16_t>(9000 + number) };
    return report;
}

// One instance's view of the fleet.
struct View {
    View(const Clock& clock, const MemberReport& self)
        : fleet_(clock, { 2s, 20s }, self.name_)
        , selector_(fleet_, self.region_)
    {
    }

    FleetView fleet_;
    RelaySelector selector_;
};

struct Fleet {
    Fleet(std::size_t north, std::size_t south)
    {
        for (std::size_t i = 0; i < north; ++i)
            reports_.push_back(member(i, "north"));
        for (std::size_t i = 0; i < south; ++i)
            reports_.push_back(member(100 + i, "south"));
        for (const auto& report : reports_)
            views_.push_back(std::make_unique<View>(clock_, report));
        sendHeartbeats({});
    }

    auto sendHeartbeats(const std::set<std::string>& silent) -> void
    {
        for (const auto& view : views_) {
            for (const auto& report : reports_) {
                if (!silent.contains(report.name_))
                    view->fleet_.updateMember(report);
            }
        }
    }

    // Control addresses of the instances that watch the platform.
    auto watchers(const std::string& region) const -> std::set<SocketAddress>
    {
        std::set<SocketAddress> found;
        for (std::size_t i = 0; i < views_.size(); ++i) {
            if (reports_[i].region_ == region && views_[i]->selector_.peers().empty())
                found.insert(reports_[i].control_);
        }
        return found;
    }

    ManualClock clock_;
    std::vector<MemberReport> reports_;
    std::vector<std::unique_ptr<View>> views_;
};

}

TEST_CASE("in a large region two instances watch the platform and the others follow them", "[relay-selector]")
{
    Fleet fleet(29, 12);
    const auto north = fleet.watchers("north");
    REQUIRE(north.size() == 2);
    CHECK(fleet.watchers("south").size() == 2);
    std::map<SocketAddress, int> first;
    for (std::size_t i = 0; i < 29; ++i) {
        const auto peers = fleet.views_[i]->selector_.peers();
        if (peers.empty())
            continue;
        CHECK(std::set<SocketAddress>(peers.begin(), peers.end()) == north);
        ++first[peers.front()];
    }
    // The followers are spread over both.
    REQUIRE(first.size() == 2);
    for (const auto& [address, count] : first)
        CHECK(count >= 6);
}

TEST_CASE("all instances of a small region watch the platform", "[relay-selector]")
{
    Fleet fleet(8, 9);
    CHECK(fleet.watchers("north").size() == 8);
    CHECK(fleet.watchers("south").size() == 2);
}

TEST_CASE("instances that are still starting are selected as watchers", "[relay-selector]")
{
    Fleet fleet(12, 0);
    const auto before = fleet.watchers("north");
    for (auto& report : fleet.reports_)
        report.phase_ = MemberPhase::Starting;
    fleet.sendHeartbeats({});
    CHECK(fleet.watchers("north") == before);
}

TEST_CASE("newer state is read from the ready instance that has received most", "[relay-selector]")
{
    Fleet fleet(3, 0);
    constexpr auto feed = static_cast<std::size_t>(Feed::Upstreams);
    fleet.reports_[1].lastChangeRevisions_.at(feed) = { 1, 7 };
    fleet.reports_[2].lastChangeRevisions_.at(feed) = { 1, 9 };
    fleet.sendHeartbeats({});
    const auto& selector = fleet.views_[0]->selector_;
    CHECK(selector.newerPeer(Feed::Upstreams, { 1, 6 }) == fleet.reports_[2].control_);
    CHECK(selector.newerPeer(Feed::Upstreams, { 1, 9 }) == std::nullopt);
    CHECK(selector.newerPeer(Feed::Upstreams, { 2, 0 }) == std::nullopt);
    CHECK(selector.newerPeer(Feed::Declaration, { 1, 0 }) == std::nullopt);
    fleet.reports_[2].phase_ = MemberPhase::Starting;
    fleet.sendHeartbeats({});
    CHECK(selector.newerPeer(Feed::Upstreams, { 1, 6 }) == fleet.reports_[1].control_);
}

TEST_CASE("a watcher that stops, falls silent or loses the platform is replaced", "[relay-selector]")
{
    Fleet fleet(20, 0);
    const auto before = fleet.watchers("north");
    const auto gone = std::find_if(fleet.reports_.begin(), fleet.reports_.end(), [&](const auto& report) { return report.control_ == *before.begin(); });
    REQUIRE(gone != fleet.reports_.end());
    const auto name = gone->name_;
    enum class End { Stops,
        LosesPlatform,
        Silent };
    const auto end = GENERATE(End::Stops, End::LosesPlatform, End::Silent);
    if (end == End::Stops) {
        gone->phase_ = MemberPhase::Stopping;
        fleet.sendHeartbeats({});
    } else if (end == End::LosesPlatform) {
        gone->isSourceLost_ = true;
        fleet.sendHeartbeats({});
    } else {
        fleet.clock_.advance(3s);
        fleet.sendHeartbeats({ name });
    }
    for (const auto& view : fleet.views_) {
        if (view->fleet_.self() == name)
            continue;
        const auto peers = view->selector_.peers();
        CHECK(std::find(peers.begin(), peers.end(), *before.begin()) == peers.end());
    }
    std::size_t watching = 0;
    for (const auto& view : fleet.views_)
        watching += view->fleet_.self() != name && view->selector_.peers().empty() ? 1 : 0;
    CHECK(watching == 2);
}
