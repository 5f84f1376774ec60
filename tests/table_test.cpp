#include "config/config_type.h"
#include "config/table.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <map>
#include <random>

using namespace sapphirepass;

namespace {

using Model = std::map<std::string, std::int64_t>;

auto contentOf(const Table<Region>& table) -> Model
{
    Model content;
    std::string last;
    table.forEach([&](const Region& region) {
        REQUIRE(last < region.name_);
        last = region.name_;
        content[region.name_] = region.limit_;
    });
    return content;
}

}

TEST_CASE("a table holds what a map holds, and older versions stay as they were", "[config]")
{
    // Names drawn from a range that needs several chunks; the share of removals makes the table grow, then shrink.
    constexpr std::uint64_t seed = 20261203;
    constexpr int names = 3000;
    constexpr int steps = 20'000;
    std::mt19937_64 random(seed);
    Table<Region> table;
    Model model;
    Table<Region> oldTable;
    Model oldModel;
    for (int step = 0; step < steps; ++step) {
        const auto name = fmt::format("r{}", random() % names);
        const bool removes = random() % 100 < (step < steps / 2 ? 20U : 80U);
        if (removes) {
            table = table.without(name);
            model.erase(name);
        } else {
            table = table.with({ name, step });
            model[name] = step;
        }
        REQUIRE(table.size() == model.size());
        const auto* found = table.find(name);
        REQUIRE((found != nullptr) == !removes);
        REQUIRE((removes || found->limit_ == step));
        if (step % 2500 == 0) {
            REQUIRE(contentOf(oldTable) == oldModel);
            REQUIRE(contentOf(table) == model);
            oldTable = table;
            oldModel = model;
        }
    }
    for (const auto& [name, limit] : Model(model))
        table = table.without(name);
    CHECK(table.size() == 0);
    CHECK(table.find("r1") == nullptr);
    CHECK(contentOf(oldTable) == oldModel);
}
