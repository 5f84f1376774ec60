#include "fleet/relay.h"

#include "base/event_log.h"
#include "config/snapshot_codec.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    using namespace std::chrono_literals;

    // Entries kept for others; who lacks more gets a snapshot.
    constexpr std::size_t maxEntries = 512;
    constexpr std::size_t maxEntryBytes = 512 * 1024;
    constexpr std::size_t partBytes = 128 * 1024;
    // A larger snapshot is not believed.
    constexpr std::size_t maxSnapshotBytes = 256 * 1024 * 1024;
    // Between two pulls, so that several digests ask once.
    constexpr auto pullPause = 200ms;
    // After entries that this version cannot read.
    constexpr auto unreadablePause = 10s;
    // An encoded snapshot is kept this long after its last use.
    constexpr auto keepUpload = 10s;

    auto sizeOf(const LogEntry& entry) -> std::size_t { return entry.text_.size() + entry.id_.size() + 64; }
}

Relay::Relay(ConfigState& state, const MemberTable& members, const Clock& clock, const FanOutOptions& options, std::mt19937_64& random)
    : state_(state)
    , members_(members)
    , clock_(clock)
    , options_(options)
    , random_(random)
    , forwarded_(options.watchers_ + 1, 0)
{
}

auto Relay::revision() const -> Revision
{
    return state_.snapshot()->revision();
}

auto Relay::offer(const LogHead& head) -> FleetSends
{
    const auto known = entries_.empty() ? 0 : entries_.back().revision_;
    // The first reading of a log is no news for others.
    const bool firstReading = revision() == 0 && head.entries_.size() > 1;
    if (!take(head) || head.revision_ <= known)
        return {};
    if (firstReading) {
        std::fill(forwarded_.begin(), forwarded_.end(), head.revision_);
        return {};
    }
    auto fresh = entriesAfter(std::max<Revision>(known, forwarded_.front()));
    return fresh ? spread(*fresh) : FleetSends {};
}

// Applies what is new; false if this instance cannot or need not follow.
auto Relay::take(const LogHead& head) -> bool
{
    if (head.revision_ > revision()) {
        const auto applied = state_.apply(head);
        if (!isOk(applied)) {
            if (errorOf(applied).kind_ == ApplyErrorKind::UnknownCommand || errorOf(applied).kind_ == ApplyErrorKind::Diverged)
                nextPull_ = clock_.now() + unreadablePause;
            return false;
        }
    }
    remember(head);
    return true;
}

auto Relay::remember(const LogHead& head) -> void
{
    for (const auto& entry : head.entries_) {
        if (!entries_.empty() && entry.revision_ <= entries_.back().revision_)
            continue;
        if (!entries_.empty() && entry.revision_ != entries_.back().revision_ + 1) {
            entries_.clear();
            entryBytes_ = 0;
        }
        entryBytes_ += sizeOf(entry);
        entries_.push_back(entry);
    }
    while (entries_.size() > maxEntries || (entryBytes_ > maxEntryBytes && entries_.size() > 1)) {
        entryBytes_ -= sizeOf(entries_.front());
        entries_.pop_front();
    }
}

// Nothing if the kept entries do not reach back far enough.
auto Relay::entriesAfter(Revision revision) const -> std::optional<LogHead>
{
    if (entries_.empty() || entries_.front().revision_ > revision + 1 || entries_.back().revision_ <= revision)
        return std::nullopt;
    LogHead head { entries_.back().revision_, {} };
    const auto skipped = revision + 1 - entries_.front().revision_;
    head.entries_.assign(entries_.begin() + skipped, entries_.end());
    return head;
}

auto Relay::spread(const LogHead& head) -> FleetSends
{
    FleetSends sends;
    if (forwarded_.front() >= head.revision_)
        return sends;
    forwarded_.front() = head.revision_;
    switch (options_.kind_) {
    case FanOut::DomainTrees:
        for (std::size_t tree = 1; tree <= options_.watchers_; ++tree)
            forwardInTree(tree, head, sends);
        break;
    case FanOut::Gossip:
        for (std::size_t i = 0; i < options_.width_; ++i) {
            if (auto to = members_.pickAny(random_); !to.empty())
                sends.push_back({ to, EntryBatch { head, 0 } });
        }
        break;
    case FanOut::WatchAll:
        break;
    }
    return sends;
}

auto Relay::forwardInTree(std::size_t tree, const LogHead& head, FleetSends& sends) -> void
{
    if (tree >= forwarded_.size() || forwarded_[tree] >= head.revision_)
        return;
    forwarded_[tree] = head.revision_;
    for (const auto& child : treeChildren(members_, options_, tree))
        sends.push_back({ child, EntryBatch { head, static_cast<std::uint8_t>(tree) } });
}

auto Relay::receive(const std::string& from, const EntryBatch& batch) -> FleetSends
{
    const auto& head = batch.head_;
    if (head.entries_.empty())
        return {};
    if (head.entries_.front().revision_ > revision() + 1)
        return pullFrom(from);
    const bool isNew = head.revision_ > revision();
    if (!take(head))
        return {};
    if (batch.tree_ == 0 || options_.kind_ != FanOut::DomainTrees)
        return isNew ? spread(head) : FleetSends {};
    FleetSends sends;
    forwardInTree(batch.tree_, head, sends);
    return sends;
}

auto Relay::receive(const std::string& from, const Pull& pull) -> FleetSends
{
    if (pull.after_ >= revision())
        return {};
    if (pull.snapshotRevision_ == 0) {
        if (auto entries = entriesAfter(pull.after_))
            return { { from, EntryBatch { std::move(*entries), 0 } } };
        // The entries that reach back are there, but the newest are still on their way to here.
        if (!entries_.empty() && entries_.back().revision_ == pull.after_)
            return {};
    }
    return { { from, snapshotPart(pull) } };
}

auto Relay::snapshotPart(const Pull& pull) -> SnapshotPart
{
    const bool same = upload_ && upload_->revision_ == pull.snapshotRevision_;
    const bool idle = !upload_ || clock_.now() - upload_->used_ > keepUpload;
    if (!same && (idle || upload_->revision_ != revision())) {
        const auto snapshot = state_.snapshot();
        upload_ = Upload { snapshot->revision(), encodeSnapshot(*snapshot), {} };
    }
    upload_->used_ = clock_.now();
    const auto& text = upload_->text_;
    const auto offset = same ? std::min<std::size_t>(pull.offset_, text.size()) : 0;
    return { upload_->revision_, text.size(), offset, text.substr(offset, partBytes) };
}

auto Relay::receive(const std::string& from, const SnapshotPart& part) -> FleetSends
{
    if (part.revision_ <= revision() || part.size_ > maxSnapshotBytes)
        return {};
    const bool first = part.offset_ == 0 && (!download_ || download_->from_ == from || download_->revision_ < part.revision_);
    if (first)
        download_ = Download { from, part.revision_, {} };
    if (!download_ || download_->from_ != from || download_->revision_ != part.revision_ || download_->text_.size() != part.offset_)
        return {};
    download_->text_ += part.part_;
    nextPull_ = clock_.now() + pullPause;
    if (download_->text_.size() < part.size_ && !part.part_.empty())
        return { { from, Pull { revision(), part.revision_, download_->text_.size() } } };
    const auto snapshot = decodeSnapshot(download_->text_);
    download_.reset();
    if (!isOk(snapshot) || !isOk(state_.install(valueOf(snapshot))))
        nextPull_ = clock_.now() + unreadablePause;
    return {};
}

auto Relay::pullFrom(const std::string& from) -> FleetSends
{
    if (clock_.now() < nextPull_)
        return {};
    nextPull_ = clock_.now() + pullPause;
    if (download_ && download_->from_ == from)
        return { { from, Pull { revision(), download_->revision_, download_->text_.size() } } };
    return { { from, Pull { revision(), 0, 0 } } };
}

auto Relay::compare(const std::string& from, const Digest& digest) -> FleetSends
{
    const auto snapshot = state_.snapshot();
    if (digest.revision_ > snapshot->revision())
        return pullFrom(from);
    if (digest.revision_ < snapshot->revision()) {
        if (auto entries = entriesAfter(digest.revision_))
            return { { from, EntryBatch { std::move(*entries), 0 } } };
        return {};
    }
    if (digest.stateHash_ != snapshot->stateHash() && divergedAt_ != digest.revision_) {
        divergedAt_ = digest.revision_;
        ++divergences_;
        logEvent(EventId::StateDiverged, "revision={} peer={} state_hash={:016x} peer_hash={:016x}", digest.revision_, from, snapshot->stateHash(), digest.stateHash_);
    }
    return {};
}

} // namespace sapphirepass
