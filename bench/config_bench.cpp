// Configuration against the number of declared things: time of a change, memory, codecs, commands a second.
// Usage: config_bench [SIZE ...]; prints JSON.
#include "base/event_log.h"
#include "config/command_func.h"
#include "config/snapshot_codec.h"
#include "language/command_parser.h"
#include "standin/memory_store.h"
#include "store/command_service.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <unistd.h>

using namespace sapphirepass;

namespace {

using Json = nlohmann::json;

constexpr int changesMeasured = 200;
constexpr int commandsMeasured = 100;
constexpr int headEntries = 100;

// Mean time of one run in microseconds.
template <typename Run>
auto measure(int count, Run run) -> double
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i)
        run(i);
    const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - start;
    return taken.count() / count;
}

auto residentBytes() -> std::int64_t
{
    std::int64_t total = 0;
    std::int64_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

// The most that the process has ever held.
auto peakBytes() -> std::int64_t
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    constexpr std::int64_t kibibyte = 1024;
    return usage.ru_maxrss * kibibyte;
}

auto keyOf(int n) -> Key
{
    return { fmt::format("key-{:06}", n), "acme", fmt::format("{:016x}", n), fmt::format("{:064x}", n) };
}

auto upstreamOf(int n) -> Upstream
{
    Upstream upstream;
    upstream.name_ = fmt::format("upstream-{:06}", n);
    upstream.service_ = "configurator-core";
    upstream.domain_ = "luzon-1";
    upstream.address_ = *parseSocketAddress(fmt::format("10.{}.{}.{}:9000", n / 65536, n / 256 % 256, n % 256));
    upstream.slots_ = 4;
    return upstream;
}

auto baseSnapshot() -> Snapshot
{
    constexpr std::string_view text = "declare region luzon; declare domain luzon-1 region luzon; declare workspace acme rate 10 burst 5";
    return valueOf(applyBatch(Snapshot {}, valueOf(parseBatch(text))));
}

// Half keys, half upstreams.
auto fill(Snapshot snapshot, int size) -> Snapshot
{
    for (int n = 0; n < size / 2; ++n)
        snapshot = snapshot.with(keyOf(n)).with(upstreamOf(n));
    return snapshot;
}

auto measureChanges(const Snapshot& full, int size) -> double
{
    auto snapshot = full;
    return measure(changesMeasured, [&](int i) {
        const auto text = fmt::format("change upstream upstream-{:06} slots {}", (i * 7919) % (size / 2), 1 + i % 9);
        snapshot = valueOf(applyBatch(snapshot, valueOf(parseBatch(text))));
    });
}

auto measureCommands(const Snapshot& full, int size) -> Json
{
    standin::MemoryStore store;
    const SystemClock clock;
    ConfigState state;
    state.install(full);
    LogHead head { full.revision(), {} };
    head.snapshot_.revision_ = full.revision();
    store.write(std::string(headObjectName), encodeLogHead(head), absentVersion);
    LogBounds bounds;
    // Cuts are measured by the snapshot codec.
    bounds.cutBytes_ = maxObjectBytes;
    CommandService service(store, state, clock, bounds);
    const auto micros = measure(commandsMeasured, [&](int i) {
        const auto text = fmt::format("change upstream upstream-{:06} slots {}", (i * 7919) % (size / 2), 1 + i % 9);
        service.submit({ text, fmt::format("id-{}", i), "bench", "127.0.0.1", CommandMode::Real, std::nullopt });
    });
    bounds.cutBytes_ = 0;
    const auto cutMicros = measure(1, [&](int) { cutLog(store, state, bounds); });
    constexpr int microsInSecond = 1'000'000;
    return { { "commands_per_s", microsInSecond / micros }, { "cut_ms", cutMicros / 1000 } };
}

auto runSize(int size) -> Json
{
    const auto before = residentBytes();
    const auto start = std::chrono::steady_clock::now();
    const auto full = fill(baseSnapshot(), size);
    const std::chrono::duration<double> built = std::chrono::steady_clock::now() - start;
    const auto bytes = residentBytes() - before;
    std::string text;
    Snapshot decoded;
    const auto encodeMicros = measure(1, [&](int) { text = encodeSnapshot(full); });
    const auto beforeDecode = residentBytes();
    const auto decodeMicros = measure(1, [&](int) { decoded = valueOf(decodeSnapshot(text)); });
    const auto decodePeak = peakBytes() - beforeDecode;
    const bool same = decoded.stateHash() == full.stateHash();
    Json result { { "items", size }, { "build_s", built.count() }, { "resident_bytes_per_item", bytes / size }, { "change_us", measureChanges(full, size) },
        { "snapshot_bytes", text.size() }, { "snapshot_encode_ms", encodeMicros / 1000 }, { "snapshot_decode_ms", decodeMicros / 1000 },
        { "snapshot_decode_peak_bytes", decodePeak },
        { "round_trip_equal", same } };
    result.update(measureCommands(full, size));
    return result;
}

auto runHead() -> Json
{
    LogHead head { headEntries, {} };
    for (int n = 1; n <= headEntries; ++n)
        head.entries_.push_back({ n, fmt::format("{:032x}", n), "ana", "127.0.0.1", "2026-12-03T10:00:00.000Z", fmt::format("change upstream upstream-{:06} slots 4", n), 1 });
    const auto text = encodeLogHead(head);
    constexpr int runs = 200;
    return { { "entries", headEntries }, { "bytes", text.size() }, { "encode_us", measure(runs, [&](int) { encodeLogHead(head); }) },
        { "decode_us", measure(runs, [&](int) { decodeLogHead(text); }) } };
}

}

auto main(int argc, char** argv) -> int
{
    setLogLevel(LogLevel::Error);
    Json sizes = Json::array();
    for (int i = 1; i < argc; ++i)
        sizes.push_back(runSize(std::stoi(argv[i])));
    if (argc == 1) {
        for (const int size : { 1'000, 10'000, 100'000 })
            sizes.push_back(runSize(size));
    }
    std::cout << Json { { "head", runHead() }, { "sizes", sizes } }.dump(2) << "\n";
    return 0;
}
