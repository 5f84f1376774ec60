#include "loop/delegate_pool.h"

namespace sapphirepass {

DelegatePool::DelegatePool(asio::io_context& loop, const Clock& clock, const HeaderNames& names, ResponseBounds bounds, const std::string& ownHost, MemoryBudget* memory)
    : pool_(
        loop, clock, names, bounds, [](Upstream&, const HttpResponse&) {}, {}, ownHost, memory)
{
}

// Connections to an earlier start of the peer are closed.
auto DelegatePool::call(const MemberReport& peer, std::shared_ptr<const OutgoingRequest> request, std::function<void(AttemptOutcome)> done) -> std::unique_ptr<Attempt>
{
    auto& known = peers_[peer.name_];
    if (!known.endpoint_ || known.incarnation_ != peer.incarnation_) {
        if (known.endpoint_)
            known.endpoint_->retired_ = true;
        known = { peer.incarnation_, std::make_shared<Upstream>() };
        known.endpoint_->entry_.id_ = peer.name_;
        known.endpoint_->entry_.address_ = peer.peer_;
    }
    return pool_.call(known.endpoint_, std::move(request), std::move(done));
}

} // namespace sapphirepass
