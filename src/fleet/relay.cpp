#include "fleet/relay.h"

#include "base/event_log.h"
#include "config/snapshot_codec.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    using namespace std::chrono_literals;

    // Log entries cached for other instances; an instance that is further behind gets a snapshot.
    constexpr std::size_t maxCachedEntries = 512;
    constexpr std::size_t maxCachedEntryBytes = 512 * 1024;
    constexpr std::size_t snapshotPartBytes = 128 * 1024;
    // Parts of larger snapshots are discarded as invalid.
    constexpr std::size_t maxSnapshotBytes = 256 * 1024 * 1024;
    // Minimum interval between pulls, so that several digests in a row cause only one.
    constexpr auto minPullInterval = 200ms;
    // Pull delay after entries that this version cannot parse, or entries or a snapshot that it cannot apply.
    constexpr auto failureRetryDelay = 10s;
    // Time that an encoded snapshot is kept after its last use.
    constexpr auto uploadTtl = 10s;

    auto sizeOf(const LogEntry& entry) -> std::size_t { return entry.text_.size() + entry.id_.size() + 64; }
}

Relay::Relay(ConfigState& state, const MemberTable& members, const Clock& clock, const FanOutOptions& options, std::mt19937_64& random)
    : state_(state)
    , members_(members)
    , clock_(clock)
    , options_(options)
    , random_(random)
    , forwardedRevisions_(options.watchers_ + 1, 0)
{
}

auto Relay::revision() const -> Revision
{
    return state_.snapshot()->revision();
}

auto Relay::receiveFromStore(const LogHead& head) -> OutboundMessages
{
    const auto known = entries_.empty() ? 0 : entries_.back().revision_;
    // The first read returns the existing log, which the other instances already have.
    const bool isInitialRead = revision() == 0 && head.entries_.size() > 1;
    if (!applyEntries(head) || head.revision_ <= known)
        return {};
    if (isInitialRead) {
        std::fill(forwardedRevisions_.begin(), forwardedRevisions_.end(), head.revision_);
        return {};
    }
    auto newEntries = entriesAfter(std::max<Revision>(known, forwardedRevisions_.front()));
    return newEntries ? forward(*newEntries) : OutboundMessages {};
}

// Applies and caches the entries; false if they could not be applied.
auto Relay::applyEntries(const LogHead& head) -> bool
{
    if (head.revision_ > revision()) {
        const auto applied = state_.apply(head);
        if (!isOk(applied)) {
            if (errorOf(applied).kind_ == ApplyErrorKind::UnknownCommand || errorOf(applied).kind_ == ApplyErrorKind::Diverged)
                nextPull_ = clock_.now() + failureRetryDelay;
            return false;
        }
    }
    cacheEntries(head);
    return true;
}

auto Relay::cacheEntries(const LogHead& head) -> void
{
    for (const auto& entry : head.entries_) {
        if (!entries_.empty() && entry.revision_ <= entries_.back().revision_)
            continue;
        if (!entries_.empty() && entry.revision_ != entries_.back().revision_ + 1) {
            entries_.clear();
            cachedEntryBytes_ = 0;
        }
        cachedEntryBytes_ += sizeOf(entry);
        entries_.push_back(entry);
    }
    while (entries_.size() > maxCachedEntries || (cachedEntryBytes_ > maxCachedEntryBytes && entries_.size() > 1)) {
        cachedEntryBytes_ -= sizeOf(entries_.front());
        entries_.pop_front();
    }
}

// Empty if the cache does not reach back to the revision or has nothing newer.
auto Relay::entriesAfter(Revision revision) const -> std::optional<LogHead>
{
    if (entries_.empty() || entries_.front().revision_ > revision + 1 || entries_.back().revision_ <= revision)
        return std::nullopt;
    LogHead head { entries_.back().revision_, {} };
    const auto skipped = revision + 1 - entries_.front().revision_;
    head.entries_.assign(entries_.begin() + skipped, entries_.end());
    return head;
}

auto Relay::forward(const LogHead& head) -> OutboundMessages
{
    OutboundMessages sends;
    if (forwardedRevisions_.front() >= head.revision_)
        return sends;
    forwardedRevisions_.front() = head.revision_;
    switch (options_.kind_) {
    case FanOut::DomainTrees:
        for (std::size_t tree = 1; tree <= options_.watchers_; ++tree)
            forwardInTree(tree, head, sends);
        break;
    case FanOut::Gossip:
        for (std::size_t i = 0; i < options_.width_; ++i) {
            if (auto to = members_.pickRandom(random_); !to.empty())
                sends.push_back({ to, EntryBatch { head, 0 } });
        }
        break;
    case FanOut::WatchAll:
        break;
    }
    return sends;
}

auto Relay::forwardInTree(std::size_t tree, const LogHead& head, OutboundMessages& sends) -> void
{
    if (tree >= forwardedRevisions_.size() || forwardedRevisions_[tree] >= head.revision_)
        return;
    forwardedRevisions_[tree] = head.revision_;
    for (const auto& child : treeChildren(members_, options_, tree))
        sends.push_back({ child, EntryBatch { head, static_cast<std::uint8_t>(tree) } });
}

auto Relay::receive(const std::string& from, const EntryBatch& batch) -> OutboundMessages
{
    const auto& head = batch.head_;
    if (head.entries_.empty())
        return {};
    if (head.entries_.front().revision_ > revision() + 1)
        return pullFrom(from);
    const bool isNew = head.revision_ > revision();
    if (!applyEntries(head))
        return {};
    if (batch.tree_ == 0 || options_.kind_ != FanOut::DomainTrees)
        return isNew ? forward(head) : OutboundMessages {};
    OutboundMessages sends;
    forwardInTree(batch.tree_, head, sends);
    return sends;
}

auto Relay::receive(const std::string& from, const Pull& pull) -> OutboundMessages
{
    if (pull.after_ >= revision())
        return {};
    if (pull.snapshotRevision_ == 0) {
        if (auto entries = entriesAfter(pull.after_))
            return { { from, EntryBatch { std::move(*entries), 0 } } };
        // The requester has every cached entry; the entries up to the current revision have not reached this
        // cache yet.
        if (!entries_.empty() && entries_.back().revision_ == pull.after_)
            return {};
    }
    return { { from, snapshotPart(pull) } };
}

auto Relay::snapshotPart(const Pull& pull) -> SnapshotPart
{
    const bool same = upload_ && upload_->revision_ == pull.snapshotRevision_;
    const bool idle = !upload_ || clock_.now() - upload_->lastUse_ > uploadTtl;
    if (!same && (idle || upload_->revision_ != revision())) {
        const auto snapshot = state_.snapshot();
        upload_ = Upload { snapshot->revision(), encodeSnapshot(*snapshot), {} };
    }
    upload_->lastUse_ = clock_.now();
    const auto& text = upload_->text_;
    const auto offset = same ? std::min<std::size_t>(pull.offset_, text.size()) : 0;
    return { upload_->revision_, text.size(), offset, text.substr(offset, snapshotPartBytes) };
}

auto Relay::receive(const std::string& from, const SnapshotPart& part) -> OutboundMessages
{
    if (part.revision_ <= revision() || part.size_ > maxSnapshotBytes)
        return {};
    const bool first = part.offset_ == 0 && (!download_ || download_->from_ == from || download_->revision_ < part.revision_);
    if (first)
        download_ = Download { from, part.revision_, {} };
    if (!download_ || download_->from_ != from || download_->revision_ != part.revision_ || download_->text_.size() != part.offset_)
        return {};
    download_->text_ += part.part_;
    nextPull_ = clock_.now() + minPullInterval;
    if (download_->text_.size() < part.size_ && !part.part_.empty())
        return { { from, Pull { revision(), part.revision_, download_->text_.size() } } };
    const auto snapshot = decodeSnapshot(download_->text_);
    download_.reset();
    if (!isOk(snapshot) || !isOk(state_.install(valueOf(snapshot))))
        nextPull_ = clock_.now() + failureRetryDelay;
    return {};
}

auto Relay::pullFrom(const std::string& from) -> OutboundMessages
{
    if (clock_.now() < nextPull_)
        return {};
    nextPull_ = clock_.now() + minPullInterval;
    if (download_ && download_->from_ == from)
        return { { from, Pull { revision(), download_->revision_, download_->text_.size() } } };
    return { { from, Pull { revision(), 0, 0 } } };
}

auto Relay::reconcile(const std::string& from, const Digest& digest) -> OutboundMessages
{
    const auto snapshot = state_.snapshot();
    if (digest.revision_ > snapshot->revision())
        return pullFrom(from);
    if (digest.revision_ < snapshot->revision()) {
        if (auto entries = entriesAfter(digest.revision_))
            return { { from, EntryBatch { std::move(*entries), 0 } } };
        return {};
    }
    if (digest.stateHash_ != snapshot->stateHash() && lastDivergedRevision_ != digest.revision_) {
        lastDivergedRevision_ = digest.revision_;
        ++divergences_;
        logEvent(EventId::StateDiverged, "revision={} peer={} state_hash={:016x} peer_hash={:016x}", digest.revision_, from, snapshot->stateHash(), digest.stateHash_);
    }
    return {};
}

} // namespace sapphirepass
