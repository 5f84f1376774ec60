// All parts of the entry daemon and how they are connected.
#pragma once

#include "admission/escrow_budgets.h"
#include "entry/http_entry_server.h"
#include "fleet/capnp_peer_link.h"
#include "fleet/fleet_node.h"
#include "steering/queued_steering.h"
#include "steering/region_steering.h"
#include "store/config_follower.h"
#include "store/counting_store.h"
#include "store/http_object_store.h"

namespace sapphirepass {

class HttpEntryDaemon {
public:
    explicit HttpEntryDaemon(const EntrySettings& settings);

    // Listens and starts all threads; false, with a log event, if an address cannot be listened on.
    auto start() -> bool;
    // Look-ups stop naming this instance, and new requests are refused as not run.
    auto announceLeaving() -> void;
    // Cuts what is in flight, hands shares of limits over and ends all threads.
    auto stop() -> void;
    auto inFlight() -> InFlight& { return inFlight_; }

private:
    auto connectParts() -> void;
    auto isListed(const std::string& instance) const -> bool;

    EntrySettings settings_;
    SystemClock clock_;
    Member self_;
    Metrics metrics_;
    InFlight inFlight_;
    ConfigState config_;
    HttpObjectStore platform_;
    CountingStore store_;
    ConfigFollower follower_;
    InstanceList instances_;
    CommandService commands_;
    FleetNode fleet_;
    CapnpPeerLink peers_;
    EscrowBudgets budgets_;
    EscrowAdmitter admitter_;
    LinkMeter links_;
    RegionSteering steering_;
    QueuedSteering queued_;
    OnceFilter once_;
    HttpRequestPipeline pipeline_;
    HttpOperatorApi operators_;
    HttpEntryServer server_;
};

} // namespace sapphirepass
