// Messages to operators and callers, as fmt format strings.
#pragma once

#include <string_view>

namespace sapphirepass::texts {

// Configuration errors.
inline constexpr std::string_view itemNotDeclared = "{} '{}' is not declared";
inline constexpr std::string_view itemAlreadyDeclared = "{} '{}' is already declared; use change";
inline constexpr std::string_view kindUnknown = "'{}' is not a kind; expected one of: {}";
inline constexpr std::string_view referenceUnknown = "{} '{}' refers to {} '{}', which is not declared";
inline constexpr std::string_view itemInUse = "{} '{}' is still used by {}; add force to retire these as well";
inline constexpr std::string_view keyWithdrawn = "key '{}' was withdrawn; its name cannot be used again";
inline constexpr std::string_view fieldUnknown = "{} has no field '{}'; expected one of: {}";
inline constexpr std::string_view fieldValueInvalid = "field '{}' of {} expects {}, not '{}'";
inline constexpr std::string_view fieldMissing = "{} '{}' needs the field '{}': {}";
inline constexpr std::string_view fieldDuplicate = "field '{}' is given twice";
inline constexpr std::string_view nameInvalid = "'{}' is not a valid name of a {}; expected {}";
inline constexpr std::string_view pathTaken = "path {} is already served by route '{}'";
inline constexpr std::string_view regionsEqual = "{} '{}' needs two different regions";

// Errors in the operators' language.
inline constexpr std::string_view columnUnknown = "there is no field '{}'; expected one of: {}";
inline constexpr std::string_view subjectUnknown = "'{}' cannot be shown; expected one of: {}";
inline constexpr std::string_view verbForKeysOnly = "expected key after {}";
inline constexpr std::string_view keyNotChangeable = "a key cannot be changed; issue a new key instead";
inline constexpr std::string_view withdrawnKeyVerb = "withdrawn-key cannot be used in commands; withdraw the key instead";
inline constexpr std::string_view changeNeedsField = "expected a field to change";
inline constexpr std::string_view forceForRetire = "force is allowed only with retire";
inline constexpr std::string_view noFieldAfter = "expected no field after {}";
inline constexpr std::string_view queryInBatch = "expected a command; a query must be sent on its own";
inline constexpr std::string_view expectedToken = "expected {}";
inline constexpr std::string_view syntaxError = "line {}, column {}: {}";
inline constexpr std::string_view emptyInput = "empty input: expected a command or a query";

// Settings.
inline constexpr std::string_view settingUnknown = "unknown setting [{}] {}";
inline constexpr std::string_view settingInvalid = "[{}] {} expects {}, not '{}'";
inline constexpr std::string_view settingMissing = "[{}] {} is required: {}";
inline constexpr std::string_view settingDuplicate = "[{}] {} is set twice";
inline constexpr std::string_view settingLineInvalid = "expected a section, a setting or a comment";
inline constexpr std::string_view fileUnreadable = "cannot read the file";

// Refusals of requests.
inline constexpr std::string_view keyMissing = "this route needs a key: Authorization: Bearer KEY";
inline constexpr std::string_view keyUnknown = "the key is not valid";
inline constexpr std::string_view keyOfOtherWorkspace = "the key does not belong to workspace '{}'";
inline constexpr std::string_view pathInvalid = "the path is not of the form /w/WORKSPACE/ROUTE and free of dot segments";
inline constexpr std::string_view workspaceUnknown = "workspace '{}' is not declared";
inline constexpr std::string_view routeUnknown = "no route serves this path";
inline constexpr std::string_view lengthAmbiguous = "the length of the body is ambiguous";
inline constexpr std::string_view headerDuplicate = "header '{}' is given twice";
inline constexpr std::string_view headersTooLarge = "the headers exceed {} bytes";
inline constexpr std::string_view bodyTooLarge = "the body exceeds {} bytes";
inline constexpr std::string_view bodyLengthMissing = "a request with a body needs a Content-Length";
inline constexpr std::string_view rateExceeded = "workspace '{}' is over its rate";
inline constexpr std::string_view noUpstream = "no upstream can take the request now";
inline constexpr std::string_view upstreamFailed = "the upstream ended the call without an answer";
inline constexpr std::string_view instanceStopping = "this instance is stopping; look up another";
inline constexpr std::string_view keyValidityUnknown = "this instance cannot know whether keys are still valid; use another";
inline constexpr std::string_view ticketWorkspace = "name a declared workspace: /v1/ticket?workspace=NAME";
inline constexpr std::string_view ticketNeeded = "this request may run only once; send it again with the ticket in Once-Ticket";
inline constexpr std::string_view ticketInvalid = "the ticket is not one for this workspace";
inline constexpr std::string_view ticketOfOtherInstance = "the ticket belongs to instance '{}'; send the request there";
inline constexpr std::string_view ticketVoid = "the ticket is void; its request may have run before and will not run again";
inline constexpr std::string_view ticketRequestRunning = "the request with this ticket is running";
inline constexpr std::string_view ticketOutcomeUnknown = "the request with this ticket was sent once; its outcome is not known and it will not run again";
inline constexpr std::string_view outcomeTableFull = "this instance keeps as many outcomes as it can";
inline constexpr std::string_view noInstance = "no live instance is known";
inline constexpr std::string_view configurationMissing = "this instance has no configuration yet";
inline constexpr std::string_view deadlinePassed = "the deadline has passed";
inline constexpr std::string_view deadlineInvalid = "Request-Deadline-Ms expects a whole number of milliseconds from 1 to 3600000";

// Command log and operator API.
inline constexpr std::string_view storeUnreachable = "the platform's store does not answer; nothing was changed";
inline constexpr std::string_view enforcedNotDurable = "enforced, not yet durable: the store does not answer; the instances keep the withdrawal and append it to the command log once the store answers";
inline constexpr std::string_view outcomeUnknown = "the store's response was lost; check 'show commands where id = {}' before sending the command again";
inline constexpr std::string_view storeLogOutdated = "the platform's store returned an older command log than the one in force; nothing was changed";
inline constexpr std::string_view tooManyConflicts = "repeated conflicts with other operators' commands; nothing was changed";
inline constexpr std::string_view revisionMismatch = "revision is {}, not {}; nothing was changed";
inline constexpr std::string_view revisionMalformed = "a revision is malformed";
inline constexpr std::string_view hashMalformed = "a hash is malformed";
inline constexpr std::string_view logFormatUnknown = "the command log has an unknown format";
inline constexpr std::string_view logIncomplete = "the revisions of the command log are not consecutive";
inline constexpr std::string_view chunkDiffers = "{} already exists with different content";
inline constexpr std::string_view chunkDamaged = "{} does not match its digest";
inline constexpr std::string_view commandIdInvalid = "a command id must consist of 1 to 64 letters, digits, '-', '_' and '.'";
inline constexpr std::string_view commandIdUsed = "command id {} belongs to another command, accepted at revision {}; nothing was changed";
inline constexpr std::string_view operatorNameInvalid = "an operator's name must consist of 1 to 64 printable characters without blanks";
inline constexpr std::string_view commandsUnreadable = "(commands that this version cannot read)";
inline constexpr std::string_view auditTrailUnreadable = "the audit trail cannot be read now: {}";
inline constexpr std::string_view snapshotMalformed = "the snapshot is malformed";
inline constexpr std::string_view snapshotFormatUnknown = "the snapshot has the unknown format '{}'";
inline constexpr std::string_view snapshotHashWrong = "the snapshot's content does not match its state hash";
inline constexpr std::string_view revisionStale = "revision {} is older than revision {}";
inline constexpr std::string_view logStartsLater = "the log starts at revision {}, this instance is at {}";
inline constexpr std::string_view stateDiverged = "revision {} has state hash {:016x} here, but {:016x} in the log";
inline constexpr std::string_view commandLogFull = "the command log is full; nothing was changed";

} // namespace sapphirepass::texts
