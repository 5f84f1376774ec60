// Stand-ins for the cases of this review: the platform's store, servers and clients, and gateways as processes.
// Plain sockets and threads; everything listens on loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using std::chrono::milliseconds;

inline const Time startOfCase = Clock::now();
inline double seconds(Time at = Clock::now()) { return std::chrono::duration<double>(at - startOfCase).count(); }
inline void pause(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// ---------------------------------------------------------------- record

// What was sent, answered and run, one line each with the seconds since the start.
class Record {
public:
    void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        va_list arguments;
        va_start(arguments, format);
        char text[1024];
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(mutex_);
        std::fprintf(file_ ? file_ : stdout, "%8.3f %s\n", seconds(), text);
        std::fflush(file_ ? file_ : stdout);
    }

private:
    std::mutex mutex_;
    FILE* file_ = nullptr;
};
inline Record record;

// ---------------------------------------------------------------- sockets

struct Address {
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
    return out;
}

inline int listenAt(Address& address)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto at = socketAddress(address);
    if (::bind(handle, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(handle, 512) != 0) {
        ::close(handle);
        return -1;
    }
    socklen_t size = sizeof at;
    ::getsockname(handle, reinterpret_cast<sockaddr*>(&at), &size);
    address.port = ntohs(at.sin_port);
    return handle;
}

// -1 if the connection was refused or took longer than the limit.
inline int connectTo(const Address& address, int limitMs = 1000, const std::string& from = {})
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (!from.empty()) {
        auto source = socketAddress({ from, 0 });
        ::bind(handle, reinterpret_cast<sockaddr*>(&source), sizeof source);
    }
    auto at = socketAddress(address);
    if (::connect(handle, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        pollfd entry { handle, POLLOUT, 0 };
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof error;
        if (error != 0 || ::poll(&entry, 1, limitMs) != 1 || ::getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            ::close(handle);
            return -1;
        }
    }
    ::fcntl(handle, F_SETFL, ::fcntl(handle, F_GETFL) & ~O_NONBLOCK);
    const int yes = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return handle;
}

inline bool sendAll(int handle, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline void resetConnection(int handle)
{
    const linger now { 1, 0 };
    ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::close(handle);
}

// A message of HTTP/1.1 with a length, or none.
struct Message {
    std::string line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string header(const char* name) const
    {
        for (const auto& [key, value] : headers) {
            if (::strcasecmp(key.c_str(), name) == 0)
                return value;
        }
        return {};
    }
    int status() const { return line.size() > 11 ? std::atoi(line.c_str() + 9) : 0; }
    std::string method() const { return line.substr(0, line.find(' ')); }
    std::string target() const
    {
        const auto from = line.find(' ') + 1;
        return line.substr(from, line.rfind(' ') - from);
    }
};

enum class ReadEnd { Whole, Closed, Reset, Timeout, Broken };

// Reads one message; what follows it stays in the buffer.
inline ReadEnd readMessage(int handle, std::string& buffer, Message& message, int limitMs)
{
    const auto until = Clock::now() + milliseconds(limitMs);
    std::size_t head = std::string::npos;
    std::size_t need = 0;
    for (;;) {
        if (head == std::string::npos && (head = buffer.find("\r\n\r\n")) != std::string::npos) {
            message = {};
            std::size_t at = buffer.find("\r\n");
            message.line = buffer.substr(0, at);
            while (at < head) {
                const auto end = buffer.find("\r\n", at + 2);
                const auto field = buffer.substr(at + 2, end - at - 2);
                const auto colon = field.find(':');
                auto value = colon == std::string::npos ? std::string() : field.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
                message.headers.emplace_back(field.substr(0, colon), value);
                at = end;
            }
            need = head + 4 + std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        }
        if (head != std::string::npos && buffer.size() >= need) {
            message.body = buffer.substr(head + 4, need - head - 4);
            buffer.erase(0, need);
            return ReadEnd::Whole;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd entry { handle, POLLIN, 0 };
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) != 1)
            return ReadEnd::Timeout;
        char bytes[16384];
        const auto count = ::recv(handle, bytes, sizeof bytes, 0);
        if (count < 0)
            return ReadEnd::Reset;
        if (count == 0)
            return buffer.empty() ? ReadEnd::Closed : ReadEnd::Broken;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

inline const char* name(ReadEnd end)
{
    switch (end) {
    case ReadEnd::Whole:
        return "whole";
    case ReadEnd::Closed:
        return "closed without an answer";
    case ReadEnd::Reset:
        return "reset";
    case ReadEnd::Timeout:
        return "no answer in time";
    case ReadEnd::Broken:
        return "broken off";
    }
    return "";
}

// A listener that gives each connection a thread.
class Listener {
public:
    using Serve = std::function<void(int handle)>;
    ~Listener() { stop(); }
    bool start(Address address, Serve serve)
    {
        address_ = address;
        handle_ = listenAt(address_);
        if (handle_ < 0)
            return false;
        running_ = true;
        thread_ = std::thread([this, serve = std::move(serve)] {
            while (running_) {
                pollfd entry { handle_, POLLIN, 0 };
                if (::poll(&entry, 1, 50) != 1)
                    continue;
                const int handle = ::accept4(handle_, nullptr, nullptr, SOCK_CLOEXEC);
                if (handle < 0)
                    continue;
                const int yes = 1;
                ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
                ++active_;
                std::thread([this, handle, serve] {
                    serve(handle);
                    --active_;
                }).detach();
            }
        });
        return true;
    }
    // Refuses new connections; those that are open learn it from isRunning().
    void stop()
    {
        if (!running_.exchange(false))
            return;
        thread_.join();
        ::close(handle_);
        for (int i = 0; i < 100 && active_ > 0; ++i)
            pause(20);
    }
    bool isRunning() const { return running_; }
    const Address& address() const { return address_; }

private:
    Address address_;
    int handle_ = -1;
    std::atomic<bool> running_ { false };
    std::atomic<int> active_ { 0 };
    std::thread thread_;
};

// ---------------------------------------------------------------- the platform's store

// Lists, watches, creates and serializable reads of objects, with one revision counter. Values are kept as the bytes that were
// written.
class Store {
public:
    explicit Store(const std::string& host)
    {
        listener_.start({ host, 0 }, [this](int handle) { serve(handle); });
    }
    const Address& address() const { return listener_.address(); }
    // The moment at which the store has accepted it: its ack.
    Time put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        auto& object = objects_[kind][name];
        object = { ++revision_, object.created ? object.created : revision_, spec };
        events_.push_back({ revision_, kind, "{\"deleted\":false,\"object\":" + render(name, object) + "}" });
        changed_.notify_all();
        return Clock::now();
    }
    Time remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = objects_[kind].find(name);
        if (found == objects_[kind].end())
            return Clock::now();
        found->second.revision = ++revision_;
        events_.push_back({ revision_, kind, "{\"deleted\":true,\"object\":" + render(name, found->second) + "}" });
        objects_[kind].erase(found);
        changed_.notify_all();
        return Clock::now();
    }
    std::size_t count(const std::string& kind)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return objects_[kind].size();
    }
    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopped_ = true;
            changed_.notify_all();
        }
        listener_.stop();
    }

private:
    struct Object {
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::string spec;
    };
    struct Event {
        std::int64_t revision;
        std::string kind;
        std::string text;
    };

    static std::string render(const std::string& name, const Object& object)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"rev\":" + std::to_string(object.revision) + ",\"create_rev\":" + std::to_string(object.created) + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":null}";
    }
    static std::string queryValue(const std::string& target, const std::string& key)
    {
        const auto question = target.find('?');
        if (question == std::string::npos)
            return {};
        std::istringstream query(target.substr(question + 1));
        std::string pair;
        while (std::getline(query, pair, '&')) {
            if (pair.compare(0, key.size() + 1, key + "=") == 0)
                return pair.substr(key.size() + 1);
        }
        return {};
    }
    static void reply(int handle, int status, const std::string& body)
    {
        sendAll(handle, "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    void serve(int handle)
    {
        std::string buffer;
        Message request;
        while (listener_.isRunning()) {
            const auto end = readMessage(handle, buffer, request, 200);
            if (end == ReadEnd::Timeout)
                continue;
            if (end != ReadEnd::Whole)
                break;
            answer(handle, request);
        }
        ::close(handle);
    }
    void answer(int handle, const Message& request)
    {
        const auto target = request.target();
        const std::string prefix = "/-/objects/";
        const auto path = target.substr(0, target.find('?'));
        if (path.compare(0, prefix.size(), prefix) != 0)
            return reply(handle, 404, "{}");
        const auto kind = path.substr(prefix.size(), path.find('/', prefix.size()) - prefix.size());
        if (request.method() == "POST")
            return create(handle, kind, request.body);
        const auto watch = queryValue(target, "watch");
        if (!watch.empty())
            return this->watch(handle, kind, std::stoll(watch), std::atoi(queryValue(target, "wait_ms").c_str()));
        std::string items;
        std::string more = "false";
        std::size_t listed = 0;
        std::int64_t revision = 0;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            const auto& objects = objects_[kind];
            for (auto at = objects.upper_bound(queryValue(target, "after")); at != objects.end(); ++at) {
                if (listed == 500 || (listed > 0 && items.size() > 1'000'000)) {
                    more = "true";
                    break;
                }
                items += (items.empty() ? "" : ",") + render(at->first, at->second);
                ++listed;
            }
            revision = revision_;
        }
        reply(handle, 200, "{\"items\":[" + items + "],\"more\":" + more + ",\"current_rev\":" + std::to_string(revision) + "}");
    }
    // The system creates objects of its own kind only: {"metadata":{"name":...},"spec":{...}}.
    void create(int handle, const std::string& kind, const std::string& body)
    {
        const auto key = body.find("\"name\":\"");
        const auto spec = body.find("\"spec\":");
        if (key == std::string::npos || spec == std::string::npos)
            return reply(handle, 400, "{}");
        const auto name = body.substr(key + 8, body.find('"', key + 8) - key - 8);
        const auto value = body.substr(spec + 7, body.rfind('}') - spec - 7);
        std::string text;
        bool isNew = false;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            auto& object = objects_[kind][name];
            isNew = object.revision == 0;
            if (isNew) {
                object = { ++revision_, revision_, value };
                events_.push_back({ revision_, kind, "{\"deleted\":false,\"object\":" + render(name, object) + "}" });
                changed_.notify_all();
            }
            text = render(name, object);
        }
        reply(handle, isNew ? 201 : 409, text);
    }
    void watch(int handle, const std::string& kind, std::int64_t from, int waitMs)
    {
        const auto until = Clock::now() + milliseconds(waitMs);
        std::string found;
        std::int64_t revision = 0;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            for (;;) {
                for (const auto& event : events_) {
                    if (event.revision > from && event.kind == kind)
                        found += (found.empty() ? "" : ",") + event.text;
                }
                revision = revision_;
                if (!found.empty() || stopped_ || Clock::now() >= until)
                    break;
                // Looks at the connection now and then: a watcher that has left needs no answer.
                changed_.wait_until(lock, std::min(until, Clock::now() + milliseconds(200)));
                char byte = 0;
                if (::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
                    return;
            }
        }
        reply(handle, 200, "{\"events\":[" + found + "],\"current_rev\":" + std::to_string(revision) + "}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Event> events_;
    std::int64_t revision_ = 100;
    bool stopped_ = false;
    Listener listener_;
};

// ---------------------------------------------------------------- servers

struct Arrival {
    std::string attempt;
    std::string method;
    std::string target;
    std::string tenant;
    std::string body;
    Time at;
    bool ran = false;
    bool finished = false;
};

// A sound server: runs a request for a time, answers whole, drops it when its channel closes, refuses what names another
// instance.
class Server {
public:
    using Work = std::function<int(const Message&)>;

    // The state is what the store shows in "status".
    Server(Store& store, const std::string& host, std::string id, std::string service, std::string zone, int slots, Work workMs)
        : store_(store)
        , id_(std::move(id))
        , service_(std::move(service))
        , zone_(std::move(zone))
        , slots_(slots)
        , workMs_(std::move(workMs))
    {
        listener_.start({ host, 0 }, [this](int handle) { serve(handle); });
    }
    const std::string& id() const { return id_; }
    const Address& address() const { return listener_.address(); }
    Time enter(const std::string& state = "ready")
    {
        record.line("server %s of %s at %s: entry, state %s", id_.c_str(), service_.c_str(), address().text().c_str(), state.c_str());
        return store_.put("servers", id_, entry(state));
    }
    Time leave() { return store_.remove("servers", id_); }
    std::string entry(const std::string& state)
    {
        return "{\"address\":\"" + address().text() + "\",\"born\":" + std::to_string(born_) + ",\"info\":{\"service\":\"" + service_ + "\",\"version\":\"v1\",\"zone\":\"" + zone_ + "\",\"slots\":" + std::to_string(slots_) + "},\"status\":{\"state\":\"" + state + "\",\"seq\":" + std::to_string(++seq_) + ",\"cold_left_s\":0}}";
    }
    void stop() { listener_.stop(); }
    std::vector<Arrival> arrivals()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return arrivals_;
    }

private:
    static bool isGone(int handle)
    {
        pollfd entry { handle, POLLIN, 0 };
        char byte = 0;
        return ::poll(&entry, 1, 0) == 1 && ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }
    void serve(int handle)
    {
        std::string buffer;
        Message request;
        auto idleSince = Clock::now();
        while (listener_.isRunning()) {
            const auto end = readMessage(handle, buffer, request, 200);
            if (end == ReadEnd::Timeout && buffer.empty() && Clock::now() - idleSince < milliseconds(10'000))
                continue;
            if (end == ReadEnd::Timeout && !buffer.empty() && Clock::now() - idleSince < milliseconds(20'000))
                continue;
            if (end != ReadEnd::Whole || !run(handle, request))
                break;
            idleSince = Clock::now();
        }
        ::close(handle);
    }
    std::string load() { return std::to_string(running_.load()) + ",0," + std::to_string(slots_); }
    bool run(int handle, const Message& request)
    {
        const auto attempt = request.header("Attempt-Id");
        const std::string echo = "Attempt-Id: " + attempt + "\r\nServer-Load: " + load() + "\r\nKeep-Alive: timeout=10\r\n";
        const auto expected = request.header("Expected-Instance");
        if (request.target() == "/health")
            return sendAll(handle, "HTTP/1.1 200 OK\r\nInstance-Id: " + id_ + "\r\nServer-Load: " + load() + "\r\nContent-Length: 0\r\n\r\n");
        std::size_t index = 0;
        const bool isOther = !expected.empty() && expected != id_;
        const bool isFull = !isOther && running_ >= slots_;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            index = arrivals_.size();
            arrivals_.push_back({ attempt, request.method(), request.target(), request.header("Tenant"), request.body, Clock::now(), !isOther && !isFull, false });
        }
        if (isOther) {
            record.line("server %s: %s expects %s, answers 421", id_.c_str(), attempt.c_str(), expected.c_str());
            return sendAll(handle, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id_ + "\r\n" + echo + "Content-Length: 0\r\n\r\n");
        }
        if (isFull)
            return sendAll(handle, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + echo + "Content-Length: 0\r\n\r\n");
        record.line("server %s runs %s: %s %s", id_.c_str(), attempt.c_str(), request.method().c_str(), request.target().c_str());
        ++running_;
        const auto until = Clock::now() + milliseconds(workMs_(request));
        bool gone = false;
        while (!gone && Clock::now() < until) {
            pause(static_cast<int>(std::min<std::int64_t>(20, std::chrono::duration_cast<milliseconds>(until - Clock::now()).count() + 1)));
            gone = isGone(handle);
        }
        --running_;
        if (gone) {
            record.line("server %s: the channel of %s has closed while it ran", id_.c_str(), attempt.c_str());
            return false;
        }
        const std::string body = "done " + attempt + " by " + id_;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            arrivals_[index].finished = true;
        }
        return sendAll(handle, "HTTP/1.1 200 OK\r\nResponse-Signature: s." + attempt + "." + id_ + "\r\n" + echo + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    Store& store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    Work workMs_;
    std::int64_t born_ = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::int64_t seq_ = 0;
    std::atomic<int> running_ { 0 };
    std::mutex mutex_;
    std::vector<Arrival> arrivals_;
    Listener listener_;
};

// ---------------------------------------------------------------- gateways

// The machines of a small deployment: one zone each, the settings that its site has, rendered into the project's own template.
struct Deployment {
    std::string repository;
    std::string folder;
    std::string base; // 127.A.B: hosts are base.1, base.2 ...
    Address store;
    std::vector<std::string> zones { "luzon-a", "visayas-a", "mindanao-a" };
    std::vector<std::string> regions { "luzon", "visayas", "mindanao" };
    int front = 0, ready = 0, control = 0, directory = 0, inner = 0;
    int memoryMb = 260;
};

inline std::string replaced(std::string text, const std::string& what, const std::string& with)
{
    for (std::size_t at = 0; (at = text.find(what, at)) != std::string::npos; at += with.size())
        text.replace(at, what.size(), with);
    return text;
}

class Gateway {
public:
    Gateway(const Deployment& deployment, int number, std::size_t zone)
        : deployment_(deployment)
        , name_("front-" + deployment.zones[zone] + "-" + std::to_string(number))
        , host_(deployment.base + "." + std::to_string(number))
        , region_(deployment.regions[zone])
        , zone_(deployment.zones[zone])
    {
    }
    ~Gateway() { end(SIGKILL); }
    const std::string& name() const { return name_; }
    const std::string& host() const { return host_; }
    Address front() const { return { host_, deployment_.front }; }
    Address ready() const { return { host_, deployment_.ready }; }
    Address directory() const { return { host_, deployment_.directory }; }
    Address control() const { return { host_, deployment_.control }; }
    void start(const std::string& seeds)
    {
        const auto settings = deployment_.folder + "/" + name_ + ".ini";
        std::ofstream(settings) << render(seeds);
        const auto log = deployment_.folder + "/" + name_ + ".log";
        pid_ = ::fork();
        if (pid_ == 0) {
            // Ends with the case, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (::chdir(deployment_.repository.c_str()) != 0)
                ::_exit(126);
            ::setenv("SAPPHIREPASS_SETTINGS", settings.c_str(), 1);
            ::execl("target/sapphirepass", "target/sapphirepass", "gateway", static_cast<char*>(nullptr));
            ::_exit(127);
        }
        record.line("gateway %s starts, process %d", name_.c_str(), static_cast<int>(pid_));
    }
    void signal(int number)
    {
        if (pid_ > 0) {
            record.line("gateway %s gets signal %d", name_.c_str(), number);
            ::kill(pid_, number);
        }
    }
    // How the process has ended, if it has.
    std::optional<int> ended()
    {
        int status = 0;
        if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
            return std::nullopt;
        pid_ = 0;
        record.line("gateway %s has ended: %s %d", name_.c_str(), WIFSIGNALED(status) ? "signal" : "exit", WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        return status;
    }
    void end(int number)
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, number);
        int status = 0;
        ::waitpid(pid_, &status, 0);
        pid_ = 0;
    }
    bool isRunning() const { return pid_ > 0; }
    // 0 if it did not answer.
    int readiness() const
    {
        const int handle = connectTo(ready(), 500);
        if (handle < 0)
            return 0;
        sendAll(handle, "GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        std::string buffer;
        Message answer;
        const auto end = readMessage(handle, buffer, answer, 500);
        ::close(handle);
        return end == ReadEnd::Whole ? answer.status() : 0;
    }

private:
    std::string render(const std::string& seeds) const
    {
        std::ifstream file(deployment_.repository + "/platform/settings.ini");
        std::stringstream content;
        content << file.rdbuf();
        auto text = content.str();
        const auto from = text.find("{{#zones}}");
        const auto to = text.find("{{/zones}}");
        const auto inner = text.substr(from + 10, to - from - 10);
        std::string zones;
        for (std::size_t i = 0; i < deployment_.zones.size(); ++i)
            zones += replaced(replaced(inner, "{{@}}", deployment_.zones[i]), "{{.}}", deployment_.regions[i]);
        text.replace(from, to + 10 - from, zones);
        const std::map<std::string, std::string> values {
            { "node_name", name_ }, { "region", region_ }, { "zone", zone_ }, { "ip", host_ }, { "seeds", seeds },
            { "internal_ports.0", std::to_string(deployment_.inner) }, { "listen.front", front().text() }, { "listen.ready", ready().text() },
            { "listen.control", control().text() }, { "listen.directory", directory().text() }, { "platform.address", deployment_.store.text() },
            { "contracts", "base,drain,config,cost,retry,recover,places,tenants,quota,platform" }, { "bounds.grace_s", "6" }, { "bounds.ttl_max_s", "5" },
            { "bounds.drain_s", "2" }, { "bounds.quota_window_s", "5" }, { "bounds.quota_over", "0.1" }, { "bounds.quota_slack", "20" },
            { "bounds.retry_ratio", "0.2" }, { "bounds.retry_slack", "64" }, { "bounds.retry_window_s", "10" }, { "limits.memory_mb", std::to_string(deployment_.memoryMb) },
        };
        for (const auto& [key, value] : values)
            text = replaced(text, "{{" + key + "}}", value);
        if (text.find("{{") != std::string::npos)
            throw std::runtime_error("a field of the settings template is not known: " + text.substr(text.find("{{"), 40));
        return text;
    }

    const Deployment& deployment_;
    std::string name_;
    std::string host_;
    std::string region_;
    std::string zone_;
    pid_t pid_ = 0;
};

// ---------------------------------------------------------------- the case

// A case couldn't be run.
[[noreturn]] inline void giveUp(const std::string& why)
{
    record.line("the case can't run: %s", why.c_str());
    std::fprintf(stderr, "the case can't run: %s\n", why.c_str());
    throw std::runtime_error(why);
}

// Store and gateways, with free addresses and a temporary folder.
class World {
public:
    World(int gateways, const std::string& repository)
    {
        std::signal(SIGPIPE, SIG_IGN);
        std::random_device random;
        auto folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(folder.data()) == nullptr)
            giveUp("no temporary folder");
        deployment_.repository = repository;
        deployment_.folder = folder;
        deployment_.base = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250);
        store_ = std::make_unique<Store>(deployment_.base + ".200");
        deployment_.store = store_->address();
        for (int* port : { &deployment_.front, &deployment_.ready, &deployment_.control, &deployment_.directory, &deployment_.inner }) {
            Address free { deployment_.base + ".1", 0 };
            const int handle = listenAt(free);
            if (handle < 0)
                giveUp("no free port");
            *port = free.port;
            ::close(handle);
        }
        for (int i = 0; i < gateways; ++i)
            gateways_.push_back(std::make_unique<Gateway>(deployment_, i + 1, static_cast<std::size_t>(i) % deployment_.zones.size()));
    }
    ~World()
    {
        gateways_.clear();
        store_->stop();
        if (std::getenv("REVIEW_KEEP") == nullptr)
            std::filesystem::remove_all(deployment_.folder);
        else
            std::fprintf(stderr, "kept: %s\n", deployment_.folder.c_str());
    }
    Store& store() { return *store_; }
    Deployment& deployment() { return deployment_; }
    std::vector<std::unique_ptr<Gateway>>& gateways() { return gateways_; }
    std::string serverHost() { return deployment_.base + "." + std::to_string(100 + nextServer_++); }
    std::string seeds() const
    {
        std::string seeds;
        for (std::size_t i = 0; i < gateways_.size() && i < 3; ++i)
            seeds += (seeds.empty() ? "" : ",") + gateways_[i]->control().text();
        return seeds;
    }
    void startGateways()
    {
        for (auto& gateway : gateways_)
            gateway->start(seeds());
        for (auto& gateway : gateways_)
            waitReady(*gateway, 10'000);
    }
    static void waitReady(Gateway& gateway, int limitMs)
    {
        const auto until = Clock::now() + milliseconds(limitMs);
        while (gateway.readiness() != 200) {
            if (Clock::now() > until)
                giveUp(gateway.name() + " does not become ready");
            pause(50);
        }
    }

private:
    Deployment deployment_;
    std::unique_ptr<Store> store_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    int nextServer_ = 0;
};

// A manifest with the given routes and services, written as the operator writes it.
inline std::string route(const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service, double timeoutS, double targetS, int attempts)
{
    std::ostringstream text;
    text << "{\"name\":\"" << name << "\",\"host\":\"shop.example\",\"path_prefix\":\"" << prefix << "\",\"service\":\"" << service << "\",\"kind\":\"" << kind << "\",\"timeout_s\":" << timeoutS << ",\"target_latency_s\":" << targetS << ",\"max_attempts\":" << attempts << ",\"priority\":1}";
    return text.str();
}

inline std::string manifest(int version, const std::string& routes, const std::string& services, const std::string& tenants = {})
{
    char digits[16];
    std::snprintf(digits, sizeof digits, "%08x", version);
    return std::string("{\"version\":\"") + digits + "\",\"routes\":[" + routes + "],\"services\":[" + services + "]" + (tenants.empty() ? "" : ",\"tenants\":[" + tenants + "]") + ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_s\":5,\"idle_timeout_s\":15}}";
}

inline std::string service(const std::string& name)
{
    return "{\"name\":\"" + name + "\",\"max_conns\":390,\"cold_start_s\":3,\"cold_per_s\":9.2,\"health_path\":\"/health\"}";
}

inline std::string freshAttempt()
{
    static std::atomic<unsigned> next { 1 };
    static const unsigned start = std::random_device()();
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", start, next++);
    return text;
}

inline std::string request(const std::string& method, const std::string& path, const std::string& attempt, int deadlineMs, const std::string& body = {}, const std::string& more = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + more + (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" + body;
}

// ---------------------------------------------------------------- clients

struct Answer {
    ReadEnd end = ReadEnd::Closed;
    Message message;
    // What had arrived when the channel ended before the answer did.
    std::string rest;
    bool isWhole() const { return end == ReadEnd::Whole; }
    std::string text() const { return isWhole() ? message.line : std::string(name(end)); }
};

// One request on a new channel.
inline Answer ask(const Address& gateway, const std::string& bytes, int limitMs)
{
    Answer answer;
    const int handle = connectTo(gateway, 1000);
    if (handle < 0)
        return answer;
    if (sendAll(handle, bytes))
        answer.end = readMessage(handle, answer.rest, answer.message, limitMs);
    ::close(handle);
    return answer;
}

// ---------------------------------------------------------------- a run

inline bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

// Runs a case from the repository's root. It returns whether the rule held; the exit code is 0 then, 1 if it was broken, and 2 if
// the case couldn't run.
inline int runCase(const std::string& folder, const std::function<bool(const std::string& repository)>& run)
{
    record.open(folder + "/record.txt");
    char path[4096];
    try {
        if (::access("target/sapphirepass", X_OK) != 0 || ::getcwd(path, sizeof path) == nullptr)
            giveUp("target/sapphirepass is not built");
        record.line("trouble: %s", hasTrouble() ? "yes" : "no");
        const bool held = run(path);
        record.line("the rule %s", held ? "held" : "was broken");
        std::printf("%s: the rule %s\n", folder.c_str(), held ? "held" : "was broken");
        return held ? 0 : 1;
    } catch (const std::exception&) {
        return 2;
    }
}

} // namespace review
