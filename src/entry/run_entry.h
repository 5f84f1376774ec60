// The entry daemon: wires the filters and runs until it is told to stop.
#pragma once

#include "settings/entry_settings.h"

namespace sapphirepass {

// Returns the process's exit code. SIGTERM or SIGINT asks for a graceful stop; a second one cuts what is in flight.
auto runEntry(const EntrySettings& settings) -> int;

} // namespace sapphirepass
