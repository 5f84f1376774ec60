#include "fleet/fleet_node.h"

#include "base/event_log.h"
#include "base/random.h"
#include "base/texts.h"
#include "fleet/fleet_codec.h"

#include <fmt/format.h>

namespace sapphirepass {

namespace {
    using namespace std::chrono_literals;

    constexpr auto tickPeriod = 100ms;
    constexpr auto listRefreshPeriod = 1s;
    // Time that "show instances" waits for the watchers' replies.
    constexpr auto membersQueryTimeout = 400ms;
    // Watchers persist withdrawals in rank order with this delay between them, so that two rarely submit the
    // same one.
    constexpr auto persistDelayPerRank = 500ms;
    constexpr std::chrono::seconds staleRetryAfter { 1 };
    constexpr std::string_view seedPrefix = "@";
    constexpr std::array fleetTopics { PeerTopic::Membership, PeerTopic::Relay, PeerTopic::Withdrawal };

    auto toMember(const PlatformInstance& listed) -> Member
    {
        Member member;
        member.id_.name_ = listed.name_;
        member.region_ = listed.region_;
        member.domain_ = listed.domain_;
        member.http_ = listed.http_;
        member.peer_ = listed.peer_;
        member.leaving_ = listed.phase_ == InstancePhase::Leaving;
        return member;
    }
}

FleetNode::FleetNode(Member self, ConfigState& state, const Clock& clock, Metrics& metrics, const FleetOptions& options, FleetCallbacks callbacks)
    : clock_(clock)
    , metrics_(metrics)
    , callbacks_(std::move(callbacks))
    , core_(std::move(self), state, clock, options, randomNumber())
{
}

FleetNode::~FleetNode()
{
    stop();
}

auto FleetNode::attach(PeerLink& link) -> void
{
    link_ = &link;
    for (const auto topic : fleetTopics)
        link.onReceive(topic, [this, topic](const InstanceId& from, const std::string& payload) { receive(topic, from, payload); });
}

auto FleetNode::start() -> void
{
    thread_ = std::thread([this] { run(); });
}

auto FleetNode::stop() -> void
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

auto FleetNode::run() -> void
{
    auto nextList = clock_.now();
    while (!stopping_) {
        if (clock_.now() >= nextList) {
            nextList = clock_.now() + listRefreshPeriod;
            refreshList();
        }
        std::unique_lock lock(mutex_);
        core_.tick();
        publish();
        flush(std::move(lock));
        std::unique_lock waiting(mutex_);
        changed_.wait_for(waiting, tickPeriod, [this] { return stopping_.load(); });
    }
}

auto FleetNode::refreshList() -> void
{
    auto instances = callbacks_.listInstances_();
    const std::lock_guard lock(mutex_);
    if (instances == listedInstances_)
        return;
    listedInstances_ = std::move(instances);
    std::vector<Member> members;
    for (const auto& instance : listedInstances_)
        members.push_back(toMember(instance));
    core_.setPlatformList(std::make_shared<const MemberList>(std::move(members)));
}

auto FleetNode::receive(PeerTopic topic, const InstanceId& from, const std::string& payload) -> void
{
    const auto message = decodeFleetMessage({ topic, payload });
    if (!isOk(message)) {
        metrics_.increment({ "peer_dropped_total", "reason=\"malformed\"" });
        return;
    }
    std::unique_lock lock(mutex_);
    core_.receive(from, valueOf(message));
    if (std::holds_alternative<MembersReply>(valueOf(message)))
        ++memberReplies_;
    publish();
    flush(std::move(lock));
    changed_.notify_all();
}

auto FleetNode::publish() -> void
{
    currentUntil_ = core_.currentUntil().time_since_epoch().count();
    const bool current = core_.isCurrent();
    if (current != wasCurrent_)
        logEvent(current ? EventId::Rejoined : EventId::Isolated, "domains_heard={} domains={}", core_.freshness().recentDomainCount(), core_.freshness().domainCount());
    wasCurrent_ = current;
    metrics_.set({ "fleet_current" }, current ? 1 : 0);
    metrics_.set({ "fleet_watches_store" }, core_.shouldWatchStore() ? 1 : 0);
    metrics_.set({ "fleet_members" }, static_cast<std::int64_t>(core_.members().list().members().size()));
    metrics_.set({ "fleet_divergences" }, core_.relay().divergences());
    metrics_.set({ "fleet_withdrawals_not_durable" }, static_cast<std::int64_t>(core_.withdrawals().size()));
    const std::lock_guard lock(withdrawnKeysMutex_);
    if (withdrawnKeys_->size() == core_.withdrawals().size() && withdrawnKeys_->empty())
        return;
    std::set<std::string> keys;
    for (const auto& withdrawal : core_.withdrawals().all().keys_)
        keys.insert(withdrawal.key_);
    withdrawnKeys_ = std::make_shared<const std::set<std::string>>(std::move(keys));
}

// Releases the lock before sending, because the link may call resolve().
auto FleetNode::flush(std::unique_lock<std::mutex> lock) -> void
{
    const auto sends = core_.takeOutbound();
    lock.unlock();
    for (const auto& sent : sends)
        link_->send(sent.to_, encodeFleetMessage(sent.message_));
}

auto FleetNode::announceLeaving() -> void
{
    std::unique_lock lock(mutex_);
    core_.announceLeaving();
    flush(std::move(lock));
}

auto FleetNode::resolve(const std::string& name) const -> std::optional<SocketAddress>
{
    if (name.starts_with(seedPrefix))
        return parseSocketAddress(std::string_view(name).substr(seedPrefix.size()));
    const std::lock_guard lock(mutex_);
    const auto* member = core_.members().list().find(name);
    return member == nullptr ? std::nullopt : std::optional(member->peer_);
}

auto FleetNode::isMember(const std::string& name) const -> bool
{
    const std::lock_guard lock(mutex_);
    return core_.members().list().find(name) != nullptr || !core_.members().hasLeft(name);
}

auto FleetNode::isCurrent() const -> bool
{
    return clock_.now().time_since_epoch().count() <= currentUntil_;
}

auto FleetNode::checkGrant(const Result<Grant, Refusal>& granted) const -> Result<Grant, Refusal>
{
    const bool keyed = isOk(granted) ? !valueOf(granted).key_.empty() : errorOf(granted).kind_ == RefusalKind::Unauthorized;
    if (!keyed)
        return granted;
    if (!isCurrent())
        return Refusal { RefusalKind::Overloaded, std::string(texts::keyValidityUnknown), Executed::No, staleRetryAfter };
    if (!isOk(granted))
        return granted;
    const std::lock_guard lock(withdrawnKeysMutex_);
    if (withdrawnKeys_->contains(valueOf(granted).key_))
        return Refusal { RefusalKind::Unauthorized, std::string(texts::keyUnknown) };
    return granted;
}

auto FleetNode::shouldWatch() const -> bool
{
    const std::lock_guard lock(mutex_);
    return core_.shouldWatchStore();
}

auto FleetNode::storeAnswered(MonotonicTime started, const std::optional<LogHead>& head) -> void
{
    std::unique_lock lock(mutex_);
    if (head)
        core_.storeAnswered(started, *head);
    else
        core_.storeAnswered(started);
    publish();
    flush(std::move(lock));
    persistWithdrawals();
}

auto FleetNode::persistWithdrawals() -> void
{
    WithdrawalSet pending;
    {
        const std::lock_guard lock(mutex_);
        pending = core_.withdrawals().all();
        if (pending.keys_.empty()) {
            pendingSince_.reset();
            return;
        }
        if (!pendingSince_)
            pendingSince_ = clock_.now();
        if (clock_.now() < *pendingSince_ + core_.watcherRank() * persistDelayPerRank)
            return;
    }
    for (const auto& withdrawal : pending.keys_) {
        if (processedCommands_.contains(withdrawal.id_))
            continue;
        if (!callbacks_.persistWithdrawal_(withdrawal))
            return;
        processedCommands_.insert(withdrawal.id_);
    }
}

auto FleetNode::withdraw(const std::vector<Withdrawal>& withdrawals) -> std::uint64_t
{
    std::unique_lock lock(mutex_);
    for (const auto& withdrawal : withdrawals)
        core_.withdraw(withdrawal);
    const auto hash = core_.withdrawals().hash();
    publish();
    flush(std::move(lock));
    return hash;
}

auto FleetNode::inForce(const InForceAsk& ask) -> InForceStatus
{
    std::unique_lock lock(mutex_);
    core_.askInForce(ask);
    auto count = core_.inForce(ask);
    flush(std::move(lock));
    return count;
}

auto FleetNode::describeMembers() -> Rows
{
    std::unique_lock lock(mutex_);
    memberReplies_ = 0;
    core_.askMembers();
    const auto expected = core_.members().list().domains().size();
    flush(std::move(lock));
    std::unique_lock waiting(mutex_);
    changed_.wait_for(waiting, membersQueryTimeout, [this, expected] { return stopping_ || memberReplies_ >= expected; });
    Rows rows { { "name", "region", "domain", "revision", "state_hash", "phase", "heard_ms" }, {} };
    for (const auto& member : core_.describeMembers()) {
        const auto& name = member.id_.name_;
        const bool hasReported = member.id_.incarnation_ != 0;
        const auto* phase = !core_.members().isAvailable(name) ? "silent" : hasReported ? "live"
                                                                                        : "listed";
        rows.rows_.push_back({ name, member.region_, member.domain_, fmt::format("{}", member.revision_), fmt::format("{:016x}", member.stateHash_), phase,
            hasReported ? fmt::format("{}", member.age_.count()) : "" });
    }
    return rows;
}

} // namespace sapphirepass
