#include "bench/load/run_experiment.h"

#include "bench/load/caller_load.h"
#include "bench/load/http_socket.h"
#include "bench/load/verdict.h"

#include <sstream> // needed by Boost.Accumulators

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace sapphirepass::load {

namespace {
    namespace acc = boost::accumulators;
    using Latencies = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::max, acc::tag::extended_p_square_quantile>>;

    constexpr std::array markers { 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999 };
    constexpr std::chrono::seconds controlTimeLimit { 30 };
    constexpr double millisPerSecond = 1'000;
    constexpr std::size_t mostListed = 20;
    constexpr int usageExit = 2;

    auto readFile(const std::string& path) -> std::string
    {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

    auto exchange(const SocketAddress& address, std::string_view method, const std::string& target, const std::string& body) -> SocketAnswer
    {
        HttpSocket socket(address, controlTimeLimit);
        socket.send(renderRequest(method, target, "Content-Type: application/json\r\n", body));
        return socket.readAnswer();
    }

    auto perform(const Action& action, const Addresses& addresses) -> SocketAnswer
    {
        switch (action.kind_) {
        case ActionKind::Store:
            return exchange(addresses.store_, "POST", "/control/faults", action.text_);
        case ActionKind::Upstream:
            return exchange(addresses.upstreams_.at(action.name_), "POST", "/control/settings", action.text_);
        case ActionKind::Operate:
            break;
        }
        const nlohmann::json body { { "text", action.text_ }, { "who", "experiment" } };
        return exchange(addresses.entries_.begin()->second, "POST", "/v1/operate", body.dump());
    }

    auto performAll(const Experiment& experiment, const Addresses& addresses, Instant start) -> void
    {
        for (const auto& action : experiment.actions_) {
            std::this_thread::sleep_until(std::chrono::steady_clock::time_point(start + action.at_));
            const auto answer = perform(action, addresses);
            std::cerr << fmt::format("action at {} ms: {} -> {}\n", action.at_.count(), action.text_, answer.status_);
        }
    }

    auto readRuns(const std::string& upstream, const SocketAddress& address) -> std::vector<RunRecord>
    {
        std::vector<RunRecord> runs;
        for (const auto& row : nlohmann::json::parse(exchange(address, "GET", "/control/runs", "").body_)) {
            const auto& headers = row["headers"];
            if (!headers.contains("Load-Id"))
                continue;
            runs.push_back({ headers["Load-Id"].get<std::string>(), upstream, headers.value("Sapphirepass-Workspace", ""),
                Instant(row["at_us"].get<std::int64_t>()), row["state"] == "answered", row.dump() });
        }
        return runs;
    }

    auto secretsOf(const Addresses& addresses) -> std::vector<std::string>
    {
        std::vector<std::string> secrets;
        for (const auto& [workspace, bearer] : addresses.keys_)
            secrets.push_back(bearer.substr(bearer.rfind('.') + 1));
        return secrets;
    }

    struct Tally {
        Latencies latencies_ { acc::extended_p_square_probabilities = markers };
        std::map<std::string, std::int64_t> outcomes_;

        auto add(const CallRecord& call) -> void
        {
            if (call.attempts_.empty())
                return;
            const auto& last = call.attempts_.back();
            const auto name = last.status_ == 0 ? std::string(last.executed_.empty() ? "lost" : last.executed_) : fmt::format("{}", last.status_);
            ++outcomes_[name];
            if (last.status_ == 200)
                latencies_(std::chrono::duration<double>(last.ended_ - call.scheduled_).count() * millisPerSecond);
        }

        auto toJson() const -> nlohmann::json
        {
            nlohmann::json json { { "outcomes", outcomes_ }, { "answered", acc::count(latencies_) } };
            if (acc::count(latencies_) == 0)
                return json;
            for (const auto& [name, part] : { std::pair { "median_ms", 0.5 }, std::pair { "p90_ms", 0.9 }, std::pair { "p99_ms", 0.99 } })
                json[name] = acc::quantile(latencies_, acc::quantile_probability = part);
            json["max_ms"] = acc::max(latencies_);
            return json;
        }
    };

    auto countLost(const Records& records) -> std::int64_t
    {
        std::int64_t lost = 0;
        for (const auto& call : records.calls_)
            lost += std::count_if(call.attempts_.begin(), call.attempts_.end(), [](const Attempt& attempt) { return attempt.status_ == 0 && attempt.executed_ != "unsent"; });
        return lost;
    }

    auto report(const Experiment& experiment, const Records& records, const std::vector<std::string>& broken) -> nlohmann::json
    {
        Tally all;
        std::map<std::string, Tally> workspaces;
        for (const auto& call : records.calls_) {
            all.add(call);
            workspaces[call.workspace_].add(call);
        }
        nlohmann::json json { { "experiment", experiment.name_ }, { "seed", experiment.seed_ }, { "calls", records.calls_.size() }, { "runs", records.runs_.size() },
            { "lost_answers", countLost(records) }, { "all", all.toJson() }, { "broken_promises", broken.size() } };
        for (const auto& [name, tally] : workspaces)
            json["workspaces"][name] = tally.toJson();
        for (std::size_t i = 0; i < std::min(broken.size(), mostListed); ++i)
            json["broken"].push_back(broken[i]);
        return json;
    }

    auto run(const Experiment& experiment, const Addresses& addresses) -> int
    {
        Records records { steadyNow(), {}, {}, secretsOf(addresses) };
        std::thread actions([&] { performAll(experiment, addresses, records.start_); });
        records.calls_ = runCalls(experiment, addresses, records.start_, [](std::size_t done, std::size_t of) { std::cerr << fmt::format("{} of {} calls\n", done, of); });
        actions.join();
        for (const auto& [name, address] : addresses.upstreams_) {
            const auto runs = readRuns(name, address);
            records.runs_.insert(records.runs_.end(), runs.begin(), runs.end());
        }
        const auto broken = brokenPromises(experiment, records);
        std::cout << report(experiment, records, broken).dump(2) << "\n";
        return broken.empty() ? 0 : 1;
    }
}

auto runExperiment(const std::string& experimentPath, const std::string& addressesPath) -> int
{
    const auto experiment = parseExperiment(readFile(experimentPath));
    const auto addresses = parseAddresses(readFile(addressesPath));
    if (isOk(experiment) && isOk(addresses))
        return run(valueOf(experiment), valueOf(addresses));
    const auto print = [](const std::string& path, const auto& result) {
        if (isOk(result))
            return;
        for (const auto& violation : errorOf(result))
            std::cerr << path << ": " << violation << "\n";
    };
    print(experimentPath, experiment);
    print(addressesPath, addresses);
    return usageExit;
}

} // namespace sapphirepass::load
