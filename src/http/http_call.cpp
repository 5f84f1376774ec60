#include "http/http_call.h"

#include "base/connection_end.h"
#include "base/http_status.h"
#include "base/message_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/dynamic_body.hpp>
#include <cpprest/producerconsumerstream.h>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <pplx/threadpool.h>
#include <sys/socket.h>

namespace sapphirepass {

namespace {
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    using Tcp = asio::ip::tcp;
    using NetError = boost::system::error_code;
    using Parser = MessageParser<false, http::basic_dynamic_body<boost::beast::flat_buffer>>;
    using SteadyClock = std::chrono::steady_clock;

    // Bytes of all answers that are held while they arrive, and those that each may hold in any case.
    constexpr std::size_t maxHeldAnswers = 32 * 1024 * 1024;
    constexpr std::size_t guaranteedBytes = 256 * 1024;
    constexpr std::size_t readBytes = 16 * 1024;
    constexpr std::size_t pieceBytes = 64 * 1024;
    // A chunk header or trailer that is longer can't be read.
    constexpr std::size_t maxUnparsedBytes = 64 * 1024;
    constexpr int maxInterimAnswers = 32;
    // Of a body that is streamed through, so much is read ahead of its reader, for whom it is looked this often.
    constexpr std::size_t maxAhead = 256 * 1024;
    constexpr std::chrono::milliseconds readerPoll { 5 };
    // Kept connections that were idle for longer are not used again.
    constexpr std::chrono::seconds keepTime { 5 };

    auto isQuiet(Tcp::socket& socket) -> bool
    {
        char byte = 0;
        const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    auto closeSocket(Tcp::socket& socket) -> void
    {
        // The connection is given up: errors of its end have no consequence.
        NetError ignored;
        socket.close(ignored);
    }

    auto textOf(boost::beast::string_view text) -> std::string { return { text.data(), text.size() }; }

    auto bodyBytes(const RequestBody& body) -> std::int64_t
    {
        const auto* memory = std::get_if<MemoryBody>(&body);
        return memory != nullptr ? static_cast<std::int64_t>(memory->size()) : std::get<StreamBody>(body).length_;
    }

    auto renderHead(const HttpCall& call, const SocketAddress& server) -> std::string
    {
        auto head = call.method_ + " " + call.target_ + " HTTP/1.1\r\nHost: " + formatSocketAddress(server) + "\r\n";
        for (const auto& header : call.headers_)
            head += header.name_ + ": " + header.value_ + "\r\n";
        const auto length = bodyBytes(call.body_);
        if (length > 0 || call.method_ == "POST" || call.method_ == "PUT" || call.method_ == "PATCH")
            head += "Content-Length: " + std::to_string(length) + "\r\n";
        return head + "\r\n";
    }
}

// Kept connections, and the bytes that answers hold.
class HttpCaller::Shared {
public:
    // A connection of its own strand; empty if none is kept.
    auto take(const SocketAddress& server) -> std::optional<Tcp::socket>
    {
        const std::lock_guard lock(mutex_);
        dropExpired();
        auto& kept = kept_[server];
        while (!kept.empty()) {
            auto socket = std::move(kept.back().socket_);
            kept.pop_back();
            if (isQuiet(socket))
                return socket;
        }
        return std::nullopt;
    }

    auto keep(const SocketAddress& server, Tcp::socket socket) -> void
    {
        const std::lock_guard lock(mutex_);
        dropExpired();
        kept_[server].push_back({ std::move(socket), SteadyClock::now() });
    }

    // Counts more bytes of an answer, unless they are too many.
    auto reserve(std::size_t bytes, bool isGuaranteed) -> bool
    {
        if (held_.fetch_add(bytes) + bytes <= maxHeldAnswers || isGuaranteed)
            return true;
        release(bytes);
        return false;
    }
    auto release(std::size_t bytes) -> void { held_ -= bytes; }

private:
    struct Kept {
        Tcp::socket socket_;
        SteadyClock::time_point since_;
    };

    auto dropExpired() -> void
    {
        const auto oldest = SteadyClock::now() - keepTime;
        for (auto& [server, kept] : kept_)
            std::erase_if(kept, [oldest](const Kept& entry) { return entry.since_ < oldest; });
    }

    std::mutex mutex_;
    std::map<SocketAddress, std::vector<Kept>> kept_;
    std::atomic<std::size_t> held_ { 0 };
};

// One call. All of it runs on the strand of its connection.
class HttpCaller::Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(std::shared_ptr<Shared> shared, SocketAddress server, HttpCall call, std::optional<Tcp::socket> kept)
        : shared_(std::move(shared))
        , server_(std::move(server))
        , call_(std::move(call))
        , isReused_(kept.has_value())
        , socket_(kept ? *std::move(kept) : Tcp::socket(asio::make_strand(crossplat::threadpool::shared_instance().service())))
        , timer_(socket_.get_executor())
        , readerTimer_(socket_.get_executor())
    {
    }
    ~Exchange() { shared_->release(reserved_); }
    Exchange(const Exchange&) = delete;
    auto operator=(const Exchange&) -> Exchange& = delete;

    auto start() -> pplx::task<HttpCallResult>
    {
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->begin(); });
        return pplx::create_task(told_);
    }

private:
    auto begin() -> void
    {
        timer_.expires_after(call_.timeout_);
        timer_.async_wait([self = shared_from_this()](NetError error) {
            if (!error)
                self->fail(HttpCallErrorKind::TimedOut, "the deadline has passed");
        });
        if (isReused_)
            write();
        else
            connect();
    }

    auto connect() -> void
    {
        NetError invalid;
        const Tcp::endpoint endpoint { asio::ip::make_address_v4(server_.host_, invalid), server_.port_ };
        if (invalid)
            return fail(HttpCallErrorKind::NotSent, "invalid server address");
        socket_.async_connect(endpoint, [self = shared_from_this()](NetError error) {
            if (self->isOver_)
                return;
            if (error)
                return self->fail(HttpCallErrorKind::NotSent, error.message());
            NetError ignored;
            self->socket_.set_option(Tcp::no_delay(true), ignored);
            self->write();
        });
    }

    auto write() -> void
    {
        newParser();
        head_ = renderHead(call_, server_);
        isWriting_ = true;
        const auto* memory = std::get_if<MemoryBody>(&call_.body_);
        unsent_ = memory != nullptr ? 0 : bodyBytes(call_.body_);
        const std::array<asio::const_buffer, 2> parts { asio::buffer(head_), memory != nullptr ? asio::buffer(*memory) : asio::const_buffer() };
        asio::async_write(socket_, parts, onWrittenHandler());
        read();
    }

    auto onWrittenHandler() -> std::function<void(NetError, std::size_t)>
    {
        return [self = shared_from_this(), number = number_](NetError error, std::size_t) {
            if (number == self->number_)
                self->onWritten(error);
        };
    }

    // The read reports the failure of a write: the server may have answered before it closed.
    auto onWritten(NetError error) -> void
    {
        isWriting_ = false;
        writeFailure_ = error;
        if (isOver_)
            return;
        if (std::exchange(endAwaitsWrite_, false))
            return onEnd(asio::error::eof);
        if (unsent_ > 0 && !error)
            readPiece();
    }

    auto readPiece() -> void
    {
        piece_.resize(static_cast<std::size_t>(std::min<std::int64_t>(unsent_, pieceBytes)));
        auto source = std::get<StreamBody>(call_.body_).stream_.streambuf();
        source.getn(piece_.data(), piece_.size()).then([self = shared_from_this()](const pplx::task<std::size_t>& read) {
            std::size_t count = 0;
            try {
                count = read.get();
            } catch (const std::exception&) {
                // The sender of the body has gone, which ends the call as an early end of the body does.
            }
            asio::post(self->socket_.get_executor(), [self, count] { self->onPiece(count); });
        });
    }

    auto onPiece(std::size_t count) -> void
    {
        if (isOver_)
            return;
        if (count == 0)
            return fail(HttpCallErrorKind::Lost, "the body of the request broke off");
        unsent_ -= static_cast<std::int64_t>(count);
        isWriting_ = true;
        asio::async_write(socket_, asio::buffer(piece_.data(), count), onWrittenHandler());
    }

    auto newParser() -> void
    {
        parser_.emplace();
        // Bodies have bounds of their own here.
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        if (call_.method_ == "HEAD")
            parser_->skip(true);
    }

    auto read() -> void
    {
        socket_.async_read_some(buffer_.prepare(readBytes), [self = shared_from_this(), number = number_](NetError error, std::size_t count) {
            if (number == self->number_ && !self->isOver_)
                self->onRead(error, count);
        });
    }

    auto onRead(NetError error, std::size_t count) -> void
    {
        if (error)
            return onEnd(error);
        buffer_.commit(count);
        hasBytes_ = true;
        parseBuffer();
    }

    auto parseBuffer() -> void
    {
        if (const auto error = parser_->parseArrived(buffer_))
            return lose(error.message());
        if (parser_->is_header_done() && !takeHead())
            return;
        if (!takeBody())
            return;
        if (!parser_->is_done())
            return readMore();
        onWholeAnswer();
    }

    // False if it ended the call, or if a further answer follows.
    auto takeHead() -> bool
    {
        if (hasHead_)
            return true;
        const auto& message = parser_->get();
        const auto status = message.result_int();
        // No call asks for another protocol.
        if (!isHttpStatus(status) || message.result() == http::status::switching_protocols) {
            lose("the status is out of range");
            return false;
        }
        if (status / 100 == 1) {
            if (++interimAnswers_ > maxInterimAnswers) {
                lose("too many interim answers");
                return false;
            }
            newParser();
            if (buffer_.size() > 0)
                parseBuffer();
            else
                read();
            return false;
        }
        hasHead_ = true;
        answer_.status_ = status;
        answer_.reason_ = textOf(message.reason());
        for (const auto& field : message)
            answer_.headers_.add(textOf(field.name_string()), textOf(field.value()));
        const auto length = parser_->is_done() ? 0 : parser_->content_length().value_or(0);
        if (call_.streamAbove_ && length > *call_.streamAbove_)
            beginStream(static_cast<std::int64_t>(length));
        else if (length > maxHeldAnswer)
            lose("the answer is too large");
        return !isOver_;
    }

    auto beginStream(std::int64_t length) -> void
    {
        arriving_.emplace();
        answer_.body_ = ArrivingBody { arriving_->create_istream(), length, pplx::create_task(streamEnd_) };
        told_.set(HttpCallResult { std::move(answer_) });
    }

    auto takeBody() -> bool
    {
        auto& body = parser_->get().body();
        const auto bytes = body.data();
        const auto* first = static_cast<const unsigned char*>(bytes.data());
        if (arriving_ && bytes.size() > 0)
            arriving_->putn_nocopy(first, bytes.size()).wait();
        if (!arriving_ && !hold(first, bytes.size())) {
            lose("the answer is too large");
            return false;
        }
        body.consume(bytes.size());
        if (!parser_->is_done() && buffer_.size() > maxUnparsedBytes) {
            lose("a line of the answer is too long");
            return false;
        }
        return true;
    }

    auto hold(const unsigned char* bytes, std::size_t count) -> bool
    {
        const auto size = held_.size() + count;
        if (size > maxHeldAnswer)
            return false;
        if (size > held_.capacity()) {
            const auto capacity = std::min(size <= guaranteedBytes ? guaranteedBytes : maxHeldAnswer, 2 * size);
            if (!shared_->reserve(capacity - reserved_, capacity <= guaranteedBytes))
                return false;
            reserved_ = capacity;
            held_.reserve(capacity);
        }
        held_.insert(held_.end(), bytes, bytes + count);
        return true;
    }

    // A body that is streamed through is read as fast as its reader takes it.
    auto readMore() -> void
    {
        if (!arriving_ || arriving_->in_avail() <= maxAhead)
            return read();
        readerTimer_.expires_after(readerPoll);
        readerTimer_.async_wait([self = shared_from_this()](NetError error) {
            if (!error && !self->isOver_)
                self->readMore();
        });
    }

    // An answer without a length ends with its connection, if that ends in order.
    auto onEnd(NetError error) -> void
    {
        if (isReused_ && !hasBytes_ && std::holds_alternative<MemoryBody>(call_.body_))
            return reconnect();
        // The pending write may have received a reset; its handler is about to run.
        endAwaitsWrite_ = error == asio::error::eof && isWriting_ && !isHalfClosed(socket_.native_handle());
        if (endAwaitsWrite_)
            return;
        const bool isOrderly = isOrderlyEnd(error, writeFailure_);
        if (!isOrderly || !parser_->is_header_done() || !parser_->need_eof())
            return lose(isOrderly ? "closed" : (writeFailure_ ? writeFailure_ : error).message());
        NetError failure;
        parser_->put_eof(failure);
        if (failure || !parser_->is_done())
            return lose("closed early");
        onWholeAnswer();
    }

    // The server had closed the kept connection before it received the call.
    auto reconnect() -> void
    {
        ++number_;
        isReused_ = false;
        isWriting_ = false;
        writeFailure_ = {};
        buffer_.clear();
        closeSocket(socket_);
        connect();
    }

    auto onWholeAnswer() -> void
    {
        const bool mayKeep = call_.repeatability_ == Repeatability::Idempotent && !isWriting_ && unsent_ == 0 && !writeFailure_ && parser_->keep_alive() && !parser_->need_eof() && buffer_.size() == 0;
        end();
        if (mayKeep)
            shared_->keep(server_, std::move(socket_));
        else
            closeSocket(socket_);
        if (arriving_) {
            arriving_->close(std::ios_base::out);
            streamEnd_.set(std::string());
            return;
        }
        answer_.body_ = std::move(held_);
        told_.set(HttpCallResult { std::move(answer_) });
    }

    auto lose(std::string message) -> void { fail(HttpCallErrorKind::Lost, std::move(message)); }

    auto fail(HttpCallErrorKind kind, std::string message) -> void
    {
        if (isOver_)
            return;
        end();
        closeSocket(socket_);
        if (arriving_) {
            arriving_->close(std::ios_base::out, std::make_exception_ptr(std::runtime_error(message)));
            streamEnd_.set(std::move(message));
            return;
        }
        told_.set(HttpCallResult { HttpCallError { kind, std::move(message) } });
    }

    auto end() -> void
    {
        isOver_ = true;
        timer_.cancel();
        readerTimer_.cancel();
    }

    std::shared_ptr<Shared> shared_;
    SocketAddress server_;
    HttpCall call_;
    bool isReused_ = false;
    Tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer readerTimer_;
    pplx::task_completion_event<HttpCallResult> told_;
    pplx::task_completion_event<std::string> streamEnd_;
    std::string head_;
    std::vector<unsigned char> piece_;
    // Bytes of a streamed body that were not read from it yet.
    std::int64_t unsent_ = 0;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    HttpAnswer answer_;
    MemoryBody held_;
    std::size_t reserved_ = 0;
    std::optional<concurrency::streams::producer_consumer_buffer<unsigned char>> arriving_;
    // Number of the connection in use; handlers of an earlier one are ignored.
    int number_ = 0;
    int interimAnswers_ = 0;
    bool isWriting_ = false;
    NetError writeFailure_;
    // The read met the end of the connection; the pending write decides whether it was orderly.
    bool endAwaitsWrite_ = false;
    bool hasBytes_ = false;
    bool hasHead_ = false;
    bool isOver_ = false;
};

HttpCaller::HttpCaller()
    : shared_(std::make_shared<Shared>())
{
}

auto HttpCaller::call(const SocketAddress& server, HttpCall call) -> pplx::task<HttpCallResult>
{
    auto kept = call.repeatability_ == Repeatability::Idempotent && std::holds_alternative<MemoryBody>(call.body_) ? shared_->take(server) : std::nullopt;
    return std::make_shared<Exchange>(shared_, server, std::move(call), std::move(kept))->start();
}

} // namespace sapphirepass
