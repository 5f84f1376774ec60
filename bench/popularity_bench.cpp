// Placement of requests for objects by expected end, by slots used and by least load, for several laws of popularity. Prints JSON.
//
// 100 instances and 300 upstreams of one region, without a network. Rejected requests are not sent again.
#include "bench/load/simulated_region.h"

#include <nlohmann/json.hpp>

using namespace sapphirepass;
using namespace sapphirepass::simulation;

namespace {

constexpr std::uint64_t seed = 20261203;
constexpr int instanceCount = 100;
constexpr int upstreamCount = 300;

struct Scenario {
    std::string name_;
    ObjectLoad load_;
};

auto percentile(std::vector<double> values, double share) -> double
{
    if (values.empty())
        return 0;
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

auto run(const Scenario& scenario, PlacementRule rule) -> nlohmann::json
{
    SimulatedRegion region(instanceCount, upstreamCount, rule);
    std::mt19937_64 random(seed);
    auto before = scenario.load_;
    before.suddenShare_ = 0;
    region.play(before, 12s, random);
    const auto outcome = region.play(scenario.load_, 6s, random);
    const double requests = std::max(1, outcome.sent_ + outcome.refused_);
    return {
        { "warm_share", outcome.warmShare_ },
        { "p50_ms", percentile(outcome.times_, 0.5) * 1000 },
        { "p99_ms", percentile(outcome.times_, 0.99) * 1000 },
        { "rejected_share", outcome.rejected_ / requests },
        { "refused_share", outcome.refused_ / requests },
        { "greatest_load_over_mean_of_play", outcome.greatestLoad_ },
        { "greatest_load_over_mean_of_a_second", outcome.greatestWindowLoad() },
    };
}

}

auto main() -> int
{
    const std::vector<Scenario> scenarios {
        { "uniform", { 0.9, 900, 0 } },
        { "zipf 0.2", { 0.9, 900, 0.2 } },
        { "zipf 0.8", { 0.9, 900, 0.8 } },
        { "zipf 1.2", { 0.9, 900, 1.2 } },
        { "uniform, one object becomes half", { 0.9, 900, 0, 0.5 } },
        { "uniform, 0.7 of the slots", { 0.7, 900, 0 } },
    };
    const std::vector<std::pair<std::string, PlacementRule>> rules {
        { "expected end", PlacementRule::ExpectedEnd },
        { "slots used", PlacementRule::SlotsUsed },
        { "least loaded", PlacementRule::LeastLoaded },
        { "least loaded, shared loads", PlacementRule::LeastSharedLoad },
    };
    nlohmann::json result;
    for (const auto& scenario : scenarios) {
        for (const auto& [name, rule] : rules)
            result[scenario.name_][name] = run(scenario, rule);
    }
    fmt::print("{}\n", result.dump(2));
    return 0;
}
