#include "settings/ini_table.h"

namespace sapphirepass {

auto addMalformedLines(const std::string& text, SettingsViolations& violations) -> void
{
    std::istringstream in(text);
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
        const auto start = line.find_first_not_of(" \t\r");
        if (start == std::string::npos || line[start] == '#' || line[start] == ';')
            continue;
        const bool section = line[start] == '[' && line.find(']') != std::string::npos;
        if (!section && line.find_first_of("=:") == std::string::npos)
            violations.push_back({ number, std::string(texts::settingLineInvalid) });
    }
}

auto readSettingsFile(const std::string& path) -> std::optional<std::string>
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        return std::nullopt;
    return text.str();
}

auto renderViolation(const std::string& path, const SettingsViolation& violation) -> std::string
{
    return violation.line_ == 0 ? fmt::format("{}: {}", path, violation.message_) : fmt::format("{}:{}: {}", path, violation.line_, violation.message_);
}

} // namespace sapphirepass
