// The load tool's checks, each on records that keep or break one promise.
#include "bench/load/caller_load.h"
#include "bench/load/verdict.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace sapphirepass::load;
using namespace std::chrono_literals;

namespace {

auto experiment() -> Experiment
{
    Experiment experiment;
    experiment.workspaces_ = { { "acme", 10, 0, 100, 0, 0ms, 10, 2 } };
    experiment.actions_ = { { 0ms, ActionKind::Operate, "", "withdraw key acme-main", "acme", "" }, { 0ms, ActionKind::Operate, "", "x", "", "core-9" } };
    return experiment;
}

auto call(const std::string& id, bool idempotent, const Attempt& attempt) -> CallRecord
{
    return { id, "acme", idempotent, attempt.sent_, { attempt } };
}

auto runOf(const std::string& id, Instant at, const std::string& upstream = "core-0") -> RunRecord
{
    return { id, upstream, "acme", at, true, "/quotes/" + id };
}

const Attempt answered { 200, "", true, true, 1ms, 2ms };
const Attempt notRun { 503, "no", true, true, 1ms, 2ms };

struct Case {
    std::string broken_;
    Records records_;
};

}

TEST_CASE("each broken promise is found in the records", "[load]")
{
    const std::vector<Case> cases {
        { "", { 0us, { call("1", false, answered), call("2", false, notRun) }, { runOf("1", 1ms) }, { "5ec3e7" } } },
        { "doubled run", { 0us, { call("1", false, answered) }, { runOf("1", 1ms), runOf("1", 2ms) }, {} } },
        { "", { 0us, { call("1", true, answered) }, { runOf("1", 1ms), runOf("1", 2ms) }, {} } },
        { "false not run", { 0us, { call("1", false, notRun) }, { runOf("1", 1ms) }, {} } },
        { "lost work", { 0us, { call("1", false, answered) }, {}, {} } },
        { "cut answer", { 0us, { call("1", true, { 200, "", false, true, 1ms, 2ms }) }, { runOf("1", 1ms) }, {} } },
        { "foreign answer", { 0us, { call("1", true, { 200, "", true, false, 1ms, 2ms }) }, { runOf("1", 1ms) }, {} } },
        { "key leak", { 0us, {}, { { "1", "core-0", "acme", 1ms, true, "x-5ec3e7" } }, { "5ec3e7" } } },
        { "work after leaving", { 0us, {}, { runOf("1", 6s, "core-9") }, {} } },
        { "", { 0us, {}, { runOf("1", 4s, "core-9") }, {} } },
        { "withdrawn key", { 0us, { call("1", true, { 200, "", true, true, 6s, 7s }) }, { runOf("1", 6s) }, {} } },
    };
    for (const auto& item : cases) {
        CAPTURE(item.broken_);
        const auto broken = brokenPromises(experiment(), item.records_);
        REQUIRE(broken.size() == (item.broken_.empty() ? 0 : 1));
        if (!broken.empty())
            CHECK(broken.front().starts_with(item.broken_));
    }
}

TEST_CASE("an overshoot of the rate is found in any window, without false alarms", "[load]")
{
    const auto [count, found] = GENERATE(table<int, bool>({ { 7, false }, { 8, true } }));
    // Rate 10 and burst 2: half a second holds at most 7.
    Records records { -10s, {}, {}, {} };
    for (int i = 0; i < count; ++i) {
        const auto id = std::to_string(i);
        records.calls_.push_back(call(id, true, { 200, "", true, true, 1s, 2s }));
        records.runs_.push_back(runOf(id, 1s + 500ms));
    }
    auto limits = experiment();
    limits.actions_.clear();
    CHECK(brokenPromises(limits, records).empty() != found);
}

TEST_CASE("a schedule follows its seed", "[load]")
{
    auto one = experiment();
    CHECK(scheduleCalls(one) == scheduleCalls(one));
    const auto first = scheduleCalls(one);
    one.seed_ = 2;
    CHECK(scheduleCalls(one) != first);
}

TEST_CASE("the experiment files are read, and mistakes in them are reported at once", "[load]")
{
    int files = 0;
    for (const auto& file : std::filesystem::directory_iterator(std::string(SOURCE_DIR) + "/bench/experiments")) {
        std::ifstream in(file.path());
        std::stringstream text;
        text << in.rdbuf();
        CAPTURE(file.path());
        CHECK(sapphirepass::isOk(parseExperiment(text.str())));
        ++files;
    }
    CHECK(files >= 8);
    const auto wrong = parseExperiment("[experiment]\nname = x\ncolour = red\n[workspace acme]\nwrites-per-mille = 1001\n");
    REQUIRE_FALSE(sapphirepass::isOk(wrong));
    CHECK(sapphirepass::errorOf(wrong).size() == 2);
}
