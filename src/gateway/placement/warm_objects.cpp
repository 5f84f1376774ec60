#include "gateway/placement/warm_objects.h"

#include "gateway/placement/lru_map.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace sapphirepass {

namespace {
    // Runs of a service after which evidence on its bound has decayed to 1/e. With many objects, few runs have a recency
    // near the bound.
    constexpr double evidenceMemory = 4'000;
    // Bounds whose share of wrong answers differs by less than this many runs are equally likely.
    constexpr double tieTolerance = 0.5;
    // Time constant of each of the two stages of the request rate, which together delay a request by 3 s on average.
    constexpr double stageSeconds = 1.5;
    // The same for the recent rate. At 1.5 s, an object that had become half of the load had 3% of its requests rejected 3 s later.
    constexpr double recentStageSeconds = 0.5;

    struct ObjectRun {
        std::uint64_t object_ = 0;
        MonotonicTime at_ {};
    };

    // Objects that an upstream has run, latest first.
    class RecentObjects {
    public:
        auto record(std::uint64_t object, MonotonicTime at) -> void;
        auto recency(std::uint64_t object) const -> std::optional<std::size_t>;
        auto forget(MonotonicTime now) -> void;

        std::string service_;

    private:
        auto find(std::uint64_t object) const -> std::vector<ObjectRun>::const_iterator
        {
            return std::find_if(runs_.begin(), runs_.end(), [object](const auto& run) { return run.object_ == object; });
        }

        std::vector<ObjectRun> runs_;
        // Peers may report runs from before a restart after it.
        MonotonicTime forgottenAt_ = MonotonicTime::min();
    };

    auto RecentObjects::record(std::uint64_t object, MonotonicTime at) -> void
    {
        if (at <= forgottenAt_)
            return;
        const auto found = find(object);
        if (found != runs_.end()) {
            if (at <= found->at_)
                return;
            runs_.erase(found);
        }
        const auto place = std::find_if(runs_.begin(), runs_.end(), [at](const auto& run) { return run.at_ <= at; });
        runs_.insert(place, { object, at });
        if (runs_.size() > WarmObjects::maxObjectsPerUpstream)
            runs_.pop_back();
    }

    auto RecentObjects::recency(std::uint64_t object) const -> std::optional<std::size_t>
    {
        const auto found = find(object);
        if (found == runs_.end())
            return std::nullopt;
        return static_cast<std::size_t>(found - runs_.begin());
    }

    auto RecentObjects::forget(MonotonicTime now) -> void
    {
        runs_.clear();
        forgottenAt_ = now;
    }

    // Takes the bound that would have answered most of the recent runs correctly.
    class BoundEstimate {
    public:
        auto record(std::size_t recency, bool wasWarm) -> void;
        auto bound() const -> std::size_t { return bound_; }

    private:
        struct Counts {
            double warm_ = 0;
            double cold_ = 0;
        };

        auto infer() const -> std::size_t;

        // By recency.
        std::array<Counts, WarmObjects::maxObjectsPerUpstream> counts_ {};
        std::size_t bound_ = WarmObjects::initialBound;
    };

    // Runs of a recency above the recorded range give no evidence about bounds within it.
    auto BoundEstimate::record(std::size_t recency, bool wasWarm) -> void
    {
        if (recency >= counts_.size())
            return;
        for (auto& counts : counts_) {
            counts.warm_ *= 1 - 1 / evidenceMemory;
            counts.cold_ *= 1 - 1 / evidenceMemory;
        }
        (wasWarm ? counts_[recency].warm_ : counts_[recency].cold_) += 1;
        bound_ = infer();
    }

    auto BoundEstimate::infer() const -> std::size_t
    {
        // wrong[b]: runs that the bound b answers incorrectly, less those that the bound 0 does.
        std::array<double, WarmObjects::maxObjectsPerUpstream + 1> wrong {};
        for (std::size_t b = 1; b < wrong.size(); ++b)
            wrong[b] = wrong[b - 1] + counts_[b - 1].cold_ - counts_[b - 1].warm_;
        const auto best = std::min_element(wrong.begin() + 1, wrong.end());
        auto low = best;
        while (low != wrong.begin() + 1 && *(low - 1) <= *best + tieTolerance)
            --low;
        auto high = best;
        while (high + 1 != wrong.end() && *(high + 1) <= *best + tieTolerance)
            ++high;
        const auto lowest = static_cast<std::size_t>(low - wrong.begin());
        const auto highest = static_cast<std::size_t>(high - wrong.begin());
        // Above the initial bound, only warm runs raise it.
        const auto cautious = std::max(lowest, WarmObjects::initialBound);
        if (high + 1 == wrong.end())
            return cautious;
        const auto middle = static_cast<std::size_t>(std::lround(std::sqrt(static_cast<double>(lowest * highest))));
        return std::min(middle, cautious);
    }

    // Two exponential averages in sequence. A request contributes 0 at first, most after stageSeconds, and then decays. The mean
    // is the true rate both at any time and just after a request; a single average exceeds it by 1 / time constant there.
    class RequestRate {
    public:
        explicit RequestRate(double stage)
            : stage_(stage)
        {
        }

        auto record(MonotonicTime at, MonotonicTime now) -> void
        {
            advance(now);
            const double age = inSeconds(now - at) / stage_;
            first_ += std::exp(-age);
            second_ += age * std::exp(-age);
        }
        auto perSecond(MonotonicTime now) const -> double
        {
            auto current = *this;
            current.advance(now);
            return current.second_ / stage_;
        }

    private:
        auto advance(MonotonicTime now) -> void
        {
            const double elapsed = inSeconds(now - at_) / stage_;
            const double decay = std::exp(-elapsed);
            second_ = (second_ + first_ * elapsed) * decay;
            first_ *= decay;
            at_ = now;
        }

        double stage_;
        double first_ = 0;
        double second_ = 0;
        MonotonicTime at_ {};
    };

    struct ObjectRates {
        auto record(MonotonicTime at, MonotonicTime now) -> void
        {
            average_.record(at, now);
            recent_.record(at, now);
        }

        RequestRate average_ { stageSeconds };
        RequestRate recent_ { recentStageSeconds };
    };
}

struct WarmObjects::State {
    LruMap<std::uint64_t, RecentObjects> upstreams_ { maxUpstreams };
    LruMap<std::string, BoundEstimate> services_ { maxServices };
    // An object is evicted when maxRatedObjects others were requested after it. At N requests per second in all it then had
    // none for at least T = maxRatedObjects / N s. Up to N = 5,400 (T = 3 s, twice the time constant) the mean rate of any
    // object is too low by at most 1 / (e T), and never too high.
    LruMap<std::uint64_t, ObjectRates> rates_ { maxRatedObjects };
};

WarmObjects::WarmObjects(const Clock& clock)
    : clock_(clock)
    , state_(std::make_unique<State>())
{
}

WarmObjects::~WarmObjects() = default;

auto WarmObjects::setService(std::uint64_t upstream, const std::string& service) -> void
{
    state_->upstreams_.use(upstream).service_ = service;
}

auto WarmObjects::record(std::uint64_t upstream, std::uint64_t object, MonotonicTime at) -> void
{
    const auto now = clock_.now();
    const auto past = std::clamp(at, MonotonicTime {}, now);
    state_->upstreams_.use(upstream).record(object, past);
    state_->rates_.use(object).record(past, now);
}

auto WarmObjects::recordRequest(std::uint64_t object, MonotonicTime at) -> void
{
    const auto now = clock_.now();
    state_->rates_.use(object).record(std::clamp(at, MonotonicTime {}, now), now);
}

auto WarmObjects::isWarm(std::uint64_t upstream, std::uint64_t object) const -> bool
{
    const auto* known = state_->upstreams_.find(upstream);
    if (!known)
        return false;
    const auto recency = known->recency(object);
    return recency && *recency < bound(known->service_);
}

auto WarmObjects::recency(std::uint64_t upstream, std::uint64_t object) const -> std::optional<std::size_t>
{
    const auto* known = state_->upstreams_.find(upstream);
    return known ? known->recency(object) : std::nullopt;
}

auto WarmObjects::forget(std::uint64_t upstream) -> void
{
    state_->upstreams_.use(upstream).forget(clock_.now());
}

auto WarmObjects::recordRun(const std::string& service, std::size_t recency, bool wasWarm) -> void
{
    state_->services_.use(service).record(recency, wasWarm);
}

auto WarmObjects::bound(const std::string& service) const -> std::size_t
{
    const auto* known = state_->services_.find(service);
    return known ? known->bound() : initialBound;
}

auto WarmObjects::regionRate(std::uint64_t object) const -> double
{
    const auto* known = state_->rates_.find(object);
    return known ? known->average_.perSecond(clock_.now()) : 0;
}

auto WarmObjects::recentRate(std::uint64_t object) const -> double
{
    const auto* known = state_->rates_.find(object);
    return known ? known->recent_.perSecond(clock_.now()) : 0;
}

} // namespace sapphirepass
