// One gateway as a process of its own. Only processes that it started are ever signalled.
#pragma once

#include "settings/gateway_settings.h"

#include <optional>
#include <string>
#include <sys/types.h>

namespace sapphirepass::soak {

struct Programs {
    std::string current_;
    // Used for the first start of each gateway, for a rolling replacement; empty for the same.
    std::string before_;
};

struct GatewayPlan {
    Programs programs_;
    std::string folder_;
    GatewaySettings settings_;
};

// What a process was asked for from outside.
struct AskedEnd {
    bool isStop_ = false;
    bool isKill_ = false;
};

// Why the end of a process is not the one asked for; empty if it is.
auto faultOfEnd(int waitStatus, const AskedEnd& asked) -> std::string;

class GatewayProcess {
public:
    explicit GatewayProcess(GatewayPlan plan);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    auto operator=(const GatewayProcess&) -> GatewayProcess& = delete;

    auto start() -> void;
    auto signal(int number) -> void;
    // The exit status once the process has ended, told once.
    auto ended() -> std::optional<int>;
    auto isRunning() const -> bool { return pid_ > 0; }
    auto logPath() const -> std::string;
    auto settings() const -> const GatewaySettings& { return plan_.settings_; }

private:
    GatewayPlan plan_;
    bool wasStarted_ = false;
    pid_t pid_ = 0;
};

} // namespace sapphirepass::soak
