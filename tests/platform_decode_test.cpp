// The platform's objects as the product reads them.
#include "platform/decode.h"
#include "platform/wire_names.h"
#include "settings/gateway_settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <random>
#include <sstream>

using namespace sapphirepass;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

auto manifest() -> json
{
    return json::parse(R"({"version":"0000001a","routes":[
        {"name":"r1","host":"a.example","path_prefix":"/x/","kind":"non_idempotent","timeout_s":1.2,"target_latency_s":0.3,"priority":1,"service":"s1","max_attempts":2,"anonymous":false,"session_affinity":true,"home_regions":["north"]},
        {"name":"r2","host":"a.example","path_prefix":"/y/","kind":"idempotent","timeout_s":1,"target_latency_s":0.25,"priority":2,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2}],
        "services":[{"name":"s1","health_path":"/health","max_conns":390,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":9.2}],
        "limits":{"max_header_bytes":8192,"max_body_bytes":1048576,"header_timeout_s":2.5,"idle_timeout_s":15},
        "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"rate_per_s":269,"burst":100,"home_regions":[]}],"base_version":"00000019"})");
}

auto server() -> json
{
    return json::parse(R"({"address":"10.128.0.9:8080","born":1764806400123,"info":{"service":"s1","version":"v1","zone":"north-a","slots":4},"status":{"state":"ready","seq":4,"cold_left_s":1.5}})");
}

}

TEST_CASE("a manifest is decoded into the product's declaration", "[platform]")
{
    const auto decoded = platform::decodeDeclaration(manifest());
    REQUIRE(isOk(decoded));
    const auto& declaration = valueOf(decoded);
    CHECK(declaration.version_ == 26);
    REQUIRE(declaration.routes_.size() == 2);
    CHECK(declaration.routes_[0].repeat_ == RepeatRule::Once);
    CHECK(declaration.routes_[0].timeout_ == 1200ms);
    CHECK(declaration.routes_[0].affinity_);
    CHECK(declaration.routes_[0].homeRegions_ == std::vector<std::string> { "north" });
    CHECK(declaration.routes_[1].repeat_ == RepeatRule::Idempotent);
    CHECK(declaration.routes_[1].services_ == std::vector<WeightedService> { { "s1", 90 }, { "s2", 10 } });
    CHECK(declaration.services_[0].coldDuration_ == 3s);
    CHECK(declaration.limits_.headerTimeout_ == 2500ms);
    CHECK(declaration.workspaces_[0].keys_.size() == 2);
    CHECK(declaration.workspaces_[0].ratePerSecond_ == 269);
}

// Downloads were never repeated, although they may run twice as reads may.
TEST_CASE("downloads may be repeated", "[platform]")
{
    auto changed = manifest();
    changed["routes"][0]["kind"] = "download";
    CHECK(valueOf(platform::decodeDeclaration(changed)).routes_[0].repeat_ == RepeatRule::Idempotent);
}

TEST_CASE("a kind that may not repeat is never taken for one that may", "[platform]")
{
    auto changed = manifest();
    changed["routes"][0]["kind"] = GENERATE("upload", "non_idempotent", "something new");
    CHECK(valueOf(platform::decodeDeclaration(changed)).routes_[0].repeat_ == RepeatRule::Once);
}

// An entry with 1e30 slots was taken for an upstream with more slots than all others together, or refused, by the processor.
TEST_CASE("an entry whose numbers do not fit their type names no upstream", "[platform][odd-entries]")
{
    CHECK(isOk(platform::decodeUpstream("i-1", server())));
    for (const auto& number : { json(1e30), json(-1e30), json(4.5), json(0), json(2'000'000), json("4") }) {
        auto changed = server();
        changed["info"]["slots"] = number;
        CAPTURE(changed);
        CHECK_FALSE(isOk(platform::decodeUpstream("i-1", changed)));
    }
    for (const auto& number : { json(1e300), json(-1), json("4") }) {
        auto changed = server();
        changed["status"]["seq"] = number;
        CAPTURE(changed);
        CHECK_FALSE(isOk(platform::decodeUpstream("i-1", changed)));
    }
    auto changed = server();
    changed["born"] = 18'446'744'073'709'551'615U;
    CHECK_FALSE(isOk(platform::decodeUpstream("i-1", changed)));
}

TEST_CASE("a manifest that cannot be read is an error", "[platform]")
{
    auto changed = manifest();
    SECTION("version is no hexadecimal number") { changed["version"] = "zz"; }
    SECTION("version is a number") { changed["version"] = 26; }
    SECTION("no routes") { changed.erase("routes"); }
    SECTION("a route without a prefix") { changed["routes"][0].erase("path_prefix"); }
    SECTION("a time below zero") { changed["routes"][0]["timeout_s"] = -1; }
    SECTION("no object") { changed = 7; }
    CHECK_FALSE(isOk(platform::decodeDeclaration(changed)));
}

TEST_CASE("an entry of a server is decoded into an upstream", "[platform]")
{
    const auto decoded = platform::decodeUpstream("i-1", server());
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded) == UpstreamEntry { "i-1", 1764806400123, "s1", { "10.128.0.9", 8080 }, "north-a", 4, UpstreamState::Ready, 1500ms, 4 });
}

TEST_CASE("an entry of another writer names no upstream", "[platform]")
{
    auto changed = server();
    SECTION("no address") { changed.erase("address"); }
    SECTION("address is no address") { changed["address"] = "somewhere"; }
    SECTION("no status") { changed.erase("status"); }
    SECTION("state is not known") { changed["status"]["state"] = "sleeping"; }
    SECTION("state is a number") { changed["status"]["state"] = 1; }
    SECTION("slots are a text") { changed["info"]["slots"] = "4"; }
    SECTION("no slots") { changed["info"]["slots"] = 0; }
    SECTION("born is a text") { changed["born"] = "today"; }
    SECTION("born is a fraction") { changed["born"] = 1764806400123.5; }
    SECTION("no born") { changed.erase("born"); }
    SECTION("cold for ever") { changed["status"]["cold_left_s"] = 1e30; }
    SECTION("nothing") { changed = json(); }
    CHECK_FALSE(isOk(platform::decodeUpstream("i-1", changed)));
}

TEST_CASE("damaged objects are refused or read, never worse", "[platform]")
{
    std::mt19937_64 random(20261203);
    for (const auto& text : { manifest().dump(), server().dump() }) {
        for (int round = 0; round < 3'000; ++round) {
            auto damaged = text;
            for (auto flips = random() % 3 + 1; flips > 0; --flips)
                damaged[random() % damaged.size()] = static_cast<char>(' ' + random() % 95);
            const auto parsed = json::parse(damaged, nullptr, false);
            const auto declared = platform::decodeDeclaration(parsed);
            const auto upstream = platform::decodeUpstream("i-1", parsed);
            if (isOk(upstream))
                CHECK(valueOf(upstream).slots_ >= 1);
            if (isOk(declared))
                CHECK(declared.index() == 0);
        }
    }
}

TEST_CASE("an instance of the system survives its encoding", "[platform]")
{
    const ListedInstance instance { "e1", { "10.0.0.1", 7220 } };
    const auto decoded = platform::decodeInstance("e1", platform::encodeInstance(instance));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded) == instance);
}

TEST_CASE("the settings template names only settings that exist", "[platform][settings]")
{
    std::ifstream file(std::string(SOURCE_DIR) + "/platform/settings.ini");
    std::stringstream text;
    std::string line;
    std::set<std::string> seen;
    std::string section;
    while (std::getline(file, line)) {
        if (line.starts_with("[")) {
            section = line.substr(1, line.find(']') - 1);
            continue;
        }
        const auto equals = line.find(" = ");
        if (section == "domains" || line.starts_with(";") || equals == std::string::npos)
            continue;
        const auto name = line.substr(0, equals);
        const auto table = gatewaySettingTable();
        CAPTURE(section, name);
        CHECK(std::any_of(table.begin(), table.end(), [&](const auto& row) { return row.section_ == section && row.field_.name_ == name; }));
        seen.insert(fmt::format("{}.{}", section, name));
    }
    for (const auto& row : gatewaySettingTable()) {
        if (row.field_.presence_ == Presence::Required)
            CHECK(seen.contains(fmt::format("{}.{}", row.section_, row.field_.name_)));
    }
}

TEST_CASE("gateway settings are checked", "[settings]")
{
    const std::string valid = "[instance]\nname = e1\nregion = north\ndomain = north-a\nfront = 127.0.0.1:1\ndirectory = 127.0.0.1:2\nready = 127.0.0.1:3\ncontrol = 127.0.0.1:4\npeer = 127.0.0.1:5\ngrace = 2.5s\n[store]\naddress = 127.0.0.1:6\n[rates]\nover = 0.1\n[fleet]\nseeds =\n[domains]\nnorth-a = north\n";
    const auto settings = parseGatewaySettings(valid);
    REQUIRE(isOk(settings));
    CHECK(valueOf(settings).grace_ == 2500ms);
    CHECK(valueOf(settings).rateOver_ == 0.1);
    CHECK(valueOf(settings).domains_.at("north-a") == "north");
    for (const auto* line : { "[rates]\nover = -1\n", "[rates]\nover = x\n", "[instance]\ngrace = 2.0001s\n", "[domains]\nnorth a = north\n", "[nothing]\nx = 1\n", "[store]\naddress = 127.0.0.1:6\n" }) {
        CAPTURE(line);
        CHECK_FALSE(isOk(parseGatewaySettings(valid + line)));
    }
    CHECK_FALSE(isOk(parseGatewaySettings("[instance]\nname = e1\n")));
}
