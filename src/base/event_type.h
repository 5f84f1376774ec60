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
    EventDescription { EventId::EntryStarted, LogLevel::Info, "entry-started", "The daemon serves requests." },
    EventDescription { EventId::EntryDraining, LogLevel::Info, "entry-draining", "A stop was asked for; requests in flight finish first." },
    EventDescription { EventId::EntryStopped, LogLevel::Info, "entry-stopped", "The daemon has ended with no request in flight." },
    EventDescription { EventId::SettingsRefused, LogLevel::Error, "settings-refused", "The settings file breaks a rule; one event for each violation." },
    EventDescription { EventId::ListenFailed, LogLevel::Error, "listen-failed", "The configured address cannot be listened on." },
    EventDescription { EventId::GatewayStarted, LogLevel::Info, "gateway-started", "The gateway listens; it is ready once it knows the declaration and the upstreams." },
    EventDescription { EventId::GatewayStopping, LogLevel::Info, "gateway-stopping", "A stop was asked for; requests in flight are finished first." },
    EventDescription { EventId::GatewayStopped, LogLevel::Info, "gateway-stopped", "The gateway has ended; the line tells how many requests were still in flight." },
    EventDescription { EventId::SettingsReread, LogLevel::Info, "settings-reread", "The settings file was read again on request; the line tells whether it is in order." },
    EventDescription { EventId::LogLinesDropped, LogLevel::Warning, "log-lines-dropped", "Lines were dropped since the last such line, as they came faster than the bound." },
    EventDescription { EventId::GatewayStatus, LogLevel::Info, "gateway-status", "Counts of requests by outcome and the age of each belief, at an interval." },
    EventDescription { EventId::RevisionApplied, LogLevel::Info, "revision-applied", "A configuration revision is in force on this instance." },
    EventDescription { EventId::LogCommandUnknown, LogLevel::Error, "log-command-unknown", "The command log holds a command this version cannot read; the instance stays at its revision." },
    EventDescription { EventId::StoreUnreachable, LogLevel::Warning, "store-unreachable", "The platform's store stopped answering this instance." },
    EventDescription { EventId::StoreReachable, LogLevel::Info, "store-reachable", "The platform's store answers again." },
    EventDescription { EventId::StaleRevisionIgnored, LogLevel::Warning, "stale-revision-ignored", "A source offered a revision below the one in force." },
    EventDescription { EventId::CommandAccepted, LogLevel::Info, "command-accepted", "An operator's command is durable in the store." },
    EventDescription { EventId::CommandRefused, LogLevel::Info, "command-refused", "An operator's command was refused." },
    EventDescription { EventId::StateDiverged, LogLevel::Error, "state-diverged", "The content of a revision differs from the log's state hash; the instance stops applying." },
    EventDescription { EventId::SnapshotUnreadable, LogLevel::Error, "snapshot-unreadable", "A snapshot chunk is missing or damaged; the instance stays at its revision." },
    EventDescription { EventId::LogCut, LogLevel::Info, "log-cut", "Old entries of the command log were replaced by a snapshot." },
    EventDescription { EventId::LogCutFailed, LogLevel::Warning, "log-cut-failed", "The command log could not be cut; the next command tries again." },
    EventDescription { EventId::AuditWriteFailed, LogLevel::Warning, "audit-write-failed", "Refused commands could not be added to the audit trail." },
    EventDescription { EventId::DeclarationInForce, LogLevel::Info, "declaration-in-force", "A version of the declaration is in force on this instance." },
    EventDescription { EventId::DeclarationRefused, LogLevel::Error, "declaration-refused", "A declaration cannot be read or is older than the one in force, which stays." },
    EventDescription { EventId::UpstreamEntryRefused, LogLevel::Warning, "upstream-entry-refused", "An entry of discovery cannot be read; it names no upstream." },
    EventDescription { EventId::UpstreamsChanged, LogLevel::Info, "upstreams-changed", "Discovery named, changed or dropped an upstream." },
    EventDescription { EventId::DomainsEvacuated, LogLevel::Info, "domains-evacuated", "The set of failure domains whose upstreams get nothing has changed." },
    EventDescription { EventId::SourceLost, LogLevel::Warning, "source-lost", "The platform's store does not answer; the last beliefs are used, with their age." },
    EventDescription { EventId::SourceRegained, LogLevel::Info, "source-regained", "The platform's store answers again." },
    EventDescription { EventId::InstanceNotListed, LogLevel::Warning, "instance-not-listed", "The instance could not enter itself in the platform's list; it tries again." },
    EventDescription { EventId::SourceBehind, LogLevel::Warning, "source-behind", "Other instances have taken in a change that did not come here; the store is asked on a new connection." },
    EventDescription { EventId::UpstreamFoundCold, LogLevel::Info, "upstream-found-cold", "While the store is away an upstream told that it is cold; the other instances are told." },
    EventDescription { EventId::SourceChosen, LogLevel::Info, "source-chosen", "A feed is asked for at another place from now on: another instance of the region, or the platform." },
    EventDescription { EventId::LastKnownRefused, LogLevel::Warning, "last-known-refused", "Another instance, asked while the platform is away, could not tell what it last heard; the next one is asked." },
    EventDescription { EventId::PeerConnectionFailed, LogLevel::Warning, "peer-connection-failed", "A connection with another instance broke off." },
    EventDescription { EventId::Isolated, LogLevel::Warning, "isolated", "This instance cannot know whether it is current; keyed requests are refused as not run." },
    EventDescription { EventId::Rejoined, LogLevel::Info, "rejoined", "This instance knows again that it is current." },
    EventDescription { EventId::EmergencyWithdrawal, LogLevel::Warning, "emergency-withdrawal", "A key was withdrawn while the store was down; enforced, not yet durable." },
    EventDescription { EventId::DatagramRefused, LogLevel::Warning, "datagram-refused", "A datagram of no known form was dropped." },
    EventDescription { EventId::FleetChanged, LogLevel::Info, "fleet-changed", "The set of ready instances that this one hears has changed." },
    EventDescription { EventId::BudgetEpochEntered, LogLevel::Info, "budget-epoch-entered", "The instance holds its shares of the limits under a new epoch of the share table." },
    EventDescription { EventId::BudgetLeaseLapsed, LogLevel::Warning, "budget-lease-lapsed", "The instance heard neither the store nor a majority in time; its shares of the limits are void." },
    EventDescription { EventId::BudgetTableUnreadable, LogLevel::Error, "budget-table-unreadable", "The share table in the store is not of a form that this version reads." },
    EventDescription { EventId::UpstreamEjected, LogLevel::Warning, "upstream-ejected", "An upstream gets no work for a while after lost connections." },
    EventDescription { EventId::UpstreamCallFailed, LogLevel::Warning, "upstream-call-failed", "A call to an upstream ended without an answer." },
    EventDescription { EventId::AnswerCut, LogLevel::Warning, "answer-cut", "An upstream broke off an answer that was being passed on." },
    EventDescription { EventId::AttemptLost, LogLevel::Warning, "attempt-lost", "An attempt ended without a whole answer; the line tells whether the request had been sent." },
    EventDescription { EventId::AttemptNotRun, LogLevel::Warning, "attempt-not-run", "An upstream said that it did not run the request." },
    EventDescription { EventId::AttemptFailed, LogLevel::Warning, "attempt-failed", "An upstream answered with a failure or with an answer that is not its own." },
    EventDescription { EventId::RequestAnswered, LogLevel::Info, "request-answered", "A request was answered with success; a sample by request id." },
    EventDescription { EventId::RequestEnded, LogLevel::Warning, "request-ended", "A request was refused, failed or left; the line tells the reason and what decided it." },
};

} // namespace sapphirepass
