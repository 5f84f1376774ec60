// An event loop on a thread of its own, for stand-ins beside code that blocks.
#pragma once

#include "loop/net_type.h"

#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <thread>

namespace sapphirepass::standin {

// Runs one server, which nothing else touches until it has stopped.
template <typename Server>
class BackgroundLoop {
public:
    template <typename... Args>
    explicit BackgroundLoop(Args... args)
        : server_(std::make_unique<Server>(loop_, std::move(args)...))
        , address_(server_->address())
        , thread_([this] { loop_.run(); })
    {
    }
    ~BackgroundLoop() { stopServer(); }
    BackgroundLoop(const BackgroundLoop&) = delete;
    auto operator=(const BackgroundLoop&) -> BackgroundLoop& = delete;

    auto address() const -> const SocketAddress& { return address_; }
    auto stopServer() -> void
    {
        loop_.stop();
        if (thread_.joinable())
            thread_.join();
        server_.reset();
    }

private:
    asio::io_context loop_;
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(loop_);
    std::unique_ptr<Server> server_;
    SocketAddress address_;
    std::thread thread_;
};

} // namespace sapphirepass::standin
