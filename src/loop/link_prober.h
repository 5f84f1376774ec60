// Opens and closes connections to upstreams to find out whether this instance reaches them.
#pragma once

#include "gateway/upstreams/link_detector.h"
#include "loop/net_type.h"

#include <cstdint>
#include <memory>
#include <set>

namespace sapphirepass {

class LinkProber {
public:
    LinkProber(asio::io_context& loop, const Clock& clock, LinkDetector& detector);

    // Starts the probes that are due.
    auto tick() -> void;
    // Drops the probes under way.
    auto stop() -> void;
    auto count() const -> std::uint64_t { return count_; }

private:
    struct Probe;

    auto connect(const UpstreamPtr& upstream) -> void;
    auto onResult(const std::shared_ptr<Probe>& probe, bool isConnected) -> void;

    asio::io_context& loop_;
    const Clock& clock_;
    LinkDetector& detector_;
    std::set<std::shared_ptr<Probe>> probes_;
    std::uint64_t count_ = 0;
};

} // namespace sapphirepass
