// Upstream choice against baselines on a queueing model of slots. Prints JSON.
//
// Entries see only their own calls and the upstreams' answers. A full upstream sheds. A request that finds no
// slot waits at its entry until one of the entry's calls ends or the retry pause is over.
#include "config/command_func.h"
#include "language/command_parser.h"
#include "steering/fixed_share_budgets.h"
#include "steering/region_steering.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <numeric>
#include <queue>
#include <vector>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261203;
constexpr int regionCount = 3;
constexpr int workspaceCount = 8;
constexpr auto retryPause = 3ms;
constexpr auto meanService = 40ms;

struct Scenario {
    std::string name_;
    int upstreams_;
    // Slots of the upstreams in turn.
    std::vector<int> slots_;
    // One way.
    Duration localDelay_;
    Duration remoteDelay_;
    double load_;
    bool exponential_;
    int entries_ = 12;
    int requests_ = 60'000;
};

struct Figures {
    double p50_ = 0;
    double p99_ = 0;
    double worstWorkspaceP99_ = 0;
    std::int64_t sheds_ = 0;
    std::int64_t refused_ = 0;
    std::int64_t remote_ = 0;
    // Most requests running in a region at once, as a share of its slots.
    double peakUse_ = 0;
};

struct Call {
    MonotonicTime arrival_;
    int entry_;
    int workspace_;
    Duration service_;
    std::set<std::string> tried_ {};
    int attempts_ = 0;
};

auto percentile(std::vector<double> values, double share) -> double
{
    if (values.empty())
        return 0;
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

auto deploy(const Scenario& scenario) -> std::shared_ptr<const Snapshot>
{
    std::string text;
    for (int region = 0; region < regionCount; ++region)
        text += fmt::format("declare region r{0}; declare domain d{0} region r{0};", region);
    for (int i = 0; i < scenario.upstreams_; ++i)
        text += fmt::format("declare upstream u{:02} service core domain d{} address 127.0.0.1:{} slots {};", i, i % regionCount, 9000 + i, scenario.slots_[static_cast<std::size_t>(i) % scenario.slots_.size()]);
    return std::make_shared<const Snapshot>(valueOf(applyBatch({}, valueOf(parseBatch(text)))));
}

// Picks any, the next, or the emptier of two upstreams, without regard to regions, sheds or outcomes.
class SimpleSteering final : public Steering {
public:
    enum class Rule { Random,
        RoundRobin,
        TwoChoices };

    SimpleSteering(Rule rule, std::uint64_t ownSeed)
        : rule_(rule)
        , random_(ownSeed)
        , next_(random_() % 1000)
    {
    }

    auto acquire(const SteeringRequest& request, Handler handler) -> void override
    {
        std::vector<const Upstream*> rows;
        request.snapshot_->table<Upstream>().forEach([&](const Upstream& upstream) {
            if (running_[upstream.name_] < upstream.slots_ && !request.tried_.contains(upstream.name_))
                rows.push_back(&upstream);
        });
        if (rows.empty()) {
            handler(Refusal { RefusalKind::Overloaded, "" });
            return;
        }
        const Upstream* chosen = rows[(rule_ == Rule::RoundRobin ? next_++ : random_()) % rows.size()];
        const Upstream* other = rows[random_() % rows.size()];
        if (rule_ == Rule::TwoChoices && running_[other->name_] < running_[chosen->name_])
            chosen = other;
        ++running_[chosen->name_];
        handler(Assignment { *chosen });
    }

    auto release(const Assignment& assignment, CallOutcome) -> void override { --running_[assignment.upstream_.name_]; }

private:
    Rule rule_;
    std::mt19937_64 random_;
    std::size_t next_;
    std::map<std::string, std::int64_t> running_;
};

class Model {
public:
    using Make = std::function<std::unique_ptr<Steering>(int entry, const std::string& region)>;

    Model(const Scenario& scenario, ManualClock& clock, std::shared_ptr<const Snapshot> snapshot, const Make& make)
        : scenario_(scenario)
        , clock_(clock)
        , start_(clock.now())
        , snapshot_(std::move(snapshot))
        , waiting_(static_cast<std::size_t>(scenario.entries_))
        , latencies_(workspaceCount)
        , regionRunning_(regionCount)
        , regionSlots_(regionCount)
    {
        for (int i = 0; i < scenario.entries_; ++i)
            steerings_.push_back(make(i, fmt::format("r{}", i % regionCount)));
        snapshot_->table<Upstream>().forEach([this](const Upstream& upstream) { regionSlots_[regionOf(upstream)] += upstream.slots_; });
    }

    auto run() -> Figures
    {
        scheduleArrivals();
        while (!events_.empty()) {
            const auto event = events_.top();
            events_.pop();
            clock_.advance(event.at_ - clock_.now());
            event.act_();
        }
        return figures();
    }

private:
    struct Event {
        MonotonicTime at_;
        std::uint64_t order_;
        std::function<void()> act_;

        auto operator<(const Event& other) const -> bool { return std::tie(at_, order_) > std::tie(other.at_, other.order_); }
    };

    static auto regionOf(const Upstream& upstream) -> std::size_t { return static_cast<std::size_t>(upstream.domain_.back() - '0'); }

    auto at(MonotonicTime time, std::function<void()> act) -> void { events_.push({ time, order_++, std::move(act) }); }

    auto scheduleArrivals() -> void
    {
        std::mt19937_64 random(seed);
        const auto slots = std::accumulate(regionSlots_.begin(), regionSlots_.end(), std::int64_t { 0 });
        const double mean = std::chrono::duration<double>(meanService).count();
        std::exponential_distribution<double> gap(scenario_.load_ * static_cast<double>(slots) / mean);
        std::exponential_distribution<double> service(1 / mean);
        // A few workspaces are large.
        std::discrete_distribution<int> workspace { 30, 25, 15, 10, 8, 6, 4, 2 };
        auto time = start_;
        for (int i = 0; i < scenario_.requests_; ++i) {
            time += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
            const double seconds = scenario_.exponential_ ? service(random) : mean;
            const int entry = static_cast<int>(random() % static_cast<std::uint64_t>(scenario_.entries_));
            auto call = std::make_shared<Call>(Call { time, entry, workspace(random), std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) });
            at(time, [this, call] { enqueue(call, false); });
        }
    }

    auto enqueue(const std::shared_ptr<Call>& call, bool first) -> void
    {
        auto& queue = waiting_[static_cast<std::size_t>(call->entry_)];
        if (first)
            queue.push_front(call);
        else
            queue.push_back(call);
        serve(call->entry_);
    }

    auto serve(int entry) -> void
    {
        auto& queue = waiting_[static_cast<std::size_t>(entry)];
        while (!queue.empty()) {
            const auto call = queue.front();
            std::optional<Assignment> assignment;
            steerings_[static_cast<std::size_t>(entry)]->acquire({ snapshot_, "core", "w", Repeatability::Idempotent, {}, call->tried_ }, [&](const auto& result) {
                if (isOk(result))
                    assignment = valueOf(result);
            });
            if (!assignment) {
                call->tried_.clear();
                if (!paused_.contains(entry)) {
                    paused_.insert(entry);
                    at(clock_.now() + retryPause, [this, entry] {
                        paused_.erase(entry);
                        serve(entry);
                    });
                }
                return;
            }
            queue.pop_front();
            send(call, *assignment);
        }
    }

    auto send(const std::shared_ptr<Call>& call, const Assignment& assignment) -> void
    {
        const auto region = regionOf(assignment.upstream_);
        const bool remote = region != static_cast<std::size_t>(call->entry_ % regionCount);
        figures_.remote_ += remote ? 1 : 0;
        const auto delay = remote ? scenario_.remoteDelay_ : scenario_.localDelay_;
        at(clock_.now() + delay, [this, call, assignment, delay, region] {
            auto& running = running_[assignment.upstream_.name_];
            if (running >= assignment.upstream_.slots_) {
                at(clock_.now() + delay, [this, call, assignment] { shed(call, assignment); });
                return;
            }
            ++running;
            ++regionRunning_[region];
            figures_.peakUse_ = std::max(figures_.peakUse_, static_cast<double>(regionRunning_[region]) / static_cast<double>(regionSlots_[region]));
            at(clock_.now() + call->service_, [this, call, assignment, delay, region] {
                --running_[assignment.upstream_.name_];
                --regionRunning_[region];
                at(clock_.now() + delay, [this, call, assignment] { answer(call, assignment); });
            });
        });
    }

    auto shed(const std::shared_ptr<Call>& call, const Assignment& assignment) -> void
    {
        ++figures_.sheds_;
        steerings_[static_cast<std::size_t>(call->entry_)]->release(assignment, CallOutcome::Shed);
        call->tried_.insert(assignment.upstream_.name_);
        enqueue(call, true);
    }

    auto answer(const std::shared_ptr<Call>& call, const Assignment& assignment) -> void
    {
        steerings_[static_cast<std::size_t>(call->entry_)]->release(assignment, CallOutcome::Answered);
        // The first tenth only fills the model.
        if (answered_++ > scenario_.requests_ / 10)
            latencies_[static_cast<std::size_t>(call->workspace_)].push_back(std::chrono::duration<double, std::milli>(clock_.now() - call->arrival_).count());
        serve(call->entry_);
    }

    auto figures() -> Figures
    {
        std::vector<double> all;
        for (const auto& latencies : latencies_) {
            all.insert(all.end(), latencies.begin(), latencies.end());
            figures_.worstWorkspaceP99_ = std::max(figures_.worstWorkspaceP99_, percentile(latencies, 0.99));
        }
        figures_.p50_ = percentile(all, 0.5);
        figures_.p99_ = percentile(all, 0.99);
        figures_.refused_ = scenario_.requests_ - answered_;
        return figures_;
    }

    const Scenario& scenario_;
    ManualClock& clock_;
    MonotonicTime start_;
    std::shared_ptr<const Snapshot> snapshot_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    std::vector<std::unique_ptr<Steering>> steerings_;
    std::vector<std::deque<std::shared_ptr<Call>>> waiting_;
    std::set<int> paused_;
    std::map<std::string, std::int64_t> running_;
    std::vector<std::vector<double>> latencies_;
    std::vector<std::int64_t> regionRunning_;
    std::vector<std::int64_t> regionSlots_;
    int answered_ = 0;
    Figures figures_;
};

// All slots behind one queue that knows everything, at the local delay.
auto runIdeal(const Scenario& scenario, const std::shared_ptr<const Snapshot>& snapshot) -> Figures
{
    ManualClock clock;
    auto pooled = scenario;
    pooled.entries_ = 1;
    std::int64_t slots = 0;
    snapshot->table<Upstream>().forEach([&](const Upstream& upstream) { slots += upstream.slots_; });
    // The ideal queue loses no slot time on the way; the way itself is added to each latency.
    pooled.localDelay_ = pooled.remoteDelay_ = Duration { 0 };
    auto one = *snapshot;
    snapshot->table<Upstream>().forEach([&](const Upstream& upstream) { one = one.without<Upstream>(upstream.name_); });
    // No shed is possible: the only entry counts exactly, and a slot that it waits for is used at once.
    auto whole = *snapshot->find<Upstream>("u00");
    whole.slots_ = slots;
    const auto pool = std::make_shared<const Snapshot>(one.with(whole));
    auto figures = Model(pooled, clock, pool, [](int, const std::string&) { return std::make_unique<LeastInFlightSteering>("r0"); }).run();
    const double way = std::chrono::duration<double, std::milli>(2 * scenario.localDelay_).count();
    for (auto* latency : { &figures.p50_, &figures.p99_, &figures.worstWorkspaceP99_ })
        *latency += way;
    return figures;
}

auto toJson(const Figures& figures, const Figures& ideal) -> nlohmann::json
{
    return { { "p50_ms", figures.p50_ }, { "p99_ms", figures.p99_ }, { "p99_to_ideal", figures.p99_ / ideal.p99_ }, { "worst_workspace_p99_ms", figures.worstWorkspaceP99_ },
        { "sheds", figures.sheds_ }, { "refused", figures.refused_ }, { "remote", figures.remote_ }, { "peak_use", figures.peakUse_ } };
}

auto runAll(const Scenario& scenario) -> nlohmann::json
{
    const auto snapshot = deploy(scenario);
    const auto ideal = runIdeal(scenario, snapshot);
    nlohmann::json rows { { "ideal", toJson(ideal, ideal) } };
    const auto measure = [&](const std::string& name, const std::function<std::unique_ptr<Steering>(ManualClock&, int, const std::string&)>& make) {
        ManualClock clock;
        rows[name] = toJson(Model(scenario, clock, snapshot, [&](int entry, const std::string& region) { return make(clock, entry, region); }).run(), ideal);
    };
    const auto simple = [&](SimpleSteering::Rule rule) {
        return [rule](ManualClock&, int entry, const std::string&) { return std::make_unique<SimpleSteering>(rule, seed + static_cast<std::uint64_t>(entry)); };
    };
    measure("random", simple(SimpleSteering::Rule::Random));
    measure("round_robin", simple(SimpleSteering::Rule::RoundRobin));
    measure("two_choices", simple(SimpleSteering::Rule::TwoChoices));
    measure("least_in_flight", [](ManualClock&, int, const std::string& region) { return std::make_unique<LeastInFlightSteering>(region); });
    ConfigState config;
    ManualClock budgetClock;
    FixedShareBudgets budgets(budgetClock, config, scenario.entries_);
    LinkMeter links(budgets);
    measure("region_steering", [&](ManualClock& clock, int entry, const std::string& region) {
        return std::make_unique<RegionSteering>(region, clock, budgets, links, seed + static_cast<std::uint64_t>(entry));
    });
    return rows;
}

}

auto main() -> int
{
    nlohmann::json report;
    for (const bool exponential : { true, false }) {
        for (const double load : { 0.7, 0.85 }) {
            const auto name = fmt::format("{}, {:.0f}% of slots", exponential ? "exponential service" : "constant service", load * 100);
            report["balagtas, " + name] = runAll({ "balagtas", 35, { 3, 4 }, 1500us, 12ms, load, exponential });
            report["tisza, " + name] = runAll({ "tisza", 30, { 3 }, 1ms, 35ms, load, exponential });
        }
    }
    fmt::print("{}\n", report.dump(2));
    return 0;
}
