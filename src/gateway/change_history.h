// What a feed holds and how it came to it, for instances that follow it here.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sapphirepass {

// One change as it is told on: the object as text.
struct ObjectChange {
    std::string name_;
    std::string object_;
    bool isDeleted_ = false;

    auto operator<=>(const ObjectChange&) const = default;
};

// Keeps the objects and the changes of the last seconds, within a bound of memory.
class ChangeHistory {
public:
    using Objects = std::map<std::string, std::string>;

    // All objects by name. What differs from those before becomes changes.
    auto replace(Objects objects, std::int64_t revision) -> void;
    auto apply(std::vector<ObjectChange> changes, std::int64_t revision) -> void;

    auto objects() const -> const Objects& { return objects_; }
    // 0 before the first objects.
    auto revision() const -> std::int64_t { return revision_; }
    // Whether all changes after a revision are still kept.
    auto hasChangesSince(std::int64_t revision) const -> bool { return revision >= oldest_; }
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
    // Changes after this revision are in the batches.
    std::int64_t oldest_ = 0;
    std::deque<Batch> batches_;
    std::size_t bytes_ = 0;
};

} // namespace sapphirepass
