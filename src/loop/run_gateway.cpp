#include "loop/run_gateway.h"

#include "base/event_log.h"
#include "loop/fatal_signal.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <unistd.h>

namespace sapphirepass {

namespace {
    auto waitForSignals(asio::signal_set& signals, Gateway& gateway, const std::string& settingsPath) -> void
    {
        signals.async_wait([&signals, &gateway, &settingsPath](NetError error, int number) {
            if (error)
                return;
            if (number == SIGHUP)
                gateway.rereadSettings(settingsPath);
            else
                gateway.beginStop();
            waitForSignals(signals, gateway, settingsPath);
        });
    }
}

auto runGateway(const std::string& settingsPath, const GatewaySettings& settings, const AdapterFactory& adapter) -> int
{
    FatalSignalLog::install(STDOUT_FILENO, settings.name_);
    std::signal(SIGPIPE, SIG_IGN);
    // One thread runs the loop: a hint of 1 spares its locks.
    asio::io_context loop(1);
    const SystemClock clock;
    Gateway gateway(loop, clock, settings, adapter(loop, settings));
    const FatalSignalPendingLines pendingLines(gateway.log());
    asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
    waitForSignals(signals, gateway, settingsPath);
    if (const auto error = gateway.start(); !error.empty()) {
        logEvent(EventId::ListenFailed, "error={}", error);
        return 1;
    }
    loop.run();
    return 0;
}

} // namespace sapphirepass
