#include "standin/local_entry_http.h"

#include "config/key_func.h"
#include "entry/http_entry_server.h"
#include "standin/free_ports.h"
#include "standin/memory_store.h"
#include "store/command_service.h"
#include "store/command_trail.h"

#include <fmt/format.h>
#include <map>
#include <stdexcept>

namespace sapphirepass::standin {

namespace {
    auto localSettings() -> EntrySettings
    {
        EntrySettings settings;
        settings.name_ = "entry-0";
        settings.region_ = "luzon";
        settings.domain_ = "luzon-1";
        settings.http_ = *parseSocketAddress(fmt::format("127.0.0.1:{}", freePorts(1).front()));
        settings.maxInstances_ = 1;
        return settings;
    }

    // Issues a key to each workspace; returns bearer keys by workspace.
    auto issueKeys(const Snapshot& snapshot, std::string& commands) -> std::map<std::string, std::string>
    {
        std::map<std::string, std::string> bearers;
        snapshot.table<Workspace>().forEach([&](const Workspace& workspace) {
            const auto issued = issueKey(workspace.name_ + "-main", workspace.name_);
            commands += "; " + canonicalText(Item { issued.key_ });
            bearers[workspace.name_] = issued.bearer_;
        });
        return bearers;
    }

    auto entryOf(Revision revision, const std::string& text) -> LogEntry
    {
        return { revision, fmt::format("local-{}", revision), "local", "127.0.0.1", "", text };
    }

    auto declared(const std::string& text) -> Snapshot
    {
        auto result = applyLogEntry(Snapshot {}, entryOf(1, text));
        if (!isOk(result))
            throw std::runtime_error(errorOf(result).message_);
        return valueOf(std::move(result));
    }
}

struct LocalEntry::Parts {
    explicit Parts(const std::string& declarations)
    {
        auto commands = declarations;
        bearers_ = issueKeys(declared(declarations), commands);
        const LogHead head { 1, { entryOf(1, commands) } };
        store_.write(std::string(headObjectName), encodeLogHead(head), absentVersion);
        const auto applied = config_.apply(head);
        if (!isOk(applied))
            throw std::runtime_error(errorOf(applied).message_);
        pipeline_.setOnce(&once_);
        server_.setOnce(&once_);
        operators_.addSource(std::make_unique<CommandTrail>(store_));
        server_.open();
    }

    ~Parts()
    {
        pipeline_.refuseNew();
        inFlight_.waitForQuiet(std::chrono::milliseconds(100), std::chrono::seconds(10));
        inFlight_.waitForNone();
        server_.close();
    }
    Parts(const Parts&) = delete;
    auto operator=(const Parts&) -> Parts& = delete;

    EntrySettings settings_ = localSettings();
    SystemClock clock_;
    Metrics metrics_;
    InFlight inFlight_;
    ConfigState config_;
    MemoryStore store_;
    InstanceList instances_ { store_ };
    CommandService commands_ { store_, config_, clock_ };
    EqualSplitAdmitter admitter_ { clock_, settings_.maxInstances_ };
    LeastInFlightSteering steering_ { settings_.region_ };
    HttpRequestPipeline pipeline_ { { clock_, config_, admitter_, steering_, metrics_, inFlight_, static_cast<std::size_t>(settings_.maxHeaderBytes_) } };
    OnceFilter once_ { clock_, TicketIssuer({ settings_.name_, 1 }, "local"), { 100, 1'000'000 }, [](const std::string&) { return false; } };
    HttpOperatorApi operators_ { commands_, config_ };
    HttpEntryServer server_ { settings_, config_, instances_, pipeline_, operators_, metrics_, inFlight_ };
    std::map<std::string, std::string> bearers_;
};

LocalEntry::LocalEntry(const std::string& declarations)
    : parts_(std::make_unique<Parts>(declarations))
{
}

LocalEntry::~LocalEntry() = default;

auto LocalEntry::address() const -> SocketAddress { return parts_->settings_.http_; }
auto LocalEntry::bearer(const std::string& workspace) const -> std::string { return parts_->bearers_.at(workspace); }
auto LocalEntry::inFlight() const -> std::int64_t { return parts_->inFlight_.count(); }

} // namespace sapphirepass::standin
