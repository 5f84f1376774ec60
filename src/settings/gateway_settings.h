// Settings of the event-loop gateway, read from an INI file and checked against one table.
#pragma once

#include "settings/ini_table.h"

#include <map>

namespace sapphirepass {

struct GatewaySettings {
    // Identity and place of the instance.
    std::string name_;
    std::string region_;
    std::string domain_;
    // Where callers send requests, ask which instance to use, and where the platform asks for readiness.
    SocketAddress front_;
    SocketAddress directory_;
    SocketAddress ready_;
    // Operators' own address: metrics.
    SocketAddress control_;
    // Heartbeats between instances.
    SocketAddress peer_;
    // The platform's object store.
    SocketAddress store_;
    std::chrono::milliseconds storeTimeout_ { 1'500 };
    // Peers to greet at the start: IP:PORT of any of their listeners, separated by commas.
    std::string seeds_;
    // An instance that is silent for longer is not named to callers.
    std::chrono::milliseconds silence_ { 2'000 };
    // How long the share of a silent instance is kept for it.
    std::chrono::milliseconds reserve_ { 20'000 };
    // Longest time that callers may keep an answer of the directory.
    std::chrono::milliseconds directoryTtl_ { 3'000 };
    // From a request to stop until the process is ended.
    std::chrono::milliseconds grace_ { 6'000 };
    // Longest time for which an upstream may get requests after it has announced its end or was removed.
    std::chrono::milliseconds drain_ { 2'000 };
    // What a workspace may send beyond its rate and burst in a window.
    std::chrono::milliseconds rateWindow_ { 5'000 };
    double rateOver_ = 0;
    double rateSlack_ = 0;
    double retryRatio_ = 0.2;
    double retrySlack_ = 0;
    std::chrono::milliseconds retryWindow_ { 10'000 };
    // Names of what the platform offers the deployment or asks of it, in the platform's words; its adapter reads them.
    std::string features_;
    // Whether requests are placed by their expected end. auto: where upstreams report how long work takes, or the deployment's
    // features ask for it.
    std::string expectedEnd_ = "auto";
    // Whether the shares of requests that run in each region follow the demand in all regions. auto: for services whose requests are
    // placed by their expected end. Off by default: whole runs showed no gain for callers, and more bytes between regions.
    std::string regionDemand_ = "never";
    // Whether requests placed by their expected end are admitted by priority and fair share when their service is short of room. Off
    // by default: whole runs showed no gain for callers.
    std::string admissionByRoom_ = "off";
    std::int64_t logBytesPerSecond_ = 24 * 1024;
    // One ordinary success of so many is logged.
    std::int64_t logSuccessSample_ = 100;
    // Memory that the process may use.
    std::int64_t memoryMb_ = 256;
    // Region of each failure domain.
    std::map<std::string, std::string> domains_;

    auto operator<=>(const GatewaySettings&) const = default;
};

auto gatewaySettingTable() -> std::span<const SettingRowOf<GatewaySettings>>;
auto parseGatewaySettings(const std::string& text) -> Result<GatewaySettings, SettingsViolations>;
auto loadGatewaySettings(const std::string& path) -> Result<GatewaySettings, SettingsViolations>;

} // namespace sapphirepass
