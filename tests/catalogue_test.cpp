// The reference tables in docs/ match the code.
#include "base/event_log.h"
#include "language/reference_rows.h"
#include "settings/gateway_settings.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

using namespace sapphirepass;

namespace {

auto readPage(const std::string& path) -> std::string
{
    std::ifstream file(std::string(SOURCE_DIR) + "/" + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

}

TEST_CASE("docs/LOG_EVENTS.md lists every event", "[docs]")
{
    const auto page = readPage("docs/LOG_EVENTS.md");
    for (const auto& event : eventTable) {
        const auto row = fmt::format("| {} | {} | {} | {} |", static_cast<int>(event.id_), logLevelName(event.level_), event.name_, event.description_);
        CAPTURE(row);
        CHECK(page.find(row) != std::string::npos);
    }
    CHECK(static_cast<std::size_t>(std::count(page.begin(), page.end(), '\n')) == eventTable.size() + 10);
}

TEST_CASE("event numbers are ascending and have descriptions", "[docs]")
{
    for (std::size_t i = 1; i < eventTable.size(); ++i)
        CHECK(eventTable[i - 1].id_ < eventTable[i].id_);
    CHECK(describeEvent(EventId::AnswerCut).name_ == "answer-cut");
}

TEST_CASE("docs/operators/language.md lists every kind and field", "[docs]")
{
    const auto page = readPage("docs/operators/language.md");
    std::size_t rows = 0;
    for (const auto* subject : { "kinds", "fields" }) {
        const auto reference = *referenceRows(subject);
        for (const auto& cells : reference.rows_) {
            const auto row = fmt::format("| {} |\n", fmt::join(cells, " | "));
            CAPTURE(row);
            CHECK(page.find(row) != std::string::npos);
            ++rows;
        }
    }
    // The two tables have no other rows than these, a header and a separator each.
    std::size_t tableLines = 0;
    for (std::size_t at = page.find("\n| ", page.find("## Kinds")); at != std::string::npos; at = page.find("\n| ", at + 1))
        ++tableLines;
    CHECK(tableLines == rows + 4);
}

TEST_CASE("docs/operators/gateway-settings.md lists every setting", "[docs]")
{
    const auto page = readPage("docs/operators/gateway-settings.md");
    for (const auto& row : gatewaySettingTable()) {
        const auto* needed = row.field_.presence_ == Presence::Required ? "required" : "optional";
        const auto line = fmt::format("| {} | {} | {} | {} |\n", row.section_, row.field_.name_, needed, row.field_.expected_);
        CAPTURE(line);
        CHECK(page.find(line) != std::string::npos);
    }
    const auto lines = static_cast<std::size_t>(std::count(page.begin(), page.end(), '\n'));
    CHECK(lines == gatewaySettingTable().size() + 8);
}
