#include "admission/once_registry.h"

namespace sapphirepass {

namespace {
    auto bytesOf(const OnceOutcome& outcome) -> std::size_t
    {
        const auto* answer = std::get_if<RecordedAnswer>(&outcome);
        return answer == nullptr ? 0 : answer->body_.size() + answer->contentType_.size();
    }
}

OnceRegistry::OnceRegistry(const OnceBounds& bounds, Duration retention)
    : bounds_(bounds)
    , retention_(retention)
{
}

auto OnceRegistry::removeExpired(MonotonicTime now) -> void
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto record = records_.find(expiries_.begin()->second);
        answerBytes_ -= bytesOf(record->second.outcome_);
        records_.erase(record);
        expiries_.erase(expiries_.begin());
    }
}

auto OnceRegistry::begin(const std::string& ticketId, MonotonicTime now) -> Result<std::variant<Done, OnceOutcome>, OnceErrorKind>
{
    removeExpired(now);
    if (const auto found = records_.find(ticketId); found != records_.end())
        return std::variant<Done, OnceOutcome>(found->second.outcome_);
    // Refuses when full: dropping an outcome early could let its request run a second time.
    if (records_.size() >= bounds_.records_)
        return OnceErrorKind::Full;
    records_.emplace(ticketId, Record { OnceRunning {} });
    return std::variant<Done, OnceOutcome>(Done {});
}

auto OnceRegistry::find(const std::string& ticketId, MonotonicTime now) -> std::optional<OnceOutcome>
{
    removeExpired(now);
    const auto found = records_.find(ticketId);
    if (found == records_.end())
        return std::nullopt;
    return found->second.outcome_;
}

auto OnceRegistry::release(const std::string& ticketId) -> void
{
    const auto found = records_.find(ticketId);
    if (found != records_.end() && std::holds_alternative<OnceRunning>(found->second.outcome_))
        records_.erase(found);
}

auto OnceRegistry::finish(const std::string& ticketId, OnceOutcome outcome, MonotonicTime now) -> void
{
    const auto found = records_.find(ticketId);
    if (found == records_.end() || !std::holds_alternative<OnceRunning>(found->second.outcome_))
        return;
    if (answerBytes_ + bytesOf(outcome) > bounds_.answerBytes_)
        outcome = OnceOutcomeUnknown {};
    answerBytes_ += bytesOf(outcome);
    found->second = { std::move(outcome), now + retention_ };
    expiries_.emplace(found->second.expiry_, ticketId);
}

} // namespace sapphirepass
