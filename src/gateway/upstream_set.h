// The upstreams that discovery names, with what this instance knows of each.
#pragma once

#include "gateway/upstream_type.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirepass {

// How an attempt at an upstream ended, as far as its health is concerned.
enum class AttemptHealth { Answered,
    // Answered with a failure of its own, or with bytes that are no answer.
    Failed,
    // Said that it did not run the request.
    Shed,
    // Another upstream answered at its address.
    WrongUpstream,
    // The connection was refused, reset or timed out.
    Lost };

struct Upstream {
    UpstreamEntry entry_;
    std::string region_;
    int inFlight_ = 0;
    // When the requests in flight were sent.
    std::multiset<MonotonicTime> sentAt_;
    ReportedLoad load_;
    MonotonicTime loadAt_ {};
    MonotonicTime coldUntil_ {};
    // No work until then, after lost attempts.
    MonotonicTime ejectedUntil_ {};
    int consecutiveLosses_ = 0;
    // Share of recent attempts that failed or were shed, 0 to 1.
    double failureRate_ = 0;
    MonotonicTime failureRateAt_ {};
    // Pace of a cold upstream: when the next request may be sent.
    MonotonicTime nextColdSend_ {};
    // Discovery no longer names it, but may again until then.
    std::optional<MonotonicTime> removeAt_;
    bool retired_ = false;
};

using UpstreamPtr = std::shared_ptr<Upstream>;

// Upstreams of one service in the order of ids.
using ServiceUpstreams = std::vector<UpstreamPtr>;

class UpstreamSet {
public:
    UpstreamSet(const Clock& clock, std::map<std::string, std::string> regionOfDomain);

    // Replaces all entries. Those that are missing are dropped at once, or after a while that starts now.
    auto replaceAll(const std::vector<UpstreamEntry>& entries, Duration keepMissing) -> void;
    auto put(const UpstreamEntry& entry) -> void;
    auto remove(const std::string& id, Duration keepMissing) -> void;
    // Drops the missing whose time is over.
    auto removeExpired() -> void;
    auto setEvacuated(std::set<std::string> domains) -> void { evacuated_ = std::move(domains); }
    // The declared time that an upstream of a service stays cold after a restart.
    auto setColdDuration(const std::string& service, Duration coldDuration) -> void { coldDurations_[service] = coldDuration; }

    auto ofService(const std::string& service) const -> const ServiceUpstreams&;
    auto byId() const -> const std::map<std::string, UpstreamPtr>& { return byId_; }
    auto coldCount() const -> std::size_t;
    auto size() const -> std::size_t { return byId_.size(); }
    // May get work at all: named, not draining, its domain not evacuated.
    auto isEligible(const Upstream& upstream) const -> bool;
    auto regionOf(const std::string& domain) const -> std::string;
    // All declared regions.
    auto regions() const -> const std::set<std::string>& { return regions_; }
    // An attempt that is about to be sent, and the same when it has ended in whatever way.
    auto noteSent(Upstream& upstream, MonotonicTime sentAt) -> void;
    auto noteEnded(Upstream& upstream, MonotonicTime sentAt) -> void;
    auto noteAttempt(Upstream& upstream, AttemptHealth health) -> void;
    // Its cold time never ends sooner than was heard before.
    auto noteCold(const std::string& id, Duration left) -> void;
    auto noteLoad(Upstream& upstream, ReportedLoad load) -> void;

private:
    auto rebuildServices() -> void;
    auto becomeCold(Upstream& upstream, Duration left) -> void;
    auto retire(Upstream& upstream) -> void { upstream.retired_ = true; }

    const Clock& clock_;
    std::map<std::string, std::string> regionOfDomain_;
    std::set<std::string> regions_;
    std::map<std::string, UpstreamPtr> byId_;
    std::map<std::string, ServiceUpstreams> byService_;
    std::map<std::string, Duration> coldDurations_;
    std::set<std::string> evacuated_;
};

} // namespace sapphirepass
