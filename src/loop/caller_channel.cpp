#include "loop/caller_channel.h"

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
    // An answer that the caller does not read is given up.
    constexpr Duration writeLimit = 30s;
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
}

auto CallerChannel::start() -> void
{
    detectDeadPeer(socket_, PeerPatience::Long);
    beginRequest();
    readMore();
}

auto CallerChannel::beginRequest() -> void
{
    limits_ = handler_.limits();
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(limits_.headerBytes_));
    parser_->body_limit(limits_.bodyBytes_);
    hasHeader_ = false;
    hasBytes_ = buffer_.size() > 0;
    since_ = clock_.now();
    state_ = State::Reading;
}

auto CallerChannel::readMore() -> void
{
    const bool full = state_ != State::Reading && buffer_.size() >= mostAhead;
    if (isReading_ || state_ == State::Closed || full)
        return;
    isReading_ = true;
    socket_.async_read_some(buffer_.prepare(readBytes), [self = shared_from_this()](NetError error, std::size_t count) { self->onRead(error, count); });
}

// While a request is being answered, a read that ends tells that the caller has left.
auto CallerChannel::onRead(NetError error, std::size_t count) -> void
{
    isReading_ = false;
    if (state_ == State::Closed)
        return;
    if (error)
        return close();
    buffer_.commit(count);
    if (state_ != State::Reading)
        return readMore();
    if (!hasBytes_) {
        hasBytes_ = true;
        since_ = clock_.now();
    }
    parseBuffer();
}

auto CallerChannel::parseBuffer() -> void
{
    if (const auto error = parseArrived(*parser_, buffer_))
        return refuse(error);
    if (!hasHeader_ && parser_->is_header_done() && !onHeader())
        return;
    if (!parser_->is_done())
        return readMore();
    onWholeRequest();
}

auto CallerChannel::onHeader() -> bool
{
    hasHeader_ = true;
    const auto& request = parser_->get();
    const auto length = parser_->content_length();
    if (length && *length > limits_.bodyBytes_) {
        refuse(http::error::body_limit);
        return false;
    }
    if (!parser_->is_done() && boost::beast::iequals(request[http::field::expect], "100-continue")) {
        NetError ignored;
        asio::write(socket_, asio::buffer(continueLine), ignored);
    }
    return true;
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
    since_ = clock_.now();
    keepAfter_ = mayKeep && !handler_.isClosing();
    body_ = std::move(response.body());
    head_ = renderHead(response, body_.size(), keepAfter_, limits_.idleTimeout_);
    if (isHead_)
        body_.clear();
    const std::array<asio::const_buffer, 2> parts { asio::buffer(head_), asio::buffer(body_) };
    asio::async_write(socket_, parts, [self = shared_from_this()](NetError error, std::size_t) { self->onWritten(error); });
}

auto CallerChannel::onWritten(NetError error) -> void
{
    if (state_ == State::Closed)
        return;
    ++answered_;
    if (error || !keepAfter_) {
        NetError ignored;
        socket_.shutdown(Tcp::socket::shutdown_send, ignored);
        return close();
    }
    body_ = std::string();
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

auto CallerChannel::checkTime() -> void
{
    const auto age = clock_.now() - since_;
    if (state_ == State::Writing && age > writeLimit)
        return close();
    if (state_ != State::Reading)
        return;
    if (!hasBytes_ && age > limits_.idleTimeout_)
        return close();
    const auto most = hasHeader_ ? limits_.headerTimeout_ + bodyLimit : limits_.headerTimeout_;
    if (hasBytes_ && age > most) {
        state_ = State::Answering;
        answer(problemResponse(408, "request-incomplete", Executed::No), false);
    }
}

auto CallerChannel::close() -> void
{
    state_ = State::Closed;
    closeQuietly(socket_);
    if (const auto running = std::exchange(running_, nullptr))
        running->cancel();
}

} // namespace sapphirepass
