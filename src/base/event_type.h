// Numbers, levels, names and descriptions of all log events. A test compares the table with docs/LOG_EVENTS.md.
#pragma once

#include <array>
#include <string_view>

namespace sapphirepass {

enum class LogLevel { Error,
    Warning,
    Info,
    Debug };

// The hundreds digit identifies the layer: 1 entry, 2 configuration and store, 3 fleet,
// 4 admission, 5 steering, 6 forward. Numbers of removed events are not reused.
enum class EventId : int {
    EntryStarted = 100,
    EntryDraining = 101,
    EntryStopped = 102,
    SettingsRefused = 103,
    ListenFailed = 104,
    GatewayStarted = 110,
    GatewayStopping = 111,
    GatewayStopped = 112,
    SettingsReread = 113,
    LogLinesDropped = 114,
    GatewayStatus = 115,
    RevisionApplied = 200,
    LogCommandUnknown = 201,
    StoreUnreachable = 202,
    StoreReachable = 203,
    StaleRevisionIgnored = 204,
    CommandAccepted = 205,
    CommandRefused = 206,
    StateDiverged = 207,
    SnapshotUnreadable = 208,
    LogCut = 209,
    LogCutFailed = 210,
    AuditWriteFailed = 211,
    DeclarationInForce = 220,
    DeclarationRefused = 221,
    UpstreamEntryRefused = 222,
    UpstreamsChanged = 223,
    DomainsEvacuated = 224,
    SourceLost = 225,
    SourceRegained = 226,
    InstanceNotListed = 227,
    SourceBehind = 228,
    UpstreamFoundCold = 229,
    SourceChosen = 230,
    LastKnownRefused = 231,
    PeerConnectionFailed = 300,
    Isolated = 301,
    Rejoined = 302,
    EmergencyWithdrawal = 303,
    DatagramRefused = 320,
    FleetChanged = 321,
    BudgetEpochEntered = 410,
    BudgetLeaseLapsed = 411,
    BudgetTableUnreadable = 412,
    UpstreamEjected = 500,
    UpstreamCallFailed = 600,
    AnswerCut = 601,
    AttemptLost = 620,
    AttemptNotRun = 621,
    AttemptFailed = 622,
    RequestAnswered = 630,
    RequestEnded = 631,
};

struct EventDescription {
    EventId id_;
    LogLevel level_;
    std::string_view name_;
    std::string_view description_;
};

// One row for each EventId, in ascending order of number.
inline constexpr std::array eventTable {
    EventDescription { EventId::EntryStarted, LogLevel::Info, "entry-started", "The daemon has started and accepts requests." },
    EventDescription { EventId::EntryDraining, LogLevel::Info, "entry-draining", "A shutdown was requested; requests in flight are completed first." },
    EventDescription { EventId::EntryStopped, LogLevel::Info, "entry-stopped", "The daemon has stopped; the line has the number of requests that were cut off." },
    EventDescription { EventId::SettingsRefused, LogLevel::Error, "settings-refused", "The settings file is invalid; one event for each violation." },
    EventDescription { EventId::ListenFailed, LogLevel::Error, "listen-failed", "Listening on a configured address failed." },
    EventDescription { EventId::GatewayStarted, LogLevel::Info, "gateway-started", "The gateway accepts connections; it is ready once it has received the declaration and the upstreams." },
    EventDescription { EventId::GatewayStopping, LogLevel::Info, "gateway-stopping", "A shutdown was requested; the gateway completes requests in flight first." },
    EventDescription { EventId::GatewayStopped, LogLevel::Info, "gateway-stopped", "The gateway has stopped; the line has the number of requests that were still in flight." },
    EventDescription { EventId::SettingsReread, LogLevel::Info, "settings-reread", "The settings file was read again on SIGHUP; the line says whether it is valid." },
    EventDescription { EventId::LogLinesDropped, LogLevel::Warning, "log-lines-dropped", "Log lines were dropped since the last such event because they exceeded the bounds on the log's rate or buffer." },
    EventDescription { EventId::GatewayStatus, LogLevel::Info, "gateway-status", "Periodic status: readiness, requests in flight, connections, store calls, ready peers, and how long the upstreams feed has been lost." },
    EventDescription { EventId::RevisionApplied, LogLevel::Info, "revision-applied", "A configuration revision came into force on this instance." },
    EventDescription { EventId::LogCommandUnknown, LogLevel::Error, "log-command-unknown", "The command log contains a command that this version cannot apply; the instance stays at its revision." },
    EventDescription { EventId::StoreUnreachable, LogLevel::Warning, "store-unreachable", "The store does not answer this instance." },
    EventDescription { EventId::StoreReachable, LogLevel::Info, "store-reachable", "The platform's store answers again." },
    EventDescription { EventId::StaleRevisionIgnored, LogLevel::Warning, "stale-revision-ignored", "A revision older than the one in force was received and ignored." },
    EventDescription { EventId::CommandAccepted, LogLevel::Info, "command-accepted", "An operator's command was written to the store." },
    EventDescription { EventId::CommandRefused, LogLevel::Info, "command-refused", "An operator's command was rejected." },
    EventDescription { EventId::StateDiverged, LogLevel::Error, "state-diverged", "The state hash of a revision differs from the one in the command log or at a peer; after a mismatch with the log the instance applies no further revisions." },
    EventDescription { EventId::SnapshotUnreadable, LogLevel::Error, "snapshot-unreadable", "A snapshot could not be loaded, for example because a chunk is missing or damaged; the instance stays at its revision." },
    EventDescription { EventId::LogCut, LogLevel::Info, "log-cut", "The command log was compacted: old entries were replaced by a snapshot." },
    EventDescription { EventId::LogCutFailed, LogLevel::Warning, "log-cut-failed", "The command log could not be compacted; this is retried with the next command." },
    EventDescription { EventId::AuditWriteFailed, LogLevel::Warning, "audit-write-failed", "A rejected command could not be written to the audit trail." },
    EventDescription { EventId::DeclarationInForce, LogLevel::Info, "declaration-in-force", "A version of the declaration came into force on this instance." },
    EventDescription { EventId::DeclarationRefused, LogLevel::Error, "declaration-refused", "A declaration is invalid or older than the one in force, which stays in force." },
    EventDescription { EventId::UpstreamEntryRefused, LogLevel::Warning, "upstream-entry-refused", "A discovery entry is invalid; its upstream is removed." },
    EventDescription { EventId::UpstreamsChanged, LogLevel::Info, "upstreams-changed", "An upstream was added, changed or removed by discovery." },
    EventDescription { EventId::DomainsEvacuated, LogLevel::Info, "domains-evacuated", "The set of evacuated failure domains, whose upstreams get no requests, has changed." },
    EventDescription { EventId::SourceLost, LogLevel::Warning, "source-lost", "The platform's store does not answer; the last known state is used and its age reported." },
    EventDescription { EventId::SourceRegained, LogLevel::Info, "source-regained", "The platform's store answers again." },
    EventDescription { EventId::InstanceNotListed, LogLevel::Warning, "instance-not-listed", "The instance could not register itself with the platform; it retries." },
    EventDescription { EventId::SourceBehind, LogLevel::Warning, "source-behind", "Other instances have received a change that this one has not; the feed is read over a new connection." },
    EventDescription { EventId::UpstreamFoundCold, LogLevel::Info, "upstream-found-cold", "A probe during a store outage found an upstream cold; the other instances are notified." },
    EventDescription { EventId::SourceChosen, LogLevel::Info, "source-chosen", "A feed is now read from another source: an instance of the region, or the platform." },
    EventDescription { EventId::LastKnownRefused, LogLevel::Warning, "last-known-refused", "During an outage of the platform, another instance could not provide its last known state; the next one is tried." },
    EventDescription { EventId::PeerConnectionFailed, LogLevel::Warning, "peer-connection-failed", "A connection to another instance failed." },
    EventDescription { EventId::Isolated, LogLevel::Warning, "isolated", "This instance cannot confirm that its configuration is current; requests with a key are refused as not executed." },
    EventDescription { EventId::Rejoined, LogLevel::Info, "rejoined", "This instance has confirmed again that its configuration is current." },
    EventDescription { EventId::EmergencyWithdrawal, LogLevel::Warning, "emergency-withdrawal", "A key was withdrawn while the store was unreachable; the withdrawal is enforced but not yet durable." },
    EventDescription { EventId::DatagramRefused, LogLevel::Warning, "datagram-refused", "A datagram that could not be decoded was dropped." },
    EventDescription { EventId::FleetChanged, LogLevel::Info, "fleet-changed", "The number of other instances that are ready and send heartbeats has changed." },
    EventDescription { EventId::BudgetEpochEntered, LogLevel::Info, "budget-epoch-entered", "The instance has joined a new epoch of the share table and holds its shares of the limits under it." },
    EventDescription { EventId::BudgetLeaseLapsed, LogLevel::Warning, "budget-lease-lapsed", "The instance reached neither the store nor a majority before its lease expired; its shares of the limits are void." },
    EventDescription { EventId::BudgetTableUnreadable, LogLevel::Error, "budget-table-unreadable", "The share table in the store has a format that this version cannot read." },
    EventDescription { EventId::UpstreamEjected, LogLevel::Warning, "upstream-ejected", "An upstream is ejected after failed calls and gets no requests for a while." },
    EventDescription { EventId::UpstreamCallFailed, LogLevel::Warning, "upstream-call-failed", "A call to an upstream ended without a response." },
    EventDescription { EventId::AnswerCut, LogLevel::Warning, "answer-cut", "A response from an upstream was truncated." },
    EventDescription { EventId::AttemptLost, LogLevel::Warning, "attempt-lost", "An attempt ended without a complete response; the line says whether the request had been sent." },
    EventDescription { EventId::AttemptNotRun, LogLevel::Warning, "attempt-not-run", "An upstream reported that it did not execute the request." },
    EventDescription { EventId::AttemptFailed, LogLevel::Warning, "attempt-failed", "An upstream returned an error, or a response without its valid signature." },
    EventDescription { EventId::RequestAnswered, LogLevel::Info, "request-answered", "A request succeeded; only a sample of these, chosen by request id, is logged." },
    EventDescription { EventId::RequestEnded, LogLevel::Warning, "request-ended", "A request was refused, failed, or was abandoned by its caller; the line has the reason and the state it was based on." },
};

} // namespace sapphirepass
