// Waiting time of seven modest workspaces while an eighth sends several times its rate, by order of service:
// one FIFO queue or the weighted fair queue. Virtual time; the seed is fixed.
#include "admission/fair_queue.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <queue>
#include <random>
#include <vector>

using namespace sapphirepass;

namespace {

using Seconds = double;

constexpr int workspaces = 8;
constexpr int slots = 120;
constexpr Seconds serviceTime = 0.050;
constexpr Seconds runTime = 120;
constexpr std::uint64_t seed = 20261203;
// Part of the slots' capacity that all workspaces ask for together when each keeps its rate.
constexpr double load = 0.85;
constexpr Seconds longestWait = 1.0;

struct Arrival {
    Seconds time_;
    int workspace_;
};

struct Figures {
    double modestP50_;
    double modestP99_;
    double refusedModest_;
    double refusedGreedy_;
    // Mean time that a refused request had waited.
    double refusalWait_;
};

auto makeArrivals(double greedyFactor) -> std::vector<Arrival>
{
    std::mt19937_64 random(seed);
    std::vector<Arrival> arrivals;
    for (int workspace = 0; workspace < workspaces; ++workspace) {
        const double factor = workspace == 0 ? greedyFactor : 1;
        std::exponential_distribution<double> gap(load * slots / serviceTime / workspaces * factor);
        for (Seconds time = gap(random); time < runTime; time += gap(random))
            arrivals.push_back({ time, workspace });
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival& a, const Arrival& b) { return a.time_ < b.time_; });
    return arrivals;
}

auto toTime(Seconds seconds) -> MonotonicTime
{
    return MonotonicTime(std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)));
}

// Whether all entries share one flow, and so are served first come, first served.
enum class Order { Fifo,
    Fair };

auto run(const std::vector<Arrival>& arrivals, Order order) -> Figures
{
    std::mt19937_64 random(seed + 1);
    std::exponential_distribution<double> service(1 / serviceTime);
    FairQueue queue({ 2'000, order == Order::Fifo ? std::size_t { 2'000 } : std::size_t { 1'000 } });
    std::priority_queue<Seconds, std::vector<Seconds>, std::greater<>> ends;
    std::vector<double> waits;
    std::vector<int> refused(workspaces);
    std::vector<int> asked(workspaces);
    double refusalWait = 0;
    const auto refuse = [&](std::uint64_t id, Seconds now) {
        ++refused[arrivals[id].workspace_];
        refusalWait += now - arrivals[id].time_;
    };
    const auto start = [&](std::uint64_t id, Seconds now) {
        if (arrivals[id].workspace_ != 0)
            waits.push_back(now - arrivals[id].time_);
        ends.push(now + service(random));
    };
    const auto finishUntil = [&](Seconds until) {
        while (!ends.empty() && ends.top() <= until) {
            const auto now = ends.top();
            ends.pop();
            for (const auto& entry : queue.removeExpired(toTime(now)))
                refuse(entry.id_, now);
            if (const auto next = queue.pop())
                start(next->id_, now);
        }
    };
    for (std::size_t id = 0; id < arrivals.size(); ++id) {
        const auto& arrival = arrivals[id];
        finishUntil(arrival.time_);
        ++asked[arrival.workspace_];
        if (ends.size() < slots) {
            start(id, arrival.time_);
            continue;
        }
        const auto flow = order == Order::Fifo ? std::string("all") : fmt::format("w{}", arrival.workspace_);
        const auto pushed = queue.push({ id, flow, 1, toTime(arrival.time_), toTime(arrival.time_ + longestWait) });
        if (!isOk(pushed))
            refuse(id, arrival.time_);
        else if (valueOf(pushed))
            refuse(valueOf(pushed)->id_, arrival.time_);
    }
    std::sort(waits.begin(), waits.end());
    const auto quantile = [&waits](double q) { return waits[static_cast<std::size_t>(q * static_cast<double>(waits.size() - 1))] * 1000; };
    int modestAsked = 0;
    int modestRefused = 0;
    for (int workspace = 1; workspace < workspaces; ++workspace) {
        modestAsked += asked[workspace];
        modestRefused += refused[workspace];
    }
    return { quantile(0.5), quantile(0.99), 100.0 * modestRefused / modestAsked, 100.0 * refused[0] / asked[0], 1000 * refusalWait / std::max(1, modestRefused + refused[0]) };
}

}

auto main() -> int
{
    for (const double factor : { 1.0, 2.0, 5.0 }) {
        const auto arrivals = makeArrivals(factor);
        for (const auto order : { Order::Fifo, Order::Fair }) {
            const auto figures = run(arrivals, order);
            fmt::print("{{\"greedy_factor\": {}, \"order\": \"{}\", \"modest_wait_p50_ms\": {:.1f}, \"modest_wait_p99_ms\": {:.1f}, \"modest_refused_percent\": {:.2f}, \"greedy_refused_percent\": {:.2f}, \"wait_before_refusal_ms\": {:.1f}}}\n",
                factor, order == Order::Fifo ? "fifo" : "fair", figures.modestP50_, figures.modestP99_, figures.refusedModest_, figures.refusedGreedy_, figures.refusalWait_);
        }
    }
    return 0;
}
