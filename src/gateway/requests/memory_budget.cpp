#include "gateway/requests/memory_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // Request bodies together hold at most 3/8 of the total. Arriving responses hold at most half of it, so the two kinds cannot
    // fill the total by themselves: requests with large bodies would then wait for the responses that would end them.
    constexpr std::size_t bodyEighths = 3;
    // A body is taken only while this much of the total stays free for responses.
    constexpr std::size_t maxEighthsWithBodies = 6;
    // Callers are cut beyond this much of the total.
    constexpr std::size_t maxEighthsUncut = 7;
    // Longest wait of a body. The shortest latency target is 600 ms: a body that waited longer would be answered late.
    constexpr Duration maxBodyWait = 500ms;
    // A caller that has read nothing for this long may be cut. Longer than a retransmission or a short freeze of its machine.
    constexpr Duration minSilence = 2s;
}

auto memoryKindName(MemoryKind kind) -> std::string_view
{
    switch (kind) {
    case MemoryKind::RequestBody:
        return "request-body";
    case MemoryKind::ArrivingResponse:
        return "arriving-response";
    case MemoryKind::WaitingResponse:
        return "waiting-response";
    }
    return "";
}

auto bodyRefusalName(BodyRefusal cause) -> std::string_view
{
    switch (cause) {
    case BodyRefusal::TooLarge:
        return "too-large";
    case BodyRefusal::NoProspect:
        return "no-prospect";
    case BodyRefusal::Waited:
        return "waited";
    }
    return "";
}

auto MemoryBudget::held() const -> std::size_t
{
    return std::accumulate(held_.begin(), held_.end(), std::size_t { 0 });
}

auto MemoryBudget::maxBodies() const -> std::size_t
{
    return bounds_.total_ / 8 * bodyEighths;
}

auto MemoryBudget::change(MemoryKind kind, std::size_t from, std::size_t to) -> void
{
    auto& bytes = held_.at(static_cast<std::size_t>(kind));
    bytes = bytes - from + to;
    if (to < from && waiting_ > 0)
        listener_.roomFreed();
}

// A response that grows without a stated length wants no more than it holds.
auto MemoryBudget::mayReadResponse(std::size_t held, std::size_t wanted) const -> bool
{
    if (wanted <= bounds_.small_)
        return true;
    const auto all = this->held();
    return wanted <= held ? all <= bounds_.total_ : all + (wanted - held) <= bounds_.total_;
}

auto MemoryBudget::fitsBody(std::size_t more) const -> bool
{
    return held(MemoryKind::RequestBody) + more <= maxBodies() && held() + more <= bounds_.total_ / 8 * maxEighthsWithBodies;
}

// Fair part: the total divided evenly among the responses that wait. The product of bytes and silence selects the reader that
// reads slowest and holds most, so that neither a tiny response nor a pause just begun is preferred.
auto MemoryBudget::findCut() const -> ReaderHold*
{
    if (held() <= bounds_.total_ / 8 * maxEighthsUncut || readers_.empty())
        return nullptr;
    const auto fairPart = std::max(bounds_.small_, bounds_.total_ / 8 * maxEighthsUncut / readers_.size());
    const auto now = clock_.now();
    ReaderHold* found = nullptr;
    double highest = 0;
    for (auto* reader : readers_) {
        const auto silence = now - reader->lastReadAt_;
        const auto rank = static_cast<double>(reader->hold_.bytes()) * inSeconds(silence);
        if (silence < minSilence || reader->hold_.bytes() <= fairPart || rank <= highest)
            continue;
        found = reader;
        highest = rank;
    }
    return found;
}

auto MemoryBudget::relieve() -> void
{
    while (auto* reader = findCut()) {
        listener_.callerCut(reader->hold_.bytes(), clock_.now() - reader->lastReadAt_);
        const auto cut = reader->cut_;
        reader->release();
        cut();
    }
}

auto MemoryHold::set(std::size_t bytes) -> void
{
    if (bytes != bytes_)
        budget_.change(kind_, std::exchange(bytes_, bytes), bytes);
}

auto BodyHold::ask(std::size_t bytes) -> BodyVerdict
{
    if (bytes <= hold_.bytes())
        return BodyVerdict::Granted;
    const bool isSmall = bytes <= budget_.bounds_.small_;
    // Bodies that wait come before new ones.
    const bool isNext = waitsFor_ > 0 || budget_.waiting_ == 0;
    if (isSmall || (isNext && budget_.fitsBody(bytes - hold_.bytes()))) {
        endWait();
        hold_.set(bytes);
        return BodyVerdict::Granted;
    }
    if (bytes > budget_.maxBodies())
        return refuse(BodyRefusal::TooLarge, bytes);
    return wait(bytes);
}

auto BodyHold::wait(std::size_t bytes) -> BodyVerdict
{
    const auto now = budget_.clock_.now();
    if (waitsFor_ > 0)
        return now - waitsSince_ < maxBodyWait ? BodyVerdict::Wait : refuse(BodyRefusal::Waited, bytes);
    if (budget_.waiting_ + bytes > budget_.maxBodies())
        return refuse(BodyRefusal::NoProspect, bytes);
    waitsFor_ = bytes;
    waitsSince_ = now;
    budget_.waiting_ += bytes;
    ++budget_.waits_;
    return BodyVerdict::Wait;
}

auto BodyHold::refuse(BodyRefusal cause, std::size_t bytes) -> BodyVerdict
{
    release();
    budget_.listener_.bodyRefused(cause, bytes);
    return BodyVerdict::Refused;
}

auto BodyHold::endWait() -> void
{
    if (waitsFor_ > 0)
        budget_.waiting_ -= std::exchange(waitsFor_, 0);
}

auto BodyHold::release() -> void
{
    endWait();
    hold_.set(0);
}

auto ReaderHold::begin(std::size_t bytes) -> void
{
    hold_.set(bytes);
    recordProgress();
    if (bytes > budget_.bounds_.small_)
        isCandidate_ = budget_.readers_.insert(this).second;
}

auto ReaderHold::release() -> void
{
    if (std::exchange(isCandidate_, false))
        budget_.readers_.erase(this);
    hold_.set(0);
}

} // namespace sapphirepass
