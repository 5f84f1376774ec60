#include "admission/escrow_budgets.h"

#include "admission/escrow_totals.h"
#include "admission/escrow_wire.h"
#include "base/event_log.h"
#include "base/texts.h"

#include <fmt/format.h>

namespace sapphirepass {

namespace {
    // A lease lasts three intervals after the last answer of the store.
    constexpr std::chrono::milliseconds syncInterval { 5'000 };
    constexpr std::chrono::milliseconds urgentSyncInterval { 500 };
    // A watch that ends almost at once is a conditional read: it is cheap while the object is unchanged.
    constexpr std::chrono::milliseconds shortestWatch { 1 };
}

EscrowBudgets::EscrowBudgets(const Clock& clock, const InstanceId& self, PeerLink& peers, ObjectStore& store, const ConfigState& config, Metrics& metrics)
    : clock_(clock)
    , self_(self)
    , peers_(peers)
    , store_(store)
    , config_(config)
    , metrics_(metrics)
    , holder_({ self.name_, self.incarnation_ }, clock.now())
    , loggedGeneration_(self.incarnation_)
{
    peers_.onReceive(PeerTopic::Budget, [this](const InstanceId& from, const std::string& payload) { receive(from, payload); });
}

EscrowBudgets::~EscrowBudgets()
{
    stop();
}

auto EscrowBudgets::trySpend(const BudgetId& id, std::int64_t amount) -> bool
{
    bool spent = false;
    {
        const std::lock_guard lock(mutex_);
        spent = holder_.trySpend(id, amount, clock_.now());
    }
    if (!spent)
        sendOutgoing();
    return spent;
}

auto EscrowBudgets::releaseSlots(const BudgetId& id, std::int64_t amount) -> void
{
    const std::lock_guard lock(mutex_);
    holder_.releaseSlots(id, amount);
}

auto EscrowBudgets::retryAfter(const BudgetId& id) const -> Duration
{
    const std::lock_guard lock(mutex_);
    return holder_.retryAfter(id, 1);
}

auto EscrowBudgets::receive(const InstanceId& from, const std::string& payload) -> void
{
    auto message = decodeEscrowMessage(payload, from.name_, self_.name_);
    if (!message)
        return;
    {
        const std::lock_guard lock(mutex_);
        holder_.receive(*message, clock_.now());
        if (message->kind_ == EscrowMessageKind::NewEpoch || message->kind_ == EscrowMessageKind::ReportAcknowledge)
            syncUrgent_ = true;
    }
    wake_.notify_all();
    sendOutgoing();
}

auto EscrowBudgets::sendOutgoing() -> void
{
    std::vector<EscrowMessage> messages;
    {
        const std::lock_guard lock(mutex_);
        messages = holder_.takeOutgoing();
    }
    for (const auto& message : messages)
        peers_.send(message.to_.name_, { PeerTopic::Budget, encodeEscrowMessage(message) });
}

auto EscrowBudgets::refreshTotals() -> void
{
    const auto snapshot = config_.snapshot();
    if (snapshot->revision() == totalsRevision_)
        return;
    totalsRevision_ = snapshot->revision();
    holder_.setTotals(totalsOf(*snapshot), clock_.now());
}

auto EscrowBudgets::tickOnce() -> void
{
    {
        const std::lock_guard lock(mutex_);
        refreshTotals();
        holder_.tick(clock_.now());
        publishState();
    }
    sendOutgoing();
}

auto EscrowBudgets::publishState() -> void
{
    const auto& self = holder_.ledger().self();
    if (self.generation_ != loggedGeneration_)
        logEvent(EventId::BudgetLeaseLapsed, "instance={} epoch={}", self_.name_, loggedEpoch_);
    loggedGeneration_ = self.generation_;
    const auto epoch = holder_.membership().epoch();
    if (epoch != loggedEpoch_ && epoch > 0)
        logEvent(EventId::BudgetEpochEntered, "instance={} epoch={} issuer={}", self_.name_, epoch, holder_.membership().record().issuer_.name_);
    loggedEpoch_ = epoch;
    metrics_.set({ "budget_epoch" }, epoch);
    metrics_.set({ "budget_lease_held" }, holder_.membership().holdsLease(clock_.now()) ? 1 : 0);
}

auto EscrowBudgets::observe(const std::string& value, ObjectVersion version, MonotonicTime started) -> void
{
    const auto record = decodeEpochRecord(value);
    if (!record) {
        logEvent(EventId::BudgetTableUnreadable, "object={} version={}", epochRecordObject, version);
        return;
    }
    const std::lock_guard lock(mutex_);
    recordVersion_ = version;
    holder_.observe(*record, started, clock_.now());
}

auto EscrowBudgets::readRecord() -> std::optional<StoreError>
{
    const auto started = clock_.now();
    if (recordVersion_ != absentVersion) {
        const auto newer = store_.watch(epochRecordObject, recordVersion_, shortestWatch);
        if (!isOk(newer))
            return errorOf(newer);
        if (valueOf(newer)) {
            observe(valueOf(newer)->value_, valueOf(newer)->version_, started);
            return std::nullopt;
        }
        const std::lock_guard lock(mutex_);
        holder_.confirm(started, clock_.now());
        return std::nullopt;
    }
    const auto read = store_.read(epochRecordObject);
    if (isOk(read)) {
        observe(valueOf(read).value_, valueOf(read).version_, started);
        return std::nullopt;
    }
    if (errorOf(read).kind_ != StoreErrorKind::NotFound)
        return errorOf(read);
    const std::lock_guard lock(mutex_);
    holder_.observeAbsent();
    return std::nullopt;
}

auto EscrowBudgets::writeProposedRecord() -> bool
{
    std::optional<EpochRecord> proposed;
    {
        const std::lock_guard lock(mutex_);
        proposed = holder_.proposedRecord(clock_.now());
    }
    if (!proposed)
        return false;
    const auto started = clock_.now();
    const auto value = encodeEpochRecord(*proposed);
    const auto written = store_.write(epochRecordObject, value, recordVersion_);
    // After a conflict or a lost answer, the next read shows the current record.
    if (isOk(written))
        observe(value, valueOf(written), started);
    return true;
}

auto EscrowBudgets::syncOnce() -> bool
{
    const auto error = readRecord();
    const bool written = !error && writeProposedRecord();
    {
        const std::lock_guard lock(mutex_);
        syncUrgent_ = written || error.has_value();
    }
    sendOutgoing();
    return !error;
}

auto EscrowBudgets::isSyncUrgent() const -> bool
{
    const std::lock_guard lock(mutex_);
    return syncUrgent_ || !holder_.membership().holdsLease(clock_.now()) || !holder_.membership().record().complete_;
}

auto EscrowBudgets::hasLeft() const -> bool
{
    const std::lock_guard lock(mutex_);
    return holder_.hasLeft();
}

auto EscrowBudgets::start() -> void
{
    tickThread_ = std::thread([this] { runTicks(); });
    syncThread_ = std::thread([this] { runSyncs(); });
}

auto EscrowBudgets::runTicks() -> void
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        tickOnce();
        lock.lock();
        wake_.wait_for(lock, escrowTickInterval, [this] { return stopping_; });
    }
}

auto EscrowBudgets::runSyncs() -> void
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        syncOnce();
        const auto pause = isSyncUrgent() ? urgentSyncInterval : syncInterval;
        lock.lock();
        syncUrgent_ = false;
        wake_.wait_for(lock, pause, [this] { return stopping_ || syncUrgent_; });
    }
}

auto EscrowBudgets::leave(std::chrono::milliseconds timeout) -> void
{
    std::unique_lock lock(mutex_);
    holder_.leave();
    wake_.wait_for(lock, timeout, [this] { return holder_.hasLeft(); });
    syncUrgent_ = true;
    lock.unlock();
    wake_.notify_all();
    lock.lock();
    wake_.wait_for(lock, urgentSyncInterval, [this] { return !holder_.membership().isRegistered(); });
}

auto EscrowBudgets::stop() -> void
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    for (auto* thread : { &tickThread_, &syncThread_ }) {
        if (thread->joinable())
            thread->join();
    }
}

EscrowAdmitter::EscrowAdmitter(EscrowBudgets& budgets)
    : budgets_(budgets)
{
}

auto EscrowAdmitter::admit(const Workspace& workspace) -> Result<Done, Refusal>
{
    const BudgetId id { BudgetKind::WorkspaceRate, workspace.name_ };
    if (budgets_.trySpend(id, 1))
        return Done {};
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(budgets_.retryAfter(id));
    return Refusal { RefusalKind::OverRate, fmt::format(texts::rateExceeded, workspace.name_), Executed::No, wait };
}

} // namespace sapphirepass
