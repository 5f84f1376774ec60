#include "settings/entry_settings.h"

#include "base/texts.h"
#include "config/field_table.h"

#include <array>
#include <cstring>
#include <fstream>
#include <ini.h>
#include <set>
#include <sstream>

namespace sapphirepass {

static constexpr std::array logLevels { Choice { LogLevel::Error, "error" }, Choice { LogLevel::Warning, "warning" }, Choice { LogLevel::Info, "info" }, Choice { LogLevel::Debug, "debug" } };
static auto choicesOf(LogLevel) -> const auto& { return logLevels; }

namespace {
    using Settings = EntrySettings;
    using Violations = std::vector<SettingsViolation>;

    constexpr auto required = Presence::Required;
    constexpr auto optional = Presence::Optional;
    constexpr std::string_view addressExpected = "an IPv4 address and port, such as 127.0.0.1:8000";

    auto isAddressList(std::string_view text) -> bool
    {
        const auto comma = text.find(',');
        const bool first = parseSocketAddress(text.substr(0, comma)).has_value();
        return first && (comma == std::string_view::npos || isAddressList(text.substr(comma + 1)));
    }

    constexpr std::array table {
        SettingRow { "instance", textField<&Settings::name_, isName>("name", required, "a name, unique among the instances that live at the same time") },
        SettingRow { "instance", textField<&Settings::region_, isName>("region", required, "the name of a region") },
        SettingRow { "instance", textField<&Settings::domain_, isName>("domain", required, "the name of a failure domain") },
        SettingRow { "instance", valueField<&Settings::http_>("http", required, addressExpected) },
        SettingRow { "instance", valueField<&Settings::peer_>("peer", required, addressExpected) },
        SettingRow { "store", valueField<&Settings::store_>("address", required, addressExpected) },
        SettingRow { "store", valueField<&Settings::storeTimeout_>("timeout", optional, "a duration from 10ms to 1m", Bounds { 10, 60'000 }) },
        SettingRow { "fleet", valueField<&Settings::maxInstances_>("max-instances", optional, "instances, 1 to 10000", Bounds { 1, 10'000 }) },
        SettingRow { "fleet", textField<&Settings::seeds_, isAddressList>("seeds", optional, "addresses IP:PORT separated by commas") },
        SettingRow { "limits", valueField<&Settings::maxHeaderBytes_>("header-bytes", optional, "bytes, 1024 to 1048576", Bounds { 1'024, 1'048'576 }) },
        SettingRow { "limits", valueField<&Settings::threads_>("threads", optional, "threads, 2 to 64", Bounds { 2, 64 }) },
        SettingRow { "limits", valueField<&Settings::queueLength_>("queue-length", optional, "requests, 1 to 100000", Bounds { 1, 100'000 }) },
        SettingRow { "limits", valueField<&Settings::queueWait_>("queue-wait", optional, "a duration from 1ms to 1m", Bounds { 1, 60'000 }) },
        SettingRow { "log", valueField<&Settings::logLevel_>("level", optional, "error, warning, info or debug") },
    };

    // Hands the text to inih line by line and counts the lines, which inih does not tell its handler.
    struct Reader {
        std::istringstream in_;
        int line_ = 0;
        EntrySettings settings_;
        Violations violations_;
        std::set<std::string> seen_;
    };

    auto readLine(char* buffer, int size, void* stream) -> char*
    {
        auto& reader = *static_cast<Reader*>(stream);
        std::string line;
        if (!std::getline(reader.in_, line))
            return nullptr;
        ++reader.line_;
        // A longer line is cut and so refused as a bad value.
        const auto length = line.copy(buffer, static_cast<std::size_t>(size) - 1);
        buffer[length] = '\0';
        return buffer;
    }

    auto acceptSetting(void* user, const char* section, const char* name, const char* value) -> int
    {
        auto& reader = *static_cast<Reader*>(user);
        const auto addViolation = [&reader](std::string message) { reader.violations_.push_back({ reader.line_, std::move(message) }); };
        for (const auto& row : table) {
            if (row.section_ != section || row.field_.name_ != name)
                continue;
            if (!reader.seen_.insert(fmt::format("{}.{}", section, name)).second)
                addViolation(fmt::format(texts::settingTwice, section, name));
            else if (!row.field_.read_(row.field_, value, reader.settings_))
                addViolation(fmt::format(texts::settingBad, section, name, row.field_.expected_, value));
            return 1;
        }
        addViolation(fmt::format(texts::settingUnknown, section, name));
        return 1;
    }

    // inih reports only the first malformed line, so each one is looked for here.
    auto addMalformedLines(const std::string& text, Violations& violations) -> void
    {
        std::istringstream in(text);
        std::string line;
        for (int number = 1; std::getline(in, line); ++number) {
            const auto start = line.find_first_not_of(" \t\r");
            if (start == std::string::npos || line[start] == '#' || line[start] == ';')
                continue;
            const bool section = line[start] == '[' && line.find(']') != std::string::npos;
            if (!section && line.find_first_of("=:") == std::string::npos)
                violations.push_back({ number, std::string(texts::settingLineBad) });
        }
    }

    auto addMissing(const Reader& reader, Violations& violations) -> void
    {
        for (const auto& row : table) {
            const bool given = reader.seen_.contains(fmt::format("{}.{}", row.section_, row.field_.name_));
            if (row.field_.presence_ == required && !given)
                violations.push_back({ 0, fmt::format(texts::settingMissing, row.section_, row.field_.name_, row.field_.expected_) });
        }
    }
}

auto entrySettingTable() -> std::span<const SettingRow>
{
    return table;
}

auto parseEntrySettings(const std::string& text) -> Result<EntrySettings, std::vector<SettingsViolation>>
{
    Reader reader { std::istringstream(text), 0, {}, {}, {} };
    ini_parse_stream(readLine, &reader, acceptSetting, &reader);
    auto violations = std::move(reader.violations_);
    addMalformedLines(text, violations);
    addMissing(reader, violations);
    if (violations.empty())
        return reader.settings_;
    std::sort(violations.begin(), violations.end());
    return violations;
}

auto loadEntrySettings(const std::string& path) -> Result<EntrySettings, std::vector<SettingsViolation>>
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
        return std::vector { SettingsViolation { 0, std::string(texts::fileUnreadable) } };
    return parseEntrySettings(text.str());
}

auto renderViolation(const std::string& path, const SettingsViolation& violation) -> std::string
{
    return violation.line_ == 0 ? fmt::format("{}: {}", path, violation.message_) : fmt::format("{}:{}: {}", path, violation.line_, violation.message_);
}

} // namespace sapphirepass
