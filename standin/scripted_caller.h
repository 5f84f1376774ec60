// Upstreams whose outcomes a test decides, one attempt after the other.
#pragma once

#include "gateway/fleet/delegate_caller.h"

#include <set>
#include <vector>

namespace sapphirepass::standin {

class ScriptedCaller final : public UpstreamCaller {
public:
    struct Call {
        UpstreamPtr upstream_;
        std::shared_ptr<const OutgoingRequest> request_;
        std::function<void(AttemptOutcome)> done_;
        // Whether the attempt was ended before its outcome.
        std::shared_ptr<bool> isEnded_;
        // Whether the response has begun and is not read on.
        std::shared_ptr<bool> isHeldBack_;
    };

    auto hasOpenConnection(const UpstreamPtr& upstream) -> bool override { return open_.contains(upstream->entry_.id_); }
    auto hasIdleConnection(const UpstreamPtr& upstream) const -> bool override { return open_.contains(upstream->entry_.id_); }
    auto call(const UpstreamPtr& upstream, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt> override
    {
        auto ended = std::make_shared<bool>(false);
        auto heldBack = std::make_shared<bool>(false);
        calls_.push_back({ upstream, std::move(request), std::move(done), ended, heldBack });
        return std::make_unique<Open>(ended, heldBack);
    }

    // Ids of upstreams to which a connection is open.
    std::set<std::string> open_;

    auto calls() const -> const std::vector<Call>& { return calls_; }
    // Tells the outcome of the newest attempt.
    auto finish(AttemptOutcome outcome) -> void
    {
        const auto done = calls_.back().done_;
        done(std::move(outcome));
    }

private:
    class Open final : public Attempt {
    public:
        Open(std::shared_ptr<bool> ended, std::shared_ptr<const bool> heldBack)
            : ended_(std::move(ended))
            , heldBack_(std::move(heldBack))
        {
        }
        ~Open() override { *ended_ = true; }
        Open(const Open&) = delete;
        auto operator=(const Open&) -> Open& = delete;
        auto isHeldBack() const -> bool override { return *heldBack_; }

    private:
        std::shared_ptr<bool> ended_;
        std::shared_ptr<const bool> heldBack_;
    };

    std::vector<Call> calls_;
};

// Peers whose responses to delegated requests a test decides.
class ScriptedDelegates final : public DelegateCaller {
public:
    struct Call {
        std::string peer_;
        std::shared_ptr<const OutgoingRequest> request_;
        std::function<void(AttemptOutcome)> done_;
    };

    auto call(const MemberReport& peer, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt> override
    {
        calls_.push_back({ peer.name_, std::move(request), std::move(done) });
        return std::make_unique<Attempt>();
    }

    auto calls() const -> const std::vector<Call>& { return calls_; }
    auto finish(AttemptOutcome outcome) -> void
    {
        const auto done = calls_.back().done_;
        done(std::move(outcome));
    }

private:
    std::vector<Call> calls_;
};

} // namespace sapphirepass::standin
