// An upstream that answers with given bytes and then closes the connection, for answers that break off.
#pragma once

#include "base/socket_address.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace sapphirepass::standin {

class RawUpstream {
public:
    // Gets the number of the request, from 0, and its head.
    using Script = std::function<std::string(int, const std::string&)>;

    explicit RawUpstream(Script script);
    ~RawUpstream();
    RawUpstream(const RawUpstream&) = delete;
    auto operator=(const RawUpstream&) -> RawUpstream& = delete;

    auto address() const -> SocketAddress { return address_; }
    auto requests() const -> int { return requests_; }

private:
    auto run() -> void;
    auto answer(int connection) -> void;

    Script script_;
    SocketAddress address_;
    int listener_ = -1;
    std::atomic<int> requests_ { 0 };
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
    // One for each connection; guarded by the mutex.
    std::mutex mutex_;
    std::vector<std::thread> connections_;
    std::set<int> open_;
};

} // namespace sapphirepass::standin
