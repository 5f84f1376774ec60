#include "standin/memory_store.h"
#include "standin/scripted_store.h"
#include "store/audit_trail.h"
#include "store/command_service.h"
#include "store/config_follower.h"
#include "store/snapshot_store.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <set>

using namespace sapphirepass;
using namespace std::chrono_literals;
using standin::CallFate;

namespace {

// Small enough that a dozen commands are cut several times, in several chunks.
constexpr LogBounds smallBounds { 1200, 400, 4, 64 };

auto request(int n) -> CommandRequest
{
    return { fmt::format("declare region r{}", n), fmt::format("id{}", n), "ana", "127.0.0.1", CommandMode::Real, std::nullopt };
}

struct Operator {
    explicit Operator(ObjectStore& store)
        : service_(store, state_, clock_, smallBounds)
    {
    }

    ManualClock clock_;
    ConfigState state_;
    CommandService service_;
};

auto headOf(ObjectStore& store) -> LogHead
{
    return valueOf(readHead(store)).head_;
}

// A new instance that knows nothing reads the whole configuration from the store.
auto freshRegions(ObjectStore& store) -> std::set<std::string>
{
    ConfigState state;
    REQUIRE(isOk(catchUp(store, state, headOf(store))));
    std::set<std::string> names;
    state.snapshot()->table<Region>().forEach([&names](const Region& region) { names.insert(region.name_); });
    return names;
}

auto snapshotsIn(ObjectStore& store) -> std::set<std::string>
{
    const auto names = store.list(std::string(snapshotPrefix));
    std::set<std::string> snapshots;
    for (const auto& name : valueOf(names))
        snapshots.insert(name.substr(0, name.rfind('/')));
    return snapshots;
}

auto auditedRevisions(ObjectStore& store) -> std::vector<Revision>
{
    std::vector<Revision> revisions;
    const auto accepted = readAccepted(store, headOf(store).revision_, 1000);
    for (const auto& entry : valueOf(accepted))
        revisions.push_back(entry.revision_);
    return revisions;
}

auto firstRevisions(Revision count) -> std::vector<Revision>
{
    std::vector<Revision> revisions;
    for (Revision revision = 1; revision <= count; ++revision)
        revisions.push_back(revision);
    return revisions;
}

}

TEST_CASE("the log is cut and nothing is lost", "[config]")
{
    standin::MemoryStore store;
    Operator ana(store);
    constexpr int commands = 40;
    for (int n = 1; n <= commands; ++n)
        REQUIRE(isOk(ana.service_.submit(request(n))));
    const auto head = headOf(store);
    CHECK(head.snapshot_.revision_ > 20);
    CHECK(head.snapshot_.chunkDigests_.size() > 1);
    CHECK(encodeLogEntries(head.entries_).size() <= smallBounds.cutBytes_);
    CHECK(freshRegions(store).size() == commands);
    CHECK(auditedRevisions(store) == firstRevisions(commands));
    // Snapshots before the last two are gone.
    CHECK(snapshotsIn(store).size() == 2);
}

TEST_CASE("a repeat is recognised after its entry was cut off", "[config]")
{
    standin::MemoryStore store;
    Operator ana(store);
    for (int n = 1; n <= 40; ++n)
        REQUIRE(isOk(ana.service_.submit(request(n))));
    const auto head = headOf(store);
    const auto firstEntry = head.entries_.front().revision_;
    REQUIRE(head.cutIds_.size() == smallBounds.cutIds_);
    for (auto revision = firstEntry - 4; revision <= 40; ++revision)
        CHECK(valueOf(ana.service_.submit(request(static_cast<int>(revision)))).revision_ == revision);
    CHECK(headOf(store).revision_ == 40);
    auto other = request(40);
    other.text_ = "declare region other";
    CHECK(errorOf(ana.service_.submit(other)).kind_ == CommandErrorKind::Refused);
}

// Runs commands through a store whose call n, counted from the start, gets a fate; with Refused all later calls too.
TEST_CASE("a crash or a lost answer at any store call of a cut loses nothing", "[config]")
{
    const auto fate = GENERATE(CallFate::Refused, CallFate::AnswerLost);
    constexpr int commands = 12;
    standin::MemoryStore dryStore;
    standin::ScriptedStore dry(dryStore, [](int) { return CallFate::Normal; });
    {
        Operator ana(dry);
        for (int n = 1; n <= commands; ++n)
            REQUIRE(isOk(ana.service_.submit(request(n))));
        REQUIRE(headOf(dryStore).snapshot_.revision_ > 0);
    }
    for (int failing = 0; failing < dry.calls(); ++failing) {
        CAPTURE(failing, static_cast<int>(fate));
        standin::MemoryStore store;
        standin::ScriptedStore faulty(store, [failing, fate](int call) {
            const bool hit = fate == CallFate::Refused ? call >= failing : call == failing;
            return hit ? fate : CallFate::Normal;
        });
        Operator first(faulty);
        std::set<std::string> accepted;
        for (int n = 1; n <= commands; ++n) {
            if (isOk(first.service_.submit(request(n))))
                accepted.insert(fmt::format("r{}", n));
        }
        const auto regions = freshRegions(store);
        CHECK(std::includes(regions.begin(), regions.end(), accepted.begin(), accepted.end()));
        // Another instance repeats everything: each command is in force exactly once, and the log can be cut again.
        Operator second(store);
        for (int n = 1; n <= commands; ++n)
            second.service_.submit(request(n));
        CHECK(freshRegions(store).size() == commands);
        CHECK(headOf(store).revision_ == commands);
        CHECK(auditedRevisions(store) == firstRevisions(commands));
        CHECK(headOf(store).snapshot_.revision_ > 0);
        // What the broken cut left behind goes with the next cuts.
        for (int n = commands + 1; n <= 3 * commands; ++n)
            REQUIRE(isOk(second.service_.submit(request(n))));
        CHECK(snapshotsIn(store).size() == 2);
    }
}

TEST_CASE("a full head is cut to make room, and a batch that can never fit is refused", "[config]")
{
    // A key of the longest salt and hash, so that few of them fill the head.
    constexpr std::size_t digits = 256;
    constexpr int keysInBatch = 700;
    const auto batch = [](int number, int keys) {
        std::string text = number == 1 ? "declare workspace acme rate 1 burst 1" : "change workspace acme rate 2";
        for (int n = 0; n < keys; ++n)
            text += fmt::format("\ndeclare key k{}-{} workspace acme salt {} hash {}", number, n, std::string(digits, 'a'), std::string(digits, 'b'));
        return CommandRequest { text, fmt::format("batch{}", number), "ana", "127.0.0.1", CommandMode::Real, std::nullopt };
    };
    const auto freshKeys = [](ObjectStore& store) {
        ConfigState fresh;
        REQUIRE(isOk(catchUp(store, fresh, headOf(store))));
        return fresh.snapshot()->table<Key>().size();
    };
    standin::MemoryStore store;
    const ManualClock clock;
    ConfigState state;
    LogBounds bounds;
    bounds.cutBytes_ = maxObjectBytes;
    CommandService service(store, state, clock, bounds);
    for (int number = 1; number <= 4; ++number)
        CHECK(isOk(service.submit(batch(number, keysInBatch))));
    CHECK(headOf(store).snapshot_.revision_ > 0);
    CHECK(freshKeys(store) == 4 * keysInBatch);
    const auto refused = errorOf(service.submit(batch(5, 4 * keysInBatch)));
    CHECK(refused.kind_ == CommandErrorKind::NotAccepted);
    CHECK_THAT(refused.message_, Catch::Contains("nothing was changed"));
    CHECK(freshKeys(store) == 4 * keysInBatch);
}

namespace {

// Removes or changes a chunk of a snapshot; returns its name.
auto damage(ObjectStore& store, const SnapshotReference& snapshot, bool missing) -> std::string
{
    auto name = fmt::format("{}{}/1", snapshotPrefix, snapshot.revision_);
    const auto chunk = valueOf(store.read(name));
    REQUIRE(isOk(store.remove(name, chunk.version_)));
    if (!missing)
        REQUIRE(isOk(store.write(name, "x" + chunk.value_.substr(1), absentVersion)));
    return name;
}

}

TEST_CASE("a missing or damaged chunk is made up for by the snapshot before and the trail", "[config]")
{
    const bool missing = GENERATE(true, false);
    standin::MemoryStore store;
    Operator ana(store);
    for (int n = 1; n <= 40; ++n)
        REQUIRE(isOk(ana.service_.submit(request(n))));
    const auto head = headOf(store);
    damage(store, head.snapshot_, missing);
    ConfigState state;
    CHECK(valueOf(catchUp(store, state, head)) == 40);
    CHECK(state.snapshot()->stateHash() == ana.state_.snapshot()->stateHash());
}

TEST_CASE("without any whole snapshot the instance stays where it is", "[config]")
{
    const bool missing = GENERATE(true, false);
    standin::MemoryStore store;
    Operator ana(store);
    for (int n = 1; n <= 40; ++n)
        REQUIRE(isOk(ana.service_.submit(request(n))));
    const auto name = damage(store, headOf(store).snapshot_, missing);
    damage(store, headOf(store).previous_, missing);
    ConfigState state;
    const auto error = errorOf(catchUp(store, state, headOf(store)));
    CHECK(error.kind_ == ApplyErrorKind::Gap);
    CHECK_THAT(error.message_, Catch::Contains(name));
    CHECK(state.snapshot()->revision() == 0);
    // A command through such an instance is refused and changes nothing; one that is in force cuts the log whole again.
    Operator bea(store);
    CHECK(errorOf(bea.service_.submit(request(41))).kind_ == CommandErrorKind::NotAccepted);
    CHECK(headOf(store).revision_ == 40);
    for (int n = 41; n <= 60; ++n)
        REQUIRE(isOk(ana.service_.submit(request(n))));
    CHECK(freshRegions(store).size() == 60);
}

TEST_CASE("an instance that diverges stops applying", "[config]")
{
    standin::MemoryStore store;
    Operator ana(store);
    REQUIRE(isOk(ana.service_.submit(request(1))));
    auto head = headOf(store);
    REQUIRE(head.entries_.front().stateHash_ == ana.state_.snapshot()->stateHash());
    head.entries_.front().stateHash_ ^= 1;
    ConfigState other;
    CHECK(errorOf(other.apply(head)).kind_ == ApplyErrorKind::Diverged);
    CHECK(other.snapshot()->revision() == 0);
}

TEST_CASE("a follower behind the log's first entry loads the snapshot", "[config]")
{
    standin::MemoryStore store;
    Operator ana(store);
    for (int n = 1; n <= 40; ++n)
        REQUIRE(isOk(ana.service_.submit(request(n))));
    ConfigState state;
    ConfigFollower follower(store, state);
    REQUIRE(follower.followOnce(0ms));
    CHECK(state.snapshot()->revision() == 40);
    CHECK(state.snapshot()->stateHash() == ana.state_.snapshot()->stateHash());
}
