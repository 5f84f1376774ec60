// Configuration that arrives in any order, several times, in parts, as log or as snapshot.
#include "config/command_func.h"
#include "config/config_state.h"
#include "language/command_parser.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

using namespace sapphirepass;

namespace {

// A log of keys that are issued and withdrawn, with the snapshot after each entry.
struct History {
    std::vector<LogEntry> entries_;
    std::vector<Snapshot> snapshots_ { Snapshot {} };

    auto add(const std::string& text) -> bool
    {
        const auto batch = parseBatch(text);
        auto applied = applyBatch(snapshots_.back(), valueOf(batch));
        if (!isOk(applied))
            return false;
        snapshots_.push_back(valueOf(std::move(applied)));
        const auto& next = snapshots_.back();
        entries_.push_back({ next.revision(), fmt::format("id{}", next.revision()), "ana", "here", "now", text, next.stateHash() });
        return true;
    }
};

auto drawHistory() -> History
{
    History history;
    history.add("declare workspace acme rate 1 burst 1");
    const auto steps = *rc::gen::container<std::vector<std::pair<bool, int>>>(rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::inRange(0, 5)));
    for (const auto& [withdraws, n] : steps)
        history.add(withdraws ? fmt::format("withdraw key k{}", n) : fmt::format("declare key k{} workspace acme salt 0a hash 0b", n));
    return history;
}

// The log up to a revision without its first entries.
auto headOf(const History& history, std::size_t from, std::size_t to) -> LogHead
{
    LogHead head;
    head.revision_ = static_cast<Revision>(to);
    head.entries_.assign(history.entries_.begin() + static_cast<std::ptrdiff_t>(from), history.entries_.begin() + static_cast<std::ptrdiff_t>(to));
    return head;
}

auto withdrawnKeys(const Snapshot& snapshot) -> std::vector<std::string>
{
    std::vector<std::string> names;
    snapshot.table<WithdrawnKey>().forEach([&names](const WithdrawnKey& key) { names.push_back(key.name_); });
    return names;
}

// Delivers a drawn part of the history.
auto deliver(ConfigState& state, const History& history) -> void
{
    const auto last = history.entries_.size();
    const auto to = *rc::gen::inRange<std::size_t>(0, last + 1);
    if (*rc::gen::arbitrary<bool>())
        state.install(history.snapshots_[to]);
    else
        state.apply(headOf(history, *rc::gen::inRange<std::size_t>(0, to + 1), to));
}

}

TEST_CASE("any order and repetition of deliveries leads to the same state", "[config]")
{
    rc::prop("revisions never decrease, withdrawn keys stay withdrawn, the end is the same", [] {
        const auto history = drawHistory();
        const auto deliveries = *rc::gen::inRange(0, 12);
        ConfigState state;
        for (int i = 0; i < deliveries; ++i) {
            const auto before = state.snapshot();
            deliver(state, history);
            const auto after = state.snapshot();
            RC_ASSERT(after->revision() >= before->revision());
            RC_ASSERT(after->stateHash() == history.snapshots_[static_cast<std::size_t>(after->revision())].stateHash());
            for (const auto& name : withdrawnKeys(*before)) {
                RC_ASSERT(after->find<WithdrawnKey>(name) != nullptr);
                RC_ASSERT(after->find<Key>(name) == nullptr);
            }
        }
        RC_ASSERT(isOk(state.apply(headOf(history, 0, history.entries_.size()))));
        RC_ASSERT(state.snapshot()->stateHash() == history.snapshots_.back().stateHash());
    });
}
