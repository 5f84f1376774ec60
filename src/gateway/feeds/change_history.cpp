#include "gateway/feeds/change_history.h"

#include <algorithm>

namespace sapphirepass {

namespace {
    // Bounds of the history that is kept for followers that reconnect: a few seconds when hundreds of upstreams change at
    // once.
    constexpr std::size_t maxBatches = 256;
    constexpr std::size_t maxBytes = 1024 * 1024;
}

// The initial objects are not recorded as changes, as no follower can have seen earlier ones.
auto ChangeHistory::replace(Objects objects, std::int64_t revision) -> void
{
    if (revision_ == 0) {
        objects_ = std::move(objects);
        revision_ = revision;
        oldestRevision_ = revision;
        return;
    }
    std::vector<ObjectChange> changes;
    for (const auto& [name, object] : objects_) {
        if (!objects.contains(name))
            changes.push_back({ name, object, true });
    }
    for (const auto& [name, object] : objects) {
        const auto before = objects_.find(name);
        if (before == objects_.end() || before->second != object)
            changes.push_back({ name, object, false });
    }
    apply(std::move(changes), revision);
}

auto ChangeHistory::apply(std::vector<ObjectChange> changes, std::int64_t revision) -> void
{
    revision_ = std::max(revision_, revision);
    if (changes.empty())
        return;
    Batch batch { revision, std::move(changes), 0 };
    for (const auto& change : batch.changes_) {
        batch.bytes_ += change.name_.size() + change.object_.size();
        if (change.isDeleted_)
            objects_.erase(change.name_);
        else
            objects_[change.name_] = change.object_;
    }
    add(std::move(batch));
}

auto ChangeHistory::clear() -> void
{
    objects_.clear();
    batches_.clear();
    bytes_ = 0;
    revision_ = 0;
    oldestRevision_ = 0;
}

auto ChangeHistory::add(Batch batch) -> void
{
    bytes_ += batch.bytes_;
    batches_.push_back(std::move(batch));
    while (batches_.size() > maxBatches || (bytes_ > maxBytes && batches_.size() > 1)) {
        oldestRevision_ = batches_.front().revision_;
        bytes_ -= batches_.front().bytes_;
        batches_.pop_front();
    }
}

auto ChangeHistory::after(std::int64_t revision) const -> std::vector<ObjectChange>
{
    std::vector<ObjectChange> changes;
    for (const auto& batch : batches_) {
        if (batch.revision_ > revision)
            changes.insert(changes.end(), batch.changes_.begin(), batch.changes_.end());
    }
    return changes;
}

} // namespace sapphirepass
