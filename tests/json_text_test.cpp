// JSON text taken apart without reading its values.
#include "base/json_text.h"
#include "platform/object_page.h"
#include "standin/kept_beliefs.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using nlohmann::json;

TEST_CASE("JSON text is split as its parser reads it", "[json-text]")
{
    std::mt19937 random(47);
    const std::function<json(int)> draw = [&](int depth) -> json {
        const auto kind = random() % (depth > 0 ? 7 : 5);
        if (kind == 0)
            return nullptr;
        if (kind == 1)
            return random() % 2 == 0;
        if (kind == 2)
            return static_cast<std::int64_t>(random()) - 2'000'000'000;
        if (kind == 3)
            return static_cast<double>(random()) / 7;
        if (kind == 4)
            return std::string("a \"quoted\" \\ [text], {with: brackets}\n").substr(random() % 30);
        json value = kind == 5 ? json::array() : json::object();
        for (auto count = random() % 4; count > 0; --count) {
            if (kind == 5)
                value.push_back(draw(depth - 1));
            else
                value[fmt::format("k{}\"", random() % 9)] = draw(depth - 1);
        }
        return value;
    };
    for (int run = 0; run < 2'000; ++run) {
        const auto value = json { { "list", json::array({ draw(4), draw(4) }) }, { "other", draw(4) } };
        const auto text = value.dump(static_cast<int>(random() % 3) - 1);
        const auto members = splitJsonObject(text);
        REQUIRE(isOk(members));
        REQUIRE(json::parse(findJsonMember(valueOf(members), "other")) == value.at("other"));
        const auto elements = splitJsonArray(findJsonMember(valueOf(members), "list"));
        REQUIRE(isOk(elements));
        REQUIRE(valueOf(elements).size() == 2);
        REQUIRE(json::parse(valueOf(elements)[1]) == value.at("list")[1]);
        REQUIRE(valueOf(readJson(text, { text.size(), 8 })) == value);
    }
}

TEST_CASE("text that is no JSON is an error, and its bounds hold", "[json-text]")
{
    for (const auto* text : { "", " ", "[", "[1", "[1,", "[1,]", "[,]", "[1]]", "[1]x", "[\"a]", "[\"a\\\"]", "{", "[}" }) {
        CAPTURE(text);
        CHECK_FALSE(isOk(splitJsonArray(text)));
    }
    for (const auto* text : { "", "[", "{1:2}", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{\"a\" 1}", "{\"a\":1}}", "{\"a" }) {
        CAPTURE(text);
        CHECK_FALSE(isOk(splitJsonObject(text)));
    }
    CHECK(isOk(readJson("[[1]]", { 5, 2 })));
    CHECK_FALSE(isOk(readJson("[[1]]", { 4, 2 })));
    CHECK_FALSE(isOk(readJson("[[1]]", { 5, 1 })));
    CHECK(errorOf(readJson("[\"" + std::string(5'000, '\x01') + "\"]", { 10'000, 1 })).message_.size() <= maxJsonErrorBytes);
    CHECK(readJsonNumber("-1") == std::nullopt);
    CHECK(readJsonNumber("1e3") == std::nullopt);
    CHECK(readJsonNumber("99999999999999999999") == std::nullopt);
    CHECK(readJsonString("\"a\\n\"", 10) == "a\n");
    CHECK(readJsonString("\"\\ud83d\"", 10) == std::nullopt);
    CHECK(readJsonString("1", 10) == std::nullopt);
}

// Bytes that change on the way, or that somebody wrote on purpose.
TEST_CASE("no change of a page's bytes ends the process", "[json-text]")
{
    json page { { "items", json::array() }, { "more", false }, { "current_rev", 12 } };
    for (int i = 0; i < 4; ++i)
        page["items"].push_back({ { "metadata", { { "name", fmt::format("i-{}", i) }, { "rev", i } } }, { "spec", listed({ "127.0.0.1", 9000 }) } });
    const auto text = page.dump();
    REQUIRE(valueOf(platform::readList(text, { 1'000, 8 })).objects_.size() == 4);
    std::mt19937 random(47);
    for (int run = 0; run < 20'000; ++run) {
        auto changed = text;
        for (auto count = 1 + random() % 3; count > 0; --count)
            changed[random() % changed.size()] = static_cast<char>(random());
        const auto read = platform::readList(changed, { 1'000, 8 });
        if (!isOk(read))
            continue;
        for (const auto& object : valueOf(read).objects_)
            REQUIRE(json::accept(object.text_));
    }
}
