#include "settings/gateway_settings.h"

#include "config/field_table.h"

#include <array>

namespace sapphirepass {

namespace {
    using Settings = GatewaySettings;
    using Row = SettingRowOf<Settings>;

    constexpr auto required = Presence::Required;
    constexpr auto optional = Presence::Optional;
    constexpr std::string_view addressExpected = "an IPv4 address and port, such as 127.0.0.1:8000";
    constexpr std::string_view shortTimeExpected = "a duration from 10ms to 10m";
    constexpr Bounds shortTime { 10, 600'000 };

    // Empty for none.
    auto isSeedList(std::string_view text) -> bool
    {
        if (text.empty())
            return true;
        const auto comma = text.find(',');
        const bool first = parseSocketAddress(text.substr(0, comma)).has_value();
        return first && (comma == std::string_view::npos || isSeedList(text.substr(comma + 1)));
    }

    auto isAutoAlwaysNever(std::string_view text) -> bool { return text == "auto" || text == "always" || text == "never"; }

    auto isSwitch(std::string_view text) -> bool { return text == "on" || text == "off"; }

    auto isAnyText(std::string_view) -> bool { return true; }

    constexpr std::array table {
        Row { "instance", textField<&Settings::name_, isName>("name", required, "a name, unique among the instances") },
        Row { "instance", textField<&Settings::region_, isName>("region", required, "the name of a region") },
        Row { "instance", textField<&Settings::domain_, isName>("domain", required, "the name of a failure domain") },
        Row { "instance", valueField<&Settings::front_>("front", required, addressExpected) },
        Row { "instance", valueField<&Settings::directory_>("directory", required, addressExpected) },
        Row { "instance", valueField<&Settings::ready_>("ready", required, addressExpected) },
        Row { "instance", valueField<&Settings::control_>("control", required, addressExpected) },
        Row { "instance", valueField<&Settings::peer_>("peer", required, addressExpected) },
        Row { "instance", valueField<&Settings::grace_>("grace", optional, shortTimeExpected, shortTime) },
        Row { "store", valueField<&Settings::store_>("address", required, addressExpected) },
        Row { "store", valueField<&Settings::storeTimeout_>("timeout", optional, shortTimeExpected, shortTime) },
        Row { "deployment", textField<&Settings::features_, isAnyText>("features", optional, "names separated by commas; the platform's adapter reads them") },
        Row { "fleet", textField<&Settings::seeds_, isSeedList>("seeds", optional, "addresses IP:PORT separated by commas") },
        Row { "fleet", valueField<&Settings::silence_>("silence", optional, shortTimeExpected, shortTime) },
        Row { "fleet", valueField<&Settings::reserve_>("reserve", optional, shortTimeExpected, shortTime) },
        Row { "directory", valueField<&Settings::directoryTtl_>("ttl", optional, shortTimeExpected, shortTime) },
        Row { "upstreams", valueField<&Settings::drain_>("drain", optional, shortTimeExpected, shortTime) },
        Row { "rates", valueField<&Settings::rateWindow_>("window", optional, shortTimeExpected, shortTime) },
        Row { "rates", valueField<&Settings::rateOver_>("over", optional, "part of the allowed requests, 0 to 10", Bounds { 0, 10 }) },
        Row { "rates", valueField<&Settings::rateSlack_>("slack", optional, "requests, 0 to 1000000", Bounds { 0, 1'000'000 }) },
        Row { "retries", valueField<&Settings::retryRatio_>("ratio", optional, "retries per request, 0 to 10", Bounds { 0, 10 }) },
        Row { "retries", valueField<&Settings::retrySlack_>("slack", optional, "retries, 0 to 1000000", Bounds { 0, 1'000'000 }) },
        Row { "retries", valueField<&Settings::retryWindow_>("window", optional, shortTimeExpected, shortTime) },
        Row { "memory", valueField<&Settings::memoryMb_>("process-mb", optional, "megabytes, 32 to 1000000", Bounds { 32, 1'000'000 }) },
        Row { "placement", textField<&Settings::expectedEnd_, isAutoAlwaysNever>("expected-end", optional, "auto, always or never") },
        Row { "placement", textField<&Settings::regionDemand_, isAutoAlwaysNever>("region-demand", optional, "auto, always or never") },
        Row { "admission", textField<&Settings::admissionByRoom_, isSwitch>("by-room", optional, "on or off") },
        Row { "log", valueField<&Settings::logBytesPerSecond_>("bytes-per-second", optional, "bytes, 1024 to 10000000", Bounds { 1'024, 10'000'000 }) },
        Row { "log", valueField<&Settings::logSuccessSample_>("success-sample", optional, "one of so many, 1 to 1000000", Bounds { 1, 1'000'000 }) },
    };

    auto acceptDomain(Settings& settings, std::string_view section, std::string_view name, std::string_view value) -> bool
    {
        if (section != "domains" || !isName(name) || !isName(value))
            return false;
        settings.domains_[std::string(name)] = std::string(value);
        return true;
    }
}

auto gatewaySettingTable() -> std::span<const SettingRowOf<GatewaySettings>>
{
    return table;
}

auto parseGatewaySettings(const std::string& text) -> Result<GatewaySettings, SettingsViolations>
{
    return IniTable<GatewaySettings>(table, acceptDomain).parse(text);
}

auto loadGatewaySettings(const std::string& path) -> Result<GatewaySettings, SettingsViolations>
{
    return IniTable<GatewaySettings>(table, acceptDomain).load(path);
}

} // namespace sapphirepass
