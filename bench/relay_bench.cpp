// Commit-to-in-force time, store calls and bytes of the relay on a virtual clock. Prints one JSON object a line.
#include "base/event_log.h"
#include "fleet/fleet_codec.h"
#include "standin/fleet_sim.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>

namespace sapphirepass::standin {

namespace {
    using namespace std::chrono_literals;

    constexpr std::size_t commits = 20;
    constexpr auto settle = 20'000ms;
    constexpr auto betweenCommits = 5'000ms;

    struct Way {
        const char* name_;
        FanOutOptions fanOut_;
    };

    constexpr std::array ways {
        Way { "domain-trees", { FanOut::DomainTrees, 2, 4 } },
        Way { "gossip", { FanOut::Gossip, 2, 4 } },
        Way { "watch-all", { FanOut::WatchAll, 2, 4 } },
    };

    auto milliseconds(Duration time) -> double { return std::chrono::duration<double, std::milli>(time).count(); }

    auto quantile(const std::vector<Duration>& sorted, double part) -> double
    {
        return sorted.empty() ? 0 : milliseconds(sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))]);
    }

    auto optionsOf(std::size_t nodes, int lost, std::chrono::microseconds far, const Way& way) -> SimOptions
    {
        SimOptions options;
        options.nodes_ = nodes;
        options.regions_ = nodes > 100 ? 5 : 3;
        options.domainsPerRegion_ = nodes > 100 ? 3 : 2;
        options.betweenRegions_ = far;
        options.lost_ = lost;
        options.fleet_.fanOut_ = way.fanOut_;
        options.seed_ = 20'261'203;
        return options;
    }

    auto measure(std::size_t nodes, int lost, std::chrono::microseconds far, const Way& way) -> void
    {
        FleetSim sim(optionsOf(nodes, lost, far, way));
        sim.commit("declare region first");
        sim.run(settle);
        sim.clearTraffic();
        std::vector<Duration> delays;
        const auto start = sim.clock().now();
        std::size_t expected = 0;
        for (std::size_t i = 0; i < commits; ++i) {
            // The accepting instance has it at once and is left out.
            const auto revision = sim.commit(fmt::format("declare workspace w{} rate 100 burst 50", i), i % nodes);
            sim.run(betweenCommits);
            auto reached = sim.delaysOf(revision);
            expected += nodes - 1;
            std::sort(reached.begin(), reached.end());
            delays.insert(delays.end(), reached.begin() + (reached.empty() ? 0 : 1), reached.end());
        }
        const auto seconds = std::chrono::duration<double>(sim.clock().now() - start).count();
        std::sort(delays.begin(), delays.end());
        double total = 0;
        double most = 0;
        for (std::size_t i = 0; i < nodes; ++i) {
            const auto bytes = static_cast<double>(sim.traffic(i).bytes_) / seconds;
            total += bytes;
            most = std::max(most, bytes);
        }
        std::cout << fmt::format("{{\"way\":\"{}\",\"nodes\":{},\"lost_percent\":{},\"far_ms\":{},\"p50_ms\":{:.1f},\"p99_ms\":{:.1f},\"max_ms\":{:.1f},"
                                 "\"not_reached\":{},\"store_calls_per_s\":{:.1f},\"sent_bytes_per_instance_s\":{:.0f},\"most_sent_bytes_s\":{:.0f}}}",
            way.name_, nodes, lost, far.count() / 1'000, quantile(delays, 0.5), quantile(delays, 0.99), quantile(delays, 1),
            expected - delays.size(), static_cast<double>(sim.storeCalls()) / seconds, total / static_cast<double>(nodes), most)
                  << std::endl;
    }
    // Bytes of what a core has to send and of what its receivers answer.
    auto exchangedBytes(FleetSim& sim, std::size_t node) -> std::size_t
    {
        std::size_t bytes = 0;
        for (const auto& sent : sim.core(node).takeOutbound()) {
            bytes += encodeFleetMessage(sent.message_).payload_.size() + envelopeBytes;
            auto& receiver = sim.core(std::stoul(sent.to_.substr(1)));
            receiver.receive(sim.core(node).members().self().id_, sent.message_);
            for (const auto& answer : receiver.takeOutbound()) {
                bytes += encodeFleetMessage(answer.message_).payload_.size() + envelopeBytes;
                sim.core(node).receive(receiver.members().self().id_, answer.message_);
            }
        }
        return bytes;
    }

    // Bytes of one question of an operator's client, asked at one instance, and of all answers.
    auto measureAsks(std::size_t nodes) -> void
    {
        FleetSim sim(optionsOf(nodes, 0, 12'000us, ways.front()));
        sim.commit("declare region first");
        sim.run(settle);
        sim.core(3).askInForce({ 1, 0 });
        const auto inForce = exchangedBytes(sim, 3);
        const auto count = sim.core(3).inForce({ 1, 0 });
        sim.core(3).askMembers();
        const auto members = exchangedBytes(sim, 3);
        std::cout << fmt::format("{{\"nodes\":{},\"confirmed\":{},\"in_force_bytes\":{},\"show_instances_bytes\":{}}}", nodes, count.confirmed_, inForce, members) << std::endl;
    }
}

} // namespace sapphirepass::standin

auto main(int argc, char** argv) -> int
{
    using namespace sapphirepass::standin;
    sapphirepass::setLogLevel(sapphirepass::LogLevel::Error);
    if (argc > 1 && std::string_view(argv[1]) == "asks") {
        for (const std::size_t nodes : { 12, 100, 400, 920 })
            measureAsks(nodes);
        return 0;
    }
    const std::size_t largest = argc > 1 ? std::stoul(argv[1]) : 920;
    for (const std::size_t nodes : { 12, 100, 400, 920 }) {
        for (const int lost : { 0, 5, 20 }) {
            for (const auto& way : ways) {
                if (nodes > largest)
                    continue;
                measure(nodes, lost, 12'000us, way);
                if (nodes == 12 || nodes == 920)
                    measure(nodes, lost, 35'000us, way);
            }
        }
    }
    return 0;
}
