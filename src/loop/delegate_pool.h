// Connections to peers that take delegated requests.
#pragma once

#include "gateway/fleet/delegate_caller.h"
#include "loop/upstream_pool.h"

#include <map>
#include <string>

namespace sapphirepass {

class DelegatePool final : public DelegateCaller {
public:
    // Connections leave from the own host, by which peers recognize this instance.
    DelegatePool(asio::io_context& loop, const Clock& clock, const HeaderNames& names, ResponseBounds bounds, const std::string& ownHost, MemoryBudget* memory);

    auto call(const MemberReport& peer, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt> override;
    auto sweep() -> void { pool_.sweep(); }

private:
    struct Peer {
        std::uint64_t incarnation_ = 0;
        UpstreamPtr endpoint_;
    };

    UpstreamPool pool_;
    std::map<std::string, Peer> peers_;
};

} // namespace sapphirepass
