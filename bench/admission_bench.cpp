// Wrongful refusals, overshoot and control traffic of four ways to hold a rate over a fleet, on a virtual clock:
// escrow, an equal static split, a central counter in the store, and local buckets with lagging counts.
// Each workspace's demand lies on three instances and moves to three others every 10 s. Prints JSON; the seed is fixed.
#include "standin/escrow_fleet.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <random>
#include <string_view>
#include <vector>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20261203;
constexpr Duration grain = 5ms;
constexpr Duration warmUp = 40s;
constexpr Duration measured = 120s;
constexpr Duration moveInterval = 10s;
// Part of its rate that each workspace asks for.
constexpr double load = 0.8;
constexpr std::array<std::int64_t, 8> rates { 400, 200, 100, 100, 50, 50, 20, 20 };
// How a workspace's demand is spread over its instances.
constexpr std::array placement { 0.7, 0.2, 0.1 };
constexpr std::int64_t storeWritesPerSecond = 300;
constexpr Duration countLag = 1s;

auto idOf(std::size_t workspace) -> BudgetId
{
    return { BudgetKind::WorkspaceRate, fmt::format("w{}", workspace) };
}

auto totalOf(std::size_t workspace) -> BudgetTotal
{
    return { rates[workspace], rates[workspace] };
}

// A token bucket that starts full.
class Bucket {
public:
    Bucket(double rate, double burst)
        : rate_(rate)
        , burst_(burst)
        , tokens_(burst)
    {
    }

    auto admit(MonotonicTime now) -> bool
    {
        if (last_ != MonotonicTime {})
            tokens_ = std::min(burst_, tokens_ + rate_ * std::chrono::duration<double>(now - last_).count());
        last_ = now;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

    auto take(double amount) -> void { tokens_ -= amount; }

private:
    double rate_;
    double burst_;
    double tokens_;
    MonotonicTime last_ {};
};

class Scheme {
public:
    virtual ~Scheme() = default;
    virtual auto advance() -> void = 0;
    virtual auto admit(std::size_t instance, std::size_t workspace, MonotonicTime now) -> bool = 0;
    // Messages, bytes and store calls so far, over all instances.
    virtual auto traffic() const -> FleetTraffic { return {}; }
};

class Escrow final : public Scheme {
public:
    explicit Escrow(std::size_t size)
        : fleet_(seed, totals())
    {
        for (std::size_t i = 0; i < size; ++i)
            fleet_.start(i);
    }

    auto advance() -> void override { fleet_.advance(grain); }
    auto admit(std::size_t instance, std::size_t workspace, MonotonicTime) -> bool override { return fleet_.request(instance, idOf(workspace)); }
    auto traffic() const -> FleetTraffic override { return fleet_.traffic(); }

private:
    static auto totals() -> BudgetTotals
    {
        BudgetTotals totals;
        for (std::size_t w = 0; w < rates.size(); ++w)
            totals[idOf(w)] = totalOf(w);
        return totals;
    }

    EscrowFleet fleet_;
};

class EqualSplit final : public Scheme {
public:
    explicit EqualSplit(std::size_t size)
    {
        for (const auto rate : rates) {
            const auto part = static_cast<double>(rate) / static_cast<double>(size);
            buckets_.emplace_back(size, Bucket(part, part));
        }
    }

    auto advance() -> void override { }
    auto admit(std::size_t instance, std::size_t workspace, MonotonicTime now) -> bool override { return buckets_[workspace][instance].admit(now); }

private:
    std::vector<std::vector<Bucket>> buckets_;
};

// Every request is one conditional update of the store, which takes a bounded number a second.
class CentralCounter final : public Scheme {
public:
    CentralCounter()
    {
        for (const auto rate : rates)
            buckets_.emplace_back(static_cast<double>(rate), static_cast<double>(rate));
    }

    auto advance() -> void override { }
    auto admit(std::size_t, std::size_t workspace, MonotonicTime now) -> bool override
    {
        ++calls_;
        return store_.admit(now) && buckets_[workspace].admit(now);
    }
    auto traffic() const -> FleetTraffic override { return { 0, 0, calls_ }; }

private:
    Bucket store_ { storeWritesPerSecond, storeWritesPerSecond };
    std::vector<Bucket> buckets_;
    std::size_t calls_ = 0;
};

// Each instance has a whole bucket and learns after a second what the others have taken.
class LaggingCounts final : public Scheme {
public:
    explicit LaggingCounts(std::size_t size)
        : size_(size)
        , taken_(rates.size(), std::vector<double>(size))
    {
        for (const auto rate : rates)
            buckets_.emplace_back(size, Bucket(static_cast<double>(rate), static_cast<double>(rate)));
    }

    auto advance() -> void override
    {
        if ((passed_ += grain) < countLag)
            return;
        passed_ = Duration::zero();
        for (std::size_t w = 0; w < rates.size(); ++w) {
            double all = 0;
            for (const auto taken : taken_[w])
                all += taken;
            for (std::size_t i = 0; i < size_; ++i)
                buckets_[w][i].take(all - taken_[w][i]);
            std::fill(taken_[w].begin(), taken_[w].end(), 0);
        }
    }
    auto admit(std::size_t instance, std::size_t workspace, MonotonicTime now) -> bool override
    {
        const bool admitted = buckets_[workspace][instance].admit(now);
        taken_[workspace][instance] += admitted ? 1 : 0;
        return admitted;
    }

private:
    std::size_t size_;
    Duration passed_ {};
    std::vector<std::vector<Bucket>> buckets_;
    std::vector<std::vector<double>> taken_;
};

struct Figures {
    std::int64_t inside_ = 0;
    std::int64_t refused_ = 0;
    std::int64_t overshoot_ = 0;
    std::int64_t admitted_ = 0;
    FleetTraffic traffic_;
};

class Run {
public:
    // Demand as a multiple of each rate.
    Run(Scheme& scheme, std::size_t size, double demand)
        : scheme_(scheme)
        , size_(size)
        , demand_(demand)
    {
        for (std::size_t w = 0; w < rates.size(); ++w) {
            ideal_.emplace_back(static_cast<double>(rates[w]), static_cast<double>(rates[w]));
            checks_.emplace_back(totalOf(w));
        }
    }

    auto figures() -> Figures
    {
        play(warmUp);
        result_ = {};
        const auto before = scheme_.traffic();
        play(measured);
        const auto after = scheme_.traffic();
        result_.traffic_ = { after.messages_ - before.messages_, after.bytes_ - before.bytes_, after.storeCalls_ - before.storeCalls_ };
        return result_;
    }

private:
    auto play(Duration time) -> void
    {
        for (auto passed = Duration::zero(); passed < time; passed += grain) {
            if ((now_.time_since_epoch() % moveInterval).count() == 0)
                movePlaces();
            now_ += grain;
            scheme_.advance();
            for (std::size_t w = 0; w < rates.size(); ++w)
                arrive(w);
        }
    }

    auto movePlaces() -> void
    {
        for (auto& places : places_) {
            for (auto& place : places)
                place = std::uniform_int_distribution<std::size_t>(0, size_ - 1)(random_);
        }
    }

    auto arrive(std::size_t workspace) -> void
    {
        const double mean = static_cast<double>(rates[workspace]) * demand_ * std::chrono::duration<double>(grain).count();
        const int arrivals = std::poisson_distribution<int>(mean)(random_);
        for (int n = 0; n < arrivals; ++n) {
            const auto place = std::discrete_distribution<std::size_t>(placement.begin(), placement.end())(random_);
            const bool inside = ideal_[workspace].admit(now_);
            const bool admitted = scheme_.admit(places_[workspace][place], workspace, now_);
            result_.inside_ += inside ? 1 : 0;
            result_.refused_ += inside && !admitted ? 1 : 0;
            result_.admitted_ += admitted ? 1 : 0;
            result_.overshoot_ += admitted && !checks_[workspace].admit(now_) ? 1 : 0;
        }
    }

    Scheme& scheme_;
    std::size_t size_;
    double demand_;
    std::mt19937_64 random_ { seed };
    MonotonicTime now_ { std::chrono::hours(1) };
    std::vector<Bucket> ideal_;
    std::vector<WindowCheck> checks_;
    std::array<std::array<std::size_t, placement.size()>, rates.size()> places_ {};
    Figures result_;
};

auto makeScheme(std::string_view name, std::size_t size) -> std::unique_ptr<Scheme>
{
    if (name == "escrow")
        return std::make_unique<Escrow>(size);
    if (name == "equal_split")
        return std::make_unique<EqualSplit>(size);
    if (name == "central_counter")
        return std::make_unique<CentralCounter>();
    return std::make_unique<LaggingCounts>(size);
}

auto printRow(std::string_view name, std::size_t size, double demand, bool last) -> void
{
    const auto scheme = makeScheme(name, size);
    const auto figures = Run(*scheme, size, demand).figures();
    const double seconds = std::chrono::duration<double>(measured).count();
    const double instanceSeconds = seconds * static_cast<double>(size);
    fmt::print(R"(  {{"scheme": "{}", "instances": {}, "demand_of_rate": {}, "inside_rate": {}, "admitted": {}, "wrongly_refused": {}, "wrongly_refused_percent": {:.4f}, "over_the_bound": {}, )"
               R"("messages_per_instance_second": {:.2f}, "bytes_per_instance_second": {:.1f}, "store_calls_per_second": {:.1f}}}{})",
        name, size, demand, figures.inside_, figures.admitted_, figures.refused_, 100.0 * static_cast<double>(figures.refused_) / static_cast<double>(figures.inside_), figures.overshoot_,
        static_cast<double>(figures.traffic_.messages_) / instanceSeconds, static_cast<double>(figures.traffic_.bytes_) / instanceSeconds,
        static_cast<double>(figures.traffic_.storeCalls_) / seconds, last ? "\n" : ",\n");
}

}

auto main() -> int
{
    fmt::print("[\n");
    for (const std::size_t size : { 12, 50, 200, 920 }) {
        for (const auto* name : { "escrow", "equal_split", "central_counter", "lagging_counts" })
            printRow(name, size, load, false);
    }
    // Everyone asks for three times its rate: who goes over the bound?
    for (const auto* name : { "escrow", "equal_split", "central_counter" })
        printRow(name, 12, 3, false);
    printRow("lagging_counts", 12, 3, true);
    fmt::print("]\n");
}
