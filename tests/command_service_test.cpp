#include "standin/memory_store.h"
#include "store/command_service.h"
#include "store/config_follower.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

// One operator's way to the store.
struct Site {
    explicit Site(ObjectStore& store)
        : service_(store, state_, clock_)
        , follower_(store, state_)
    {
    }

    auto run(const std::string& text, const std::string& id) -> Result<CommandAccepted, CommandError>
    {
        return service_.submit({ text, id, "tester", "127.0.0.1", CommandMode::Real, std::nullopt });
    }

    ManualClock clock_;
    ConfigState state_;
    CommandService service_;
    ConfigFollower follower_;
};

}

TEST_CASE("a command is accepted once and followed everywhere", "[config]")
{
    standin::MemoryStore store;
    Site one(store);
    Site two(store);
    REQUIRE(isOk(one.run("declare region luzon", "c1")));
    REQUIRE(two.follower_.followOnce(0ms));
    CHECK(two.state_.snapshot()->find<Region>("luzon") != nullptr);
    CHECK(two.state_.snapshot()->stateHash() == one.state_.snapshot()->stateHash());
    // The same command again, through another instance, is the same acceptance.
    CHECK(valueOf(two.run("declare region luzon", "c1")).revision_ == 1);
}

TEST_CASE("a lost answer neither loses nor doubles a command", "[config]")
{
    standin::MemoryStore store;
    Site site(store);
    store.setFaults({ false, 0ms, 1 });
    const auto accepted = site.run("declare workspace acme rate 10 burst 5; issue key k workspace acme", "c1");
    REQUIRE(isOk(accepted));
    CHECK(valueOf(accepted).revision_ == 1);
    CHECK(valueOf(accepted).bearers_.size() == 1);
    CHECK(site.state_.snapshot()->revision() == 1);
}

TEST_CASE("an outage refuses commands as not accepted", "[config]")
{
    standin::MemoryStore store;
    Site site(store);
    store.setFaults({ true, 0ms, 0 });
    CHECK(errorOf(site.run("declare region luzon", "c1")).kind_ == CommandErrorKind::NotAccepted);
    store.setFaults({});
    CHECK(valueOf(site.run("declare region luzon", "c1")).revision_ == 1);
}

TEST_CASE("a batch is applied whole or not at all", "[config]")
{
    standin::MemoryStore store;
    Site site(store);
    const auto refused = site.run("declare region luzon; declare domain d region cebu", "c1");
    CHECK(errorOf(refused).kind_ == CommandErrorKind::Refused);
    CHECK(site.state_.snapshot()->find<Region>("luzon") == nullptr);
}

TEST_CASE("a stale head never lowers the revision", "[config]")
{
    standin::MemoryStore store;
    Site site(store);
    REQUIRE(isOk(site.run("declare region luzon", "c1")));
    const auto old = valueOf(decodeLogHead(valueOf(store.read(std::string(headObjectName))).value_));
    REQUIRE(isOk(site.run("declare region cebu", "c2")));
    CHECK(errorOf(site.state_.apply(old)).kind_ == ApplyErrorKind::Stale);
    CHECK(site.state_.snapshot()->revision() == 2);
}

TEST_CASE("a command of a later version stops the instance where it is", "[config]")
{
    ConfigState state;
    const LogHead head { 2, { { 1, "a", "w", "f", "t", "declare region luzon" }, { 2, "b", "w", "f", "t", "teleport region luzon" } } };
    CHECK(errorOf(state.apply(head)).kind_ == ApplyErrorKind::UnknownCommand);
    CHECK(state.snapshot()->revision() == 0);
}
