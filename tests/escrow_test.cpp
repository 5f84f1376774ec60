// Tests the escrow protocol under random and selected schedules of faults.
#include "admission/escrow_wire.h"
#include "standin/escrow_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

const BudgetId acme { BudgetKind::WorkspaceRate, "acme" };
constexpr BudgetTotal acmeTotal { 100, 60 };

auto makeFleet(std::uint64_t seed, std::size_t size) -> EscrowFleet
{
    EscrowFleet fleet(seed, { { acme, acmeTotal } });
    for (std::size_t i = 0; i < size; ++i)
        fleet.start(i);
    return fleet;
}

// Sends a request to one instance every 10 ms; returns how many were admitted.
auto offerLoad(EscrowFleet& fleet, std::size_t index, Duration time, WindowCheck& check) -> int
{
    int admitted = 0;
    for (auto passed = Duration::zero(); passed < time; passed += 10ms) {
        fleet.advance(10ms);
        if (!fleet.request(index, acme))
            continue;
        ++admitted;
        REQUIRE(check.admit(fleet.now()));
    }
    return admitted;
}

struct Step {
    int action_ = 0;
    std::size_t instance_ = 0;
    int amount_ = 0;
};

constexpr std::size_t fleetSize = 3;

// Sends every instance more requests than its share admits, so that a share held twice exceeds the limit.
auto saturate(EscrowFleet& fleet, Duration time, WindowCheck& check) -> void
{
    constexpr Duration interval = 50ms;
    for (auto passed = Duration::zero(); passed < time; passed += interval) {
        fleet.advance(interval);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            while (fleet.request(i, acme))
                RC_ASSERT(check.admit(fleet.now()));
        }
    }
}

auto apply(EscrowFleet& fleet, const Step& step, WindowCheck& check) -> void
{
    const auto i = step.instance_;
    switch (step.action_) {
    case 0:
        fleet.crash(i);
        return;
    case 1:
        fleet.start(i);
        return;
    case 2:
        fleet.setPaused(i, true);
        return;
    case 3:
        fleet.setPaused(i, false);
        return;
    case 4:
        fleet.setOutage(step.amount_ % 2 == 0);
        return;
    case 5:
        fleet.setCut(i, step.amount_ % 2 == 0);
        return;
    case 6:
        fleet.delayRead(i);
        return;
    case 7:
        fleet.advance(std::chrono::seconds(step.amount_));
        return;
    case 8:
        fleet.leave(i);
        return;
    default:
        saturate(fleet, std::chrono::milliseconds(200 * step.amount_), check);
    }
}

}

TEST_CASE("in any time window and schedule the fleet admits at most the burst plus the rate", "[escrow]")
{
    const auto anyStep = rc::gen::build<Step>(rc::gen::set(&Step::action_, rc::gen::inRange(0, 14)),
        rc::gen::set(&Step::instance_, rc::gen::inRange<std::size_t>(0, fleetSize)), rc::gen::set(&Step::amount_, rc::gen::inRange(0, 60)));
    rc::prop("admitted <= burst + rate * T", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto percent = *rc::gen::inRange(0, 30);
        const auto steps = *rc::gen::container<std::vector<Step>>(40, anyStep);
        auto fleet = makeFleet(seed, fleetSize);
        fleet.setFaults({ percent, percent, percent });
        fleet.setGrain(25ms);
        WindowCheck check(acmeTotal);
        fleet.advance(2s);
        for (const auto& step : steps)
            apply(fleet, step, check);
    });
}

TEST_CASE("shares follow demand within a second", "[escrow]")
{
    auto fleet = makeFleet(7, 12);
    WindowCheck check(acmeTotal);
    fleet.advance(30s);
    offerLoad(fleet, 3, 5s, check);
    // 100 requests a second are offered; the clock drift margin costs one in a thousand.
    CHECK(offerLoad(fleet, 3, 5s, check) >= 490);
    offerLoad(fleet, 8, 1s, check);
    CHECK(offerLoad(fleet, 8, 5s, check) >= 490);
}

TEST_CASE("shares still follow demand after an hour without the store", "[escrow]")
{
    auto fleet = makeFleet(8, 5);
    WindowCheck check(acmeTotal);
    fleet.advance(30s);
    offerLoad(fleet, 0, 2s, check);
    fleet.setOutage(true);
    fleet.advance(60min);
    offerLoad(fleet, 4, 1s, check);
    CHECK(offerLoad(fleet, 4, 5s, check) >= 480);
}

TEST_CASE("the share of a crashed holder is issued again only after its lease expires", "[escrow]")
{
    auto fleet = makeFleet(9, 5);
    WindowCheck check(acmeTotal);
    fleet.advance(30s);
    offerLoad(fleet, 2, 5s, check);
    fleet.crash(2);
    offerLoad(fleet, 1, 30s, check);
    offerLoad(fleet, 1, 1s, check);
    CHECK(offerLoad(fleet, 1, 5s, check) >= 480);
}

TEST_CASE("a holder that resumes after its lease expired cannot spend", "[escrow]")
{
    auto fleet = makeFleet(10, 3);
    WindowCheck check(acmeTotal);
    fleet.advance(30s);
    offerLoad(fleet, 1, 3s, check);
    fleet.setPaused(1, true);
    fleet.advance(escrowLease + 10s);
    fleet.setPaused(1, false);
    CHECK_FALSE(fleet.request(1, acme));
}

TEST_CASE("an instance that reaches neither the store nor a majority stops spending when its lease expires", "[escrow]")
{
    auto fleet = makeFleet(11, 5);
    WindowCheck check(acmeTotal);
    fleet.advance(30s);
    offerLoad(fleet, 1, 3s, check);
    fleet.advance(1s);
    fleet.setCut(1, true);
    CHECK(fleet.request(1, acme));
    fleet.advance(escrowLease + 1s);
    CHECK_FALSE(fleet.request(1, acme));
}

TEST_CASE("a fleet whose instances all restart begins without burst and recovers", "[escrow]")
{
    auto fleet = makeFleet(12, 5);
    WindowCheck check(acmeTotal);
    fleet.advance(30s);
    offerLoad(fleet, 0, 3s, check);
    for (std::size_t i = 0; i < 5; ++i)
        fleet.start(i);
    CHECK_FALSE(fleet.request(0, acme));
    fleet.advance(90s);
    offerLoad(fleet, 0, 1s, check);
    CHECK(offerLoad(fleet, 0, 5s, check) >= 480);
}

TEST_CASE("a planned leave transfers all shares to other instances", "[escrow]")
{
    auto fleet = makeFleet(13, 5);
    WindowCheck check(acmeTotal);
    fleet.advance(30s);
    offerLoad(fleet, 2, 3s, check);
    fleet.leave(2);
    fleet.advance(2s);
    CHECK(fleet.holder(2).hasLeft());
    fleet.crash(2);
    offerLoad(fleet, 1, 1s, check);
    CHECK(offerLoad(fleet, 1, 5s, check) >= 480);
}

TEST_CASE("escrow messages and the epoch record are decoded as they were encoded", "[escrow]")
{
    EscrowMessage message { EscrowMessageKind::Recall, 7, { "e1", 5 }, { "e2", 6 }, 9, { "e3", 8 } };
    message.shares_ = { { acme, { 123, 456 } }, { { BudgetKind::LinkBytes, "a:out" }, { 1, 0 } } };
    CHECK(decodeEscrowMessage(encodeEscrowMessage(message), "e1", "e2") == message);
    CHECK_FALSE(decodeEscrowMessage("\xff\xff\xff", "e1", "e2"));
    const EpochRecord record { 3, { "e1", 18'446'744'073'709'551'615U }, true, { { "e1", 5 } }, { { "e2", 6 } }, { { { "e3", 8 } }, {} } };
    CHECK(decodeEpochRecord(encodeEpochRecord(record)) == record);
    CHECK_FALSE(decodeEpochRecord("{}"));
}
