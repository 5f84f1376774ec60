// Explores every order of events around restores of the store: a watcher, a follower, one upstream, one key.
#include "gateway/feeds/discovery_state.h"
#include "gateway/feeds/feed_source_selector.h"
#include "gateway/upstreams/notice_recorder.h"
#include "standin/kept_log.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <functional>
#include <set>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t withdrawnVersion = 2;

auto declarationOf(std::uint64_t version) -> Declaration
{
    Declaration result;
    result.version_ = version;
    result.workspaces_ = { { "acme", version < withdrawnVersion ? std::vector<std::string> { "key" } : std::vector<std::string> {}, std::nullopt, 0, 0, {} } };
    return result;
}

// What the store holds.
struct Content {
    std::optional<UpstreamEntry> upstream_;
    std::uint64_t version_ = 1;

    auto operator<=>(const Content&) const = default;
};

// A list of everything, as the store or an instance answers it.
struct Listing {
    StoreRevision at_;
    Content content_;

    auto operator<=>(const Listing&) const = default;
};

// An instance, with what it must never forget.
struct Instance {
    Instance(const Clock& clock, const HeaderNames& names)
        : upstreams_(clock, { { "north-a", "north" } })
        , fleet_(clock, { 2s, 20s }, "self")
        , discovery_(clock, upstreams_, fleet_, log_, 2s)
        , recorder_(upstreams_, names, log_)
    {
        discovery_.domainsEvacuated({});
    }

    auto receive(const Listing& listing) -> void
    {
        inputs_ += fmt::format("l{}.{}.{}.{};", listing.at_.era_, listing.at_.number_, listing.content_.version_, listing.content_.upstream_ ? fmt::format("{}-{}-{}", listing.content_.upstream_->startTimeMs_, listing.content_.upstream_->sequence_, static_cast<int>(listing.content_.upstream_->state_)) : "");
        const auto order = progress_.recordEra(listing.at_.era_);
        if (order == EraOrder::Older)
            return;
        if (order == EraOrder::Newer)
            discovery_.storeRestored(Feed::Upstreams, listing.at_.era_);
        if (!progress_.advanceTo(listing.at_.number_))
            return;
        known_ = listing;
        const auto& upstream = listing.content_.upstream_;
        discovery_.upstreamsListed(upstream ? std::vector { *upstream } : std::vector<UpstreamEntry> {});
        if (upstream)
            newestStart_ = std::max(newestStart_, upstream->startTimeMs_);
        if (upstream && upstream->state_ == UpstreamState::Draining)
            finalStarts_.insert(upstream->startTimeMs_);
        discovery_.declarationReceived(declarationOf(listing.content_.version_));
        newestVersion_ = std::max(newestVersion_, listing.content_.version_);
    }
    auto current() const -> UpstreamPtr
    {
        const auto found = upstreams_.byId().find("a");
        return found == upstreams_.byId().end() ? nullptr : found->second;
    }
    auto isUsed() const -> bool { return current() && upstreams_.isEligible(*current()); }

    UpstreamSet upstreams_;
    FleetView fleet_;
    standin::KeptLog log_;
    DiscoveryState discovery_;
    NoticeRecorder recorder_;
    FeedProgress progress_;
    Listing known_;
    // The upstream of a request in flight.
    UpstreamPtr held_;
    // Starts that were draining or have said that they leave.
    std::set<std::int64_t> finalStarts_;
    std::uint64_t newestVersion_ = 0;
    std::int64_t newestStart_ = 0;
    // All that has reached it, in order.
    std::string inputs_;
};

class Model {
public:
    // Begins with a copy from before or after the registration of the upstream.
    explicit Model(bool copyHasUpstream)
    {
        names_.leaving_ = "Leaving";
        write({ copyHasUpstream ? std::optional(registered()) : std::nullopt, 1 });
        copy_ = listStore();
        ++sequence_;
        write({ registered(), 1 });
        syncAll();
        pass(6s);
    }

    struct Action {
        const char* name_;
        std::function<bool(const Model&)> isEnabled_;
        std::function<void(Model&)> run_;
    };

    static auto actions() -> const std::vector<Action>&
    {
        static const std::vector<Action> all {
            { "report", [](const Model&) { return true; }, [](Model& m) { ++m.sequence_; m.write({ m.registered(), m.store_.version_ }); } },
            { "drain", [](const Model& m) { return !m.isDraining_; }, [](Model& m) { m.isDraining_ = true; ++m.sequence_; m.write({ m.registered(), m.store_.version_ }); } },
            { "restart", [](const Model& m) { return m.start_ == 1; }, [](Model& m) { m.start_ = 2; m.sequence_ = 1; m.isDraining_ = m.isLeaving_ = false; m.write({ m.registered(), m.store_.version_ }); } },
            { "leave", [](const Model& m) { return !m.isDraining_; }, [](Model& m) { m.leave(); } },
            { "expire", [](const Model& m) { return m.store_.upstream_.has_value(); }, [](Model& m) { m.write({ std::nullopt, m.store_.version_ }); } },
            { "withdraw", [](const Model& m) { return m.declared_ < withdrawnVersion; }, [](Model& m) { m.declared_ = withdrawnVersion; m.write({ m.store_.upstream_, m.declared_ }); } },
            { "copy", [](const Model& m) { return m.copy_.content_ != m.store_; }, [](Model& m) { m.copy_ = m.listStore(); } },
            { "restore", [](const Model& m) { return m.copy_.at_.number_ > 0 && m.copy_.content_ != m.store_ && m.era_ < 3U; }, [](Model& m) { m.store_ = m.copy_.content_; m.revision_ = m.copy_.at_.number_; ++m.era_; } },
            { "sync watcher", [](const Model& m) { return m.watcher_.known_ != m.listStore(); }, [](Model& m) { m.syncWatcher(); } },
            { "ask store", [](const Model& m) { return m.pending_ != m.listStore(); }, [](Model& m) { m.ask(m.listStore()); } },
            { "ask watcher", [](const Model& m) { return m.pending_ != m.watcher_.known_; }, [](Model& m) { m.ask(m.watcher_.known_); } },
            { "deliver", [](const Model& m) { return m.pending_.has_value(); }, [](Model& m) { m.deliver(); } },
            { "sync", [](const Model& m) { return m.follower_.known_ != m.listStore(); }, [](Model& m) { m.ask(m.listStore()); m.deliver(); } },
            { "sync from watcher", [](const Model& m) { return m.follower_.known_ != m.watcher_.known_; }, [](Model& m) { m.ask(m.watcher_.known_); m.deliver(); } },
            { "send", [](const Model& m) { return !m.follower_.held_ && m.follower_.isUsed(); }, [](Model& m) { m.follower_.held_ = m.follower_.current(); m.follower_.inputs_ += "s;"; } },
            { "send, respond leaving", [](const Model& m) { return m.follower_.isUsed() && m.follower_.current()->entry_.startTimeMs_ == m.start_; }, [](Model& m) { m.follower_.held_ = m.follower_.current(); m.follower_.inputs_ += "s;"; m.respondLeaving(); } },
            { "respond leaving", [](const Model& m) { return m.follower_.held_ && m.follower_.held_->entry_.startTimeMs_ == m.start_; }, [](Model& m) { m.respondLeaving(); } },
            { "time", [](const Model&) { return true; }, [](Model& m) { m.pass(6s); } },
        };
        return all;
    }

    // Two orders of events that end in the same state need to be continued only once.
    auto key() const -> std::string
    {
        const auto text = [](const Listing& listing) { return fmt::format("{}.{}.{}.{}", listing.at_.era_, listing.at_.number_, listing.content_.version_, listing.content_.upstream_ ? fmt::format("{}-{}-{}", listing.content_.upstream_->startTimeMs_, listing.content_.upstream_->sequence_, static_cast<int>(listing.content_.upstream_->state_)) : ""); };
        return fmt::format("{}|{}|{}|{}{}{}{}|{}|{}|{}", text(listStore()), text(copy_), pending_ ? text(*pending_) : "", start_, sequence_, isDraining_, isLeaving_, declared_, watcher_.inputs_, follower_.inputs_);
    }

    // Empty if all that must hold does.
    auto violation() const -> std::string
    {
        for (const auto* instance : { &watcher_, &follower_ }) {
            if (instance->isUsed() && instance->finalStarts_.contains(instance->current()->entry_.startTimeMs_))
                return "a start that has left is used";
            const auto& index = instance->discovery_.index();
            if (index->declaration().version_ != instance->newestVersion_)
                return "the declaration's version went back";
            if (instance->newestVersion_ >= withdrawnVersion && index->workspaceOf("key") != nullptr)
                return "a withdrawn key is accepted";
        }
        return staleChange_ ? "an answer of an older era changed something" : "";
    }

    // Checks that listed and working upstreams are used, both now and after all entries were written again.
    auto finalViolation() -> std::string
    {
        const auto expected = store_.upstream_;
        syncAll();
        pass(6s);
        // A process has ended once a later start of its id was listed.
        const bool isLatest = expected && expected->startTimeMs_ >= follower_.newestStart_;
        if (isLatest && expected->state_ == UpstreamState::Ready && !follower_.isUsed() && !follower_.finalStarts_.contains(expected->startTimeMs_))
            return "an upstream that is listed is not used";
        ++sequence_;
        write({ registered(), declared_ });
        for (int round = 0; round < 2; ++round) {
            syncAll();
            pass(6s);
        }
        if (auto broken = violation(); !broken.empty())
            return broken;
        for (const auto* instance : { &watcher_, &follower_ }) {
            if (!instance->isUsed() && !instance->finalStarts_.contains(start_))
                return "an upstream that works is not used";
            if (instance->newestVersion_ != declared_)
                return "the newest declaration is not in force";
        }
        return "";
    }

private:
    auto registered() const -> UpstreamEntry
    {
        return { "a", start_, "core", { "127.0.0.1", 9000 }, "north-a", 4, isDraining_ ? UpstreamState::Draining : UpstreamState::Ready, 0s, sequence_ };
    }
    auto write(Content content) -> void
    {
        store_ = std::move(content);
        ++revision_;
    }
    auto listStore() const -> Listing { return { { era_, revision_ }, store_ }; }
    auto syncAll() -> void
    {
        syncWatcher();
        ask(listStore());
        deliver();
    }
    // A planned end: all instances receive the drain, then the removal.
    auto leave() -> void
    {
        isDraining_ = true;
        ++sequence_;
        write({ registered(), store_.version_ });
        syncAll();
        write({ std::nullopt, store_.version_ });
        syncAll();
    }
    auto syncWatcher() -> void { watcher_.receive(listStore()); }
    auto ask(Listing answer) -> void { pending_ = std::move(answer); }
    auto deliver() -> void
    {
        const auto before = std::pair(follower_.isUsed(), follower_.newestVersion_);
        const bool isStale = pending_->at_ < follower_.progress_.position().current_;
        follower_.receive(*pending_);
        staleChange_ = staleChange_ || (isStale && before != std::pair(follower_.isUsed(), follower_.newestVersion_));
        pending_.reset();
    }
    auto respondLeaving() -> void
    {
        isLeaving_ = true;
        UpstreamResponse response;
        response.set("Leaving", "1");
        follower_.recorder_.record(*follower_.held_, response, std::nullopt);
        follower_.finalStarts_.insert(follower_.held_->entry_.startTimeMs_);
        follower_.held_.reset();
        follower_.inputs_ += "r;";
    }
    auto pass(Duration time) -> void
    {
        clock_.advance(time);
        for (auto* instance : { &watcher_, &follower_ }) {
            instance->upstreams_.removeExpired();
            instance->inputs_ += "t;";
        }
    }

    ManualClock clock_;
    HeaderNames names_;
    Instance watcher_ { clock_, names_ };
    Instance follower_ { clock_, names_ };
    Content store_;
    std::uint64_t era_ = 1;
    std::uint64_t revision_ = 0;
    Listing copy_;
    // The answer that is on its way to the follower; a new request loses it.
    std::optional<Listing> pending_;
    std::int64_t start_ = 1;
    std::int64_t sequence_ = 1;
    bool isDraining_ = false;
    bool isLeaving_ = false;
    std::uint64_t declared_ = 1;
    bool staleChange_ = false;
};

using Path = std::vector<std::size_t>;

auto replay(Model& model, const Path& path) -> void
{
    for (const auto step : path)
        Model::actions()[step].run_(model);
}

auto describe(const Path& path) -> std::string
{
    std::string text;
    for (const auto step : path)
        text += std::string(text.empty() ? "" : ", ") + Model::actions()[step].name_;
    return text;
}

}

TEST_CASE("no order of events around restores makes an instance forget what it must not, or leave out what works", "[restore-model]")
{
    constexpr std::size_t maxSteps = 6;
    const bool copyHasUpstream = GENERATE(true, false);
    CAPTURE(copyHasUpstream);
    std::vector<Path> paths { {} };
    std::set<std::string> seen;
    std::size_t states = 0;
    for (std::size_t length = 0; length <= maxSteps; ++length) {
        std::vector<Path> next;
        for (const auto& path : paths) {
            Model model(copyHasUpstream);
            replay(model, path);
            if (!seen.insert(model.key()).second)
                continue;
            ++states;
            const auto broken = model.violation();
            std::vector<std::size_t> enabled;
            for (std::size_t action = 0; action < Model::actions().size(); ++action) {
                if (Model::actions()[action].isEnabled_(model))
                    enabled.push_back(action);
            }
            const auto brokenFinally = broken.empty() ? model.finalViolation() : broken;
            if (!brokenFinally.empty())
                FAIL(brokenFinally << " after: " << describe(path));
            for (const auto action : enabled) {
                next.push_back(path);
                next.back().push_back(action);
            }
        }
        paths = std::move(next);
    }
    CHECK(states > 10'000);
}
