// The sapphirepass binary: picks the subcommand.
#include "base/event_log.h"
#include "base/texts.h"
#include "entry/run_entry.h"
#include "loop/run_gateway.h"
#include "operator/explain.h"
#include "operator/run_ctl.h"
#include "platform/adapter.h"
#include "settings/entry_settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, config, "", "entry, gateway: the settings file (INI)");
ABSL_FLAG(std::string, entry, "", "ctl: address of an entry instance, such as 127.0.0.1:8000");
ABSL_FLAG(std::string, output, "table", "ctl: table or json");
ABSL_FLAG(std::string, who, "", "ctl: the operator's name for the audit trail; the default is the user's name");
ABSL_FLAG(bool, test_run, false, "ctl: check the commands and change nothing");
ABSL_FLAG(std::string, file, "", "ctl: run all commands of this file, or of standard input if it is -, as one batch");
ABSL_FLAG(std::string, id, "", "ctl: id of the commands; the same id again never runs them twice");
ABSL_FLAG(std::int64_t, wait_ms, 5000, "ctl: milliseconds to wait for a change to be in force everywhere");
ABSL_FLAG(std::int64_t, only_at, -1, "ctl: refuse unless the configuration is at this revision");

ABSL_FLAG(bool, gateway, false, "check-config: the file is one of a gateway");

namespace sapphirepass {

namespace {
    constexpr std::string_view version = "0.1.0";
    constexpr std::string_view usage = "steers request traffic for a shared service\n\n"
                                       "  sapphirepass entry --config FILE            run an entry instance\n"
                                       "  sapphirepass gateway --config FILE          run an instance on the users' platform\n"
                                       "  sapphirepass ctl --entry ADDRESS [TEXT]     run commands or a query, as one batch\n"
                                       "  sapphirepass ctl --entry ADDRESS --file FILE  run a file, or standard input if it is -, as one batch\n"
                                       "  sapphirepass ctl --entry ADDRESS            run each line of standard input on its own\n"
                                       "  sapphirepass explain ID                     tell the story of a request from gateways' logs on standard input\n"
                                       "  sapphirepass check-config FILE              check a settings file of an entry or a gateway\n"
                                       "  sapphirepass version                        print the version\n\n"
                                       "Exit codes: 0 done, 1 failed, 2 wrong usage or text, 3 refused, 4 unavailable, 5 outcome unknown,\n6 enforced but not durable\n";
    constexpr int usageExit = 2;

    auto failUsage(std::string_view message) -> int
    {
        std::cerr << fmt::format("sapphirepass: {}\nTry 'sapphirepass --help'.\n", message);
        return usageExit;
    }

    auto entryCommand() -> int
    {
        const auto path = absl::GetFlag(FLAGS_config);
        if (path.empty())
            return failUsage("entry needs --config FILE");
        const auto settings = loadEntrySettings(path);
        if (isOk(settings))
            return runEntry(valueOf(settings));
        for (const auto& violation : errorOf(settings))
            logEvent(EventId::SettingsRefused, "{}", renderViolation(path, violation));
        return usageExit;
    }

    auto gatewayCommand() -> int
    {
        const auto given = absl::GetFlag(FLAGS_config);
        const auto path = given.empty() ? platform::settingsPath() : given;
        if (path.empty())
            return failUsage("gateway needs --config FILE");
        const auto settings = loadGatewaySettings(path);
        if (isOk(settings))
            return runGateway(path, valueOf(settings), platform::makeAdapter);
        for (const auto& violation : errorOf(settings))
            logEvent(EventId::SettingsRefused, "{}", renderViolation(path, violation));
        return usageExit;
    }

    template <typename Settings>
    auto violationsOf(const Result<Settings, SettingsViolations>& settings) -> SettingsViolations
    {
        return isOk(settings) ? SettingsViolations() : errorOf(settings);
    }

    auto checkConfigCommand(const std::vector<char*>& arguments) -> int
    {
        if (arguments.size() != 1)
            return failUsage("check-config needs one FILE");
        const std::string path = arguments.front();
        const auto violations = absl::GetFlag(FLAGS_gateway) ? violationsOf(loadGatewaySettings(path)) : violationsOf(loadEntrySettings(path));
        for (const auto& violation : violations)
            std::cerr << renderViolation(path, violation) << "\n";
        if (!violations.empty())
            return usageExit;
        std::cout << path << ": ok\n";
        return 0;
    }

    // Reads standard input, so that logs of several instances can be piped in together.
    auto explainCommand(const std::vector<char*>& arguments) -> int
    {
        if (arguments.size() != 1)
            return failUsage("explain needs one request id, and logs on standard input");
        const auto story = explainRequest(std::cin, arguments.front());
        for (const auto& line : story)
            std::cout << renderLogLine(line) << "\n";
        if (!story.empty())
            return 0;
        std::cerr << fmt::format("sapphirepass: no line of the logs names request '{}'\n", arguments.front());
        return 1;
    }

    auto operatorName() -> std::string
    {
        const auto given = absl::GetFlag(FLAGS_who);
        const char* user = std::getenv("USER");
        return !given.empty() ? given : user == nullptr ? "operator"
                                                        : user;
    }

    auto runCtlFile(const CtlOptions& options, const std::string& path) -> int
    {
        if (path == "-")
            return static_cast<int>(runCtlBatch(options, std::cin, std::cout, std::cerr));
        std::ifstream file(path);
        if (!file)
            return failUsage(fmt::format("{}: {}", path, texts::fileUnreadable));
        return static_cast<int>(runCtlBatch(options, file, std::cout, std::cerr));
    }

    auto ctlCommand(const std::vector<char*>& arguments) -> int
    {
        const auto address = parseSocketAddress(absl::GetFlag(FLAGS_entry));
        const auto output = absl::GetFlag(FLAGS_output);
        if (!address)
            return failUsage("ctl needs --entry ADDRESS, such as 127.0.0.1:8000");
        if (output != "table" && output != "json")
            return failUsage("--output expects table or json");
        CtlOptions options { *address, output == "json" ? CtlOutput::Json : CtlOutput::Table, operatorName(), absl::GetFlag(FLAGS_test_run), std::nullopt, absl::GetFlag(FLAGS_id) };
        if (absl::GetFlag(FLAGS_only_at) >= 0)
            options.onlyAt_ = absl::GetFlag(FLAGS_only_at);
        options.wait_ = std::chrono::milliseconds(absl::GetFlag(FLAGS_wait_ms));
        const auto file = absl::GetFlag(FLAGS_file);
        if (!file.empty())
            return arguments.empty() ? runCtlFile(options, file) : failUsage("ctl takes either --file or a text");
        if (arguments.empty() && !options.id_.empty())
            return failUsage("--id needs a text or --file");
        if (arguments.empty())
            return static_cast<int>(runCtlLines(options, std::cin, std::cout, std::cerr));
        std::string text;
        for (const auto* argument : arguments)
            text += (text.empty() ? "" : " ") + std::string(argument);
        return static_cast<int>(runCtlText(options, text, std::cout, std::cerr));
    }

    auto dispatch(const std::vector<char*>& words) -> int
    {
        if (words.size() < 2)
            return failUsage("expected a subcommand: entry, gateway, ctl, explain, check-config or version");
        const std::string_view subcommand = words[1];
        const std::vector<char*> arguments(words.begin() + 2, words.end());
        if (subcommand == "entry")
            return arguments.empty() ? entryCommand() : failUsage("entry takes no argument");
        if (subcommand == "gateway")
            return arguments.empty() ? gatewayCommand() : failUsage("gateway takes no argument");
        if (subcommand == "ctl")
            return ctlCommand(arguments);
        if (subcommand == "explain")
            return explainCommand(arguments);
        if (subcommand == "check-config")
            return checkConfigCommand(arguments);
        if (subcommand == "version") {
            std::cout << "sapphirepass " << version << "\n";
            return 0;
        }
        return failUsage(fmt::format("unknown subcommand '{}'", subcommand));
    }
}

} // namespace sapphirepass

namespace {

// --help shows the flags of this file; those of the libraries come with --helpfull.
auto showOwnFlags() -> void
{
    absl::FlagsUsageConfig config;
    config.contains_help_flags = [](absl::string_view file) { return std::string_view(file.data(), file.size()).ends_with("src/main.cpp"); };
    config.contains_helpshort_flags = config.contains_help_flags;
    absl::SetFlagsUsageConfig(config);
}

}

auto main(int argc, char** argv) -> int
{
    // Until a daemon handles it, a request to read settings again must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    showOwnFlags();
    absl::SetProgramUsageMessage(sapphirepass::usage.data());
    return sapphirepass::dispatch(absl::ParseCommandLine(argc, argv));
}
