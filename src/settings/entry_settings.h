// Settings of the entry daemon, read from an INI file and checked against one table.
#pragma once

#include "base/event_type.h"
#include "settings/ini_table.h"

#include <compare>
#include <span>
#include <string>
#include <vector>

namespace sapphirepass {

struct EntrySettings {
    // Identity and place of the instance.
    std::string name_;
    std::string region_;
    std::string domain_;
    SocketAddress http_;
    SocketAddress peer_;
    // The platform's object API.
    SocketAddress store_;
    std::chrono::milliseconds storeTimeout_ { 2'000 };
    // Upper bound of instances that the fleet may have at once.
    std::int64_t maxInstances_ = 12;
    // Peers to ask while no other instance is known: IP:PORT, separated by commas.
    std::string seeds_;
    std::int64_t maxHeaderBytes_ = 16 * 1024;
    std::int64_t threads_ = 8;
    // Requests that wait for a slot of one service, at most.
    std::int64_t queueLength_ = 1'000;
    std::chrono::milliseconds queueWait_ { 1'000 };
    LogLevel logLevel_ = LogLevel::Info;

    auto operator<=>(const EntrySettings&) const = default;
};

using SettingRow = SettingRowOf<EntrySettings>;

auto entrySettingTable() -> std::span<const SettingRow>;

// All violations at once, in the order of lines.
auto parseEntrySettings(const std::string& text) -> Result<EntrySettings, SettingsViolations>;
auto loadEntrySettings(const std::string& path) -> Result<EntrySettings, SettingsViolations>;

} // namespace sapphirepass
