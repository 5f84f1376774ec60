// The operators' client against the daemon's operator API.
#include "operator/run_ctl.h"
#include "standin/local_entry_http.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace sapphirepass;

namespace {

struct CtlResult {
    CtlExit exit_;
    std::string out_;
    std::string err_;
};

class Desk {
public:
    auto run(const std::string& text, CtlOptions options = {}) -> CtlResult
    {
        options.entry_ = entry_.address();
        options.who_ = "ana";
        std::ostringstream out;
        std::ostringstream err;
        std::istringstream in(text);
        const auto exit = runCtlBatch(options, in, out, err);
        return { exit, out.str(), err.str() };
    }

    auto runLines(const std::string& text) -> CtlResult
    {
        std::ostringstream out;
        std::ostringstream err;
        std::istringstream in(text);
        CtlOptions options;
        options.entry_ = entry_.address();
        options.who_ = "ana";
        const auto exit = runCtlLines(options, in, out, err);
        return { exit, out.str(), err.str() };
    }

private:
    standin::LocalEntry entry_ { "declare region luzon" };
};

}

TEST_CASE("a batch is whole or nothing, lines are one by one", "[operator]")
{
    Desk desk;
    const auto refused = desk.run("declare region cebu\n# a comment\ndeclare domain d region nowhere\n");
    CHECK(refused.exit_ == CtlExit::Refused);
    CHECK_THAT(refused.err_, Catch::Contains("line 3, column 16") && Catch::Contains("'nowhere', which is not declared"));
    CHECK_THAT(desk.run("show regions").out_, !Catch::Contains("cebu"));
    const auto lines = desk.runLines("declare region cebu\n\ndeclare domain d region nowhere\ndeclare region panay\n");
    CHECK(lines.exit_ == CtlExit::Refused);
    CHECK_THAT(desk.run("show regions").out_, Catch::Contains("cebu") && !Catch::Contains("panay"));
}

TEST_CASE("a condition on the revision stops the later of two operators", "[operator]")
{
    Desk desk;
    const auto rows = nlohmann::json::parse(desk.run("declare region cebu", { {}, CtlOutput::Json, {}, false, {}, {} }).out_);
    const auto revision = rows.at("revision").get<std::int64_t>();
    CHECK(desk.run("declare region panay", { {}, CtlOutput::Table, {}, false, revision, {} }).exit_ == CtlExit::Done);
    const auto late = desk.run("declare region samar", { {}, CtlOutput::Table, {}, false, revision, {} });
    CHECK(late.exit_ == CtlExit::Refused);
    CHECK_THAT(late.err_, Catch::Contains("nothing was changed"));
}

TEST_CASE("the same id again gives the same revision and shows no secret", "[operator]")
{
    Desk desk;
    const CtlOptions options { {}, CtlOutput::Table, {}, false, {}, "order-7" };
    const std::string text = "declare workspace acme rate 1 burst 1; issue key k workspace acme";
    const auto first = desk.run(text, options);
    const auto again = desk.run(text, options);
    CHECK_THAT(first.out_, Catch::Contains("key k."));
    CHECK(again.exit_ == CtlExit::Done);
    CHECK(again.out_ == first.out_.substr(0, first.out_.find('\n') + 1));
    CHECK(desk.run("declare region other", options).exit_ == CtlExit::Refused);
}

TEST_CASE("retiring what is used names its users", "[operator]")
{
    Desk desk;
    REQUIRE(desk.run("declare domain d1 region luzon; declare domain d2 region luzon").exit_ == CtlExit::Done);
    const auto refused = desk.run("retire region luzon");
    CHECK(refused.exit_ == CtlExit::Refused);
    CHECK_THAT(refused.err_, Catch::Contains("domain 'd1', domain 'd2'") && Catch::Contains("force"));
    CHECK(desk.run("retire region luzon force", { {}, CtlOutput::Table, {}, true, {}, {} }).exit_ == CtlExit::Done);
    CHECK_THAT(desk.run("show domains").out_, Catch::Contains("d1"));
}

TEST_CASE("the language describes itself", "[operator]")
{
    Desk desk;
    CHECK_THAT(desk.run("show kinds").out_, Catch::Contains("workspace") && Catch::Contains("rate, burst"));
    CHECK_THAT(desk.run("show fields where kind = route and presence = required").out_, Catch::Contains("path") && !Catch::Contains("deadline"));
    const auto unknown = desk.run("show planets");
    CHECK(unknown.exit_ == CtlExit::Usage);
    CHECK_THAT(unknown.err_, Catch::Contains("kinds, fields"));
}
