#include "loop/upstream_channel.h"

#include "base/connection_end.h"
#include "base/field.h"
#include "base/http_status.h"
#include "gateway/requests/response_head.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    constexpr std::size_t readBytes = 16 * 1024;
    // A status line, header, chunk header or trailer that is longer can't be read. Complete ones are read as they arrive.
    constexpr std::size_t maxUnparsedBytes = 64 * 1024;
    constexpr int maxSkippedResponses = 32;
    // The kernel of a server takes smaller bodies at once, whether the server reads them or not.
    constexpr std::size_t largeBody = 16 * 1024;
    // While the memory is full, it is looked for room this often.
    constexpr Duration roomPoll = 50ms;

    auto renderHead(const OutgoingRequest& request) -> std::string
    {
        std::string head;
        head.reserve(512);
        head.append(request.method_string().data(), request.method_string().size()).append(" ");
        head.append(request.target().data(), request.target().size()).append(" HTTP/1.1\r\n");
        for (const auto& field : request) {
            head.append(field.name_string().data(), field.name_string().size()).append(": ");
            head.append(field.value().data(), field.value().size()).append("\r\n");
        }
        return head.append("\r\n");
    }
}

auto endpointOf(const SocketAddress& address) -> Tcp::endpoint
{
    return { asio::ip::make_address_v4(address.host_), address.port_ };
}

UpstreamChannel::UpstreamChannel(asio::io_context& loop, const Clock& clock, const HeaderNames& names, ResponseBudget& budget, LateResponse onLateResponse)
    : socket_(loop)
    , timer_(loop)
    , clock_(clock)
    , names_(names)
    , onLateResponse_(std::move(onLateResponse))
    , budget_(budget)
    , held_(budget)
{
}

auto UpstreamChannel::connectAndSend(const SocketAddress& address, const std::string& sourceHost, std::shared_ptr<const OutgoingRequest> request, Connected connected, Done done) -> void
{
    request_ = std::move(request);
    connected_ = std::move(connected);
    done_ = std::move(done);
    if (const auto error = bindSource(socket_, sourceHost); error) {
        asio::post(socket_.get_executor(), [self = shared_from_this(), error] { self->lose(TransportErrorKind::NotSent, error.message()); });
        return;
    }
    timer_.expires_after(upstreamConnectLimit);
    timer_.async_wait([self = shared_from_this()](NetError error) {
        if (!error && !self->isOpen_)
            self->lose(TransportErrorKind::NotSent, "connect-timeout");
    });
    socket_.async_connect(endpointOf(address), [self = shared_from_this()](NetError error) { self->onConnected(error); });
}

auto UpstreamChannel::onConnected(NetError error) -> void
{
    timer_.cancel();
    if (!done_)
        return;
    if (error)
        return lose(TransportErrorKind::NotSent, error.message());
    isOpen_ = true;
    detectDeadPeer(socket_, PeerPatience::Short);
    std::exchange(connected_, nullptr)(true);
    writeRequest();
}

auto UpstreamChannel::send(std::shared_ptr<const OutgoingRequest> request, Done done) -> void
{
    request_ = std::move(request);
    done_ = std::move(done);
    writeRequest();
}

// A server that pauses before it reads a large body looks like a silent one.
auto UpstreamChannel::setPatience() -> void
{
    const auto patience = request_->body().size() > largeBody ? PeerPatience::Long : PeerPatience::Short;
    if (std::exchange(patience_, patience) != patience)
        detectDeadPeer(socket_, patience);
}

auto UpstreamChannel::writeRequest() -> void
{
    setPatience();
    skippedResponses_ = 0;
    newParser();
    head_ = renderHead(*request_);
    isWriting_ = true;
    const std::array<asio::const_buffer, 2> parts { asio::buffer(head_), asio::buffer(request_->body()) };
    asio::async_write(socket_, parts, [self = shared_from_this()](NetError error, std::size_t) { self->onWritten(error); });
    readMore();
}

// A failed write is told by the read: the upstream may have answered before it closed.
auto UpstreamChannel::onWritten(NetError error) -> void
{
    isWriting_ = false;
    writeFailure_ = error;
    if (std::exchange(endAwaitsWrite_, false) && done_)
        onEnd(asio::error::eof);
}

auto UpstreamChannel::newParser() -> void
{
    parser_.emplace();
    parser_->body_limit(budget_.maxResponse());
    if (request_->method() == http::verb::head)
        parser_->skip(true);
}

auto UpstreamChannel::readMore() -> void
{
    if (isReading_ || !socket_.is_open())
        return;
    isReading_ = true;
    socket_.async_read_some(buffer_.prepare(readBytes), [self = shared_from_this()](NetError error, std::size_t count) { self->onRead(error, count); });
}

auto UpstreamChannel::onRead(NetError error, std::size_t count) -> void
{
    isReading_ = false;
    buffer_.commit(count);
    if (!done_) {
        // Idle: its end, or bytes that belong to no request.
        isOpen_ = false;
        closeQuietly(socket_);
        return;
    }
    if (error)
        return onEnd(error);
    parseBuffer();
}

auto UpstreamChannel::parseBuffer() -> void
{
    if (const auto error = parser_->parseArrived(buffer_))
        return lose(TransportErrorKind::InvalidResponse, error.message());
    if (auto excess = findExcess(); !excess.empty())
        return lose(TransportErrorKind::InvalidResponse, std::move(excess));
    if (!parser_->is_done())
        return readWhenRoom();
    onWholeResponse();
}

// Requests have run by now: their responses wait for room rather than being given up. The requests' deadlines end the wait.
auto UpstreamChannel::readWhenRoom() -> void
{
    const auto stated = parser_->is_header_done() ? parser_->content_length().value_or(0) : 0;
    // It would be given up later in any case; until then it would keep others from their room.
    if (stated > budget_.maxResponse())
        return lose(TransportErrorKind::InvalidResponse, "response-too-large");
    isHeldBack_ = !held_.mayReadOn(stated);
    if (!isHeldBack_)
        return readMore();
    timer_.expires_after(roomPoll);
    timer_.async_wait([self = shared_from_this()](NetError error) {
        if (!error && self->done_)
            self->readWhenRoom();
    });
}

auto UpstreamChannel::findExcess() -> std::string
{
    if (!held_.set(parser_->get().body().size() + buffer_.size()))
        return "response-too-large";
    if (!parser_->is_done() && buffer_.size() > maxUnparsedBytes)
        return "header-too-large";
    return skippedResponses_ > maxSkippedResponses ? "too-many-responses" : "";
}

auto UpstreamChannel::skipResponse() -> void
{
    ++skippedResponses_;
    newParser();
    parseBuffer();
}

// An answer without a length ends with its connection, if that ends in order.
auto UpstreamChannel::onEnd(NetError error) -> void
{
    isOpen_ = false;
    // The pending write may have received a reset; its handler is about to run.
    endAwaitsWrite_ = error == asio::error::eof && isWriting_ && !isHalfClosed(socket_.native_handle());
    if (endAwaitsWrite_)
        return;
    const bool inOrder = isOrderlyEnd(error, writeFailure_);
    if (!inOrder || !parser_->got_some() || !parser_->need_eof())
        return lose(TransportErrorKind::ConnectionLost, inOrder ? "closed" : (writeFailure_ ? writeFailure_ : error).message());
    NetError failure;
    parser_->put_eof(failure);
    if (failure || !parser_->is_done())
        return lose(TransportErrorKind::ConnectionLost, "closed-early");
    onWholeResponse();
}

auto UpstreamChannel::onWholeResponse() -> void
{
    const auto& response = parser_->get();
    const auto status = response.result_int();
    const bool ended = !isOpen_ || parser_->need_eof();
    if (const auto fault = findHeadFault(response, names_, hasCarriedResponse_ || skippedResponses_ > 0); !fault.empty())
        return lose(TransportErrorKind::InvalidResponse, std::string(fault));
    // No request asks for another protocol, so no further response follows.
    if (response.result() == http::status::switching_protocols)
        return lose(TransportErrorKind::InvalidResponse, "protocol-switched");
    if (status / 100 == 1)
        return skipResponse();
    const boost::beast::string_view name { names_.attempt_.data(), names_.attempt_.size() };
    const auto echoed = response[name];
    // Late answers to earlier requests come first; what the id names belongs to this one.
    if (!echoed.empty() && echoed != (*request_)[name]) {
        isTainted_ = true;
        onLateResponse_(response);
        if (ended)
            return lose(TransportErrorKind::InvalidResponse, "answer-of-another-request");
        return skipResponse();
    }
    // A damaged status line: what the upstream meant is not known.
    if (!isHttpStatus(status))
        return lose(TransportErrorKind::InvalidResponse, "status-out-of-range");
    // A second copy of an earlier response may arrive in place of the awaited one.
    if (echoed.empty() && (status / 100 == 2 || hasCarriedResponse_)) {
        onLateResponse_(response);
        return lose(TransportErrorKind::InvalidResponse, "answer-without-id");
    }
    const bool reusable = !ended && !isTainted_ && !isWriting_ && !writeFailure_ && parser_->keep_alive() && buffer_.size() == 0;
    hasCarriedResponse_ = true;
    if (reusable)
        statedIdle_ = statedIdle(response);
    tell(parser_->release(), reusable);
}

auto UpstreamChannel::statedIdle(const HttpResponse& response) -> std::optional<Duration>
{
    const auto header = response[http::field::keep_alive];
    const auto parameters = ";" + std::string(header.data(), header.size());
    for (const auto& parameter : http::param_list(parameters)) {
        if (parameter.first != "timeout")
            continue;
        const auto stated = parseNumber({ parameter.second.data(), parameter.second.size() }, Bounds { 0, 3'600 });
        return std::chrono::seconds(stated.value_or(0));
    }
    return std::nullopt;
}

auto UpstreamChannel::lose(TransportErrorKind kind, std::string reason) -> void
{
    if (kind == TransportErrorKind::NotSent && connected_)
        std::exchange(connected_, nullptr)(false);
    tell(TransportError { kind, std::move(reason) }, false);
}

auto UpstreamChannel::tell(AttemptOutcome outcome, bool isReusable) -> void
{
    const auto done = std::move(done_);
    done_ = nullptr;
    request_.reset();
    held_.release();
    if (isReusable) {
        readMore();
    } else {
        isOpen_ = false;
        timer_.cancel();
        closeQuietly(socket_);
    }
    if (done)
        done(std::move(outcome), isReusable);
}

auto UpstreamChannel::abandon() -> void
{
    done_ = nullptr;
    connected_ = nullptr;
    isOpen_ = false;
    held_.release();
    timer_.cancel();
    closeQuietly(socket_);
}

// Asks the kernel too: an end that has arrived but was not handled yet would cost the next request.
auto UpstreamChannel::isFresh() -> bool
{
    if (!isOpen_ || !socket_.is_open() || clock_.now() >= idleUntil_)
        return false;
    char byte = 0;
    const auto count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace sapphirepass
