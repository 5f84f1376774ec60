#include "loop/call_channel.h"

#include "base/http_status.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace sapphirepass {

using namespace std::chrono_literals;

namespace {
    constexpr std::size_t readBytes = 32 * 1024;
    constexpr std::size_t writeBytes = 64 * 1024;
    // A status line, header, chunk header or trailer that is longer can't be read. Complete ones are read as they arrive.
    constexpr std::size_t maxUnparsedBytes = 64 * 1024;
    // For answers that are still arriving.
    constexpr Duration extension = 1s;
    constexpr int maxExtensions = 4;
}

CallChannel::CallChannel(asio::io_context& loop, SocketAddress server, std::uint64_t maxBodyBytes)
    : socket_(loop)
    , timer_(loop)
    , server_(std::move(server))
    , maxBodyBytes_(maxBodyBytes)
{
}

auto CallChannel::setServer(const SocketAddress& server) -> void
{
    if (server == server_)
        return;
    stop();
    server_ = server;
}

auto CallChannel::call(HttpRequest request, Duration limit, Done done) -> void
{
    request_ = std::move(request);
    request_->set(http::field::host, formatSocketAddress(server_));
    request_->prepare_payload();
    done_ = std::move(done);
    isSent_ = false;
    ++number_;
    extensions_ = 0;
    startTimer(limit);
    isReused_ = isConnected_ && socket_.is_open();
    if (isReused_)
        write();
    else
        connect();
}

auto CallChannel::startTimer(Duration limit) -> void
{
    receivedBefore_ = receivedBytes_;
    timer_.expires_after(limit);
    timer_.async_wait([self = shared_from_this(), number = number_](NetError error) {
        if (!error && number == self->number_)
            self->onTimeLimit();
    });
}

// Another call would begin the answer anew and take as long.
auto CallChannel::onTimeLimit() -> void
{
    if (receivedBytes_ == receivedBefore_ || extensions_ == maxExtensions)
        return failByTimeout();
    ++extensions_;
    startTimer(extension);
}

auto CallChannel::connect() -> void
{
    closeQuietly(socket_);
    buffer_.clear();
    NetError invalid;
    const Tcp::endpoint endpoint { asio::ip::make_address_v4(server_.host_, invalid), server_.port_ };
    if (invalid) {
        asio::post(socket_.get_executor(), [self = shared_from_this(), number = number_] {
            if (number == self->number_)
                self->fail("invalid server address");
        });
        return;
    }
    socket_.async_connect(endpoint, [self = shared_from_this(), number = number_](NetError error) {
        if (number != self->number_ || !self->done_)
            return;
        if (error)
            return self->fail(error.message());
        self->isConnected_ = true;
        detectDeadPeer(self->socket_, PeerPatience::Short);
        self->write();
    });
}

auto CallChannel::write() -> void
{
    std::ostringstream out;
    out << *request_;
    bytes_ = out.str();
    isSent_ = true;
    parser_.emplace();
    parser_->body_limit(maxBodyBytes_);
    isWriting_ = true;
    // Writes in steps: a step that has ended must not be followed by another one on the connection of the next call.
    const auto nextBytes = [self = shared_from_this(), number = number_](NetError error, std::size_t) { return error || number != self->number_ ? 0 : writeBytes; };
    asio::async_write(socket_, asio::buffer(bytes_), nextBytes, [self = shared_from_this(), number = number_](NetError error, std::size_t) {
        if (number != self->number_)
            return;
        self->isWriting_ = false;
        if (error && self->done_)
            self->fail(error.message());
    });
    readMore();
}

auto CallChannel::readMore() -> void
{
    socket_.async_read_some(buffer_.prepare(readBytes), [self = shared_from_this(), number = number_](NetError error, std::size_t count) {
        if (number == self->number_ && self->done_)
            self->onRead(error, count);
    });
}

auto CallChannel::onRead(NetError error, std::size_t count) -> void
{
    if (error)
        return fail(error.message());
    buffer_.commit(count);
    receivedBytes_ += count;
    if (const auto failure = parser_->parseArrived(buffer_))
        return fail(failure.message());
    if (!parser_->is_done())
        return buffer_.size() > maxUnparsedBytes ? fail("header too large") : readMore();
    if (!isHttpStatus(parser_->get().result_int()))
        return fail("status out of range");
    timer_.cancel();
    // A server may answer before it has read all; the next request must not take the place of bytes that are still written.
    if (!parser_->keep_alive() || buffer_.size() > 0 || isWriting_) {
        isConnected_ = false;
        closeQuietly(socket_);
    }
    const auto done = std::move(done_);
    done_ = nullptr;
    done(parser_->release());
}

auto CallChannel::fail(std::string message) -> void
{
    end({ isSent_ ? CallErrorKind::AnswerLost : CallErrorKind::NotSent, std::move(message), isReused_ });
}

auto CallChannel::failByTimeout() -> void
{
    if (!isSent_)
        return end({ CallErrorKind::NotSent, "no connection in time", isReused_, true });
    const auto* why = unacknowledged(socket_) > 0 ? "request not delivered in time" : "no answer in time";
    end({ CallErrorKind::AnswerLost, why, isReused_, true });
}

auto CallChannel::end(CallError error) -> void
{
    timer_.cancel();
    isConnected_ = false;
    closeQuietly(socket_);
    const auto done = std::move(done_);
    done_ = nullptr;
    if (done)
        done(std::move(error));
}

auto CallChannel::stop() -> void
{
    done_ = nullptr;
    ++number_;
    isConnected_ = false;
    timer_.cancel();
    closeQuietly(socket_);
}

} // namespace sapphirepass
