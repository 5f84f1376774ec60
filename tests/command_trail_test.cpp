#include "standin/memory_store.h"
#include "store/command_service.h"
#include "store/command_trail.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

struct Operator {
    explicit Operator(ObjectStore& store)
        : service_(store, state_, clock_, LogBounds { 1200, 400, 4, maxObjectBytes })
    {
    }

    auto run(const std::string& text, const std::string& id, std::optional<Revision> onlyAt = std::nullopt) -> Result<CommandAccepted, CommandError>
    {
        clock_.advance(1s);
        return service_.submit({ text, id, "ana", "127.0.0.9", CommandMode::Real, onlyAt });
    }

    ManualClock clock_;
    ConfigState state_;
    CommandService service_;
};

auto ask(ObjectStore& store, const std::string& text) -> Rows
{
    const CommandTrail trail(store);
    const auto statements = valueOf(parseStatements(text));
    const auto& query = std::get<QueryStatement>(statements.front());
    return valueOf(runQuery(valueOf(trail.rowsFor(query)), query));
}

}

TEST_CASE("the trail outlives cuts and instances", "[config]")
{
    standin::MemoryStore store;
    constexpr int commands = 60;
    {
        Operator ana(store);
        for (int n = 1; n <= commands; ++n)
            REQUIRE(isOk(ana.run(fmt::format("declare region r{}", n), fmt::format("id{}", n))));
    }
    CHECK(ask(store, "show commands").rows_.size() == commands);
    const auto newest = ask(store, "show commands sort revision desc limit 2");
    REQUIRE(newest.rows_.size() == 2);
    CHECK(newest.rows_[0][0] == "60");
    CHECK(newest.rows_[1][0] == "59");
    const auto first = ask(store, "show commands where id = id1");
    REQUIRE(first.rows_.size() == 1);
    CHECK(first.rows_[0] == std::vector<std::string> { "1", "accepted", first.rows_[0][2], "ana", "127.0.0.9", "id1", "declare region r1", "" });
    CHECK(ask(store, "show commands where revision <= 5").rows_.size() == 5);
}

TEST_CASE("refused commands stand in the trail with their reason, bounded", "[config]")
{
    standin::MemoryStore store;
    Operator ana(store);
    REQUIRE(isOk(ana.run("declare region luzon", "c1")));
    REQUIRE_FALSE(isOk(ana.run("declare domain d region cebu", "c2")));
    REQUIRE_FALSE(isOk(ana.run("declare region cebu", "c3", 0)));
    const auto refused = ask(store, "show commands where result = refused");
    REQUIRE(refused.rows_.size() == 2);
    CHECK_THAT(refused.rows_[0][7], Catch::Contains("'cebu', which is not declared"));
    CHECK_THAT(refused.rows_[1][7], Catch::Contains("revision is 1, not 0"));
    for (int n = 0; n < 200; ++n)
        ana.run("declare domain d region cebu", fmt::format("again{}", n));
    CHECK(ask(store, "show commands where result = refused").rows_.size() == 128);
    CHECK(ask(store, "show commands where id = again199").rows_.size() == 1);
}

TEST_CASE("no secret and no hash of one is shown in the trail", "[config]")
{
    standin::MemoryStore store;
    Operator ana(store);
    const auto accepted = ana.run("declare workspace acme rate 1 burst 1; issue key k workspace acme", "c1");
    const auto bearer = valueOf(accepted).bearers_.front();
    const auto secret = bearer.substr(bearer.find('.') + 1);
    const auto rows = ask(store, "show commands");
    CHECK(rows.rows_[0][6] == "declare workspace acme rate 1 burst 1; declare key k workspace acme");
    const auto hash = ana.state_.snapshot()->find<Key>("k")->hash_;
    CHECK_THAT(renderTable(rows), !Catch::Contains(secret) && !Catch::Contains(hash));
    for (const auto& name : valueOf(store.list("")))
        CHECK_THAT(valueOf(store.read(name)).value_, !Catch::Contains(secret));
}

TEST_CASE("the trail says so when the store is down", "[config]")
{
    standin::MemoryStore store;
    store.setFaults({ true, 0ms, 0 });
    const CommandTrail trail(store);
    CHECK_THAT(errorOf(trail.rowsFor({})), Catch::Contains("cannot be read now"));
}
