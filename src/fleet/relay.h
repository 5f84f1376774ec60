// Passes log entries and snapshots between instances. Decisions only: messages in, messages out.
#pragma once

#include "config/config_state.h"
#include "fleet/fan_out.h"
#include "fleet/fleet_message.h"

#include <deque>
#include <optional>

namespace sapphirepass {

using FleetSends = std::vector<FleetSend>;

// Single-threaded.
class Relay {
public:
    Relay(ConfigState& state, const MemberTable& members, const Clock& clock, const FanOutOptions& options, std::mt19937_64& random);

    // Entries that the store holds.
    auto offer(const LogHead& head) -> FleetSends;
    auto receive(const std::string& from, const EntryBatch& batch) -> FleetSends;
    auto receive(const std::string& from, const Pull& pull) -> FleetSends;
    auto receive(const std::string& from, const SnapshotPart& part) -> FleetSends;
    // Another instance is at that revision: asks for what is missing here, or sends what is missing there.
    auto compare(const std::string& from, const Digest& digest) -> FleetSends;
    auto revision() const -> Revision;
    // Revisions at which another instance holds a different state.
    auto divergences() const -> std::int64_t { return divergences_; }

private:
    // A snapshot that is being received, part by part.
    struct Download {
        std::string from_;
        Revision revision_ = 0;
        std::string text_;
    };
    // A snapshot that is being given out.
    struct Upload {
        Revision revision_ = 0;
        std::string text_;
        MonotonicTime used_ {};
    };

    auto take(const LogHead& head) -> bool;
    auto remember(const LogHead& head) -> void;
    auto entriesAfter(Revision revision) const -> std::optional<LogHead>;
    auto spread(const LogHead& head) -> FleetSends;
    auto forwardInTree(std::size_t tree, const LogHead& head, FleetSends& sends) -> void;
    auto pullFrom(const std::string& from) -> FleetSends;
    auto snapshotPart(const Pull& pull) -> SnapshotPart;

    ConfigState& state_;
    const MemberTable& members_;
    const Clock& clock_;
    FanOutOptions options_;
    std::mt19937_64& random_;
    // Consecutive, the last ones of the log.
    std::deque<LogEntry> entries_;
    std::size_t entryBytes_ = 0;
    // Revision up to which each tree's children were sent entries.
    std::vector<Revision> forwarded_;
    MonotonicTime nextPull_ {};
    std::optional<Download> download_;
    std::optional<Upload> upload_;
    // Where the last difference of state was seen.
    Revision divergedAt_ = 0;
    std::int64_t divergences_ = 0;
};

} // namespace sapphirepass
