// Look-ups against the number of client blocks: memory, time of a look-up, time of a change. Usage: block_bench [SIZE ...]; prints JSON.
// One size a run gives true memory figures, as freed memory is used again.
#include "config/snapshot.h"
#include "steering/lookup_func.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <unistd.h>

using namespace sapphirepass;

namespace {

constexpr int lookupsMeasured = 100'000;
constexpr int changesMeasured = 100;
constexpr int instanceCount = 12;

auto residentBytes() -> std::int64_t
{
    std::int64_t total = 0;
    std::int64_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

auto addressOf(std::uint32_t number) -> std::string
{
    return fmt::format("{}.{}.{}.{}", 10 + (number >> 24), number >> 16 & 255, number >> 8 & 255, number & 255);
}

// A block of 16 addresses.
auto blockOf(std::uint32_t number) -> ClientBlock
{
    return { addressOf(number * 16) + "/28", number % 2 == 0 ? "luzon" : "visayas" };
}

template <typename Run>
auto microsecondsEach(int count, Run run) -> double
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i)
        run();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / count;
}

auto instances() -> std::vector<PlatformInstance>
{
    std::vector<PlatformInstance> list;
    list.reserve(instanceCount);
    for (int i = 0; i < instanceCount; ++i)
        list.push_back({ fmt::format("entry-{}", i), i % 2 == 0 ? "luzon" : "visayas", "d", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } });
    return list;
}

auto measure(std::uint32_t size) -> nlohmann::json
{
    const auto before = residentBytes();
    Snapshot snapshot;
    for (std::uint32_t i = 0; i < size; ++i)
        snapshot = snapshot.with(blockOf(i));
    const auto bytes = residentBytes() - before;
    std::mt19937_64 random(20261203);
    const auto list = instances();
    std::size_t found = 0;
    const double lookup = microsecondsEach(lookupsMeasured, [&] {
        const LookupRequest request { "acme", addressOf(static_cast<std::uint32_t>(random() % (std::uint64_t { size } * 16))) };
        found += lookUpInstances(snapshot, list, "luzon", request).instances_.size();
    });
    const double change = microsecondsEach(changesMeasured, [&] { snapshot = snapshot.with(blockOf(static_cast<std::uint32_t>(random() % size))); });
    return { { "blocks", size }, { "resident_bytes_per_block", bytes / size }, { "lookup_us", lookup }, { "change_us", change }, { "found", found } };
}

}

auto main(int argc, char** argv) -> int
{
    nlohmann::json result = nlohmann::json::array();
    for (int i = 1; i < argc; ++i)
        result.push_back(measure(static_cast<std::uint32_t>(std::stoul(argv[i]))));
    std::cout << result.dump(2) << "\n";
    return 0;
}
