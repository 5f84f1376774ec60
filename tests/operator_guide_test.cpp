// The operators' pages: commands are run, settings and metrics are compared with the code.
#include "operator/run_ctl.h"
#include "settings/entry_settings.h"
#include "standin/local_entry_http.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace sapphirepass;

namespace {

auto readText(const std::filesystem::path& path) -> std::string
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

auto page(const std::string& name) -> std::string
{
    return readText(std::filesystem::path(SOURCE_DIR) / "docs" / "operators" / name);
}

struct ShownCommand {
    bool testRun_;
    std::string text_;
};

auto shownCommands(const std::string& text) -> std::vector<ShownCommand>
{
    const std::regex form("\n    sapphirepass ctl --entry ADDRESS (--test_run )?'([^']+)'");
    std::vector<ShownCommand> commands;
    for (auto match = std::sregex_iterator(text.begin(), text.end(), form); match != std::sregex_iterator(); ++match)
        commands.push_back({ (*match)[1].matched, (*match)[2] });
    return commands;
}

// Names of the metrics that the code sets.
auto metricNames() -> std::set<std::string>
{
    const std::regex form("(?:increment|observe|set)\\(\\{ \"([a-z_]+)\"");
    std::set<std::string> names;
    for (const auto& file : std::filesystem::recursive_directory_iterator(std::filesystem::path(SOURCE_DIR) / "src")) {
        if (file.path().extension() != ".cpp" && file.path().extension() != ".h")
            continue;
        const auto text = readText(file.path());
        for (auto match = std::sregex_iterator(text.begin(), text.end(), form); match != std::sregex_iterator(); ++match)
            names.insert((*match)[1]);
    }
    return names;
}

}

TEST_CASE("every command of docs/operators/guide.md runs, in the order of the page", "[docs]")
{
    const auto text = page("guide.md");
    const auto commands = shownCommands(text);
    std::size_t shown = 0;
    for (auto at = text.find("sapphirepass ctl"); at != std::string::npos; at = text.find("sapphirepass ctl", at + 1))
        ++shown;
    CHECK(commands.size() == shown);
    REQUIRE(commands.size() > 20);
    const standin::LocalEntry entry("declare region elsewhere");
    for (const auto& command : commands) {
        CAPTURE(command.text_);
        CtlOptions options;
        options.entry_ = entry.address();
        options.who_ = "ana";
        options.testRun_ = command.testRun_;
        std::ostringstream out;
        std::ostringstream err;
        const auto exit = runCtlText(options, command.text_, out, err);
        CAPTURE(out.str(), err.str());
        CHECK(exit == CtlExit::Done);
    }
}

TEST_CASE("docs/operators/settings.md lists every setting", "[docs]")
{
    const auto text = page("settings.md");
    std::size_t rows = 0;
    for (const auto& row : entrySettingTable()) {
        const auto line = fmt::format("| {} | {} | {} | {} |", row.section_, row.field_.name_, row.field_.presence_ == Presence::Required ? "required" : "optional", row.field_.expected_);
        CAPTURE(line);
        CHECK(text.find(line) != std::string::npos);
        ++rows;
    }
    // Besides the rows: the table's two heading lines.
    std::size_t tableLines = 0;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);)
        tableLines += line.starts_with("|") ? 1 : 0;
    CHECK(tableLines == rows + 2);
}

TEST_CASE("docs/operators/metrics.md lists every metric", "[docs]")
{
    const auto text = page("metrics.md");
    const std::regex form("\n\\| `sapphirepass_([a-z_]+)` \\|");
    std::set<std::string> listed;
    for (auto match = std::sregex_iterator(text.begin(), text.end(), form); match != std::sregex_iterator(); ++match)
        listed.insert((*match)[1]);
    CHECK(listed == metricNames());
}
