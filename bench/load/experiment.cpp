#include "bench/load/experiment.h"

#include "base/field.h"
#include "base/text_func.h"

#include <fmt/format.h>
#include <ini.h>

namespace sapphirepass::load {

namespace {
    constexpr Bounds anyCount { 0, 1'000'000'000 };
    constexpr std::int64_t perMille = 1'000;
    constexpr std::string_view workspacePrefix = "workspace ";
    constexpr std::string_view actionPrefix = "action ";

    struct Entry {
        std::string section_;
        std::string name_;
        std::string value_;
    };

    auto readEntries(const std::string& text) -> std::vector<Entry>
    {
        std::vector<Entry> entries;
        const auto add = [](void* user, const char* section, const char* name, const char* value) {
            static_cast<std::vector<Entry>*>(user)->push_back({ section, name, value });
            return 1;
        };
        ini_parse_string(text.c_str(), add, &entries);
        return entries;
    }

    auto readCount(const std::string& text, std::int64_t& into) -> bool
    {
        const auto number = parseNumber(text, anyCount);
        into = number.value_or(0);
        return number.has_value();
    }

    auto readMillis(const std::string& text, std::chrono::milliseconds& into) -> bool
    {
        std::int64_t count = 0;
        const bool good = text.ends_with("ms") && readCount(text.substr(0, text.size() - 2), count);
        into = std::chrono::milliseconds(count);
        return good;
    }

    auto readReal(const std::string& text, double& into) -> bool
    {
        std::int64_t count = 0;
        const bool good = readCount(text, count);
        into = static_cast<double>(count);
        return good;
    }

    auto readFlag(const std::string& text, bool& into) -> bool
    {
        into = text == "yes";
        return text == "yes" || text == "no";
    }

    auto readGeneral(const Entry& entry, Experiment& experiment) -> bool
    {
        std::int64_t number = 0;
        if (entry.name_ == "name") {
            experiment.name_ = entry.value_;
            return !entry.value_.empty();
        }
        if (entry.name_ == "seed") {
            const bool good = readCount(entry.value_, number);
            experiment.seed_ = static_cast<std::uint64_t>(number);
            return good;
        }
        if (entry.name_ == "duration")
            return readMillis(entry.value_, experiment.duration_);
        if (entry.name_ == "callers")
            return readCount(entry.value_, experiment.callers_) && experiment.callers_ > 0;
        return entry.name_ == "repeat-lost" && readFlag(entry.value_, experiment.repeatLost_);
    }

    auto readWorkspace(const Entry& entry, WorkspaceLoad& workspace) -> bool
    {
        if (entry.name_ == "rate")
            return readReal(entry.value_, workspace.rate_);
        if (entry.name_ == "writes-per-mille") {
            const bool good = readReal(entry.value_, workspace.writes_) && workspace.writes_ <= perMille;
            workspace.writes_ /= perMille;
            return good;
        }
        if (entry.name_ == "bytes")
            return readCount(entry.value_, workspace.bytes_);
        if (entry.name_ == "burst")
            return readCount(entry.value_, workspace.burst_);
        if (entry.name_ == "burst-at")
            return readMillis(entry.value_, workspace.burstAt_);
        if (entry.name_ == "limit-rate")
            return readReal(entry.value_, workspace.limitRate_);
        return entry.name_ == "limit-burst" && readReal(entry.value_, workspace.limitBurst_);
    }

    auto readAction(const Entry& entry, Action& action) -> bool
    {
        if (entry.name_ == "at")
            return readMillis(entry.value_, action.at_);
        if (entry.name_ == "withdraws")
            action.withdraws_ = entry.value_;
        else if (entry.name_ == "drains")
            action.drains_ = entry.value_;
        else if (entry.name_ == "upstream-name")
            action.name_ = entry.value_;
        else if (entry.name_ == "store" || entry.name_ == "upstream" || entry.name_ == "operate") {
            action.kind_ = entry.name_ == "store" ? ActionKind::Store : entry.name_ == "upstream" ? ActionKind::Upstream
                                                                                                  : ActionKind::Operate;
            action.text_ = entry.value_;
        } else
            return false;
        return !entry.value_.empty();
    }

    auto readEntry(const Entry& entry, Experiment& experiment, std::map<std::string, WorkspaceLoad>& workspaces, std::map<std::string, Action>& actions) -> bool
    {
        if (entry.section_ == "experiment")
            return readGeneral(entry, experiment);
        // Read by tools/experiment.
        if (entry.section_ == "processes")
            return entry.name_ == "replace-at" || entry.name_ == "kill-at" || entry.name_ == "kill-domain" || entry.name_ == "prepare" || entry.name_ == "entries";
        if (entry.section_.starts_with(workspacePrefix)) {
            const auto name = entry.section_.substr(workspacePrefix.size());
            auto& workspace = workspaces[name];
            workspace.name_ = name;
            return readWorkspace(entry, workspace);
        }
        return entry.section_.starts_with(actionPrefix) && readAction(entry, actions[entry.section_]);
    }

    auto readAddress(const std::string& text, Violations& violations) -> SocketAddress
    {
        const auto address = parseSocketAddress(text);
        if (!address)
            violations.push_back(fmt::format("not an address: {}", text));
        return address.value_or(SocketAddress {});
    }
}

auto parseExperiment(const std::string& text) -> Result<Experiment, Violations>
{
    Experiment experiment;
    Violations violations;
    std::map<std::string, WorkspaceLoad> workspaces;
    std::map<std::string, Action> actions;
    for (const auto& entry : readEntries(text)) {
        if (!readEntry(entry, experiment, workspaces, actions))
            violations.push_back(fmt::format("[{}] {} = {}: unknown or out of bounds", entry.section_, entry.name_, entry.value_));
    }
    for (const auto& [name, workspace] : workspaces)
        experiment.workspaces_.push_back(workspace);
    for (const auto& [name, action] : actions)
        experiment.actions_.push_back(action);
    std::sort(experiment.actions_.begin(), experiment.actions_.end());
    if (experiment.name_.empty() || workspaces.empty())
        violations.emplace_back("an experiment needs a name and a workspace");
    if (!violations.empty())
        return violations;
    return experiment;
}

auto parseAddresses(const std::string& text) -> Result<Addresses, Violations>
{
    Addresses addresses;
    Violations violations;
    for (const auto& entry : readEntries(text)) {
        if (entry.section_ == "store")
            addresses.store_ = readAddress(entry.value_, violations);
        else if (entry.section_ == "entries")
            addresses.entries_[entry.name_] = readAddress(entry.value_, violations);
        else if (entry.section_ == "upstreams")
            addresses.upstreams_[entry.name_] = readAddress(entry.value_, violations);
        else if (entry.section_ == "keys")
            addresses.keys_[entry.name_] = entry.value_;
    }
    if (addresses.entries_.empty() || addresses.keys_.empty())
        violations.emplace_back("no entries or keys");
    if (!violations.empty())
        return violations;
    return addresses;
}

} // namespace sapphirepass::load
