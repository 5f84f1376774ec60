#include "loop/cold_prober.h"

#include <charconv>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    // A health request waits for a slot like any other; what comes later says little.
    constexpr Duration probeLimit = 800ms;

    // A health answer says what it says in its head.
    constexpr std::uint64_t maxAnswerBytes = 16 * 1024;

    auto coldLeftIn(const HttpResponse& response, const std::string& header) -> Duration
    {
        const auto value = response[header];
        std::int64_t milliseconds = 0;
        const auto read = std::from_chars(value.data(), value.data() + value.size(), milliseconds);
        return read.ec == std::errc() ? std::chrono::milliseconds(milliseconds) : Duration::zero();
    }
}

ColdProber::ColdProber(asio::io_context& loop, const HeaderNames& headers, ColdDetector& watch, Admission admission, HealthAnswer onAnswer, std::function<void(const std::string&, Duration)> onCold)
    : loop_(loop)
    , headers_(headers)
    , watch_(watch)
    , admission_(std::move(admission))
    , onHealthAnswer_(std::move(onAnswer))
    , onCold_(std::move(onCold))
{
}

auto ColdProber::tick(const DeclarationIndex& index) -> void
{
    if (!watch_.isActive())
        return stop();
    for (const auto& upstream : watch_.takeDueProbes()) {
        const auto* service = index.service(upstream->entry_.service_);
        if (service != nullptr && !service->healthPath_.empty())
            admission_(upstream, [this, upstream, path = service->healthPath_] { ask(upstream, path); });
    }
}

auto ColdProber::stop() -> void
{
    for (const auto& [id, probe] : probes_)
        probe.channel_->stop();
    probes_.clear();
}

auto ColdProber::ask(const UpstreamPtr& upstream, const std::string& path) -> void
{
    const auto& entry = upstream->entry_;
    auto& probe = probes_[entry.id_];
    if (!probe.channel_ || probe.address_ != entry.address_) {
        if (probe.channel_)
            probe.channel_->stop();
        probe = { std::make_shared<CallChannel>(loop_, entry.address_, maxAnswerBytes), entry.address_ };
    }
    if (probe.isWaiting_)
        return;
    probe.isWaiting_ = true;
    ++count_;
    HttpRequest request { http::verb::get, path, 11 };
    request.set(headers_.expectedUpstream_, entry.id_);
    probe.channel_->call(std::move(request), probeLimit, [this, upstream](const CallResult& result) { onAnswer(upstream, result); });
}

// An upstream that does not answer may be busy or gone: attempts will tell, so nothing is concluded here.
auto ColdProber::onAnswer(const UpstreamPtr& upstream, const CallResult& result) -> void
{
    const auto& id = upstream->entry_.id_;
    probes_[id].isWaiting_ = false;
    const auto* response = std::get_if<HttpResponse>(&result);
    if (response == nullptr || response->result_int() == 421)
        return;
    onHealthAnswer_(upstream, *response);
    const auto left = coldLeftIn(*response, headers_.coldLeft_);
    if (left <= Duration::zero())
        return;
    watch_.recordProbeResult(id, left);
    onCold_(id, left);
}

} // namespace sapphirepass
