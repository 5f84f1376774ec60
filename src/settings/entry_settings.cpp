#include "settings/entry_settings.h"

#include "config/field_table.h"

#include <array>

namespace sapphirepass {

static constexpr std::array logLevels { Choice { LogLevel::Error, "error" }, Choice { LogLevel::Warning, "warning" }, Choice { LogLevel::Info, "info" }, Choice { LogLevel::Debug, "debug" } };
static auto choicesOf(LogLevel) -> const auto& { return logLevels; }

namespace {
    using Settings = EntrySettings;

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
}

auto entrySettingTable() -> std::span<const SettingRow>
{
    return table;
}

auto parseEntrySettings(const std::string& text) -> Result<EntrySettings, SettingsViolations>
{
    return IniTable<EntrySettings>(table).parse(text);
}

auto loadEntrySettings(const std::string& path) -> Result<EntrySettings, SettingsViolations>
{
    return IniTable<EntrySettings>(table).load(path);
}

} // namespace sapphirepass
