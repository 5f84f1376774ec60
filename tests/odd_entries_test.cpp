// Entries of the platform's store that another writer has put there: one that cannot be read must not hide the others.
#include "platform/store_source.h"
#include "standin/kept_beliefs.h"
#include "standin/local_gateway.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

struct OddSpec {
    std::string what_;
    std::string text_;
};

auto nested(std::size_t depth) -> std::string { return std::string(depth, '[') + std::string(depth, ']'); }

// An entry of an upstream with one text in place of another.
auto spoiled(const std::string& from, const std::string& to) -> std::string
{
    auto text = listed({ "127.0.0.1", 9000 }).dump();
    text.replace(text.find(from), from.size(), to);
    return text;
}

auto oddSpecs() -> std::vector<OddSpec>
{
    return {
        { "lists in lists", "{\"info\":" + nested(200'000) + "}" },
        { "objects in objects", [] {
             std::string text;
             for (int i = 0; i < 100'000; ++i)
                 text += "{\"a\":";
             return text + "1" + std::string(100'000, '}');
         }() },
        { "an unpaired surrogate", spoiled("\"north-a\"", "\"\\ud83d\"") },
        { "bytes that are not UTF-8", spoiled("\"north-a\"", "\"\xff\xfe\"") },
        { "a number beyond a double", spoiled("\"cold_left_s\":0", "\"cold_left_s\":1e400") },
        { "a time beyond all bounds", spoiled("\"cold_left_s\":0", "\"cold_left_s\":1e300") },
        { "slots beyond an integer", spoiled("\"slots\":4", "\"slots\":1e30") },
        { "a sequence beyond an integer", spoiled("\"seq\":1", "\"seq\":1e300") },
        { "a start beyond 64 bits", spoiled("\"born\":1", "\"born\":99999999999999999999") },
        { "a start beyond 63 bits", spoiled("\"born\":1", "\"born\":18446744073709551615") },
        { "a port out of range", spoiled("127.0.0.1:9000", "127.0.0.1:70000") },
        { "a negative port", spoiled("127.0.0.1:9000", "127.0.0.1:-1") },
        { "a list", "[]" },
        { "a string", "\"x\"" },
        { "null", "null" },
        { "a word", "nothing" },
        { "nearly a megabyte", "\"" + std::string(1'000'000, 'x') + "\"" },
        { "nearly a megabyte of lists", "[[]" + [] {
             std::string text;
             for (int i = 0; i < 300'000; ++i)
                 text += ",[]";
             return text;
         }() + "]" },
    };
}

struct OddEntriesFixture {
    OddEntriesFixture()
    {
        store_.put("config", "main", declared(1));
        for (const auto* id : { "i-0", "i-1", "i-9" })
            store_.put("servers", id, listed({ "127.0.0.1", 9000 }));
    }
    ~OddEntriesFixture() { source_.stop(); }
    OddEntriesFixture(const OddEntriesFixture&) = delete;
    auto operator=(const OddEntriesFixture&) -> OddEntriesFixture& = delete;

    auto start() -> void
    {
        source_.start(beliefs_, { "e1", { "127.0.0.1", 7000 } }, peers_);
        REQUIRE(runUntil(loop_, [this] { return beliefs_.isComplete(); }));
    }

    asio::io_context loop_;
    PlatformStore store_ { loop_ };
    KeptBeliefs beliefs_;
    NamedPeers peers_;
    platform::StoreSource source_ { loop_, store_.address(), 2s };
};

}

// review/1: one entry ended every gateway. With a number too large, the feed stopped following instead.
TEST_CASE("entries that cannot be read name no upstream and hide no others", "[odd-entries]")
{
    const auto specs = oddSpecs();
    OddEntriesFixture fixture;
    const auto putAll = [&](const std::string& prefix) {
        for (const auto& odd : specs)
            fixture.store_.putText("servers", prefix + odd.what_, odd.text_);
    };
    putAll("i-4 ");
    fixture.start();
    CHECK(fixture.beliefs_.upstreams_ == std::set<std::string> { "i-0", "i-1", "i-9" });
    CHECK(fixture.beliefs_.unreadable_ == static_cast<int>(specs.size()));
    putAll("i-5 ");
    fixture.store_.put("servers", "i-0", listed({ "127.0.0.1", 9000 }, "draining"));
    fixture.store_.remove("servers", "i-1");
    REQUIRE(runUntil(fixture.loop_, [&] { return !fixture.beliefs_.upstreams_.contains("i-1"); }));
    CHECK(fixture.beliefs_.upstreams_ == std::set<std::string> { "i-0", "i-9" });
    CHECK(fixture.beliefs_.unreadable_ == 2 * static_cast<int>(specs.size()));
    CHECK(fixture.beliefs_.lost_ == 0);
}

// Each of them alone, as an answer of the store that holds several could fail for the first.
TEST_CASE("a change that cannot be read hides no later one", "[odd-entries]")
{
    OddEntriesFixture fixture;
    fixture.start();
    const auto specs = oddSpecs();
    for (const auto index : { 0U, 2U, 3U, 4U, 16U }) {
        const auto& odd = specs.at(index);
        CAPTURE(odd.what_);
        const auto id = fmt::format("i-1{}", index);
        fixture.store_.put("servers", id, listed({ "127.0.0.1", 9000 }));
        REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.upstreams_.contains(id); }));
        fixture.store_.putText("servers", "i-5", odd.text_);
        fixture.store_.remove("servers", id);
        REQUIRE(runUntil(fixture.loop_, [&] { return !fixture.beliefs_.upstreams_.contains(id); }));
        CHECK(fixture.beliefs_.lost_ == 0);
    }
}

TEST_CASE("an upstream whose entry is spoiled is not used until it is mended", "[odd-entries]")
{
    OddEntriesFixture fixture;
    fixture.start();
    fixture.store_.putText("servers", "i-0", spoiled("\"cold_left_s\":0", "\"cold_left_s\":1e400"));
    REQUIRE(runUntil(fixture.loop_, [&] { return !fixture.beliefs_.upstreams_.contains("i-0"); }));
    fixture.store_.put("servers", "i-0", listed({ "127.0.0.1", 9000 }));
    CHECK(runUntil(fixture.loop_, [&] { return fixture.beliefs_.upstreams_.contains("i-0"); }));
}

// Each takes a page of its own; behind them come entries that hold.
TEST_CASE("many entries that cannot be read hide no entry behind them", "[odd-entries]")
{
    OddEntriesFixture fixture;
    fixture.store_.setPage(1);
    for (int i = 0; i < 40; ++i)
        fixture.store_.putText("servers", fmt::format("i-5-{}", i), nested(20'000));
    for (int i = 0; i < 3; ++i)
        fixture.store_.putText("sapphirepass-instances", fmt::format("a{}", i), nested(20'000));
    fixture.store_.put("sapphirepass-instances", "e9", { { "peer", "127.0.0.1:7009" } });
    fixture.start();
    CHECK(fixture.beliefs_.upstreams_ == std::set<std::string> { "i-0", "i-1", "i-9" });
    CHECK(fixture.beliefs_.instances_.size() == 2);
    CHECK(fixture.beliefs_.refusedKinds_ == std::set<std::string> { "instances" });
}

TEST_CASE("odd objects beside the declaration and as evacuations do no harm", "[odd-entries]")
{
    const auto specs = oddSpecs();
    OddEntriesFixture fixture;
    for (const auto& odd : specs)
        fixture.store_.putText("config", odd.what_, odd.text_);
    fixture.start();
    // The name of an evacuation is that of the domain, whatever else its writer put in.
    for (const auto& odd : specs) {
        fixture.store_.putText("evacuations", odd.what_, odd.text_);
        fixture.store_.putText("config", "x " + odd.what_, odd.text_);
    }
    fixture.store_.put("config", "main", declared(2));
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.beliefs_.versions_.back() == 2 && fixture.beliefs_.evacuated_.size() == specs.size(); }));
    CHECK(fixture.beliefs_.lost_ == 0);
}

// Beside a watch that the store never answers, another call finds what it has missed.
TEST_CASE("a missed entry that cannot be read does not hide that a watch has missed changes", "[odd-entries]")
{
    OddEntriesFixture fixture;
    fixture.store_.swallowWatches("servers", 1);
    fixture.start();
    REQUIRE(runUntil(fixture.loop_, [&] { return fixture.store_.isSwallowed("servers"); }));
    fixture.store_.putText("servers", "i-5", spoiled("\"cold_left_s\":0", "\"cold_left_s\":1e400"));
    fixture.store_.remove("servers", "i-1");
    fixture.source_.verify(Feed::Upstreams);
    CHECK(runUntil(fixture.loop_, [&] { return !fixture.beliefs_.upstreams_.contains("i-1"); }));
}
