// Logs the cause and the stack of a signal that ends the process.
#pragma once

#include "loop/line_log.h"

#include <string>

namespace sapphirepass {

class FatalSignalLog {
public:
    // SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT write one line to the handle, then end the process. Stays in force until
    // the process ends. A thread other than the caller's has no alternate stack: its stack overflow is not logged.
    static auto install(int handle, const std::string& instance) -> void;
};

// While it lives, the lines that the log has not yet written are written before that of a fatal signal.
class FatalSignalPendingLines {
public:
    explicit FatalSignalPendingLines(const LineLog& log);
    ~FatalSignalPendingLines();
    FatalSignalPendingLines(const FatalSignalPendingLines&) = delete;
    auto operator=(const FatalSignalPendingLines&) -> FatalSignalPendingLines& = delete;
};

} // namespace sapphirepass
