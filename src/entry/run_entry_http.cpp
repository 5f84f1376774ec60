#include "entry/run_entry.h"

#include "base/event_log.h"
#include "entry/http_entry_daemon.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <future>
#include <pplx/threadpool.h>

namespace sapphirepass {

namespace {
    using SignalSet = boost::asio::signal_set;

    // Blocks until the next SIGINT or SIGTERM.
    auto waitForSignal(SignalSet& signals) -> int
    {
        std::promise<int> received;
        signals.async_wait([&received](const boost::system::error_code&, int signal) { received.set_value(signal); });
        return received.get_future().get();
    }

    // An instance that stops is closed after this time without a request.
    constexpr std::chrono::milliseconds stopQuiet { 1'000 };
    // Twice the lifetime of a look-up's answer.
    constexpr std::chrono::milliseconds longestLinger { 10'000 };

    // Waits for the last request; a second signal ends the wait. Returns whether nothing was cut.
    auto drain(InFlight& inFlight, SignalSet& signals) -> bool
    {
        signals.async_wait([&inFlight](const boost::system::error_code& cancelled, int) {
            if (!cancelled)
                inFlight.interrupt();
        });
        // Closing the listener leaves connections that are just arriving without an answer, so it stays open,
        // refusing as not run, until look-ups that named this instance have been forgotten.
        inFlight.waitForQuiet(stopQuiet, longestLinger);
        const bool finished = inFlight.waitForNone();
        signals.cancel();
        return finished;
    }
}

auto runEntry(const EntrySettings& settings) -> int
{
    setLogLevel(settings.logLevel_);
    std::signal(SIGPIPE, SIG_IGN);
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(settings.threads_));
    SignalSet signals(crossplat::threadpool::shared_instance().service(), SIGINT, SIGTERM);
    HttpEntryDaemon daemon(settings);
    if (!daemon.start())
        return 1;
    logEvent(EventId::EntryStarted, "instance={} address={}", settings.name_, formatSocketAddress(settings.http_));
    const int signal = waitForSignal(signals);
    logEvent(EventId::EntryDraining, "signal={} in_flight={}", signal, daemon.inFlight().count());
    daemon.announceLeaving();
    const bool finished = drain(daemon.inFlight(), signals);
    const auto cut = daemon.inFlight().count();
    daemon.stop();
    logEvent(EventId::EntryStopped, "requests_cut={}", cut);
    return finished ? 0 : 1;
}

} // namespace sapphirepass
