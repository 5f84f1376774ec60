#include "gateway/upstreams/load_exchange.h"

#include <algorithm>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    constexpr double usualSpeed = 1;
}

LoadExchange::LoadExchange(const Clock& clock, UpstreamSet& upstreams, Metrics& metrics, Scope scope)
    : clock_(clock)
    , upstreams_(upstreams)
    , metrics_(metrics)
    , scope_(scope)
{
}

// Without the slowdown, peers place requests as before and have no use for the observation: it would only cost bytes.
auto LoadExchange::record(const Observation& response) -> void
{
    auto observation = response;
    if (!observation.load_.slowdown_ && scope_ == Scope::AllUpstreams)
        observation.load_.slowdown_ = usualSpeed;
    if (!merge(observation, true) || !observation.load_.slowdown_)
        return;
    pending_.push_back({ observation, clock_.now() - observation.age_ });
    if (pending_.size() > maxObservations) {
        pending_.pop_front();
        countDropped("surplus");
    }
}

auto LoadExchange::takeForHeartbeat() -> std::vector<Observation>
{
    const auto now = clock_.now();
    std::vector<Observation> taken;
    taken.reserve(pending_.size());
    for (const auto& pending : pending_) {
        auto observation = pending.observation_;
        observation.age_ = std::chrono::duration_cast<std::chrono::milliseconds>(now - pending.at_);
        if (now - pending.at_ <= UpstreamSet::maxSharedLoadAge)
            taken.push_back(observation);
        else
            countDropped("stale");
    }
    pending_.clear();
    std::stable_sort(taken.begin(), taken.end(), [](const auto& a, const auto& b) { return a.age_ < b.age_; });
    return taken;
}

auto LoadExchange::apply(const std::vector<Observation>& observations) -> void
{
    if (observations.empty())
        return;
    metrics_.increment({ "gateway_observations_received_total", {} }, static_cast<std::int64_t>(observations.size()));
    const auto count = std::min(observations.size(), maxObservations);
    for (std::size_t i = 0; i < count; ++i) {
        if (isValid(observations[i].load_) && observations[i].load_.slowdown_ && observations[i].age_.count() >= 0)
            merge(observations[i], false);
        else
            countDropped("invalid");
    }
    if (observations.size() > count)
        countDropped("surplus", static_cast<std::int64_t>(observations.size() - count));
}

auto LoadExchange::merge(const Observation& observation, bool isOwn) -> bool
{
    if (observation.age_ > UpstreamSet::maxSharedLoadAge) {
        countDropped("stale");
        return false;
    }
    const auto upstream = upstreams_.ofKey(observation.upstream_);
    if (!upstream) {
        countDropped("unknown-upstream");
        return false;
    }
    const auto at = clock_.now() - observation.age_;
    upstreams_.recordSharedLoad(*upstream, observation.load_, at);
    for (auto* listener : listeners_)
        listener->onObservation(*upstream, observation, at, isOwn);
    return true;
}

auto LoadExchange::countDropped(std::string_view cause, std::int64_t count) -> void
{
    metrics_.increment({ "gateway_observations_dropped_total", fmt::format("cause=\"{}\"", cause) }, count);
}

} // namespace sapphirepass
