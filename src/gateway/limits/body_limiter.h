// Bounds the bytes of request bodies that this instance has outstanding at one upstream: an upstream crashes if the requests it
// holds exceed its memory, which it does not state.
#pragma once

#include "gateway/upstreams/upstream_set.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace sapphirepass {

class BodyLimiter {
public:
    // Bodies up to this size are not bounded.
    static constexpr std::size_t smallBody = 16 * 1024;

    explicit BodyLimiter(const Clock& clock)
        : clock_(clock)
    {
    }

    // A body alone may always be sent, whatever its size.
    auto mayTakeBody(const Upstream& upstream, std::size_t bytes) const -> bool;
    // Every attempt is recorded from before it is sent until its end.
    auto recordSent(const Upstream& upstream, std::size_t bytes) -> void;
    auto recordEnded(const Upstream& upstream, std::size_t bytes) -> void;
    // The connection of an attempt with such a body was lost, before recordEnded().
    auto recordLost(const Upstream& upstream) -> void;
    auto bound(const Upstream& upstream) const -> std::size_t;
    auto outstanding(const Upstream& upstream) const -> std::size_t;
    // How often a bound was lowered.
    auto lowered() const -> std::uint64_t { return lowered_; }

private:
    struct Entry {
        // Large bodies only.
        std::size_t outstanding_ = 0;
        // The bound when it was last lowered; it grows from there.
        std::size_t bound_ = 0;
        MonotonicTime loweredAt_ {};
    };

    auto boundOf(const Entry& entry) const -> std::size_t;

    const Clock& clock_;
    // By id: a restart under the same id has the same memory. Upstreams at the initial bound without large bodies are left out.
    std::map<std::string, Entry> entries_;
    std::uint64_t lowered_ = 0;
};

} // namespace sapphirepass
