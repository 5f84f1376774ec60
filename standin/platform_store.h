// The platform's store as its pages describe it, on the test's own event loop: lists, watches, history, outages, and a
// return from a copy that is some seconds old.
#pragma once

#include "standin/loop_peer.h"

#include <map>
#include <nlohmann/json.hpp>

namespace sapphirepass::standin {

enum class StoreMood { Well,
    // Answers 503 to everything.
    Busy,
    // Answers 429 to everything.
    Limiting,
    // Reads and never answers.
    Silent,
    // Resets each connection.
    Resetting };

class PlatformStore {
public:
    explicit PlatformStore(asio::io_context& loop);
    ~PlatformStore();
    PlatformStore(const PlatformStore&) = delete;
    auto operator=(const PlatformStore&) -> PlatformStore& = delete;

    auto address() const -> const SocketAddress& { return address_; }
    auto put(const std::string& kind, const std::string& name, const nlohmann::json& spec) -> void;
    // An entry of another writer, handed out as it is written here: it need not be JSON.
    auto putText(const std::string& kind, const std::string& name, const std::string& spec) -> void;
    auto remove(const std::string& kind, const std::string& name) -> void;
    auto removeIfListed(const std::string& kind, const std::string& name) -> void;
    auto setMood(StoreMood mood) -> void { mood_ = mood; }
    // Reads that may come from a copy are answered as of now from now on.
    auto freezeCopies() -> void { copiesAt_ = revision_; }
    // Forgets what has changed so far, and cuts the watches that wait.
    auto forgetHistory() -> void;
    auto cutWatches() -> void;
    // Connections that are open now are never answered again, and stay open.
    auto silenceOpenConnections() -> void;
    // Copies all objects and the revision; restore() returns to the last copy and raises the era that all responses name.
    auto copy() -> void;
    auto restore() -> void;
    auto era() const -> std::uint64_t { return era_; }
    // Without the header, as the store was before it could return from a copy.
    auto hideEra() -> void { isEraHidden_ = true; }
    auto revision() const -> std::int64_t { return revision_; }
    // The next so many watches of a kind are read and never answered; their connections stay open.
    auto swallowWatches(const std::string& kind, std::size_t count) -> void { swallowed_[kind] = count; }
    // The next so many responses with changes of a kind are sent only as sendHeld() says, as over a slow link.
    auto holdChanges(const std::string& kind, std::size_t count = 1'000) -> void
    {
        heldKind_ = kind;
        toHold_ = count;
    }
    auto sendHeld(std::size_t bytes) -> void;
    auto heldBytes() const -> std::size_t;
    // Reads that may come from a copy are never answered from now on.
    auto swallowCopies() -> void { areCopiesSwallowed_ = true; }
    auto isSwallowed(const std::string& kind) const -> bool { return swallowed_.contains(kind) && swallowed_.at(kind) == 0; }
    auto calls() const -> std::size_t { return calls_; }
    // First pages of lists that were answered.
    auto lists() const -> std::size_t { return lists_; }
    // Watches that wait for a change.
    auto watches() const -> std::size_t { return watching_.size(); }
    auto objects(const std::string& kind) const -> std::size_t;
    // Objects of a kind that were created by a call.
    auto created(const std::string& kind) const -> std::size_t { return created_.contains(kind) ? created_.at(kind) : 0; }
    auto setPage(std::size_t page) -> void { page_ = page; }
    // Called after each page of a list that has more to come.
    auto onPage(std::function<void(const std::string& kind)> action) -> void { pageAction_ = std::move(action); }

private:
    struct Connection;
    struct Change {
        std::int64_t revision_;
        std::string kind_;
        nlohmann::json event_;
    };

    auto acceptNext() -> void;
    auto read(const std::shared_ptr<Connection>& connection) -> void;
    auto answer(const std::shared_ptr<Connection>& connection) -> void;
    auto answerGet(const std::shared_ptr<Connection>& connection, const std::string& kind, const std::string& query) -> void;
    auto waitForChange(const std::shared_ptr<Connection>& connection, std::chrono::milliseconds longest) -> void;
    auto answerWatch(const std::shared_ptr<Connection>& connection) -> bool;
    auto answerPost(const std::shared_ptr<Connection>& connection, const std::string& kind, const std::string& body) -> void;
    auto reply(const std::shared_ptr<Connection>& connection, int status, const nlohmann::json& body) -> void;
    auto wakeWatches() -> void;
    // The body as text, with the specs of other writers.
    auto render(const nlohmann::json& body) const -> std::string;

    using Kinds = std::map<std::string, std::map<std::string, nlohmann::json>>;

    Tcp::acceptor acceptor_;
    SocketAddress address_;
    StoreMood mood_ = StoreMood::Well;
    std::int64_t revision_ = 100;
    std::int64_t oldest_ = 0;
    std::optional<std::int64_t> copiesAt_;
    std::size_t page_ = 50;
    std::function<void(const std::string&)> pageAction_;
    std::size_t calls_ = 0;
    std::size_t lists_ = 0;
    std::map<std::string, std::size_t> swallowed_;
    bool areCopiesSwallowed_ = false;
    std::string heldKind_;
    std::size_t toHold_ = 0;
    // What is still to be sent, by connection.
    std::vector<std::pair<std::shared_ptr<Connection>, std::string>> held_;
    std::map<std::string, std::size_t> created_;
    Kinds kinds_;
    Kinds copiedKinds_;
    std::int64_t copiedRevision_ = 0;
    std::uint64_t era_ = 1;
    bool isEraHidden_ = false;
    // Specs of other writers, by the placeholder that stands for them.
    std::map<std::string, std::string> texts_;
    std::vector<Change> history_;
    std::vector<std::shared_ptr<Connection>> watching_;
    std::vector<std::weak_ptr<Connection>> open_;
};

} // namespace sapphirepass::standin
