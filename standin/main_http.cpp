// Stand-ins for the platform and the upstreams, as processes. Never shipped.
#include "bench/load/run_experiment.h"
#include "standin/free_ports.h"
#include "standin/store_http.h"
#include "standin/upstream_http.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <pplx/threadpool.h>

ABSL_FLAG(std::string, listen, "", "store, upstream: address to listen on");
ABSL_FLAG(std::string, experiment, "", "load: the experiment (INI)");
ABSL_FLAG(std::string, addresses, "run/addresses.ini", "load: where the deployment is (INI), as written by tools/up");
ABSL_FLAG(int, slots, 3, "upstream: requests running at once");
ABSL_FLAG(int, connections, 400, "upstream: connections at once");
ABSL_FLAG(int, service_ms, 5, "upstream: milliseconds that a run takes");
ABSL_FLAG(int, cold_start_ms, 0, "upstream: milliseconds after the start in which runs take longer");

namespace sapphirepass::standin {

namespace {
    constexpr std::size_t poolThreads = 64;
    constexpr int usageExit = 2;

    auto waitForStop() -> void
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        int signal = 0;
        sigwait(&signals, &signal);
    }

    auto blockStopSignals() -> void
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }

    auto runStore(const SocketAddress& address) -> int
    {
        MemoryStore store;
        const StoreServer server(store, address);
        waitForStop();
        // Waiting watches end with an answer before the listener closes.
        store.setFaults({ true });
        return 0;
    }

    auto runUpstream(const SocketAddress& address) -> int
    {
        const UpstreamServer server({ address, absl::GetFlag(FLAGS_slots), absl::GetFlag(FLAGS_connections),
            std::chrono::milliseconds(absl::GetFlag(FLAGS_service_ms)), std::chrono::milliseconds(absl::GetFlag(FLAGS_cold_start_ms)) });
        waitForStop();
        return 0;
    }

    auto printPorts(const std::string& count) -> int
    {
        for (const auto port : freePorts(std::stoul(count)))
            std::cout << port << "\n";
        return 0;
    }

    auto dispatch(const std::vector<char*>& words) -> int
    {
        const std::string subcommand = words.size() < 2 ? "" : words[1];
        if (subcommand == "ports" && words.size() == 3)
            return printPorts(words[2]);
        if (subcommand == "load" && words.size() == 2)
            return load::runExperiment(absl::GetFlag(FLAGS_experiment), absl::GetFlag(FLAGS_addresses));
        const auto address = parseSocketAddress(absl::GetFlag(FLAGS_listen));
        if (!address || (subcommand != "store" && subcommand != "upstream")) {
            std::cerr << "sapphirepass-standin: expected store or upstream with --listen ADDRESS, load with --experiment FILE, or ports COUNT\n";
            return usageExit;
        }
        blockStopSignals();
        crossplat::threadpool::initialize_with_threads(poolThreads);
        return subcommand == "store" ? runStore(*address) : runUpstream(*address);
    }
}

} // namespace sapphirepass::standin

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage("stand-ins for the platform, the upstreams and the callers: store, upstream, load, ports");
    return sapphirepass::standin::dispatch(absl::ParseCommandLine(argc, argv));
}
