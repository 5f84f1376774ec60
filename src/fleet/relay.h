// Replicates log entries and snapshots between instances. Does no I/O: takes received messages and returns the
// messages to send.
#pragma once

#include "config/config_state.h"
#include "fleet/fan_out.h"
#include "fleet/fleet_message.h"

#include <deque>
#include <optional>

namespace sapphirepass {

using OutboundMessages = std::vector<OutboundMessage>;

// Not thread-safe.
class Relay {
public:
    Relay(ConfigState& state, const MemberTable& members, const Clock& clock, const FanOutOptions& options, std::mt19937_64& random);

    // Applies a head read from the store and forwards its new entries.
    auto receiveFromStore(const LogHead& head) -> OutboundMessages;
    auto receive(const std::string& from, const EntryBatch& batch) -> OutboundMessages;
    auto receive(const std::string& from, const Pull& pull) -> OutboundMessages;
    auto receive(const std::string& from, const SnapshotPart& part) -> OutboundMessages;
    // Compares revisions with another instance: pulls the entries missing here, or pushes those missing there.
    auto reconcile(const std::string& from, const Digest& digest) -> OutboundMessages;
    auto revision() const -> Revision;
    // Number of revisions at which another instance was seen with a different state hash.
    auto divergences() const -> std::int64_t { return divergences_; }

private:
    // Snapshot being received in parts.
    struct Download {
        std::string from_;
        Revision revision_ = 0;
        std::string text_;
    };
    // Encoded snapshot being sent in parts.
    struct Upload {
        Revision revision_ = 0;
        std::string text_;
        MonotonicTime lastUse_ {};
    };

    auto applyEntries(const LogHead& head) -> bool;
    auto cacheEntries(const LogHead& head) -> void;
    auto entriesAfter(Revision revision) const -> std::optional<LogHead>;
    auto forward(const LogHead& head) -> OutboundMessages;
    auto forwardInTree(std::size_t tree, const LogHead& head, OutboundMessages& sends) -> void;
    auto pullFrom(const std::string& from) -> OutboundMessages;
    auto snapshotPart(const Pull& pull) -> SnapshotPart;

    ConfigState& state_;
    const MemberTable& members_;
    const Clock& clock_;
    FanOutOptions options_;
    std::mt19937_64& random_;
    // Cache of the latest log entries; their revisions are consecutive.
    std::deque<LogEntry> entries_;
    std::size_t cachedEntryBytes_ = 0;
    // Revision up to which entries were forwarded in each tree; element 0 is for this instance's own
    // forwarding from the store or by gossip.
    std::vector<Revision> forwardedRevisions_;
    MonotonicTime nextPull_ {};
    std::optional<Download> download_;
    std::optional<Upload> upload_;
    // Last revision at which a different state hash was seen.
    Revision lastDivergedRevision_ = 0;
    std::int64_t divergences_ = 0;
};

} // namespace sapphirepass
