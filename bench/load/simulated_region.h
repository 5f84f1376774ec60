// Instances that place requests for objects on simulated upstreams of one region, on an injected clock and without a network.
#pragma once

#include "gateway/hashing.h"
#include "gateway/placement/placement.h"
#include "gateway/upstreams/load_exchange.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace sapphirepass::simulation {

using namespace std::chrono_literals;

constexpr Duration step = 20ms;
constexpr Duration heartbeat = 400ms;

struct UpstreamModel {
    int slots_ = 6;
    std::size_t queueLength_ = 18;
    std::size_t rememberedObjects_ = 16;
    Duration warmRun_ = 300ms;
    Duration coldRun_ = 950ms;
};

enum class PlacementRule {
    ExpectedEnd,
    // By slots in use, without estimates.
    SlotsUsed,
    // On the upstream with the fewest requests that the instance knows of, whatever the object.
    LeastLoaded,
    // The same with the loads that peers have observed.
    LeastSharedLoad,
};

// Places each request on the least loaded of all upstreams, with equal ones in random order.
class LeastLoadedPlacer final : public Placer {
public:
    LeastLoadedPlacer(const Clock& clock, const UpstreamSet& upstreams, const FleetView& fleet, bool usesSharedLoads)
        : Placer(clock, upstreams, fleet, "north", "north-a")
        , clock_(clock)
        , upstreams_(upstreams)
        , usesSharedLoads_(usesSharedLoads)
    {
    }

    auto place(const PlacementQuery& query) -> PlacementResult override
    {
        UpstreamPtr least;
        std::pair<int, std::uint64_t> lowest;
        for (const auto& upstream : upstreams_.ofService(query.service_)) {
            const std::pair<int, std::uint64_t> order { load(*upstream), rendezvousWeight(query.requestHash_, upstream->entry_.id_) };
            if (!least || order < lowest) {
                least = upstream;
                lowest = order;
            }
        }
        if (!least)
            return PlacementRefusal::NoUpstream;
        return Placement { least, 0, {}, lowest.first, 1 };
    }

private:
    // As old as a load may be that placement by slots used takes into account.
    static constexpr Duration maxOwnLoadAge = 800ms;

    auto load(const Upstream& upstream) const -> int
    {
        auto known = upstream.inFlight_;
        if (const auto shared = upstreams_.freshSharedLoad(upstream); usesSharedLoads_ && shared)
            known = std::max(known, shared->running_ + shared->waiting_ + static_cast<int>(std::distance(upstream.sentAt_.upper_bound(upstream.sharedLoadAt_), upstream.sentAt_.end())));
        else if (!usesSharedLoads_ && clock_.now() - upstream.loadAt_ <= maxOwnLoadAge)
            known = std::max(known, upstream.load_.running_ + upstream.load_.waiting_);
        return known;
    }

    const Clock& clock_;
    const UpstreamSet& upstreams_;
    bool usesSharedLoads_;
};

// An instance with its own knowledge of the upstreams of one region.
struct Instance {
    Instance(const ManualClock& clock, int upstreams, int slots, PlacementRule rule, int peers = 0)
        : upstreams_(clock, { { "north-a", "north" } })
        , fleet_(clock, { 24h, 24h }, "self")
        , exchange_(clock, upstreams_, metrics_)
        , estimator_(clock, upstreams_)
        , placer_(makePlacer(clock, rule))
    {
        exchange_.addListener(estimator_);
        std::vector<UpstreamEntry> entries;
        entries.reserve(static_cast<std::size_t>(upstreams));
        for (int i = 0; i < upstreams; ++i)
            entries.push_back({ fmt::format("u{}", i), 1, "core", { "127.0.0.1", 9000 }, "north-a", slots, UpstreamState::Ready, 0s });
        upstreams_.replaceAll(entries, 0s);
        for (int i = 0; i < peers; ++i) {
            MemberReport peer;
            peer.name_ = fmt::format("peer-{}", i);
            peer.region_ = "north";
            peer.phase_ = MemberPhase::Ready;
            fleet_.updateMember(peer);
        }
    }

    auto makePlacer(const ManualClock& clock, PlacementRule rule) -> std::unique_ptr<Placer>
    {
        if (rule == PlacementRule::LeastLoaded || rule == PlacementRule::LeastSharedLoad)
            return std::make_unique<LeastLoadedPlacer>(clock, upstreams_, fleet_, rule == PlacementRule::LeastSharedLoad);
        return std::make_unique<Placer>(clock, upstreams_, fleet_, "north", "north-a", rule == PlacementRule::ExpectedEnd ? &estimator_ : nullptr);
    }

    UpstreamSet upstreams_;
    FleetView fleet_;
    Metrics metrics_;
    LoadExchange exchange_;
    EndEstimator estimator_;
    std::unique_ptr<Placer> placer_;
};

inline auto makeQuery(std::uint64_t object, std::uint64_t number) -> PlacementQuery
{
    PlacementQuery query;
    query.service_ = "core";
    query.route_ = "read";
    query.object_ = stableHash(fmt::format("{}", object));
    query.requestHash_ = number;
    query.typicalResponseTime_ = 500ms;
    query.latencyTarget_ = 800ms;
    query.maxQueueWait_ = 900ms;
    return query;
}

struct RunningRequest {
    MonotonicTime sentAt_;
    MonotonicTime endsAt_;
    Instance* sender_ = nullptr;
    UpstreamPtr upstream_;
    std::uint64_t object_ = 0;
};

// An upstream with a few slots and a queue, that works faster on the objects it handled last.
struct FakeUpstream {
    auto begin(RunningRequest request, const UpstreamModel& model, MonotonicTime now) -> void
    {
        const auto recent = std::find(recent_.begin(), recent_.end(), request.object_);
        const bool isWarm = recent != recent_.end();
        if (isWarm)
            recent_.erase(recent);
        recent_.push_front(request.object_);
        if (recent_.size() > model.rememberedObjects_)
            recent_.pop_back();
        ++(isWarm ? warm_ : cold_);
        request.endsAt_ = now + (isWarm ? model.warmRun_ : model.coldRun_);
        running_.push_back(std::move(request));
    }

    auto held() const -> std::size_t { return running_.size() + waiting_.size(); }

    std::vector<RunningRequest> running_;
    std::deque<RunningRequest> waiting_;
    std::deque<std::uint64_t> recent_;
    // Requests held, summed over the steps of the window and of the play.
    double windowLoad_ = 0;
    double load_ = 0;
    int warm_ = 0;
    int cold_ = 0;
};

// What happened within one second.
struct WindowOutcome {
    int sent_ = 0;
    int rejected_ = 0;
    int refused_ = 0;
    // Greatest load of an upstream as a multiple of the mean; load is the number of requests held, averaged over the second.
    double greatestLoad_ = 0;

    // Share of the requests that did not run.
    auto lostShare() const -> double { return static_cast<double>(rejected_ + refused_) / std::max(1, sent_ + refused_); }
};

struct Outcome {
    int sent_ = 0;
    int rejected_ = 0;
    int refused_ = 0;
    // As in WindowOutcome, but averaged over the whole play.
    double greatestLoad_ = 0;
    double warmShare_ = 0;
    std::vector<WindowOutcome> windows_;
    // Times of the requests that ran, in seconds.
    std::vector<double> times_;

    auto greatestWindowLoad() const -> double
    {
        double greatest = 0;
        for (const auto& window : windows_)
            greatest = std::max(greatest, window.greatestLoad_);
        return greatest;
    }
};

struct ObjectLoad {
    // Fraction of the slots in use if each object is kept by one upstream and as many objects as fit there are warm.
    double utilization_ = 0.9;
    int objects_ = 900;
    // Exponent of the Zipf law by which the objects are requested; 0 for equal popularity.
    double skew_ = 0;
    // Share of the requests that are for one further object, reached evenly within the first second of the play.
    double suddenShare_ = 0;

    auto weights() const -> std::vector<double>
    {
        std::vector<double> result;
        result.reserve(static_cast<std::size_t>(objects_));
        for (int i = 0; i < objects_; ++i)
            result.push_back(1 / std::pow(i + 1, skew_));
        return result;
    }
};

// Instances that choose at the same moments and exchange what they observe with each heartbeat.
class SimulatedRegion {
public:
    // Placement by slots used multiplies an object's rate at an instance by the number of instances that it knows. Placement by
    // expected end does so only until the first observations, and is played without known peers.
    SimulatedRegion(int instances, int upstreams, PlacementRule rule, const UpstreamModel& model = {})
        : model_(model)
        , fakes_(static_cast<std::size_t>(upstreams))
        , present_(upstreams)
    {
        clock_.advance(60s);
        for (int i = 0; i < instances; ++i)
            instances_.push_back(std::make_unique<Instance>(clock_, upstreams, model.slots_, rule, rule == PlacementRule::SlotsUsed ? instances - 1 : 0));
    }

    // Offers the load for the given time. State is kept from play to play; figures are of this play only.
    auto play(const ObjectLoad& load, Duration length, std::mt19937_64& random) -> Outcome
    {
        const auto weights = load.weights();
        std::discrete_distribution<std::uint64_t> pickObject(weights.begin(), weights.end());
        std::poisson_distribution<int> arrivals(perStep(load, weights));
        std::uniform_real_distribution<double> unit(0, 1);
        startMeasure();
        const auto beginAt = clock_.now();
        while (clock_.now() < beginAt + length) {
            clock_.advance(step);
            endRuns();
            if (++tick_ % (heartbeat / step) == 0)
                exchangeObservations();
            const double suddenShare = load.suddenShare_ * std::min(1.0, inSeconds(clock_.now() - beginAt));
            const int count = arrivals(random);
            std::vector<RunningRequest> sent;
            for (int i = 0; i < count; ++i) {
                auto& instance = *instances_[random() % instances_.size()];
                const auto number = random();
                auto object = pickObject(random);
                if (suddenShare > 0 && unit(random) < suddenShare)
                    object = weights.size();
                place(instance, makeQuery(object, number), sent);
            }
            for (auto& request : sent)
                arrive(std::move(request));
            if ((clock_.now() - beginAt) % 1s == 0s)
                endWindow();
        }
        return summarize();
    }

    // The upstream with the highest number leaves; what it runs is completed.
    auto removeLast() -> void
    {
        --present_;
        for (const auto& instance : instances_)
            instance->upstreams_.remove(fmt::format("u{}", present_), 0s);
    }

private:
    static auto indexOf(const Upstream& upstream) -> std::size_t { return std::stoul(upstream.entry_.id_.substr(1)); }

    auto perStep(const ObjectLoad& load, const std::vector<double>& weights) const -> double
    {
        const auto kept = std::min(weights.size(), model_.rememberedObjects_ * static_cast<std::size_t>(present_));
        double warm = 0;
        double total = 0;
        for (std::size_t i = 0; i < weights.size(); ++i) {
            total += weights[i];
            warm += i < kept ? weights[i] : 0;
        }
        const double run = inSeconds(model_.coldRun_) + warm / total * inSeconds(model_.warmRun_ - model_.coldRun_);
        return load.utilization_ * present_ * model_.slots_ * inSeconds(step) / run;
    }

    auto place(Instance& instance, const PlacementQuery& query, std::vector<RunningRequest>& sent) -> void
    {
        const auto result = instance.placer_->place(query);
        if (const auto* placement = std::get_if<Placement>(&result)) {
            instance.upstreams_.noteSent(*placement->upstream_, clock_.now());
            sent.push_back({ clock_.now(), {}, &instance, placement->upstream_, *query.object_ });
        } else {
            ++window_.refused_;
        }
    }

    auto arrive(RunningRequest request) -> void
    {
        auto& fake = fakes_[indexOf(*request.upstream_)];
        ++window_.sent_;
        if (fake.running_.size() < static_cast<std::size_t>(model_.slots_))
            return fake.begin(std::move(request), model_, clock_.now());
        if (fake.waiting_.size() < model_.queueLength_) {
            fake.waiting_.push_back(std::move(request));
            return;
        }
        ++window_.rejected_;
        respond(request, fake, true);
    }

    auto endRuns() -> void
    {
        for (auto& fake : fakes_) {
            fake.windowLoad_ += static_cast<double>(fake.held());
            std::vector<RunningRequest> ended;
            std::erase_if(fake.running_, [this, &ended](const auto& request) {
                if (request.endsAt_ > clock_.now())
                    return false;
                ended.push_back(request);
                return true;
            });
            while (fake.running_.size() < static_cast<std::size_t>(model_.slots_) && !fake.waiting_.empty()) {
                fake.begin(fake.waiting_.front(), model_, clock_.now());
                fake.waiting_.pop_front();
            }
            for (const auto& request : ended)
                respond(request, fake, false);
        }
    }

    auto respond(const RunningRequest& request, const FakeUpstream& fake, bool isRejection) -> void
    {
        auto& instance = *request.sender_;
        const ReportedLoad load { static_cast<int>(fake.running_.size()), static_cast<int>(fake.waiting_.size()), model_.slots_, 1.0 };
        instance.upstreams_.noteEnded(*request.upstream_, request.sentAt_);
        instance.upstreams_.noteLoad(*request.upstream_, load);
        if (!isRejection) {
            instance.estimator_.recordResponse(*request.upstream_, { "read", request.object_, 800ms }, load, clock_.now() - request.sentAt_);
            outcome_.times_.push_back(inSeconds(clock_.now() - request.sentAt_));
        }
        instance.exchange_.record({ upstreamKey(request.upstream_->entry_), request.object_, load, {}, isRejection });
    }

    auto exchangeObservations() -> void
    {
        std::vector<std::vector<Observation>> all;
        for (const auto& instance : instances_)
            all.push_back(instance->exchange_.takeForHeartbeat());
        for (std::size_t to = 0; to < instances_.size(); ++to) {
            for (std::size_t from = 0; from < all.size(); ++from) {
                if (from != to)
                    instances_[to]->exchange_.apply(all[from]);
            }
        }
    }

    auto startMeasure() -> void
    {
        outcome_ = {};
        window_ = {};
        for (auto& fake : fakes_) {
            fake.windowLoad_ = fake.load_ = 0;
            fake.warm_ = fake.cold_ = 0;
        }
    }

    auto greatestOverMean(double FakeUpstream::*load) const -> double
    {
        double total = 0;
        double greatest = 0;
        for (int i = 0; i < present_; ++i) {
            total += fakes_[static_cast<std::size_t>(i)].*load;
            greatest = std::max(greatest, fakes_[static_cast<std::size_t>(i)].*load);
        }
        return total > 0 ? greatest * present_ / total : 0;
    }

    auto endWindow() -> void
    {
        window_.greatestLoad_ = greatestOverMean(&FakeUpstream::windowLoad_);
        for (auto& fake : fakes_) {
            fake.load_ += fake.windowLoad_;
            fake.windowLoad_ = 0;
        }
        outcome_.sent_ += window_.sent_;
        outcome_.rejected_ += window_.rejected_;
        outcome_.refused_ += window_.refused_;
        outcome_.windows_.push_back(window_);
        window_ = {};
    }

    auto summarize() -> Outcome
    {
        int warm = 0;
        int cold = 0;
        for (const auto& fake : fakes_) {
            warm += fake.warm_;
            cold += fake.cold_;
        }
        outcome_.greatestLoad_ = greatestOverMean(&FakeUpstream::load_);
        outcome_.warmShare_ = static_cast<double>(warm) / std::max(1, warm + cold);
        return std::exchange(outcome_, {});
    }

    UpstreamModel model_;
    ManualClock clock_;
    std::vector<FakeUpstream> fakes_;
    int present_ = 0;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::int64_t tick_ = 0;
    WindowOutcome window_;
    Outcome outcome_;
};

} // namespace sapphirepass::simulation
