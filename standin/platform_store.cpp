#include "standin/platform_store.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace sapphirepass::standin {

namespace {
    using Json = nlohmann::json;

    auto valueIn(const std::string& query, const std::string& name) -> std::string
    {
        const auto at = query.find(name + "=");
        if (at == std::string::npos)
            return {};
        const auto from = at + name.size() + 1;
        return query.substr(from, query.find('&', from) - from);
    }
}

struct PlatformStore::Connection {
    explicit Connection(Tcp::socket socket)
        : socket_(std::move(socket))
        , timer_(socket_.get_executor())
    {
    }
    Tcp::socket socket_;
    std::string bytes_;
    std::array<char, 8192> buffer_ {};
    std::string kind_;
    std::int64_t watchFrom_ = 0;
    bool isSilent_ = false;
    // Set if the request under way is answered by a copy that is behind.
    std::optional<std::int64_t> readsUpTo_;
    // Ends a watch that brings nothing.
    asio::steady_timer timer_;
};

PlatformStore::PlatformStore(asio::io_context& loop)
    : acceptor_(loop, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , address_ { "127.0.0.1", acceptor_.local_endpoint().port() }
{
    acceptNext();
}

PlatformStore::~PlatformStore()
{
    NetError ignored;
    acceptor_.close(ignored);
    for (const auto& entry : open_) {
        if (const auto connection = entry.lock()) {
            connection->timer_.cancel();
            closeQuietly(connection->socket_);
        }
    }
}

auto PlatformStore::acceptNext() -> void
{
    acceptor_.async_accept([this](NetError error, Tcp::socket socket) {
        if (error)
            return;
        auto connection = std::make_shared<Connection>(std::move(socket));
        open_.push_back(connection);
        read(connection);
        acceptNext();
    });
}

auto PlatformStore::read(const std::shared_ptr<Connection>& connection) -> void
{
    connection->socket_.async_read_some(asio::buffer(connection->buffer_), [this, connection](NetError error, std::size_t count) {
        if (error) {
            std::erase(watching_, connection);
            return closeQuietly(connection->socket_);
        }
        connection->bytes_.append(connection->buffer_.data(), count);
        answer(connection);
        if (connection->socket_.is_open())
            read(connection);
    });
}

auto PlatformStore::answer(const std::shared_ptr<Connection>& connection) -> void
{
    const auto end = connection->bytes_.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    const auto at = connection->bytes_.find("Content-Length: ");
    const auto length = at == std::string::npos || at > end ? 0 : std::stoul(connection->bytes_.substr(at + 16));
    if (connection->bytes_.size() < end + 4 + length)
        return;
    const auto line = connection->bytes_.substr(0, connection->bytes_.find("\r\n"));
    const auto body = connection->bytes_.substr(end + 4, length);
    connection->bytes_.erase(0, end + 4 + length);
    ++calls_;
    if (mood_ == StoreMood::Silent || connection->isSilent_)
        return;
    if (mood_ == StoreMood::Resetting)
        return closeQuietly(connection->socket_);
    if (mood_ == StoreMood::Busy)
        return reply(connection, 503, { { "error", "busy" } });
    if (mood_ == StoreMood::Limiting)
        return reply(connection, 429, { { "error", "too many calls" } });
    const auto path = line.substr(line.find(' ') + 1, line.rfind(' ') - line.find(' ') - 1);
    const auto question = path.find('?');
    const auto kind = path.substr(std::string("/-/objects/").size(), question - std::string("/-/objects/").size());
    if (line.starts_with("GET"))
        return answerGet(connection, kind, question == std::string::npos ? "" : path.substr(question + 1));
    answerPost(connection, kind, body);
}

auto PlatformStore::answerGet(const std::shared_ptr<Connection>& connection, const std::string& kind, const std::string& query) -> void
{
    connection->kind_ = kind;
    const bool mayBeCopy = valueIn(query, "serializable") == "1";
    if (mayBeCopy && areCopiesSwallowed_)
        return;
    connection->readsUpTo_ = mayBeCopy ? copiesAt_ : std::nullopt;
    if (const auto from = valueIn(query, "watch"); !from.empty()) {
        if (const auto left = swallowed_.find(kind); left != swallowed_.end() && left->second > 0) {
            --left->second;
            return;
        }
        connection->watchFrom_ = std::stoll(from);
        if (!answerWatch(connection))
            waitForChange(connection, std::chrono::milliseconds(std::stoll("0" + valueIn(query, "wait_ms"))));
        return;
    }
    Json items = Json::array();
    const auto after = valueIn(query, "after");
    lists_ += after.empty() ? 1 : 0;
    const auto& objects = kinds_[kind];
    auto next = objects.upper_bound(after);
    for (; next != objects.end() && items.size() < page_; ++next)
        items.push_back(next->second);
    const bool more = next != objects.end();
    reply(connection, 200, { { "items", items }, { "more", more }, { "current_rev", connection->readsUpTo_.value_or(revision_) } });
    if (more && pageAction_)
        pageAction_(kind);
}

auto PlatformStore::waitForChange(const std::shared_ptr<Connection>& connection, std::chrono::milliseconds longest) -> void
{
    watching_.push_back(connection);
    connection->timer_.expires_after(longest);
    connection->timer_.async_wait([this, connection](NetError error) {
        if (!error && mood_ == StoreMood::Well && std::erase(watching_, connection) > 0)
            reply(connection, 200, { { "events", Json::array() }, { "current_rev", connection->readsUpTo_.value_or(revision_) } });
    });
}

// Whether the watch could be answered now.
auto PlatformStore::answerWatch(const std::shared_ptr<Connection>& connection) -> bool
{
    if (connection->watchFrom_ < oldest_ || connection->watchFrom_ > revision_) {
        reply(connection, 410, { { "error", "gone" } });
        return true;
    }
    const auto newest = connection->readsUpTo_.value_or(revision_);
    Json events = Json::array();
    for (const auto& change : history_) {
        if (change.revision_ > connection->watchFrom_ && change.revision_ <= newest && change.kind_ == connection->kind_)
            events.push_back(change.event_);
    }
    if (events.empty())
        return false;
    connection->timer_.cancel();
    reply(connection, 200, { { "events", events }, { "current_rev", newest } });
    return true;
}

auto PlatformStore::answerPost(const std::shared_ptr<Connection>& connection, const std::string& kind, const std::string& body) -> void
{
    const auto object = Json::parse(body);
    const auto name = object.at("metadata").at("name").get<std::string>();
    if (kinds_[kind].contains(name))
        return reply(connection, 409, kinds_[kind][name]);
    put(kind, name, object.at("spec"));
    ++created_[kind];
    reply(connection, 201, kinds_[kind][name]);
}

auto PlatformStore::reply(const std::shared_ptr<Connection>& connection, int status, const Json& body) -> void
{
    const auto text = render(body);
    NetError ignored;
    const auto era = isEraHidden_ ? std::string() : fmt::format("Store-Era: {}\r\n", era_);
    auto bytes = fmt::format("HTTP/1.1 {} -\r\nContent-Type: application/json\r\n{}Content-Length: {}\r\n\r\n{}", status, era, text.size(), text);
    if (toHold_ == 0 || connection->kind_ != heldKind_ || !body.contains("events")) {
        asio::write(connection->socket_, asio::buffer(bytes), ignored);
        return;
    }
    --toHold_;
    held_.emplace_back(connection, std::move(bytes));
}

auto PlatformStore::sendHeld(std::size_t bytes) -> void
{
    for (auto& [connection, rest] : held_) {
        NetError ignored;
        const auto part = std::min(bytes, rest.size());
        asio::write(connection->socket_, asio::buffer(rest.data(), part), ignored);
        rest.erase(0, part);
    }
    std::erase_if(held_, [](const auto& entry) { return entry.second.empty(); });
}

auto PlatformStore::heldBytes() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto& [connection, rest] : held_)
        sum += rest.size();
    return sum;
}

auto PlatformStore::render(const Json& body) const -> std::string
{
    auto text = body.dump();
    for (const auto& [placeholder, spec] : texts_) {
        const auto quoted = '"' + placeholder + '"';
        for (auto at = text.find(quoted); at != std::string::npos; at = text.find(quoted, at + spec.size()))
            text.replace(at, quoted.size(), spec);
    }
    return text;
}

auto PlatformStore::putText(const std::string& kind, const std::string& name, const std::string& spec) -> void
{
    const auto placeholder = fmt::format("@text-{}", texts_.size());
    texts_[placeholder] = spec;
    put(kind, name, placeholder);
}

auto PlatformStore::put(const std::string& kind, const std::string& name, const Json& spec) -> void
{
    ++revision_;
    kinds_[kind][name] = { { "metadata", { { "name", name }, { "rev", revision_ } } }, { "spec", spec }, { "status", nullptr } };
    history_.push_back({ revision_, kind, { { "deleted", false }, { "object", kinds_[kind][name] } } });
    wakeWatches();
}

auto PlatformStore::remove(const std::string& kind, const std::string& name) -> void
{
    ++revision_;
    kinds_[kind][name]["metadata"]["rev"] = revision_;
    history_.push_back({ revision_, kind, { { "deleted", true }, { "object", kinds_[kind][name] } } });
    kinds_[kind].erase(name);
    wakeWatches();
}

auto PlatformStore::removeIfListed(const std::string& kind, const std::string& name) -> void
{
    if (kinds_[kind].contains(name))
        remove(kind, name);
}

auto PlatformStore::wakeWatches() -> void
{
    if (mood_ != StoreMood::Well)
        return;
    const auto waiting = std::exchange(watching_, {});
    for (const auto& connection : waiting) {
        if (!answerWatch(connection))
            watching_.push_back(connection);
    }
}

auto PlatformStore::cutWatches() -> void
{
    for (const auto& connection : std::exchange(watching_, {})) {
        connection->timer_.cancel();
        closeQuietly(connection->socket_);
    }
}

auto PlatformStore::silenceOpenConnections() -> void
{
    watching_.clear();
    for (const auto& entry : open_) {
        if (const auto connection = entry.lock())
            connection->isSilent_ = true;
    }
}

auto PlatformStore::forgetHistory() -> void
{
    history_.clear();
    oldest_ = revision_;
    cutWatches();
}

auto PlatformStore::copy() -> void
{
    copiedKinds_ = kinds_;
    copiedRevision_ = revision_;
}

// Revisions after the copy's are given out again, for other changes.
auto PlatformStore::restore() -> void
{
    kinds_ = copiedKinds_;
    revision_ = copiedRevision_;
    std::erase_if(history_, [this](const Change& change) { return change.revision_ > revision_; });
    ++era_;
    cutWatches();
}

auto PlatformStore::objects(const std::string& kind) const -> std::size_t
{
    const auto found = kinds_.find(kind);
    return found == kinds_.end() ? 0 : found->second.size();
}

} // namespace sapphirepass::standin
