// docs/PROMISES.md names tests that exist, and has a row for each promise under each failure.
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace {

constexpr std::size_t promiseCount = 12;
constexpr std::size_t failureCount = 10;

auto readText(const std::filesystem::path& path) -> std::string
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Every first group of the matches.
auto findAll(const std::string& text, const std::string& pattern) -> std::vector<std::string>
{
    const std::regex expression(pattern);
    std::vector<std::string> found;
    for (auto match = std::sregex_iterator(text.begin(), text.end(), expression); match != std::sregex_iterator(); ++match)
        found.push_back((*match)[1]);
    return found;
}

auto testNames() -> std::set<std::string>
{
    std::set<std::string> names;
    for (const auto& file : std::filesystem::directory_iterator(std::filesystem::path(SOURCE_DIR "/tests"))) {
        for (const auto& name : findAll(readText(file.path()), "TEST_CASE\\(\"([^\"]+)\""))
            names.insert(name);
    }
    return names;
}

auto page() -> std::string
{
    return readText(SOURCE_DIR "/docs/PROMISES.md");
}

}

TEST_CASE("docs/PROMISES.md names only tests that exist", "[docs]")
{
    const auto names = testNames();
    const auto text = page();
    const auto tables = text.substr(text.find("| promise |"));
    for (const auto& name : findAll(tables, "`([^`]+)`")) {
        CAPTURE(name);
        CHECK(names.contains(name));
    }
}

TEST_CASE("docs/PROMISES.md has a row for each promise under each failure", "[docs]")
{
    const auto text = page();
    std::map<std::string, std::set<std::string>> rows;
    std::istringstream in(text.substr(text.find("| promise |"), text.find("## Pairs") - text.find("| promise |")));
    std::string line;
    std::getline(in, line);
    std::getline(in, line);
    const std::regex form("\\| ([^|]+) \\| ([^|]+) \\| (not tested|not applicable|`[^|]+`) \\|");
    std::smatch match;
    while (std::getline(in, line) && line.starts_with("|")) {
        CAPTURE(line);
        REQUIRE(std::regex_match(line, match, form));
        rows[match[1]].insert(match[2]);
    }
    CHECK(rows.size() == promiseCount);
    for (const auto& [promise, failures] : rows) {
        CAPTURE(promise);
        CHECK(failures.size() == failureCount);
    }
}

TEST_CASE("docs/PROMISES.md names a test of the gateway for each promise", "[docs]")
{
    const auto text = page();
    const auto section = text.find("## At the gateway");
    REQUIRE(section != std::string::npos);
    std::istringstream in(text.substr(text.find("| promise |", section)));
    std::string line;
    std::getline(in, line);
    std::getline(in, line);
    std::size_t promises = 0;
    for (; std::getline(in, line) && line.starts_with("|"); ++promises) {
        CAPTURE(line);
        CHECK_FALSE(findAll(line, "`([^`]+)`").empty());
    }
    CHECK(promises == promiseCount);
}

TEST_CASE("docs/design/platform.md names only tests that exist, one at least for each rule", "[docs]")
{
    const auto names = testNames();
    std::istringstream in(readText(SOURCE_DIR "/docs/design/platform.md"));
    std::string line;
    while (std::getline(in, line) && !line.starts_with("| rule |"))
        continue;
    std::getline(in, line);
    std::size_t rules = 0;
    for (; std::getline(in, line) && line.starts_with("|"); ++rules) {
        CAPTURE(line);
        const auto tests = findAll(line.substr(line.rfind("| `")), "`([^`]+)`");
        CHECK_FALSE(tests.empty());
        for (const auto& name : tests) {
            CAPTURE(name);
            CHECK(names.contains(name));
        }
    }
    CHECK(rules >= 18);
}
