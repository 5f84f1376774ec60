#include "config/command_func.h"
#include "config/key_func.h"
#include "language/command_parser.h"
#include "language/query.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sapphirepass;

namespace {

// The snapshot after applying valid commands.
auto declared(std::string_view text) -> Snapshot
{
    return valueOf(applyBatch(Snapshot {}, valueOf(parseBatch(text))));
}

auto applyError(const Snapshot& snapshot, std::string_view text) -> ConfigErrorKind
{
    return errorOf(applyBatch(snapshot, valueOf(parseBatch(text)))).kind_;
}

}

TEST_CASE("syntax errors have a location and describe what was expected", "[language]")
{
    const auto [text, location, expected] = GENERATE(table<std::string, SourceLocation, std::string>({
        { "declare workspace acme rate 0 burst 5", { 1, 29 }, "1 to 1000000" },
        { "declare workspace acme rat 10", { 1, 24 }, "rate, burst" },
        { "declare workspace acme rate 10", { 1, 19 }, "burst" },
        { "declare\n", { 1, 8 }, "whitespace" },
        { "declare region luzon\nfly region x", { 2, 1 }, "declare, change" },
        { "change key k workspace a", { 1, 8 }, "issue a new key" },
        { "show upstreams where", { 1, 21 }, "whitespace" },
        { "declare workspace \"a", { 1, 21 }, "closing quote" },
        { "issue region luzon", { 1, 7 }, "key after issue" },
        { "declare block 10.1.2.3/16 region luzon", { 1, 15 }, "prefix" },
    }));
    CAPTURE(text);
    auto error = LanguageError {};
    if (const auto statements = parseStatements(text); !isOk(statements))
        error = errorOf(statements);
    else
        error = errorOf(parseBatch(text));
    CHECK(error.location_ == location);
    CHECK_THAT(error.message_, Catch::Contains(expected));
}

TEST_CASE("a batch is unchanged by a round trip through its canonical text", "[language]")
{
    const auto batch = parseBatch("declare region luzon # comment\nretire workspace acme force; change upstream u slots 3 state draining\nwithdraw key k");
    REQUIRE(isOk(batch));
    CHECK(valueOf(parseBatch(formatBatch(valueOf(batch)))) == valueOf(batch));
}

TEST_CASE("any text is parsed or yields an error that can be rendered", "[language]")
{
    rc::prop("any text", [](const std::string& text) {
        const auto statements = parseStatements(text);
        if (!isOk(statements))
            RC_ASSERT(!renderError(errorOf(statements), text).empty());
    });
}

TEST_CASE("commands that break a reference are rejected", "[config]")
{
    const auto snapshot = declared("declare region luzon; declare domain l1 region luzon; declare workspace acme rate 10 burst 5; issue key k workspace acme");
    CHECK(applyError(snapshot, "declare region luzon") == ConfigErrorKind::AlreadyDeclared);
    CHECK(applyError(snapshot, "declare domain c1 region cebu") == ConfigErrorKind::UnknownReference);
    CHECK(applyError(snapshot, "retire region luzon") == ConfigErrorKind::StillUsed);
    CHECK(applyError(snapshot, "change region cebu limit 3") == ConfigErrorKind::UnknownItem);
    const auto retired = valueOf(applyBatch(snapshot, valueOf(parseBatch("retire workspace acme force"))));
    CHECK(retired.find<Key>("k") == nullptr);
    CHECK(applyError(retired, "declare workspace acme rate 1 burst 1; issue key k workspace acme") == ConfigErrorKind::KeyWithdrawn);
}

TEST_CASE("the state hash depends on the content only", "[config]")
{
    const auto one = declared("declare region luzon; declare region cebu; retire region cebu");
    const auto two = declared("declare region luzon");
    CHECK(one.stateHash() == two.stateHash());
    CHECK(one.stateHash() != declared("declare region cebu").stateHash());
}

TEST_CASE("only the issued secret matches a key", "[config]")
{
    const auto issued = issueKey("k", "acme");
    const auto presented = parsePresentedKey(issued.bearer_);
    REQUIRE(presented);
    CHECK(matchesKey(issued.key_, presented->secret_));
    auto other = std::string(presented->secret_);
    other[0] = other[0] == '0' ? '1' : '0';
    CHECK_FALSE(matchesKey(issued.key_, other));
    CHECK_FALSE(parsePresentedKey("k.short"));
}

TEST_CASE("query conditions support and, or and durations", "[language]")
{
    const auto snapshot = declared("declare route a path /a service s deadline 500ms; declare route b path /b service s deadline 2s access open;"
                                   "declare route c path /c service t deadline 1m");
    const auto [conditions, names] = GENERATE(table<std::string, std::vector<std::string>>({
        { "service = s and access = open", { "b" } },
        { "name = a or service = t", { "a", "c" } },
        { "service = s and access = open or service = t and deadline > 30s", { "b", "c" } },
        { "deadline < 3s", { "a", "b" } },
        { "deadline >= 2000ms", { "b", "c" } },
        { "path ~ /c or path ~ /d", { "c" } },
        { "name != a", { "b", "c" } },
    }));
    CAPTURE(conditions);
    const auto statements = valueOf(parseStatements("show routes where " + conditions));
    const auto result = valueOf(runQuery(*declaredRows(snapshot, "routes"), std::get<QueryStatement>(statements.front())));
    std::vector<std::string> found;
    for (const auto& row : result.rows_)
        found.push_back(row.front());
    CHECK(found == names);
}

TEST_CASE("the error for an unknown field in a query has its location", "[language]")
{
    const auto [text, column] = GENERATE(table<std::string, std::size_t>({ { "show regions where limt = 3", 20 }, { "show regions sort limt", 19 }, { "show regions where limit = 1 or nam = a", 33 } }));
    const auto statements = valueOf(parseStatements(text));
    const auto error = errorOf(runQuery(*declaredRows(Snapshot {}, "regions"), std::get<QueryStatement>(statements.front())));
    CHECK(error.location_ == SourceLocation { 1, column });
    CHECK_THAT(error.message_, Catch::Contains("name, limit"));
}

TEST_CASE("queries filter, sort and limit rows", "[language]")
{
    const auto snapshot = declared("declare workspace a rate 10 burst 5; declare workspace b rate 9 burst 5; declare workspace c rate 100 burst 5");
    const auto rows = declaredRows(snapshot, "workspaces");
    REQUIRE(rows);
    const auto statements = valueOf(parseStatements("show workspaces where rate >= 10 and name != a sort rate desc limit 1"));
    const auto result = valueOf(runQuery(*rows, std::get<QueryStatement>(statements.front())));
    CHECK(result.rows_ == std::vector<std::vector<std::string>> { { "c", "100", "5" } });
}
