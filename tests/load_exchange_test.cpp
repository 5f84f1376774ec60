// Observations of upstreams shared within a region: merging, their way over the wire, and what faults do to them.
#include "gateway/fleet/datagram_codec.h"
#include "gateway/upstreams/load_exchange.h"
#include "wire/datagram.capnp.h"

#include <algorithm>
#include <capnp/dynamic.h>
#include <capnp/message.h>
#include <capnp/schema-parser.h>
#include <capnp/serialize-packed.h>
#include <catch2/catch.hpp>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <kj/filesystem.h>
#include <kj/io.h>
#include <limits>
#include <random>
#include <sstream>
#include <unordered_map>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr Duration heartbeatInterval = 400ms;

auto entry(const std::string& id, std::int64_t startTimeMs = 1) -> UpstreamEntry
{
    return { id, startTimeMs, "core", { "127.0.0.1", 9000 }, "north-a", 6, UpstreamState::Ready, 0s };
}

auto observation(const std::string& id, int running, std::chrono::milliseconds age = 0ms, std::uint64_t object = 7) -> Observation
{
    return { upstreamKey(entry(id)), object, { running, 0, 6, 1.0 }, age, false };
}

struct SeenRun {
    std::string upstream_;
    std::uint64_t object_ = 0;
    MonotonicTime at_ {};
    bool isOwn_ = false;

    auto operator<=>(const SeenRun&) const = default;
};

class KeptRuns final : public ObservationListener {
public:
    auto onObservation(const Upstream& upstream, const Observation& observation, MonotonicTime at, bool isOwn) -> void override
    {
        if (observation.object_ != 0 && !observation.isRejection_)
            runs_.push_back({ upstream.entry_.id_, observation.object_, at, isOwn });
    }

    std::vector<SeenRun> runs_;
};

struct Instance {
    explicit Instance(int upstreams = 4)
    {
        for (int i = 0; i < upstreams; ++i)
            upstreams_.put(entry(fmt::format("u{}", i)));
        exchange_.addListener(listener_);
    }

    auto find(const std::string& id) const -> Upstream& { return *upstreams_.byId().at(id); }
    auto fresh(const std::string& id) const -> std::optional<ReportedLoad> { return upstreams_.freshSharedLoad(find(id)); }
    auto running(const std::string& id) const -> int { return fresh(id).value_or(ReportedLoad { -1, 0, 0, {} }).running_; }
    auto counted(const std::string& metric) const -> std::int64_t
    {
        std::istringstream lines(metrics_.render());
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("sapphirepass_gateway_" + metric + " "))
                return std::stoll(line.substr(line.rfind(' ')));
        }
        return 0;
    }
    auto dropped(const std::string& cause) const -> std::int64_t { return counted(fmt::format("observations_dropped_total{{cause=\"{}\"}}", cause)); }

    ManualClock clock_;
    UpstreamSet upstreams_ { clock_, { { "north-a", "north" } } };
    Metrics metrics_;
    LoadExchange exchange_ { clock_, upstreams_, metrics_ };
    KeptRuns listener_;
};

// A heartbeat as sent by an instance of the largest deployment.
auto heartbeat() -> MemberReport
{
    MemberReport report;
    report.name_ = "front-mindanao-c-19";
    report.incarnation_ = 0x123456789abcdef1;
    report.front_ = { "10.20.130.119", 8080 };
    report.peer_ = { "10.20.130.119", 7946 };
    report.control_ = { "10.20.130.119", 9901 };
    report.region_ = "mindanao";
    report.domain_ = "mindanao-c";
    report.phase_ = MemberPhase::Ready;
    report.lastChangeRevisions_ = { { { 1'234'567, 3 }, { 1'234'560, 3 }, { 987'654, 3 } } };
    report.acceptsDelegation_ = true;
    return report;
}

// The same with something in every field that the previous build knows.
auto fullHeartbeat() -> MemberReport
{
    auto report = heartbeat();
    report.isSourceLost_ = report.isCutOff_ = report.wantsPeers_ = true;
    report.crashes_ = { { 0xfedcba9876543211, 2 } };
    report.knownPeers_ = { { "10.20.130.120", 7946 } };
    report.coldNotices_ = { { "u-17", 2500ms } };
    report.limitNotices_ = { { "u-18", 1'796'000'123'457, 4.9, 120ms } };
    report.unreachableRegions_ = { "luzon" };
    report.silentMembers_ = { 0x8899aabbccddeeff };
    return report;
}

// heartbeat() as the build of commit f76b5ce, which knows no observations, encodes it.
constexpr std::string_view previousHeartbeat = "1030500101000050020efff1debc9a78563412000501081135a2513c01015148010111654a11695a116d07116d07116d1d118107513c0101116d1d117907117106116d05ff66726f6e742d6d69016e64616e616f2d63072d313903901f110172ff31302e32302e3133001f302e313139030a1f110172ff31302e32302e3133001f302e31313903ad26110172ff31302e32302e3133001f302e313139ff6d696e64616e616f000000ff6d696e64616e616f00032d6310025001010103010301030787d6120780d6120706120f500101500301";
// Bytes of encodings by that build: heartbeat(), fullHeartbeat() and RateAsk { 5, "acme", 3 }.
constexpr std::size_t previousHeartbeatBytes = 210;
constexpr std::size_t previousFullHeartbeatBytes = 306;
constexpr std::size_t previousAskBytes = 22;

auto fromHex(std::string_view hex) -> std::string
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16)));
    return bytes;
}

auto decoded(const std::string& bytes) -> MemberReport
{
    const auto datagram = decodeDatagram(bytes);
    REQUIRE(isOk(datagram));
    REQUIRE(std::holds_alternative<MemberReport>(valueOf(datagram)));
    return std::get<MemberReport>(valueOf(datagram));
}

// What a peer receives of these observations.
auto overWire(const std::vector<Observation>& observations) -> std::vector<Observation>
{
    auto report = heartbeat();
    report.observations_ = observations;
    return decoded(encodeDatagram(report)).observations_;
}

auto randomObservation(std::mt19937_64& random) -> Observation
{
    const auto upTo = [&random](std::uint64_t max) { return static_cast<int>(random() % (max + 1)); };
    ReportedLoad load { upTo(6), upTo(40), 6, (50 + upTo(250)) / 100.0 };
    return { upstreamKey(entry(fmt::format("u{}", upTo(383)), static_cast<std::int64_t>(1'796'000'000'000 + random() % 1'000'000'000))), random(), load, std::chrono::milliseconds(upTo(heartbeatInterval / 1ms)), random() % 8 == 0 };
}

// The schema of the previous build: the present one without what was added for observations.
auto previousSchema() -> std::string
{
    std::ifstream file(std::string(SOURCE_DIR) + "/src/wire/datagram.capnp");
    std::string schema;
    bool isInNewStruct = false;
    for (std::string line; std::getline(file, line);) {
        isInNewStruct = isInNewStruct || line.starts_with("struct Observation ") || line.starts_with("struct WorkspaceUse ") || line.starts_with("struct RoomUse ") || line.starts_with("struct ServiceDemand ");
        const bool isNewField = line.find("observations @20") != std::string::npos || line.find("roomUse @21") != std::string::npos || line.find("demand @22") != std::string::npos;
        const bool isLeftOut = isInNewStruct || isNewField || line.find("Cxx") != std::string::npos;
        if (!isLeftOut)
            schema += line + "\n";
        isInNewStruct = isInNewStruct && line != "}";
    }
    return schema;
}

}

TEST_CASE("the newest observation of an upstream is its shared load", "[load-exchange]")
{
    Instance instance;
    instance.exchange_.record(observation("u0", 1));
    CHECK(instance.running("u0") == 1);
    instance.clock_.advance(100ms);
    // 50 ms younger than the own one, then 100 ms older than it.
    instance.exchange_.apply({ observation("u0", 2, 50ms) });
    CHECK(instance.running("u0") == 2);
    instance.exchange_.apply({ observation("u0", 3, 200ms) });
    CHECK(instance.running("u0") == 2);
    CHECK(instance.find("u0").sharedLoadAt_ == instance.clock_.now() - 50ms);
    instance.exchange_.record(observation("u0", 4));
    CHECK(instance.running("u0") == 4);
    CHECK_FALSE(instance.fresh("u1"));
    // Own observations alone stay apart: they tell whether this instance hears from the upstream.
    CHECK(instance.find("u0").load_ == ReportedLoad {});
}

// Heartbeats of several peers overtake each other, so instances would otherwise end with different loads.
TEST_CASE("the order in which observations arrive makes no difference", "[load-exchange]")
{
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 200; ++round) {
        std::vector<Observation> observations;
        for (int i = 0; i < 24; ++i) {
            auto one = observation(fmt::format("u{}", random() % 4), static_cast<int>(random() % 7), std::chrono::milliseconds(random() % 5 * 10));
            one.load_.waiting_ = static_cast<int>(random() % 3);
            observations.push_back(one);
        }
        Instance first;
        first.exchange_.apply(observations);
        std::shuffle(observations.begin(), observations.end(), random);
        Instance second;
        for (const auto& one : observations)
            second.exchange_.apply({ one });
        for (const auto& [id, upstream] : first.upstreams_.byId()) {
            REQUIRE(upstream->sharedLoad_ == second.find(id).sharedLoad_);
            REQUIRE(upstream->sharedLoadAt_ == second.find(id).sharedLoadAt_);
        }
    }
}

TEST_CASE("an observation that is older than two seconds decides nothing", "[load-exchange]")
{
    Instance instance;
    instance.exchange_.apply({ observation("u0", 5, 2'001ms), observation("u1", 5, 2'000ms) });
    CHECK_FALSE(instance.find("u0").sharedLoad_);
    CHECK(instance.running("u1") == 5);
    CHECK(instance.dropped("stale") == 1);
    CHECK(instance.listener_.runs_.size() == 1);
    instance.clock_.advance(1ms);
    CHECK_FALSE(instance.fresh("u1"));
}

// An instance that froze would otherwise send what it saw before as if it were new.
TEST_CASE("observations keep their age while they wait for a heartbeat", "[load-exchange]")
{
    Instance instance;
    instance.exchange_.record(observation("u0", 1));
    instance.clock_.advance(1'500ms);
    instance.exchange_.record(observation("u1", 2));
    instance.clock_.advance(501ms);
    const auto taken = instance.exchange_.takeForHeartbeat();
    REQUIRE(taken.size() == 1);
    CHECK(taken.front() == observation("u1", 2, 501ms));
    CHECK(instance.dropped("stale") == 1);
}

TEST_CASE("a heartbeat carries the 32 newest observations, newest first, and each once", "[load-exchange]")
{
    Instance instance(40);
    for (int i = 0; i < 40; ++i) {
        instance.exchange_.record(observation(fmt::format("u{}", i), i));
        instance.clock_.advance(5ms);
    }
    const auto taken = instance.exchange_.takeForHeartbeat();
    REQUIRE(taken.size() == LoadExchange::maxObservations);
    for (int i = 0; i < 32; ++i)
        CHECK(taken[static_cast<std::size_t>(i)] == observation(fmt::format("u{}", 39 - i), 39 - i, 5ms * (i + 1)));
    CHECK(instance.dropped("surplus") == 8);
    CHECK(instance.exchange_.takeForHeartbeat().empty());
}

// A peer could otherwise occupy the receiver with a list as long as a datagram.
TEST_CASE("of a longer list from a peer, the first 32 observations are applied", "[load-exchange]")
{
    Instance instance(40);
    std::vector<Observation> sent;
    sent.reserve(40);
    for (int i = 0; i < 40; ++i)
        sent.push_back(observation(fmt::format("u{}", i), 3));
    instance.exchange_.apply(sent);
    CHECK(instance.fresh("u31"));
    CHECK_FALSE(instance.fresh("u32"));
    CHECK(instance.dropped("surplus") == 8);
    CHECK(instance.counted("observations_received_total") == 40);
}

TEST_CASE("an upstream that has restarted does not get the load of its earlier start", "[load-exchange]")
{
    Instance instance;
    instance.exchange_.apply({ observation("u0", 6) });
    instance.upstreams_.put(entry("u0", 2));
    CHECK_FALSE(instance.fresh("u0"));
    instance.exchange_.apply({ observation("u0", 6) });
    CHECK_FALSE(instance.fresh("u0"));
    CHECK(instance.dropped("unknown-upstream") == 1);
    auto later = observation("u0", 1);
    later.upstream_ = upstreamKey(entry("u0", 2));
    instance.exchange_.apply({ later });
    CHECK(instance.running("u0") == 1);
    instance.upstreams_.remove("u0", 0s);
    CHECK_FALSE(instance.upstreams_.ofKey(later.upstream_));
}

// Keys have 32 bits; the load of one upstream must not be taken for that of another.
TEST_CASE("an observation whose key two listed upstreams share is not used", "[load-exchange]")
{
    std::unordered_map<UpstreamKey, std::string> ids;
    std::string first;
    std::string second;
    for (int i = 0; second.empty() && i < 1'000'000; ++i) {
        const auto id = fmt::format("instance-{}", i);
        const auto [known, isNew] = ids.emplace(upstreamKey(entry(id)), id);
        if (isNew)
            continue;
        first = known->second;
        second = id;
    }
    REQUIRE_FALSE(second.empty());
    Instance instance;
    instance.upstreams_.put(entry(first));
    instance.upstreams_.put(entry(second));
    instance.exchange_.apply({ observation(first, 3) });
    CHECK_FALSE(instance.fresh(first));
    CHECK_FALSE(instance.fresh(second));
    CHECK(instance.dropped("unknown-upstream") == 1);
    instance.upstreams_.remove(first, 0s);
    instance.exchange_.apply({ observation(second, 3) });
    CHECK(instance.running(second) == 3);
}

TEST_CASE("absurd figures of a peer are counted and not used, the others of its heartbeat are", "[load-exchange]")
{
    const auto notANumber = std::numeric_limits<double>::quiet_NaN();
    const auto infinite = std::numeric_limits<double>::infinity();
    const std::vector<ReportedLoad> absurd { { -1, 0, 6, 1.0 }, { 0, -1, 6, 1.0 }, { 0, 0, -6, 1.0 }, { 1'000'001, 0, 6, 1.0 }, { 0, 0, 6, 0.0 }, { 0, 0, 6, -1.0 }, { 0, 0, 6, 100.01 }, { 0, 0, 6, notANumber }, { 0, 0, 6, infinite }, { 0, 0, 6, std::nullopt } };
    for (const auto& load : absurd) {
        CAPTURE(load.running_, load.waiting_, load.slots_, load.slowdown_.value_or(-99));
        Instance instance;
        auto one = observation("u0", 0);
        one.load_ = load;
        instance.exchange_.apply({ one, observation("u1", 2) });
        CHECK_FALSE(instance.find("u0").sharedLoad_);
        CHECK(instance.running("u1") == 2);
        CHECK(instance.dropped("invalid") == 1);
        CHECK(instance.listener_.runs_.size() == 1);
    }
    Instance instance;
    instance.exchange_.apply({ observation("u0", 1, -1ms) });
    CHECK_FALSE(instance.find("u0").sharedLoad_);
    CHECK(instance.dropped("invalid") == 1);
}

TEST_CASE("an invalid figure on the wire costs its observation and not the heartbeat", "[load-exchange]")
{
    for (const double slowdown : { 0.0, 100.01, 655.35, 1e9 }) {
        CAPTURE(slowdown);
        auto report = heartbeat();
        report.observations_ = { observation("u0", 1), observation("u1", 2) };
        report.observations_.front().load_.slowdown_ = slowdown;
        const auto received = decoded(encodeDatagram(report));
        CHECK(received.name_ == report.name_);
        Instance instance;
        instance.exchange_.apply(received.observations_);
        CHECK_FALSE(instance.fresh("u0"));
        CHECK(instance.running("u1") == 2);
        CHECK(instance.dropped("invalid") == 1);
    }
}

TEST_CASE("observations arrive over the wire as they were sent", "[load-exchange]")
{
    std::mt19937_64 random(20261204);
    std::vector<Observation> sent { { 0xffffffff, 0xffffffffffffffff, { 65'535, 65'535, 65'535, 100.0 }, 65'535ms, true }, { 0, 0, { 0, 0, 0, 0.01 }, 0ms, false } };
    for (int percent = 1; percent <= 10'000; percent += 7)
        sent.push_back({ 1, 2, { 3, 4, 5, percent / 100.0 }, 6ms, false });
    for (int i = 0; i < 200; ++i)
        sent.push_back(randomObservation(random));
    // In parts, as a longer message exceeds what a decoder reads.
    for (std::size_t from = 0; from < sent.size(); from += LoadExchange::maxObservations) {
        const std::vector<Observation> part(sent.begin() + static_cast<std::ptrdiff_t>(from), sent.begin() + static_cast<std::ptrdiff_t>(std::min(sent.size(), from + LoadExchange::maxObservations)));
        REQUIRE(overWire(part) == part);
    }
}

// Figures that do not fit must not wrap around to small ones.
TEST_CASE("loads and ages that exceed their field are sent as the greatest that fits", "[load-exchange]")
{
    const auto received = overWire({ { 1, 2, { 1'000'000, 70'000, 65'536, 1.0 }, 100'000ms, false } });
    CHECK(received == std::vector<Observation> { { 1, 2, { 65'535, 65'535, 65'535, 1.0 }, 65'535ms, false } });
}

TEST_CASE("the heartbeat of the previous build has no observations and is taken in", "[load-exchange]")
{
    const auto received = decoded(fromHex(previousHeartbeat));
    CHECK((received == heartbeat()));
    Instance instance;
    instance.exchange_.apply(received.observations_);
    CHECK(instance.counted("observations_received_total") == 0);
}

TEST_CASE("the previous build reads a heartbeat with observations and ignores them", "[load-exchange]")
{
    auto report = fullHeartbeat();
    std::mt19937_64 random(20261204);
    for (std::size_t i = 0; i < LoadExchange::maxObservations; ++i)
        report.observations_.push_back(randomObservation(random));
    const auto bytes = encodeDatagram(report);

    const auto schemaText = previousSchema();
    const auto directory = kj::newInMemoryDirectory(kj::nullClock());
    const kj::Path path("datagram.capnp");
    directory->openFile(path, kj::WriteMode::CREATE)->writeAll(kj::StringPtr(schemaText.c_str(), schemaText.size()));
    const capnp::SchemaParser parser;
    const auto schema = parser.parseFromDirectory(*directory, kj::Path("datagram.capnp"), nullptr);
    const auto heartbeatSchema = schema.getNested("Heartbeat").asStruct();
    REQUIRE(heartbeatSchema.getFields().size() == 20);
    REQUIRE(heartbeatSchema.findFieldByName("observations") == nullptr);
    kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(in);
    const auto datagram = message.getRoot<capnp::DynamicStruct>(schema.getNested("PeerDatagram").asStruct());
    const auto read = datagram.get("heartbeat").as<capnp::DynamicStruct>();
    CHECK(std::string(read.get("name").as<capnp::Text>().cStr()) == report.name_);
    CHECK(read.get("incarnation").as<std::uint64_t>() == report.incarnation_);
    CHECK(std::string(read.get("control").as<capnp::DynamicStruct>().get("host").as<capnp::Text>().cStr()) == report.control_.host_);
    CHECK(read.get("acceptsDelegation").as<bool>());
    const auto silent = read.get("silentMembers").as<capnp::DynamicList>();
    REQUIRE(silent.size() == 1);
    CHECK(silent[0].as<std::uint64_t>() == report.silentMembers_.front());
    const auto limits = read.get("limits").as<capnp::DynamicList>();
    REQUIRE(limits.size() == 1);
    CHECK(limits[0].as<capnp::DynamicStruct>().get("perSecond").as<double>() == 4.9);
}

// With peers of each region in 400 ms, the bytes of a heartbeat grow with the square of the instances of a region.
TEST_CASE("a heartbeat with 32 observations stays below 1,000 bytes", "[load-exchange]")
{
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 500; ++round) {
        auto report = heartbeat();
        for (std::size_t i = 0; i < LoadExchange::maxObservations; ++i)
            report.observations_.push_back(randomObservation(random));
        REQUIRE(encodeDatagram(report).size() < 1'000);
    }
}

// Services whose upstreams name no slowdown are placed as before, and must not pay for what they do not use.
TEST_CASE("without a slowdown nothing is shared and no datagram grows", "[load-exchange]")
{
    Instance instance;
    auto without = observation("u0", 2);
    without.load_.slowdown_.reset();
    instance.exchange_.record(without);
    CHECK(instance.running("u0") == 2);
    CHECK(instance.exchange_.takeForHeartbeat().empty());
    CHECK(encodeDatagram(heartbeat()).size() <= previousHeartbeatBytes);
    CHECK(encodeDatagram(fullHeartbeat()).size() <= previousFullHeartbeatBytes);
    CHECK(encodeDatagram(RateAsk { 5, "acme", 3 }).size() <= previousAskBytes);
}

TEST_CASE("the clocks of the instances need not agree", "[load-exchange]")
{
    Instance sender;
    Instance receiver;
    sender.clock_.advance(9h);
    receiver.clock_.advance(2min);
    sender.exchange_.record(observation("u0", 4));
    sender.clock_.advance(150ms);
    receiver.clock_.advance(150ms);
    receiver.exchange_.apply(overWire(sender.exchange_.takeForHeartbeat()));
    CHECK(receiver.running("u0") == 4);
    CHECK(receiver.find("u0").sharedLoadAt_ == receiver.clock_.now() - 150ms);
    // A later observation by the instance whose clock is behind wins all the same.
    receiver.exchange_.record(observation("u0", 1));
    sender.exchange_.apply(overWire(receiver.exchange_.takeForHeartbeat()));
    CHECK(sender.running("u0") == 1);
}

// The load that the instance knows is that of the newest datagram that arrived, for two seconds.
TEST_CASE("lost datagrams only let the shared load age", "[load-exchange]")
{
    std::mt19937_64 random(20261204);
    Instance sender;
    Instance receiver;
    std::optional<int> lastArrived;
    Duration since {};
    int unknown = 0;
    for (int beat = 0; beat < 2'000; ++beat) {
        const int running = static_cast<int>(random() % 7);
        sender.exchange_.record(observation("u0", running));
        const auto sent = overWire(sender.exchange_.takeForHeartbeat());
        if (random() % 5 == 0) {
            receiver.exchange_.apply(sent);
            lastArrived = running;
            since = {};
        }
        const bool isKnown = lastArrived && since <= 2s;
        REQUIRE(receiver.running("u0") == (isKnown ? *lastArrived : -1));
        unknown += isKnown ? 0 : 1;
        sender.clock_.advance(heartbeatInterval);
        receiver.clock_.advance(heartbeatInterval);
        since += heartbeatInterval;
    }
    // Four of five datagrams are lost: both states have occurred.
    CHECK(unknown > 0);
    CHECK(unknown < 2'000);
}

TEST_CASE("a listener learns which upstream ran which object, from this instance and from peers", "[load-exchange]")
{
    Instance instance;
    instance.exchange_.record(observation("u0", 1, 0ms, 11));
    auto rejection = observation("u1", 6, 0ms, 12);
    rejection.isRejection_ = true;
    // A rejected request has not run, and a request without an object warms none.
    instance.exchange_.apply({ rejection, observation("u2", 1, 30ms, 0), observation("u3", 1, 40ms, 13) });
    const auto now = instance.clock_.now();
    CHECK(instance.listener_.runs_ == std::vector<SeenRun> { { "u0", 11, now, true }, { "u3", 13, now - 40ms, false } });
    CHECK(instance.running("u1") == 6);
    CHECK(instance.running("u2") == 1);
    const auto taken = instance.exchange_.takeForHeartbeat();
    CHECK(taken == std::vector<Observation> { observation("u0", 1, 0ms, 11) });
}

TEST_CASE("peers near and beyond a region are all peers, each once", "[load-exchange]")
{
    ManualClock clock;
    FleetView fleet(clock, { 2s, 20s }, "self");
    for (int i = 0; i < 9; ++i) {
        MemberReport report;
        report.name_ = fmt::format("e{}", i);
        report.peer_ = { "10.0.0.1", static_cast<std::uint16_t>(7'000 + i) };
        report.region_ = i % 3 == 0 ? "north" : "south";
        fleet.updateMember(report);
    }
    fleet.addListedMember("silent", { "10.0.0.1", 8'000 });
    auto all = fleet.peerAddressesNear("north");
    CHECK(all.size() == 4);
    const auto beyond = fleet.peerAddressesBeyond("north");
    CHECK(beyond.size() == 6);
    all.insert(all.end(), beyond.begin(), beyond.end());
    std::sort(all.begin(), all.end());
    auto expected = fleet.peerAddresses();
    std::sort(expected.begin(), expected.end());
    CHECK(all == expected);
}
