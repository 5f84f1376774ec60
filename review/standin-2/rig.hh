// Stand-ins for a small deployment around real gateway processes: the platform's store, servers and clients, as the users' pages
// describe them. One thread a connection; every address is a loopback address.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Time = Steady::time_point;
using namespace std::chrono_literals;

inline auto now() -> Time { return Steady::now(); }
inline auto pause(Millis wait) -> void { std::this_thread::sleep_for(wait); }

// The case could not run: neither kept nor broken.
[[noreturn]] inline auto cannotRun(const std::string& why) -> void
{
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::exit(2);
}

// record.txt: what was sent, answered and run, with milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(std::fopen(path.c_str(), "w"))
        , start_(now())
    {
        if (file_ == nullptr)
            cannotRun("cannot write " + path);
    }
    auto ms(Time at) const -> long { return std::chrono::duration_cast<Millis>(at - start_).count(); }
    auto line(const char* format, ...) -> void __attribute__((format(printf, 2, 3)))
    {
        std::array<char, 1024> text {};
        std::va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text.data(), text.size(), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%7ld %s\n", ms(now()), text.data());
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    Time start_;
    std::mutex mutex_;
};

struct Address {
    std::string ip_;
    int port_ = 0;
    auto text() const -> std::string { return ip_ + ":" + std::to_string(port_); }
    auto raw() const -> sockaddr_in
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port_));
        if (inet_pton(AF_INET, ip_.c_str(), &address.sin_addr) != 1)
            cannotRun("no address: " + ip_);
        return address;
    }
};

inline auto parseAddress(const std::string& text) -> Address
{
    const auto colon = text.rfind(':');
    return { text.substr(0, colon), std::stoi(text.substr(colon + 1)) };
}

// 127.x.y.n: each process of a case has loopback hosts of its own, so runs beside each other do not meet.
inline auto hostNumber(int number) -> std::string
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(2 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + "." + std::to_string(number);
}

inline auto listenAt(Address& address) -> int
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto raw = address.raw();
    if (::bind(handle, reinterpret_cast<sockaddr*>(&raw), sizeof raw) != 0 || ::listen(handle, 512) != 0)
        cannotRun("cannot listen at " + address.text() + ": " + std::strerror(errno));
    socklen_t size = sizeof raw;
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&raw), &size);
    address.port_ = ntohs(raw.sin_port);
    return handle;
}

inline auto freePort(const std::string& ip) -> int
{
    Address address { ip, 0 };
    ::close(listenAt(address));
    return address.port_;
}

// The open connection is reset rather than closed in order.
inline auto resetAndClose(int handle) -> void
{
    const linger hard { 1, 0 };
    ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(handle);
}

struct Message {
    std::string line_;
    std::vector<std::pair<std::string, std::string>> headers_;
    std::string body_;

    auto header(const char* name) const -> std::string
    {
        for (const auto& [key, value] : headers_) {
            if (::strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return {};
    }
    auto method() const -> std::string { return line_.substr(0, line_.find(' ')); }
    auto target() const -> std::string
    {
        const auto from = line_.find(' ') + 1;
        return line_.substr(from, line_.find(' ', from) - from);
    }
    auto status() const -> int { return std::atoi(line_.c_str() + std::min(line_.size(), line_.find(' ') + 1)); }
};

// Reads a whole message with a length; nothing if the connection ends, fails or is silent for too long.
inline auto readMessage(int handle, std::string& buffer, Millis longest) -> std::optional<Message>
{
    const auto until = now() + longest;
    for (;;) {
        const auto end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            Message message;
            std::istringstream head(buffer.substr(0, end));
            std::string line;
            for (bool isFirst = true; std::getline(head, line); isFirst = false) {
                if (!line.empty() && line.back() == '\r')
                    line.pop_back();
                const auto colon = line.find(':');
                if (isFirst)
                    message.line_ = line;
                else if (colon != std::string::npos)
                    message.headers_.emplace_back(line.substr(0, colon), line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1))));
            }
            const auto length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
            if (buffer.size() >= end + 4 + length) {
                message.body_ = buffer.substr(end + 4, length);
                buffer.erase(0, end + 4 + length);
                return message;
            }
        }
        const auto left = std::chrono::duration_cast<Millis>(until - now()).count();
        pollfd entry { handle, POLLIN, 0 };
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0)
            return std::nullopt;
        std::array<char, 16384> bytes {};
        const auto count = ::recv(handle, bytes.data(), bytes.size(), 0);
        if (count <= 0)
            return std::nullopt;
        buffer.append(bytes.data(), static_cast<std::size_t>(count));
    }
}

inline auto sendAll(int handle, const std::string& text) -> bool
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(handle, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline auto connectTo(const Address& address, Millis longest) -> int
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto raw = address.raw();
    int failure = ::connect(handle, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) == 0 ? 0 : errno;
    if (failure == EINPROGRESS) {
        pollfd entry { handle, POLLOUT, 0 };
        socklen_t size = sizeof failure;
        if (::poll(&entry, 1, static_cast<int>(longest.count())) != 1 || ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &failure, &size) != 0)
            failure = ETIMEDOUT;
    }
    if (failure != 0) {
        ::close(handle);
        return -1;
    }
    ::fcntl(handle, F_SETFL, ::fcntl(handle, F_GETFL) & ~O_NONBLOCK);
    return handle;
}

// Accepts connections and serves each on a thread of its own, until it is cut.
class Listener {
public:
    using Serve = std::function<void(int handle)>;

    Listener(Address address, Serve serve)
        : address_(std::move(address))
        , serve_(std::move(serve))
        , handle_(listenAt(address_))
        , acceptor_([this] { acceptAll(); })
    {
    }
    ~Listener() { cut(); }
    Listener(const Listener&) = delete;
    auto operator=(const Listener&) -> Listener& = delete;

    auto address() const -> const Address& { return address_; }
    // Ends as a process that is killed: the port has no listener, open connections are reset.
    auto cut() -> void
    {
        if (isCut_.exchange(true))
            return;
        ::shutdown(handle_, SHUT_RDWR);
        acceptor_.join();
        ::close(handle_);
        {
            const std::lock_guard lock(mutex_);
            const linger hard { 1, 0 };
            for (const int open : open_) {
                ::setsockopt(open, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                // Wakes its thread, whose close then resets the connection.
                ::shutdown(open, SHUT_RD);
            }
        }
        while (serving_.load() > 0)
            pause(1ms);
    }
    auto isCut() const -> bool { return isCut_.load(); }

private:
    auto acceptAll() -> void
    {
        for (;;) {
            const int handle = ::accept4(handle_, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0 && (isCut_.load() || (errno != EINTR && errno != ECONNABORTED)))
                return;
            if (handle < 0)
                continue;
            const int on = 1;
            ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(mutex_);
                open_.insert(handle);
            }
            ++serving_;
            std::thread([this, handle] {
                serve_(handle);
                {
                    const std::lock_guard lock(mutex_);
                    open_.erase(handle);
                    if (isCut_.load())
                        resetAndClose(handle);
                    else
                        ::close(handle);
                }
                --serving_;
            }).detach();
        }
    }

    Address address_;
    Serve serve_;
    int handle_;
    std::mutex mutex_;
    std::set<int> open_;
    std::atomic<int> serving_ { 0 };
    std::atomic<bool> isCut_ { false };
    std::thread acceptor_;
};

// The platform's store: lists, watches with history, creation. It loses nothing and answers after 4 ms.
class Store {
public:
    explicit Store(const std::string& ip)
        : listener_({ ip, 0 }, [this](int handle) { serve(handle); })
    {
    }
    ~Store()
    {
        {
            const std::lock_guard lock(mutex_);
            isEnding_ = true;
        }
        changed_.notify_all();
        listener_.cut();
    }
    Store(const Store&) = delete;
    auto operator=(const Store&) -> Store& = delete;

    auto address() const -> const Address& { return listener_.address(); }
    auto put(const std::string& kind, const std::string& name, const Json& spec) -> void
    {
        {
            const std::lock_guard lock(mutex_);
            putLocked(kind, name, spec);
        }
        changed_.notify_all();
    }
    auto remove(const std::string& kind, const std::string& name) -> void
    {
        {
            const std::lock_guard lock(mutex_);
            const auto found = kinds_[kind].find(name);
            if (found == kinds_[kind].end())
                return;
            auto object = found->second;
            kinds_[kind].erase(found);
            object["metadata"]["rev"] = ++revision_;
            history_.push_back({ revision_, kind, { { "deleted", true }, { "object", object } } });
        }
        changed_.notify_all();
    }
    auto names(const std::string& kind) -> std::vector<std::string>
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::string> names;
        for (const auto& [name, object] : kinds_[kind])
            names.push_back(name);
        return names;
    }

private:
    struct Change {
        long revision_;
        std::string kind_;
        Json event_;
    };

    auto putLocked(const std::string& kind, const std::string& name, const Json& spec) -> const Json&
    {
        auto& object = kinds_[kind][name];
        const auto created = object.is_null() ? revision_ + 1 : object["metadata"]["create_rev"].get<long>();
        ++revision_;
        object = { { "metadata", { { "name", name }, { "rev", revision_ }, { "create_rev", created }, { "finalizers", Json::array() }, { "deleting", false } } }, { "spec", spec }, { "status", nullptr } };
        history_.push_back({ revision_, kind, { { "deleted", false }, { "object", object } } });
        return object;
    }
    static auto numberIn(const std::string& query, const std::string& name) -> long
    {
        const auto at = ("&" + query).find("&" + name + "=");
        return at == std::string::npos ? -1 : std::atol(query.c_str() + at + name.size() + 1);
    }
    static auto textIn(const std::string& query, const std::string& name) -> std::string
    {
        const auto at = ("&" + query).find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        const auto from = at + name.size() + 1;
        return query.substr(from, query.find('&', from) - from);
    }
    auto answerWatch(const std::string& kind, long from, Millis wait) -> std::pair<int, Json>
    {
        std::unique_lock lock(mutex_);
        Json events = Json::array();
        changed_.wait_for(lock, wait, [&] {
            for (const auto& change : history_) {
                if (change.revision_ > from && change.kind_ == kind)
                    events.push_back(change.event_);
            }
            return isEnding_ || !events.empty();
        });
        return { 200, { { "events", events }, { "current_rev", revision_ } } };
    }
    auto answer(const Message& request) -> std::pair<int, Json>
    {
        const std::string prefix = "/-/objects/";
        const auto target = request.target();
        if (target.rfind(prefix, 0) != 0)
            return { 404, Json::object() };
        const auto question = target.find('?');
        const auto kind = target.substr(prefix.size(), question == std::string::npos ? question : question - prefix.size());
        const auto query = question == std::string::npos ? std::string() : target.substr(question + 1);
        if (request.method() == "GET" && numberIn(query, "watch") >= 0)
            return answerWatch(kind, numberIn(query, "watch"), Millis(std::clamp(numberIn(query, "wait_ms"), 0L, 30'000L)));
        const std::lock_guard lock(mutex_);
        if (request.method() == "GET") {
            Json items = Json::array();
            for (const auto& [name, object] : kinds_[kind]) {
                if (name > textIn(query, "after"))
                    items.push_back(object);
            }
            return { 200, { { "items", items }, { "more", false }, { "current_rev", revision_ } } };
        }
        const auto body = Json::parse(request.body_);
        const auto name = body.at("metadata").at("name").get<std::string>();
        if (request.method() != "POST")
            return { 404, Json::object() };
        if (kinds_[kind].contains(name))
            return { 409, kinds_[kind][name] };
        const auto created = putLocked(kind, name, body.at("spec"));
        changed_.notify_all();
        return { 201, created };
    }
    auto serve(int handle) -> void
    {
        std::string buffer;
        while (const auto request = readMessage(handle, buffer, 120s)) {
            pause(4ms);
            const auto [status, json] = answer(*request);
            const auto body = json.dump();
            if (!sendAll(handle, "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool isEnding_ = false;
    long revision_ = 500;
    std::map<std::string, std::map<std::string, Json>> kinds_;
    std::vector<Change> history_;
    Listener listener_;
};

struct GatewayPlace {
    std::string name_;
    std::string region_;
    std::string zone_;
    std::string ip_;
};

struct Ports {
    int front_ = 0;
    int ready_ = 0;
    int control_ = 0;
    int directory_ = 0;
    int peer_ = 0;
};

// The settings of a small deployment, and the template of the deploy file filled in from them.
class Settings {
public:
    Settings(std::string storeAddress, Ports ports, std::map<std::string, std::string> zones, std::vector<std::string> seedHosts)
        : store_(std::move(storeAddress))
        , ports_(ports)
        , zones_(std::move(zones))
        , seedHosts_(std::move(seedHosts))
    {
    }
    auto ports() const -> const Ports& { return ports_; }
    auto render(const GatewayPlace& place) const -> std::string
    {
        std::map<std::string, std::string> values { { "node_name", place.name_ }, { "region", place.region_ }, { "zone", place.zone_ }, { "ip", place.ip_ },
            { "listen.front", at(place, ports_.front_) }, { "listen.directory", at(place, ports_.directory_) }, { "listen.ready", at(place, ports_.ready_) }, { "listen.control", at(place, ports_.control_) },
            { "internal_ports.0", std::to_string(ports_.peer_) }, { "platform.address", store_ },
            { "contracts", "base,drain,config,cost,retry,recover,places,tenants,quota,platform" },
            { "bounds.grace_s", "6" }, { "bounds.ttl_max_s", "5" }, { "bounds.drain_s", "2" }, { "bounds.quota_window_s", "5" }, { "bounds.quota_over", "0.1" }, { "bounds.quota_slack", "20" },
            { "bounds.retry_ratio", "0.2" }, { "bounds.retry_slack", "64" }, { "bounds.retry_window_s", "10" }, { "limits.memory_mb", "260" } };
        std::string seeds;
        for (const auto& host : seedHosts_)
            seeds += (seeds.empty() ? "" : ",") + host + ":" + std::to_string(ports_.control_);
        values["seeds"] = seeds;
        auto text = readTemplate();
        const std::string open = "{{#zones}}";
        const std::string close = "{{/zones}}";
        if (const auto begin = text.find(open); begin != std::string::npos) {
            const auto end = text.find(close, begin);
            const auto inner = text.substr(begin + open.size(), end - begin - open.size());
            std::string lines;
            for (const auto& [zone, region] : zones_)
                lines += replaced(replaced(inner, "{{@}}", zone), "{{.}}", region);
            text = text.substr(0, begin) + lines + text.substr(end + close.size());
        }
        for (const auto& [name, value] : values)
            text = replaced(text, "{{" + name + "}}", value);
        if (text.find("{{") != std::string::npos)
            cannotRun("the settings template has a placeholder that the stand-in does not fill in: " + text.substr(text.find("{{"), 40));
        return text;
    }

private:
    static auto at(const GatewayPlace& place, int port) -> std::string { return place.ip_ + ":" + std::to_string(port); }
    static auto replaced(std::string text, const std::string& what, const std::string& by) -> std::string
    {
        for (auto found = text.find(what); found != std::string::npos; found = text.find(what, found + by.size()))
            text.replace(found, what.size(), by);
        return text;
    }
    // As `template` in the deploy file names it; the case runs in the repository's root.
    static auto readTemplate() -> std::string
    {
        std::ifstream file("platform/settings.ini");
        std::stringstream text;
        text << file.rdbuf();
        if (text.str().empty())
            cannotRun("platform/settings.ini is missing");
        return text.str();
    }

    std::string store_;
    Ports ports_;
    std::map<std::string, std::string> zones_;
    std::vector<std::string> seedHosts_;
};

// A gateway process, started with the command of the deploy file. Only the main thread may start one: it ends with that thread.
class Gateway {
public:
    Gateway(const Settings& settings, GatewayPlace place, const std::string& folder)
        : settings_(settings)
        , place_(std::move(place))
        , file_(folder + "/" + place_.name_ + ".ini")
        , log_(folder + "/" + place_.name_ + ".log")
    {
    }
    ~Gateway() { killNow(); }
    Gateway(const Gateway&) = delete;
    auto operator=(const Gateway&) -> Gateway& = delete;

    auto place() const -> const GatewayPlace& { return place_; }
    auto front() const -> Address { return { place_.ip_, settings_.ports().front_ }; }
    auto directory() const -> Address { return { place_.ip_, settings_.ports().directory_ }; }
    auto isRunning() const -> bool { return pid_ > 0; }
    auto pid() const -> int { return pid_; }
    auto start() -> void
    {
        std::ofstream(file_) << settings_.render(place_);
        const std::string variable = "SAPPHIREPASS_SETTINGS=" + file_;
        const char* path = std::getenv("PATH");
        const std::string pathVariable = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
        const std::array<char*, 4> environment { const_cast<char*>(variable.c_str()), const_cast<char*>(pathVariable.c_str()), const_cast<char*>("LANG=C.UTF-8"), nullptr };
        const std::array<char*, 3> arguments { const_cast<char*>("target/sapphirepass"), const_cast<char*>("gateway"), nullptr };
        const int output = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::execve(arguments[0], arguments.data(), environment.data());
            ::_exit(127);
        }
        ::close(output);
        if (pid_ < 0)
            cannotRun("cannot start a gateway");
        startedAt_ = now();
    }
    auto signal(int number) -> void
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    auto killNow() -> void
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    // As the platform stops a process: SIGTERM, and SIGKILL after the grace time.
    auto stopPlanned(Millis grace = 6s) -> void
    {
        signal(SIGTERM);
        waitForEnd(grace);
    }
    auto waitForEnd(Millis longest) -> void
    {
        const auto until = now() + longest;
        while (pid_ > 0 && now() < until) {
            if (::waitpid(pid_, nullptr, WNOHANG) == pid_)
                pid_ = -1;
            else
                pause(10ms);
        }
        killNow();
    }
    // The status if the process has ended by itself.
    auto endedByItself() -> std::optional<int>
    {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
            return std::nullopt;
        pid_ = -1;
        return status;
    }
    auto isReady() const -> bool
    {
        const int handle = connectTo({ place_.ip_, settings_.ports().ready_ }, 300ms);
        if (handle < 0)
            return false;
        std::string buffer;
        const bool isAsked = sendAll(handle, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto response = isAsked ? readMessage(handle, buffer, 500ms) : std::nullopt;
        ::close(handle);
        return response && response->status() == 200;
    }
    auto waitReady(Millis longest) -> void
    {
        const auto until = now() + longest;
        while (!isReady()) {
            if (now() > until)
                cannotRun(place_.name_ + " is not ready in time");
            pause(50ms);
        }
    }

private:
    const Settings& settings_;
    GatewayPlace place_;
    std::string file_;
    std::string log_;
    int pid_ = -1;
    Time startedAt_ {};
};

// A server of a service: runs `slots` requests at once, queues a few more, rejects the rest, and says how loaded it is.
class Server {
public:
    struct Plan {
        std::string id_;
        std::string service_;
        std::string zone_;
        int slots_ = 4;
        int queue_ = 12;
        Millis work_ { 100 };
    };
    // Called when a run begins, without a lock. True: the run crashes the server.
    using OnRun = std::function<bool(const Server& server, const Message& request)>;

    Server(Store& store, const std::string& ip, Plan plan, OnRun onRun)
        : store_(store)
        , plan_(std::move(plan))
        , onRun_(std::move(onRun))
        , address_ { ip, 0 }
    {
    }
    ~Server() { end(); }
    Server(const Server&) = delete;
    auto operator=(const Server&) -> Server& = delete;

    auto plan() const -> const Plan& { return plan_; }
    auto crashes() const -> int { return crashes_.load(); }
    // A new lifetime, under this id.
    auto start(const std::string& id, double coldLeft = 0) -> void
    {
        plan_.id_ = id;
        running_ = 0;
        waiting_ = 0;
        isCrashing_ = false;
        listener_ = std::make_unique<Listener>(address_, [this](int handle) { serve(handle); });
        address_ = listener_->address();
        const auto born = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
        store_.put("servers", plan_.id_, { { "address", address_.text() }, { "born", born }, { "info", { { "service", plan_.service_ }, { "version", "v1" }, { "zone", plan_.zone_ }, { "slots", plan_.slots_ } } }, { "status", { { "state", "ready" }, { "seq", 1 }, { "cold_left_s", coldLeft } } } });
    }
    auto isCrashed() const -> bool { return isCrashing_.load(); }
    // After a crash: all connections are reset, nobody listens.
    auto end() -> void
    {
        isCrashing_ = true;
        freed_.notify_all();
        if (listener_)
            listener_->cut();
        listener_.reset();
    }

private:
    auto reply(int handle, int status, const std::string& headers, const std::string& body) -> bool
    {
        return sendAll(handle, "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers + "Keep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    auto load() const -> std::string { return "Server-Load: " + std::to_string(running_) + "," + std::to_string(waiting_) + "," + std::to_string(plan_.slots_) + "\r\n"; }
    auto takeSlot() -> bool
    {
        std::unique_lock lock(mutex_);
        if (running_ >= plan_.slots_) {
            if (waiting_ >= plan_.queue_)
                return false;
            ++waiting_;
            freed_.wait(lock, [this] { return running_ < plan_.slots_ || isCrashing_.load(); });
            --waiting_;
        }
        ++running_;
        return true;
    }
    auto serve(int handle) -> void
    {
        std::string buffer;
        while (const auto request = readMessage(handle, buffer, 10s)) {
            if (isCrashing_.load() || !serveOne(handle, *request))
                return;
        }
    }
    auto serveOne(int handle, const Message& request) -> bool
    {
        if (request.target() == "/health")
            return reply(handle, 200, "Instance-Id: " + plan_.id_ + "\r\n" + load(), "");
        const auto attempt = "Attempt-Id: " + request.header("Attempt-Id") + "\r\n";
        if (const auto expected = request.header("Expected-Instance"); !expected.empty() && expected != plan_.id_)
            return reply(handle, 421, attempt + "Instance-Id: " + plan_.id_ + "\r\n", "");
        if (!takeSlot())
            return reply(handle, 503, attempt + "Not-Executed: 1\r\n" + load(), "");
        if (isCrashing_.load())
            return false;
        if (onRun_(*this, request)) {
            ++crashes_;
            isCrashing_ = true;
            freed_.notify_all();
            return false;
        }
        const auto until = now() + plan_.work_;
        while (now() < until && !isCrashing_.load())
            pause(2ms);
        if (isCrashing_.load())
            return false;
        std::string loaded;
        {
            const std::lock_guard lock(mutex_);
            --running_;
            loaded = load();
        }
        freed_.notify_one();
        return reply(handle, 200, attempt + "Response-Signature: 1\r\n" + loaded, "done by " + plan_.id_);
    }

    Store& store_;
    Plan plan_;
    OnRun onRun_;
    Address address_;
    std::mutex mutex_;
    std::condition_variable freed_;
    int running_ = 0;
    int waiting_ = 0;
    std::atomic<bool> isCrashing_ { false };
    std::atomic<int> crashes_ { 0 };
    std::unique_ptr<Listener> listener_;
};

// Where the directory of a gateway sends the callers of a region.
inline auto lookUp(const Address& directory, const std::string& region, const std::string& zone) -> std::vector<Address>
{
    std::vector<Address> addresses;
    const int handle = connectTo(directory, 1s);
    if (handle < 0)
        return addresses;
    std::string buffer;
    const bool isAsked = sendAll(handle, "GET /-/resolve?name=a.example&region=" + region + "&zone=" + zone + " HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto response = isAsked ? readMessage(handle, buffer, 1s) : std::nullopt;
    ::close(handle);
    if (!response || response->status() != 200)
        return addresses;
    const auto body = Json::parse(response->body_);
    for (const auto& text : body.at("addresses"))
        addresses.push_back(parseAddress(text.get<std::string>()));
    return addresses;
}

// One request on a channel of its own. The status; 0 if the channel ended or stayed silent; -1 if there was no channel.
inline auto request(const Address& front, const std::string& method, const std::string& target, const std::string& attempt, const std::string& key, const std::string& object, Millis deadline, const std::string& body = {}) -> int
{
    const int handle = connectTo(front, 1s);
    if (handle < 0)
        return -1;
    std::string buffer;
    const auto length = method == "GET" ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const bool isSent = sendAll(handle, method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + attempt + "\r\nCookie: Affinity-Key=" + object + "\r\nDeadline-Ms: " + std::to_string(deadline.count()) + "\r\nAuthorization: Token " + key + "\r\n" + length + "\r\n" + body);
    const auto response = isSent ? readMessage(handle, buffer, deadline) : std::nullopt;
    ::close(handle);
    return response ? response->status() : 0;
}

inline auto isTrouble() -> bool
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace rig
