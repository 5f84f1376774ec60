// Current objects and recent changes of a feed, to serve to instances that follow this one.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sapphirepass {

// A change as relayed to followers; the object is serialized JSON.
struct ObjectChange {
    std::string name_;
    std::string object_;
    bool isDeleted_ = false;

    auto operator<=>(const ObjectChange&) const = default;
};

// Holds all objects and a bounded history of recent changes.
class ChangeHistory {
public:
    using Objects = std::map<std::string, std::string>;

    // Replaces all objects by name. Differences from the previous ones are recorded as changes.
    auto replace(Objects objects, std::int64_t revision) -> void;
    auto apply(std::vector<ObjectChange> changes, std::int64_t revision) -> void;
    // Forgets everything: revisions of another era cannot be compared with those held.
    auto clear() -> void;

    auto objects() const -> const Objects& { return objects_; }
    // 0 until the objects are first set.
    auto revision() const -> std::int64_t { return revision_; }
    // Whether the history still has all changes after the revision.
    auto hasChangesSince(std::int64_t revision) const -> bool { return revision >= oldestRevision_; }
    auto after(std::int64_t revision) const -> std::vector<ObjectChange>;

private:
    struct Batch {
        std::int64_t revision_ = 0;
        std::vector<ObjectChange> changes_;
        std::size_t bytes_ = 0;
    };

    auto add(Batch batch) -> void;

    Objects objects_;
    std::int64_t revision_ = 0;
    // The batches hold all changes after this revision.
    std::int64_t oldestRevision_ = 0;
    std::deque<Batch> batches_;
    std::size_t bytes_ = 0;
};

} // namespace sapphirepass
