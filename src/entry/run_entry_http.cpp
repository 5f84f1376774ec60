#include "entry/run_entry.h"

#include "base/event_log.h"
#include "entry/http_entry_server.h"
#include "store/config_follower.h"
#include "store/http_object_store.h"

#include <csignal>
#include <pplx/threadpool.h>
#include <thread>

namespace sapphirepass {

namespace {
    auto stopSignals() -> sigset_t
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        return signals;
    }

    auto waitForSignal(const sigset_t& signals) -> int
    {
        int signal = 0;
        sigwait(&signals, &signal);
        return signal;
    }

    // Waits for the last request; a second signal ends the wait. Returns whether nothing was cut.
    auto drain(InFlight& inFlight, const sigset_t& signals) -> bool
    {
        std::thread impatient([&] {
            waitForSignal(signals);
            inFlight.interrupt();
        });
        const bool finished = inFlight.waitForNone();
        // Wakes the waiting thread if no second signal came.
        pthread_kill(impatient.native_handle(), SIGTERM);
        impatient.join();
        return finished;
    }
}

auto runEntry(const EntrySettings& settings) -> int
{
    setLogLevel(settings.logLevel_);
    // Blocked before any thread starts, so that only sigwait() sees them.
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    crossplat::threadpool::initialize_with_threads(static_cast<std::size_t>(settings.threads_));

    const SystemClock clock;
    Metrics metrics;
    InFlight inFlight;
    ConfigState config;
    HttpObjectStore store(settings.store_, settings.storeTimeout_);
    ConfigFollower follower(store, config);
    InstanceList instances(store);
    CommandService commands(store, config, clock);
    EqualSplitAdmitter admitter(clock, settings.maxInstances_);
    LeastInFlightSteering steering(settings.region_);
    HttpRequestPipeline pipeline({ clock, config, admitter, steering, metrics, inFlight, static_cast<std::size_t>(settings.maxHeaderBytes_) });
    HttpOperatorApi operators(commands, config);
    HttpEntryServer server(settings, config, instances, pipeline, operators, metrics, inFlight);

    follower.start();
    instances.start();
    try {
        server.open();
    } catch (const std::exception& error) {
        logEvent(EventId::ListenFailed, "address={} message=\"{}\"", formatSocketAddress(settings.http_), error.what());
        return 1;
    }
    logEvent(EventId::EntryStarted, "instance={} address={}", settings.name_, formatSocketAddress(settings.http_));
    const int signal = waitForSignal(signals);
    logEvent(EventId::EntryDraining, "signal={} in_flight={}", signal, inFlight.count());
    server.announceLeaving();
    pipeline.refuseNew();
    const bool finished = drain(inFlight, signals);
    const auto cut = inFlight.count();
    server.close();
    follower.stop();
    instances.stop();
    logEvent(EventId::EntryStopped, "requests_cut={}", cut);
    return finished ? 0 : 1;
}

} // namespace sapphirepass
