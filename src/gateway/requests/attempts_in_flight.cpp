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
    bodyLimiter_.recordEnded(*running.sent_.upstream_, running.sent_.bodyBytes_);
}

auto AttemptsInFlight::find(bool isSecond) const -> std::optional<SentAttempt>
{
    const auto found = std::find_if(running_.begin(), running_.end(), [isSecond](const auto& running) { return running.sent_.isSecond_ == isSecond; });
    return found == running_.end() ? std::nullopt : std::optional(found->sent_);
}

auto AttemptsInFlight::release(bool isSecond) -> void
{
    const auto found = std::find_if(running_.begin(), running_.end(), [isSecond](const auto& running) { return running.sent_.isSecond_ == isSecond; });
    if (found == running_.end())
        return;
    end(*found);
    running_.erase(found);
}

auto AttemptsInFlight::releaseAll() -> void
{
    for (auto& running : running_)
        end(running);
    running_.clear();
}

auto AttemptsInFlight::awaited() const -> std::vector<SentAttempt>
{
    std::vector<SentAttempt> awaited;
    awaited.reserve(running_.size());
    for (const auto& running : running_) {
        if (!running.attempt_ || !running.attempt_->isHeldBack())
            awaited.push_back(running.sent_);
    }
    return awaited;
}

} // namespace sapphirepass
