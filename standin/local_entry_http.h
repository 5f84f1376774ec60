// An entry within the calling process: the daemon's server and pipeline over a configuration given as text.
#pragma once

#include "base/socket_address.h"

#include <memory>
#include <string>

namespace sapphirepass::standin {

class LocalEntry {
public:
    // Listens on a free loopback port. The declarations are commands; every workspace WS that they
    // declare gets a key WS-main.
    explicit LocalEntry(const std::string& declarations);
    ~LocalEntry();
    LocalEntry(const LocalEntry&) = delete;
    auto operator=(const LocalEntry&) -> LocalEntry& = delete;

    auto address() const -> SocketAddress;
    // The bearer key of a workspace.
    auto bearer(const std::string& workspace) const -> std::string;
    auto inFlight() const -> std::int64_t;

private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

} // namespace sapphirepass::standin
