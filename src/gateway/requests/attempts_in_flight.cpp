#include "gateway/requests/attempts_in_flight.h"

#include <algorithm>
#include <utility>

namespace sapphirepass {

auto AttemptsInFlight::add(const SentAttempt& sent, std::unique_ptr<Attempt> attempt) -> void
{
    running_.push_back({ sent, std::move(attempt) });
}

auto AttemptsInFlight::end(Running& running) -> void
{
    running.attempt_.reset();
    upstreams_.noteEnded(*running.sent_.upstream_, running.sent_.at_);
}

auto AttemptsInFlight::release(bool isSecond) -> std::optional<SentAttempt>
{
    const auto found = std::find_if(running_.begin(), running_.end(), [isSecond](const auto& running) { return running.sent_.isSecond_ == isSecond; });
    if (found == running_.end())
        return std::nullopt;
    end(*found);
    const auto sent = found->sent_;
    running_.erase(found);
    return sent;
}

auto AttemptsInFlight::releaseAll() -> void
{
    for (auto& running : running_)
        end(running);
    running_.clear();
}

auto AttemptsInFlight::sent() const -> std::vector<SentAttempt>
{
    std::vector<SentAttempt> sent;
    sent.reserve(running_.size());
    for (const auto& running : running_)
        sent.push_back(running.sent_);
    return sent;
}

} // namespace sapphirepass
