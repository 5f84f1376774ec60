#include "loop/caller_channel.h"

#include "base/random.h"
#include "gateway/requests/problem_response.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    constexpr std::size_t readBytes = 8 * 1024;
    // Bytes of a next request that are taken while one is being answered.
    constexpr std::size_t mostAhead = 64 * 1024;
    // Longest time for a body to arrive, beyond that of its header.
    constexpr Duration bodyLimit = 10s;
    // An answer of which the caller reads nothing for so long is given up.
    constexpr Duration writeLimit = 30s;
    // Longest time in which a refused body is discarded after the refusal was written.
    constexpr Duration drainLimit = 2s;
    // Retry-After of refused bodies is one to two times this, about the time that requests in flight take.
    constexpr Duration bodyRetryAfter = 500ms;
    // Another instance takes the request at once.
    constexpr Duration shutdownRetryAfter = 150ms;
    // Only responses above this size may have to wait for their caller, as the kernel takes smaller ones at once.
    constexpr std::size_t largeResponse = 16 * 1024;
    // The smallest receive windows take these whole.
    constexpr std::size_t smallResponse = 1'024;
    // Callers that read without a pause have acknowledged a response by then; the limit for silent ones is longer.
    constexpr Duration readingTime = 1s;
    // Large enough for a write to the kernel to be one block of async_write.
    constexpr int maxUnsent = 64 * 1024;
    constexpr std::string_view continueLine = "HTTP/1.1 100 Continue\r\n\r\n";

    auto renderHead(const HttpResponse& response, std::size_t bodyBytes, bool keep, Duration idle) -> std::string
    {
        std::string head;
        head.reserve(384);
        head.append(fmt::format("HTTP/1.1 {} ", response.result_int()));
        head.append(response.reason().data(), response.reason().size()).append("\r\n");
        for (const auto& field : response) {
            head.append(field.name_string().data(), field.name_string().size()).append(": ");
            head.append(field.value().data(), field.value().size()).append("\r\n");
        }
        const auto status = response.result_int();
        if (status != 204 && status != 304)
            head.append(fmt::format("Content-Length: {}\r\n", bodyBytes));
        if (keep)
            head.append(fmt::format("Keep-Alive: timeout={}\r\n\r\n", idle / 1s));
        else
            head.append("Connection: close\r\n\r\n");
        return head;
    }

    // The parser takes a request with any other coding, or several, as one without a body; its body would be read as the next
    // request (RFC 9112, 6.3).
    auto isBodyReadable(const HttpRequest& request) -> bool
    {
        const auto codings = request.count(http::field::transfer_encoding);
        return codings == 0 || (codings == 1 && boost::beast::iequals(request[http::field::transfer_encoding], "chunked"));
    }

    auto statusFor(NetError error) -> unsigned
    {
        if (error == http::error::header_limit)
            return 431;
        if (error == http::error::body_limit)
            return 413;
        return 400;
    }
}

CallerChannel::CallerChannel(Tcp::socket socket, CallerHandler& handler, const Clock& clock)
    : socket_(std::move(socket))
    , handler_(handler)
    , clock_(clock)
{
    if (auto* memory = handler.memory()) {
        bodyHold_.emplace(*memory);
        readerHold_.emplace(*memory, [this] { close(); });
    }
}

auto CallerChannel::start() -> void
{
    detectDeadPeer(socket_, PeerPatience::Long);
    NetError error;
    socket_.non_blocking(true, error);
    if (error)
        return close();
    beginRequest();
    readMore();
}

auto CallerChannel::beginRequest() -> void
{
    limits_ = handler_.limits();
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.headerBytes_));
    parser_->body_limit(limits_.bodyBytes_);
    hasHeader_ = false;
    isHead_ = false;
    mustContinue_ = false;
    waiting_.reset();
    selfWhilePaused_.reset();
    hasBytes_ = buffer_.size() > 0;
    since_ = clock_.now();
    state_ = State::Reading;
}

// No asynchronous read refers to the buffer: pipelined requests are parsed from it while the wait goes on.
auto CallerChannel::readMore() -> void
{
    if (isWaitingForBytes_ || state_ == State::Closed)
        return;
    if (state_ != State::Reading && buffer_.size() >= mostAhead) {
        selfWhilePaused_ = shared_from_this();
        return;
    }
    isWaitingForBytes_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](NetError error) { self->onReadable(error); });
}

auto CallerChannel::onReadable(NetError error) -> void
{
    isWaitingForBytes_ = false;
    // While the connection waits for memory, it is not read on.
    if (state_ == State::Closed || waiting_)
        return;
    std::size_t count = 0;
    if (!error)
        count = socket_.read_some(buffer_.prepare(readBytes), error);
    if (error == asio::error::would_block)
        return readMore();
    onRead(error, count);
}

// While a request is being answered, a read that ends tells that the caller has left.
auto CallerChannel::onRead(NetError error, std::size_t count) -> void
{
    if (error)
        return close();
    buffer_.commit(count);
    if (isDiscarding_)
        buffer_.clear();
    if (state_ != State::Reading)
        return readMore();
    if (!hasBytes_) {
        hasBytes_ = true;
        since_ = clock_.now();
        // The kernel had the rest of a large response after it was written; by now the caller has read it.
        if (std::exchange(isPatient_, false))
            detectDeadPeer(socket_, PeerPatience::Long);
    }
    parseBuffer();
}

auto CallerChannel::parseBuffer() -> void
{
    if (const auto error = parser_->parseArrived(buffer_))
        return refuse(error);
    if (!hasHeader_ && parser_->is_header_done() && !onHeader())
        return;
    if (hasHeader_ && !takeBody())
        return;
    if (!parser_->is_done())
        return readMore();
    onWholeRequest();
}

auto CallerChannel::onHeader() -> bool
{
    hasHeader_ = true;
    const auto& request = parser_->get();
    if (!isBodyReadable(request)) {
        refuse(http::error::bad_transfer_encoding);
        return false;
    }
    const auto length = parser_->content_length();
    if (length && *length > limits_.bodyBytes_) {
        refuse(http::error::body_limit);
        return false;
    }
    mustContinue_ = !parser_->is_done() && boost::beast::iequals(request[http::field::expect], "100-continue");
    return true;
}

// A body with a length is asked for whole: if parts of several were held, none might find room for its rest.
auto CallerChannel::takeBody() -> bool
{
    if (bodyHold_) {
        const auto& body = parser_->get().body();
        const auto verdict = bodyHold_->ask(parser_->content_length().value_or(body.empty() ? 0 : body.capacity()));
        waiting_ = verdict == BodyVerdict::Wait ? shared_from_this() : nullptr;
        if (verdict == BodyVerdict::Refused)
            refuseBody();
        if (verdict != BodyVerdict::Granted)
            return false;
    }
    if (std::exchange(mustContinue_, false))
        sendContinue();
    return true;
}

auto CallerChannel::sendContinue() -> void
{
    NetError ignored;
    asio::write(socket_, asio::buffer(continueLine), ignored);
}

auto CallerChannel::refuseBody() -> void
{
    constexpr std::uint64_t steps = 1'000;
    const auto spread = bodyRetryAfter * static_cast<std::int64_t>(randomNumber() % steps) / static_cast<std::int64_t>(steps);
    refuseArriving(problemResponse(503, "memory", Executed::No, bodyRetryAfter + spread));
}

auto CallerChannel::refuseArriving(HttpResponse response) -> void
{
    waiting_.reset();
    isDiscarding_ = true;
    buffer_.clear();
    state_ = State::Answering;
    answer(std::move(response), false);
    readMore();
}

auto CallerChannel::resume() -> void
{
    if (state_ == State::Reading && waiting_)
        parseBuffer();
}

auto CallerChannel::onWholeRequest() -> void
{
    state_ = State::Answering;
    const bool mayKeep = parser_->keep_alive();
    auto request = parser_->release();
    isHead_ = request.method() == http::verb::head;
    readMore();
    const auto self = weak_from_this();
    auto running = handler_.handle(std::move(request), [self, mayKeep](HttpResponse response) {
        if (const auto channel = self.lock())
            channel->answer(std::move(response), mayKeep);
    });
    if (state_ == State::Answering)
        running_ = std::move(running);
}

auto CallerChannel::refuse(NetError error) -> void
{
    state_ = State::Answering;
    answer(problemResponse(statusFor(error), error.message(), Executed::No), false);
}

auto CallerChannel::answer(HttpResponse response, bool mayKeep) -> void
{
    if (state_ != State::Answering)
        return;
    state_ = State::Writing;
    running_.reset();
    if (bodyHold_)
        bodyHold_->release();
    since_ = clock_.now();
    answeredAt_ = since_;
    keepAfter_ = mayKeep && !handler_.isClosing();
    body_ = std::move(response.body());
    head_ = renderHead(response, body_.size(), keepAfter_, limits_.idleTimeout_);
    if (isHead_)
        body_.clear();
    if (readerHold_)
        readerHold_->begin(head_.size() + body_.capacity());
    if (body_.size() > largeResponse) {
        limitUnsent(socket_, maxUnsent);
        beReadingPatient();
    }
    // After the end of the connection nobody looks whether the caller has read it.
    isUnreadDue_ = body_.size() > smallResponse;
    if (isUnreadDue_ && !keepAfter_)
        beReadingPatient();
    written_ = 0;
    acknowledged_ = 0;
    const std::array<asio::const_buffer, 2> parts { asio::buffer(head_), asio::buffer(body_) };
    const auto nextBytes = [this](NetError error, std::size_t count) {
        written_ = count;
        return asio::transfer_all()(error, count);
    };
    asio::async_write(socket_, parts, nextBytes, [self = shared_from_this()](NetError error, std::size_t) { self->onWritten(error); });
}

auto CallerChannel::onWritten(NetError error) -> void
{
    if (state_ == State::Closed)
        return;
    ++answered_;
    if (!error)
        handler_.responseWritten({ head_.size() + body_.size(), clock_.now() - answeredAt_ });
    body_ = std::string();
    if (readerHold_)
        readerHold_->release();
    if (error || !keepAfter_) {
        NetError ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        if (error || !isDiscarding_)
            return close();
        state_ = State::Draining;
        since_ = clock_.now();
        return;
    }
    beginRequest();
    if (buffer_.size() > 0)
        parseBuffer();
    else
        readMore();
}

auto CallerChannel::closeIfIdle() -> void
{
    if (state_ == State::Reading && !hasBytes_ && answered_ > 0)
        close();
}

auto CallerChannel::endReading() -> void
{
    if (state_ != State::Reading)
        return;
    if (!hasBytes_)
        return close();
    refuseArriving(problemResponse(503, "shutting-down", Executed::No, shutdownRetryAfter));
}

auto CallerChannel::checkTime() -> void
{
    if (state_ == State::Writing)
        return checkWriting();
    const auto age = clock_.now() - since_;
    if (state_ == State::Draining && age > drainLimit)
        return close();
    if (state_ != State::Reading)
        return;
    if (waiting_)
        return resume();
    if (!hasBytes_ && age > limits_.idleTimeout_)
        return close();
    if (isUnreadDue_ && age > readingTime)
        checkUnread();
    const auto most = hasHeader_ ? limits_.headerTimeout_ + bodyLimit : limits_.headerTimeout_;
    if (hasBytes_ && age > most) {
        state_ = State::Answering;
        answer(problemResponse(408, "request-incomplete", Executed::No), false);
    }
}

// The kernel takes bytes in large blocks; what the caller's machine acknowledges tells of a slow reader too.
auto CallerChannel::checkWriting() -> void
{
    const auto pending = unacknowledged(socket_);
    const auto acknowledged = written_ - std::min(written_, pending);
    if (acknowledged > acknowledged_) {
        acknowledged_ = acknowledged;
        since_ = clock_.now();
        if (readerHold_)
            readerHold_->recordProgress();
    }
    if (clock_.now() - since_ > writeLimit)
        close();
}

auto CallerChannel::unreadBytes() -> std::size_t
{
    if (state_ != State::Writing)
        return 0;
    const auto total = head_.size() + body_.size();
    return total - std::min(total, written_) + unacknowledged(socket_);
}

auto CallerChannel::beReadingPatient() -> void
{
    if (!std::exchange(isPatient_, true))
        detectDeadPeer(socket_, PeerPatience::Reading);
}

// Smaller responses are in the kernel as a whole. It takes a caller that does not read them for a silent one.
auto CallerChannel::checkUnread() -> void
{
    isUnreadDue_ = false;
    if (unacknowledged(socket_) > 0)
        beReadingPatient();
}

auto CallerChannel::close() -> void
{
    state_ = State::Closed;
    waiting_.reset();
    selfWhilePaused_.reset();
    closeQuietly(socket_);
    if (const auto running = std::exchange(running_, nullptr))
        running->cancel();
    if (bodyHold_)
        bodyHold_->release();
    if (readerHold_)
        readerHold_->release();
}

} // namespace sapphirepass
