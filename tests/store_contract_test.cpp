// Every ObjectStore keeps the same contract: the one in memory and the HTTP client with the stand-in store.
#include "standin/free_ports.h"
#include "standin/store_http.h"
#include "store/http_object_store.h"

#include <catch2/catch.hpp>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

auto checkContract(ObjectStore& store) -> void
{
    CHECK(errorOf(store.read("a")).kind_ == StoreErrorKind::NotFound);
    const auto first = store.write("a", "one", absentVersion);
    REQUIRE(isOk(first));
    CHECK(errorOf(store.write("a", "again", absentVersion)).kind_ == StoreErrorKind::Conflict);
    const auto second = store.write("a", "two", valueOf(first));
    REQUIRE(isOk(second));
    CHECK(valueOf(second) > valueOf(first));
    CHECK(errorOf(store.write("a", "late", valueOf(first))).kind_ == StoreErrorKind::Conflict);
    CHECK(valueOf(store.read("a")) == StoredObject { "a", valueOf(second), "two" });
    CHECK(valueOf(store.watch("a", valueOf(first), 1s))->value_ == "two");
    CHECK(!valueOf(store.watch("a", valueOf(second), 1ms)).has_value());
    REQUIRE(isOk(store.write("ab", "x", absentVersion)));
    CHECK(valueOf(store.list("a")) == std::vector<std::string> { "a", "ab" });
    CHECK(errorOf(store.write("big", std::string(maxObjectBytes + 1, 'x'), absentVersion)).kind_ == StoreErrorKind::TooLarge);
    CHECK(errorOf(store.remove("a", valueOf(first))).kind_ == StoreErrorKind::Conflict);
    CHECK(isOk(store.remove("a", valueOf(second))));
    CHECK(errorOf(store.read("a")).kind_ == StoreErrorKind::NotFound);
}

auto checkFaults(standin::MemoryStore& memory, ObjectStore& store) -> void
{
    memory.setFaults({ true, 0ms, 0 });
    CHECK(errorOf(store.read("a")).kind_ == StoreErrorKind::Unreachable);
    CHECK(errorOf(store.write("a", "x", absentVersion)).kind_ == StoreErrorKind::Unreachable);
    memory.setFaults({ false, 0ms, 1 });
    CHECK(errorOf(store.write("lost", "x", absentVersion)).kind_ == StoreErrorKind::AnswerLost);
    CHECK(valueOf(store.read("lost")).value_ == "x");
    const PlatformInstance instance { "e1", "luzon", "luzon-1", { "127.0.0.1", 1 }, { "127.0.0.1", 2 }, InstancePhase::Leaving };
    memory.setInstances({ instance });
    CHECK(valueOf(store.instances()) == std::vector { instance });
}

}

TEST_CASE("the store in memory keeps the contract", "[store]")
{
    standin::MemoryStore memory;
    checkContract(memory);
    checkFaults(memory, memory);
}

TEST_CASE("the HTTP store keeps the contract", "[store]")
{
    standin::MemoryStore memory;
    const SocketAddress address { "127.0.0.1", standin::freePorts(1).front() };
    const standin::StoreServer server(memory, address);
    HttpObjectStore store(address, 300ms);
    checkContract(store);
    checkFaults(memory, store);
}

TEST_CASE("a store that is not there is unreachable", "[store]")
{
    HttpObjectStore store({ "127.0.0.1", standin::freePorts(1).front() }, 300ms);
    CHECK(errorOf(store.read("a")).kind_ == StoreErrorKind::Unreachable);
    CHECK(errorOf(store.write("a", "x", absentVersion)).kind_ == StoreErrorKind::Unreachable);
}
