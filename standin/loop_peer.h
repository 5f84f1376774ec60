// A server on the test's own event loop that answers with the bytes of a script, and a client that sends given bytes.
#pragma once

#include "base/socket_address.h"
#include "loop/net_type.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphirepass::standin {

enum class AfterBytes { Keep,
    Close,
    Reset };

struct ScriptedBytes {
    std::string bytes_;
    AfterBytes after_ = AfterBytes::Keep;
    // Time of the work before the bytes.
    std::chrono::milliseconds delay_ {};
};

// Reads whole requests (with a length) and answers each as the script says. An empty answer is silence.
class LoopServer {
public:
    using Script = std::function<ScriptedBytes(int number, const std::string& request)>;

    LoopServer(asio::io_context& loop, Script script);
    ~LoopServer();
    LoopServer(const LoopServer&) = delete;
    auto operator=(const LoopServer&) -> LoopServer& = delete;

    auto address() const -> const SocketAddress& { return address_; }
    // Ends all connections; later ones are refused.
    auto stop() -> void;
    auto requests() const -> const std::vector<std::string>& { return requests_; }
    auto connections() const -> std::size_t { return connections_; }
    // Connections that the other side has ended.
    auto ended() const -> std::size_t { return ended_; }
    // Sends bytes on all open connections, asked for or not.
    auto push(const std::string& bytes) -> void;

private:
    struct Connection;

    auto acceptNext() -> void;
    auto read(const std::shared_ptr<Connection>& connection) -> void;
    auto answer(const std::shared_ptr<Connection>& connection) -> void;
    auto send(const std::shared_ptr<Connection>& connection, const ScriptedBytes& scripted) -> void;

    Tcp::acceptor acceptor_;
    Script script_;
    SocketAddress address_;
    std::vector<std::string> requests_;
    std::vector<std::weak_ptr<Connection>> open_;
    std::size_t connections_ = 0;
    std::size_t ended_ = 0;
};

class LoopClient {
public:
    LoopClient(asio::io_context& loop, const SocketAddress& server);
    ~LoopClient();
    LoopClient(const LoopClient&) = delete;
    auto operator=(const LoopClient&) -> LoopClient& = delete;

    auto send(const std::string& bytes) -> void;
    auto close() -> void { closeQuietly(state_->socket_); }
    // Sends nothing more, and still reads.
    auto endSending() -> void;
    auto received() const -> const std::string& { return state_->received_; }
    // The server has ended the connection.
    auto isEnded() const -> bool { return state_->isEnded_; }
    // How often a text stands in what was received.
    auto count(const std::string& text) const -> std::size_t;

private:
    // Kept by a read that is pending: the loop may end it after the client has gone.
    struct State {
        explicit State(asio::io_context& loop)
            : socket_(loop)
        {
        }
        Tcp::socket socket_;
        std::string received_;
        std::array<char, 4096> buffer_ {};
        bool isEnded_ = false;
    };

    static auto read(const std::shared_ptr<State>& state) -> void;

    std::shared_ptr<State> state_;
};

// Runs the loop until something holds; false if it hangs.
auto runUntil(asio::io_context& loop, const std::function<bool()>& holds) -> bool;
// An address on loopback with a port that the kernel reports as free, and gives to no outgoing connection.
auto freeAddress(const std::string& host = "127.0.0.1") -> SocketAddress;

} // namespace sapphirepass::standin
