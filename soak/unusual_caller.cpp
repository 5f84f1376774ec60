#include "soak/unusual_caller.h"

#include "base/http_status.h"

#include <fmt/format.h>

namespace sapphirepass::soak {

using namespace std::chrono_literals;

namespace {
    constexpr auto longestWork = 9'000ms;
    constexpr auto longestUsualWork = 400ms;
    // Longer than the longest route's time.
    constexpr auto callerTime = 12s;

    auto now() -> std::chrono::steady_clock::time_point { return std::chrono::steady_clock::now(); }
}

UnusualCaller::UnusualCaller(asio::io_context& loop, World& world, std::size_t number, std::uint64_t seed)
    : loop_(loop)
    , world_(world)
    , number_(number)
    , random_(seed * 1'000 + number)
{
}

auto UnusualCaller::step() -> void
{
    if (client_) {
        readAnswers();
        if (client_->isEnded()) {
            noteEnd();
            leave();
        }
    }
    if (client_ && isPlanned_ && (now() >= leavesAt_ || (parts_.empty() && waiting_.empty()))) {
        if (form_ == Form::Together && waiting_.empty())
            plan();
        else
            leave();
    }
    if (isClosing_ && parts_.empty())
        return;
    if (!client_ && !isClosing_)
        connect();
    if (client_ && !isPlanned_)
        form_ == Form::LateInStop ? planLate() : plan();
    if (client_)
        sendDue();
}

auto UnusualCaller::connect() -> void
{
    constexpr std::size_t forms = 8;
    gateway_ = random(world_.gateways_.size());
    try {
        client_ = std::make_unique<standin::LoopClient>(loop_, world_.gateways_[gateway_]->process_->settings().front_);
        form_ = static_cast<Form>(random(forms));
        seen_ = 0;
        isPlanned_ = false;
    } catch (const boost::system::system_error&) {
        // Nobody listens there now: another is tried at the next step.
        client_.reset();
    }
}

auto UnusualCaller::leave() -> void
{
    client_.reset();
    parts_.clear();
    waiting_.clear();
}

auto UnusualCaller::plan() -> void
{
    isPlanned_ = true;
    plannedAt_ = now();
    leavesAt_ = plannedAt_ + callerTime;
    switch (form_) {
    case Form::Expect:
        return addExpect();
    case Form::Chunked:
        return addChunked();
    case Form::LongWork:
        return add(newRequest("long", "hello", ""));
    case Form::InParts:
    case Form::Together: {
        std::string bytes;
        for (auto count = 2 + random(3); count > 0; --count)
            bytes += newRequest("order", std::string(1 + random(3'000), 'b'), "") + (random(2) == 0 ? newRequest("read", "", "") : "");
        return form_ == Form::Together ? add(bytes) : addInParts(bytes);
    }
    case Form::Leave:
        leavesAt_ = plannedAt_ + randomTime(300);
        return addInParts(newRequest("order", std::string(2'000, 'b'), ""));
    default:
        return add(newRequest("order", "hello", ""));
    }
}

// Waits on an open connection for the instance to be stopped, and sends at some time of the grace time.
auto UnusualCaller::planLate() -> void
{
    const auto age = now() - world_.gateways_[gateway_]->stoppingAt_;
    if (!isClosing_ && age < graceTime) {
        isPlanned_ = true;
        plannedAt_ = now();
        leavesAt_ = plannedAt_ + callerTime;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(graceTime - age);
        add(newRequest("order", "hello", ""), std::max(0ms, left - randomTime(2'500)));
    }
}

auto UnusualCaller::newWork() -> std::chrono::milliseconds
{
    if (form_ == Form::LongWork)
        return randomTime(longestWork / 1ms);
    return 10ms + randomTime((form_ == Form::LateInStop ? longestUsualWork * 3 : longestUsualWork) / 1ms);
}

auto UnusualCaller::newRequest(const std::string& route, const std::string& body, const std::string& fields) -> std::string
{
    const auto attempt = fmt::format("v{}-{}", number_, ++world_.lastAttempt_);
    auto& record = world_.attempts_[attempt];
    record.mayRepeat_ = body.empty();
    record.workspace_ = "acme";
    record.work_ = newWork();
    record.body_ = body;
    waiting_.push_back(attempt);
    const auto head = fmt::format("{} /{}/x{} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {}\r\nAuthorization: Token key-acme\r\n{}", body.empty() ? "GET" : "POST", route, world_.lastAttempt_, attempt, fields);
    if (!fields.empty())
        return head + "\r\n";
    return head + (body.empty() ? "\r\n" : fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body));
}

auto UnusualCaller::add(const std::string& bytes, std::chrono::milliseconds after) -> void
{
    parts_.push_back({ now() + after, bytes });
}

auto UnusualCaller::addInParts(const std::string& bytes) -> void
{
    auto after = 0ms;
    for (std::size_t at = 0; at < bytes.size();) {
        const auto size = 1 + random(bytes.size());
        add(bytes.substr(at, size), after);
        at += size;
        after += randomTime(200);
    }
}

auto UnusualCaller::addExpect() -> void
{
    const std::string body(1 + random(9'000), 'e');
    add(newRequest("order", body, fmt::format("Expect: 100-continue\r\nContent-Length: {}\r\n", body.size())));
    // RFC 9110, 10.1.1: a caller does not wait for ever.
    parts_.push_back({ now() + 1s, body, true });
}

auto UnusualCaller::addChunked() -> void
{
    const auto sizes = std::vector<std::size_t> { 1 + random(10), 1 + random(5'000), 1 + random(300) };
    std::string body;
    std::string chunks;
    for (const auto size : sizes) {
        const std::string data(size, static_cast<char>('a' + random(26)));
        body += data;
        chunks += fmt::format("{:x}\r\n{}\r\n", size, data);
    }
    addInParts(newRequest("order", body, "Transfer-Encoding: chunked\r\n") + chunks + "0\r\n\r\n");
}

auto UnusualCaller::sendDue() -> void
{
    const bool mayContinue = client_->received().find(" 100 ", seen_) != std::string::npos;
    while (!parts_.empty() && (now() >= parts_.front().at_ || (mayContinue && parts_.front().isAfterContinue_))) {
        client_->send(parts_.front().bytes_);
        parts_.pop_front();
        if (parts_.empty() && form_ == Form::HalfClose)
            client_->endSending();
    }
}

auto UnusualCaller::readAnswers() -> void
{
    for (;;) {
        const auto text = client_->received().substr(seen_);
        const auto end = text.find("\r\n\r\n");
        if (end == std::string::npos)
            return;
        if (text.starts_with("HTTP/1.1 100 ")) {
            if (!parts_.empty() && parts_.front().isAfterContinue_)
                return;
            seen_ += end + 4;
            continue;
        }
        const auto length = headerOf(text, "Content-Length");
        const auto size = length.empty() ? 0 : std::stoul(length);
        if (text.size() < end + 4 + size)
            return;
        takeAnswer(text, end + 4, size);
    }
}

auto UnusualCaller::takeAnswer(const std::string& text, std::size_t headEnd, std::size_t size) -> void
{
    seen_ += headEnd + size;
    if (waiting_.empty())
        return world_.violations_.add(fmt::format("caller {} got an answer to nothing", number_));
    const auto attempt = waiting_.front();
    waiting_.pop_front();
    auto& record = world_.attempts_[attempt];
    record.status_ = std::stoi(text.substr(9, 3));
    if (!isHttpStatus(static_cast<unsigned>(record.status_)))
        world_.violations_.add(fmt::format("attempt {} got \"{}\"", attempt, text.substr(0, text.find('\r'))));
    if (record.status_ != 200 || (text.substr(headEnd, size) == bodyOf(attempt) && headerOf(text, "Attempt-Id") == attempt))
        return;
    world_.violations_.add(fmt::format("attempt {} got an answer that is not its own", attempt));
    // Later answers would be off too.
    leavesAt_ = now();
}

// An end by the gateway; a half-closed connection is taken for one that its caller has left.
auto UnusualCaller::noteEnd() -> void
{
    const auto& slot = *world_.gateways_[gateway_];
    if (form_ == Form::HalfClose || now() - slot.harmedAt_ < graceTime + 1s)
        return;
    const auto age = now() - slot.stoppingAt_;
    const auto when = age < graceTime + 1s ? fmt::format("cut {} ms after the SIGTERM", age / 1ms) : "the connection was closed";
    for (const auto& attempt : waiting_) {
        auto& record = world_.attempts_[attempt];
        record.cut_ = fmt::format("{}, its work takes {} ms", when, record.work_->count());
    }
}

} // namespace sapphirepass::soak
