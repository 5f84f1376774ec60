// Numbers, levels and names of all log events. docs/LOG_EVENTS.md lists the same table.
#pragma once

#include <array>
#include <string_view>

namespace sapphirepass {

enum class LogLevel { Error,
    Warning,
    Info,
    Debug };

// The hundreds digit names the layer: 1 entry, 2 configuration and store, 3 fleet,
// 4 admission, 5 steering, 6 forward. A number is never used again.
enum class EventId : int {
    EntryStarted = 100,
    EntryDraining = 101,
    EntryStopped = 102,
    SettingsRefused = 103,
    ListenFailed = 104,
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
    PeerConnectionFailed = 300,
    Isolated = 301,
    Rejoined = 302,
    EmergencyWithdrawal = 303,
    BudgetEpochEntered = 410,
    BudgetLeaseLapsed = 411,
    BudgetTableUnreadable = 412,
    UpstreamEjected = 500,
    UpstreamCallFailed = 600,
    AnswerCut = 601,
};

struct EventDescription {
    EventId id_;
    LogLevel level_;
    std::string_view name_;
    std::string_view meaning_;
};

// One row for each EventId, in ascending order of number.
inline constexpr std::array eventTable {
    EventDescription { EventId::EntryStarted, LogLevel::Info, "entry-started", "The daemon serves requests." },
    EventDescription { EventId::EntryDraining, LogLevel::Info, "entry-draining", "A stop was asked for; requests in flight finish first." },
    EventDescription { EventId::EntryStopped, LogLevel::Info, "entry-stopped", "The daemon has ended with no request in flight." },
    EventDescription { EventId::SettingsRefused, LogLevel::Error, "settings-refused", "The settings file breaks a rule; one event for each violation." },
    EventDescription { EventId::ListenFailed, LogLevel::Error, "listen-failed", "The configured address cannot be listened on." },
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
    EventDescription { EventId::PeerConnectionFailed, LogLevel::Warning, "peer-connection-failed", "A connection with another instance broke off." },
    EventDescription { EventId::Isolated, LogLevel::Warning, "isolated", "This instance cannot know whether it is current; keyed requests are refused as not run." },
    EventDescription { EventId::Rejoined, LogLevel::Info, "rejoined", "This instance knows again that it is current." },
    EventDescription { EventId::EmergencyWithdrawal, LogLevel::Warning, "emergency-withdrawal", "A key was withdrawn while the store was down; enforced, not yet durable." },
    EventDescription { EventId::BudgetEpochEntered, LogLevel::Info, "budget-epoch-entered", "The instance holds its shares of the limits under a new epoch of the share table." },
    EventDescription { EventId::BudgetLeaseLapsed, LogLevel::Warning, "budget-lease-lapsed", "The instance heard neither the store nor a majority in time; its shares of the limits are void." },
    EventDescription { EventId::BudgetTableUnreadable, LogLevel::Error, "budget-table-unreadable", "The share table in the store is not of a form that this version reads." },
    EventDescription { EventId::UpstreamEjected, LogLevel::Warning, "upstream-ejected", "An upstream gets no work for a while after lost connections." },
    EventDescription { EventId::UpstreamCallFailed, LogLevel::Warning, "upstream-call-failed", "A call to an upstream ended without an answer." },
    EventDescription { EventId::AnswerCut, LogLevel::Warning, "answer-cut", "An upstream broke off an answer that was being passed on." },
};

} // namespace sapphirepass
