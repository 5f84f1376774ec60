// The upstreams known from discovery, each with the load and health that this instance has observed.
#pragma once

#include "gateway/upstreams/departed_upstreams.h"
#include "gateway/upstreams/upstream_type.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sapphirepass {

// Outcome of an attempt, as an indicator of the upstream's health.
enum class AttemptHealth { Answered,
    // The upstream answered with a server error or with a malformed response.
    Failed,
    // The upstream stated that it did not run the request.
    Shed,
    // A different upstream answered at the address.
    WrongUpstream,
    // The connection was refused or reset, or timed out.
    Lost };

struct Upstream {
    UpstreamEntry entry_;
    std::shared_ptr<StartNotices> notices_ = std::make_shared<StartNotices>();
    std::string region_;
    int inFlight_ = 0;
    // Send times of the requests in flight.
    std::multiset<MonotonicTime> sentAt_;
    ReportedLoad load_;
    MonotonicTime loadAt_ {};
    // The newest load that this instance or a peer has observed, and when; see UpstreamSet::freshSharedLoad().
    std::optional<ReportedLoad> sharedLoad_;
    MonotonicTime sharedLoadAt_ {};
    // An invalid load report of this start has been logged.
    bool isInvalidLoadLogged_ = false;
    MonotonicTime coldUntil_ {};
    // The same without this instance's own suspicion after lost connections.
    MonotonicTime reportedColdUntil_ {};
    // Cold time as listed by discovery, without own observations and notices of peers.
    MonotonicTime listedColdUntil_ {};
    // Outlier ejection after lost connections: until then, only used if no healthy upstream is left.
    MonotonicTime ejectedUntil_ {};
    int consecutiveLosses_ = 0;
    // State before the first of the consecutive losses, which is restored if they were losses of this instance's links.
    MonotonicTime lossesSince_ {};
    MonotonicTime coldUntilBeforeLosses_ {};
    double failureRateBeforeLosses_ = 0;
    // Decayed share of recent attempts that did not succeed, 0 to 1.
    double failureRate_ = 0;
    MonotonicTime failureRateAt_ {};
    // Earliest time at which this instance may send the next request while the upstream is cold.
    MonotonicTime nextColdSend_ {};
    // Set while the upstream is missing from discovery: it is removed then unless it is listed again.
    std::optional<MonotonicTime> removeAt_;
    // Removed from the set, or replaced by a restart; requests in flight may still refer to it.
    bool retired_ = false;
};

using UpstreamPtr = std::shared_ptr<Upstream>;

// Upstreams of one service, ordered by id.
using ServiceUpstreams = std::vector<UpstreamPtr>;

class UpstreamSet {
public:
    // A shared load that is older says nothing about the present one.
    static constexpr Duration maxSharedLoadAge = std::chrono::seconds(2);

    UpstreamSet(const Clock& clock, std::map<std::string, std::string> regionOfDomain);

    // Replaces all entries. Upstreams that are no longer listed are removed after the grace period, or immediately if it
    // is zero; draining ones are always removed immediately.
    auto replaceAll(const std::vector<UpstreamEntry>& entries, Duration removalGrace) -> void;
    auto put(const UpstreamEntry& entry) -> void;
    auto remove(const std::string& id, Duration removalGrace) -> void;
    // Withholds listed entries that are older than the known state, for a few seconds after the store has returned from a
    // copy. Entries that are still listed after that are used.
    auto recordRestore() -> void;
    // Removes missing upstreams whose grace period has ended, and releases entries that were withheld long enough. Returns the
    // ids of the removed ones.
    auto removeExpired() -> std::vector<std::string>;
    auto setEvacuated(std::set<std::string> domains) -> void { evacuated_ = std::move(domains); }
    // Sets the declared time for which upstreams of the service stay cold after a restart.
    auto setColdDuration(const std::string& service, Duration coldDuration) -> void { coldDurations_[service] = coldDuration; }

    auto ofService(const std::string& service) const -> const ServiceUpstreams&;
    auto byId() const -> const std::map<std::string, UpstreamPtr>& { return byId_; }
    // The upstream with this id and start. If it is not listed, its notices are kept and apply once it is.
    auto ofStart(const std::string& id, std::int64_t startTimeMs) -> UpstreamPtr;
    // The listed upstream with this key; null if there is none, or if several have it.
    auto ofKey(UpstreamKey key) const -> UpstreamPtr;
    auto coldCount() const -> std::size_t;
    auto size() const -> std::size_t { return byId_.size(); }
    // Whether the upstream may receive requests: still listed, not draining, and its failure domain not evacuated.
    auto isEligible(const Upstream& upstream) const -> bool;
    auto regionOf(const std::string& domain) const -> std::string;
    // Regions of all configured failure domains.
    auto regions() const -> const std::set<std::string>& { return regions_; }
    // Counts an attempt in flight, from just before it is sent until it ends with any outcome.
    auto noteSent(Upstream& upstream, MonotonicTime sentAt) -> void;
    auto noteEnded(Upstream& upstream, MonotonicTime sentAt) -> void;
    auto noteAttempt(Upstream& upstream, AttemptHealth health) -> void;
    // Takes back what was concluded from losses since then at the upstreams of a region.
    auto revertLosses(const std::string& region, MonotonicTime since) -> void;
    // Extends the upstream's cold time; never shortens it.
    auto noteCold(const std::string& id, Duration left) -> void;
    auto noteLoad(Upstream& upstream, ReportedLoad load) -> void;
    // Keeps the load unless a later observation is known.
    auto recordSharedLoad(Upstream& upstream, const ReportedLoad& load, MonotonicTime at) -> void;
    // The shared load, if it is recent enough to be used.
    auto freshSharedLoad(const Upstream& upstream) const -> std::optional<ReportedLoad>;
    // The upstream gets no further requests under its current start.
    auto recordLeaving(Upstream& upstream) -> void { upstream.notices_->isLeaving_ = true; }
    // The upstream gets no requests, probes included, for this long. Never shortens an earlier pause.
    auto recordPause(Upstream& upstream, Duration pause) -> void;
    // Keeps the limit that the upstream named, or that it names none, unless a later observation is known: a late response
    // must not bring an old limit back. Returns whether the limit has changed.
    auto recordLimit(Upstream& upstream, const NamedLimit& limit) -> bool;
    // Upstreams that currently name a limit.
    auto limitedCount() const -> std::size_t;
    // Time until the pause of the upstream ends; zero if it is not paused.
    auto pauseLeft(const Upstream& upstream) const -> Duration;

private:
    // Whether a listed entry is older than the known state of its upstream.
    auto isOutdated(const UpstreamEntry& entry) const -> bool;
    auto makeUpstream(const UpstreamEntry& entry) const -> UpstreamPtr;
    auto rebuildServices() -> void;
    auto markCold(Upstream& upstream, Duration left) -> void;
    auto retire(Upstream& upstream) -> void;

    const Clock& clock_;
    std::map<std::string, std::string> regionOfDomain_;
    std::set<std::string> regions_;
    std::map<std::string, UpstreamPtr> byId_;
    std::map<std::string, ServiceUpstreams> byService_;
    std::multimap<UpstreamKey, UpstreamPtr> byKey_;
    std::map<std::string, Duration> coldDurations_;
    DepartedUpstreams departed_;
    // Outdated entries listed after a restore, by id.
    std::map<std::string, UpstreamEntry> withheld_;
    MonotonicTime withholdUntil_ {};
    std::set<std::string> evacuated_;
};

} // namespace sapphirepass
