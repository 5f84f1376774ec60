// Reads an INI file against a table of settings and reports every violation with its line.
#pragma once

#include "base/field.h"
#include "base/result.h"
#include "base/texts.h"

#include <fstream>
#include <functional>
#include <ini.h>
#include <set>
#include <span>
#include <sstream>
#include <string>
#include <vector>

namespace sapphirepass {

struct SettingsViolation {
    // Line in the file, from 1; 0 where a required setting is missing.
    int line_ = 0;
    std::string message_;

    auto operator<=>(const SettingsViolation&) const = default;
};

using SettingsViolations = std::vector<SettingsViolation>;

// One row: section, field, unit or form, bounds. The default is the member's initial value.
template <typename T>
struct SettingRowOf {
    std::string_view section_;
    Field<T> field_;
};

// Takes settings whose names are not known beforehand; false if this section is no such.
template <typename T>
using OpenSection = std::function<bool(T& settings, std::string_view section, std::string_view name, std::string_view value)>;

// inih reports only the first malformed line, so each one is looked for here.
auto addMalformedLines(const std::string& text, SettingsViolations& violations) -> void;
// Nothing if the file cannot be read.
auto readSettingsFile(const std::string& path) -> std::optional<std::string>;

template <typename T>
class IniTable {
public:
    explicit IniTable(std::span<const SettingRowOf<T>> rows, OpenSection<T> open = nullptr)
        : rows_(rows)
        , open_(std::move(open))
    {
    }

    // All violations at once, in the order of lines.
    auto parse(const std::string& text) const -> Result<T, SettingsViolations>
    {
        Reader reader { std::istringstream(text), 0, {}, {}, {}, *this };
        ini_parse_stream(readLine, &reader, acceptSetting, &reader);
        auto violations = std::move(reader.violations_);
        addMalformedLines(text, violations);
        for (const auto& row : rows_) {
            const bool given = reader.seen_.contains(fmt::format("{}.{}", row.section_, row.field_.name_));
            if (row.field_.presence_ == Presence::Required && !given)
                violations.push_back({ 0, fmt::format(texts::settingMissing, row.section_, row.field_.name_, row.field_.expected_) });
        }
        if (violations.empty())
            return reader.settings_;
        std::sort(violations.begin(), violations.end());
        return violations;
    }

    auto load(const std::string& path) const -> Result<T, SettingsViolations>
    {
        const auto text = readSettingsFile(path);
        if (!text)
            return SettingsViolations { SettingsViolation { 0, std::string(texts::fileUnreadable) } };
        return parse(*text);
    }

private:
    // Hands the text to inih line by line and counts the lines, which inih does not tell its handler.
    struct Reader {
        std::istringstream in_;
        int line_ = 0;
        T settings_;
        SettingsViolations violations_;
        std::set<std::string> seen_;
        const IniTable& table_;
    };

    static auto readLine(char* buffer, int size, void* stream) -> char*
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

    static auto acceptSetting(void* user, const char* section, const char* name, const char* value) -> int
    {
        auto& reader = *static_cast<Reader*>(user);
        const auto& table = reader.table_;
        const auto addViolation = [&reader](std::string message) { reader.violations_.push_back({ reader.line_, std::move(message) }); };
        for (const auto& row : table.rows_) {
            if (row.section_ != section || row.field_.name_ != name)
                continue;
            if (!reader.seen_.insert(fmt::format("{}.{}", section, name)).second)
                addViolation(fmt::format(texts::settingDuplicate, section, name));
            else if (!row.field_.parse_(row.field_, value, reader.settings_))
                addViolation(fmt::format(texts::settingInvalid, section, name, row.field_.expected_, value));
            return 1;
        }
        if (!table.open_ || !table.open_(reader.settings_, section, name, value))
            addViolation(fmt::format(texts::settingUnknown, section, name));
        return 1;
    }

    std::span<const SettingRowOf<T>> rows_;
    OpenSection<T> open_;
};

// FILE:LINE: message
auto renderViolation(const std::string& path, const SettingsViolation& violation) -> std::string;

} // namespace sapphirepass
