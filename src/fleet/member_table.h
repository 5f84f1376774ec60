// What one instance knows of the others: the platform's lagging list, what they tell, and who answers.
#pragma once

#include "base/clock.h"
#include "fleet/member_list.h"

#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace sapphirepass {

// What was heard from an instance itself.
struct Heard {
    std::uint64_t incarnation_ = 0;
    // Of the run before; late messages of it are ignored.
    std::uint64_t replaced_ = 0;
    Revision revision_ = 0;
    std::uint64_t stateHash_ = 0;
    std::uint64_t withdrawalHash_ = 0;
    MonotonicTime at_ {};
    // Questions in a row without an answer.
    int unanswered_ = 0;
    MonotonicTime asked_ {};

    auto operator<=>(const Heard&) const = default;
};

// Single-threaded. Suspicion changes only whom this instance asks and whom it takes for a watcher.
class MemberTable {
public:
    MemberTable(Member self, const Clock& clock);

    // The platform's list, without what was learned from instances.
    auto setPlatformList(MemberListPtr listed) -> void;
    // An instance told of itself or of another.
    auto learn(const Member& member) -> void;
    // A digest came from an instance; false if it came from a run that was replaced.
    auto hear(const InstanceId& from, const Digest& digest) -> bool;
    // Another instance heard that of a member; kept if it is later than what is known here.
    auto hearFrom(const Member& member) -> void;
    auto recordQuestion(const std::string& name) -> void;

    auto self() const -> const Member& { return self_; }
    auto list() const -> const MemberList& { return *list_; }
    auto heard(const std::string& name) const -> const Heard*;
    // Not leaving, and not silent to the last questions.
    auto isAvailable(const std::string& name) const -> bool;
    auto hasOthers() const -> bool;
    auto isListed() const -> bool { return listed_->find(self_.id_.name_) != nullptr; }
    auto hasLeft(const std::string& name) const -> bool { return left_.contains(name); }
    // The first available members of a domain by rendezvous hash, at most that many.
    auto watchers(const std::string& domain, std::size_t count) const -> std::vector<std::string>;
    // An available instance other than this one; empty if there is none.
    auto pick(const std::string& domain, std::mt19937_64& random) const -> std::string;
    auto pickAny(std::mt19937_64& random) const -> std::string;
    // Changes whenever list() does.
    auto generation() const -> std::uint64_t { return generation_; }
    // Forgets learned instances that neither the platform lists nor anyone has heard of for long.
    auto forgetSilent() -> void;

private:
    struct Learned {
        Member member_;
        MonotonicTime at_;
    };

    auto rebuild() -> void;

    Member self_;
    const Clock& clock_;
    MemberListPtr listed_;
    MemberListPtr list_;
    std::map<std::string, Learned> learned_;
    // Runs that announced that they leave; a later run of the name is another one.
    std::map<std::string, std::uint64_t> left_;
    std::unordered_map<std::string, Heard> heard_;
    std::uint64_t generation_ = 0;
};

} // namespace sapphirepass
