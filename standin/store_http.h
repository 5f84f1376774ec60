// The stand-in store: serves a MemoryStore by the platform's HTTP protocol (see store/http_object_store.h).
//
// POST /control/faults     {"outage": bool, "slow_ms": n, "lost_answers": n}
// GET  /control/calls      counts of calls
// PUT  /control/instances  the platform's list of instances
#pragma once

#include "standin/memory_store.h"

#include <memory>

namespace sapphirepass::standin {

class StoreServer {
public:
    StoreServer(MemoryStore& store, const SocketAddress& address);
    ~StoreServer();
    StoreServer(const StoreServer&) = delete;
    auto operator=(const StoreServer&) -> StoreServer& = delete;

private:
    class Handler;
    std::unique_ptr<Handler> handler_;
};

} // namespace sapphirepass::standin
