// An experiment: what callers send, what is done to the deployment meanwhile. Read from an INI file.
#pragma once

#include "base/result.h"
#include "base/socket_address.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sapphirepass::load {

// What the callers of one workspace send.
struct WorkspaceLoad {
    std::string name_;
    // Requests a second, arriving at random.
    double rate_ = 0;
    // Part of the requests that are not idempotent, 0 to 1.
    double writes_ = 0;
    // Bytes of a write's body and of a read's answer.
    std::int64_t bytes_ = 100;
    // Requests that arrive at once at a time after the start.
    std::int64_t burst_ = 0;
    std::chrono::milliseconds burstAt_ { 0 };
    // As declared to the system; what the runs are checked against.
    double limitRate_ = 0;
    double limitBurst_ = 0;

    auto operator<=>(const WorkspaceLoad&) const = default;
};

enum class ActionKind {
    // Body for the stand-in store's faults.
    Store,
    // Settings for a stand-in upstream.
    Upstream,
    // A command for the system.
    Operate,
};

struct Action {
    std::chrono::milliseconds at_ { 0 };
    ActionKind kind_ = ActionKind::Operate;
    // Upstream's name, if it concerns one.
    std::string name_;
    std::string text_;
    // Workspace whose key ends, or upstream that leaves, with this action; checked afterwards.
    std::string withdraws_;
    std::string drains_;

    auto operator<=>(const Action&) const = default;
};

struct Experiment {
    std::string name_;
    std::uint64_t seed_ = 1;
    std::chrono::milliseconds duration_ { 10'000 };
    // Callers that send at the same time.
    std::int64_t callers_ = 64;
    // Whether a caller sends a non-idempotent request again, with the same idempotency key, after a lost answer.
    bool repeatLost_ = false;
    std::vector<WorkspaceLoad> workspaces_;
    std::vector<Action> actions_;

    auto operator<=>(const Experiment&) const = default;
};

// Where the deployment is, as tools/up writes it.
struct Addresses {
    SocketAddress store_;
    std::map<std::string, SocketAddress> entries_;
    std::map<std::string, SocketAddress> upstreams_;
    // Bearer keys by workspace.
    std::map<std::string, std::string> keys_;
};

// All violations at once.
using Violations = std::vector<std::string>;

auto parseExperiment(const std::string& text) -> Result<Experiment, Violations>;
auto parseAddresses(const std::string& text) -> Result<Addresses, Violations>;

} // namespace sapphirepass::load
