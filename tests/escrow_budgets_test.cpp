// Tests the escrow protocol over peer links and the store, with limits from the configuration.
#include "admission/escrow_budgets.h"
#include "admission/escrow_totals.h"
#include "config/command_func.h"
#include "language/command_parser.h"
#include "standin/memory_peers.h"
#include "standin/memory_store.h"

#include <array>
#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace sapphirepass;
using namespace sapphirepass::standin;
using namespace std::chrono_literals;

namespace {

// Three instances without threads; run() ticks them, delivers their messages and reads the epoch record.
class Fleet {
public:
    explicit Fleet(const std::string& commands)
    {
        apply(commands);
        for (std::size_t i = 0; i < 3; ++i)
            start(i);
    }

    auto apply(const std::string& commands) -> void
    {
        LogEntry entry;
        entry.revision_ = config_.snapshot()->revision() + 1;
        entry.id_ = fmt::format("c{}", entry.revision_);
        entry.text_ = commands;
        REQUIRE(isOk(config_.apply({ entry.revision_, { entry } })));
    }

    auto start(std::size_t index) -> void
    {
        const InstanceId id { fmt::format("e{}", index), 1'000 * ++starts_ };
        links_[index] = peers_.join(id);
        budgets_[index] = std::make_unique<EscrowBudgets>(clock_, id, *links_[index], store_, config_, metrics_);
    }

    auto run(Duration time) -> void
    {
        for (auto passed = Duration::zero(); passed < time; passed += escrowTickInterval) {
            clock_.advance(escrowTickInterval);
            ++ticks_;
            for (const auto& budgets : budgets_) {
                budgets->tickOnce();
                if (ticks_ % 50 == 0 || (ticks_ % 5 == 0 && budgets->isSyncUrgent()))
                    budgets->syncOnce();
            }
            peers_.deliver(1'000);
        }
    }

    // Tries to spend one unit per tick; returns how many were spent.
    auto spend(std::size_t index, const BudgetId& id, int ticks) -> int
    {
        int spent = 0;
        for (int i = 0; i < ticks; ++i) {
            run(escrowTickInterval);
            spent += budgets_[index]->trySpend(id, 1) ? 1 : 0;
        }
        return spent;
    }

    ManualClock clock_;
    MemoryStore store_;
    MemoryPeers peers_ { 5 };
    ConfigState config_;
    Metrics metrics_;
    std::array<std::unique_ptr<PeerLink>, 3> links_;
    std::array<std::unique_ptr<EscrowBudgets>, 3> budgets_;
    std::uint64_t starts_ = 0;
    int ticks_ = 0;
};

const BudgetId acme { BudgetKind::WorkspaceRate, "acme" };
const BudgetId luzon { BudgetKind::RegionSlots, "luzon" };

}

TEST_CASE("a workspace can use its full rate at one instance and then at another", "[escrow]")
{
    Fleet fleet("declare workspace acme rate 10 burst 5");
    fleet.run(20s);
    fleet.spend(0, acme, 30);
    CHECK(fleet.spend(0, acme, 100) >= 97);
    fleet.spend(2, acme, 10);
    CHECK(fleet.spend(2, acme, 100) >= 97);
    EscrowAdmitter admitter(*fleet.budgets_[1]);
    const auto refused = admitter.admit({ "unknown", 1, 1 });
    CHECK(errorOf(refused).kind_ == RefusalKind::OverRate);
    CHECK(errorOf(refused).executed_ == Executed::No);
}

TEST_CASE("a rate change and a retired workspace take effect under load", "[escrow]")
{
    Fleet fleet("declare workspace acme rate 10 burst 5");
    fleet.run(20s);
    fleet.spend(0, acme, 30);
    fleet.apply("change workspace acme rate 5");
    fleet.spend(0, acme, 20);
    const auto halved = fleet.spend(0, acme, 100);
    CHECK(halved >= 47);
    CHECK(halved <= 55);
    fleet.apply("retire workspace acme");
    fleet.run(200ms);
    CHECK_FALSE(fleet.budgets_[0]->trySpend(acme, 1));
}

TEST_CASE("concurrent requests never exceed the limit, and free slots move to other instances", "[escrow]")
{
    Fleet fleet("declare region luzon limit 4");
    fleet.run(20s);
    CHECK(fleet.spend(0, luzon, 30) == 4);
    CHECK(fleet.spend(1, luzon, 30) == 0);
    fleet.budgets_[0]->releaseSlots(luzon, 3);
    CHECK(fleet.spend(1, luzon, 60) == 3);
}

TEST_CASE("the number of store calls is bounded, however many requests arrive", "[escrow]")
{
    Fleet fleet("declare workspace acme rate 1000 burst 500");
    fleet.run(30s);
    const auto before = fleet.store_.calls();
    for (int i = 0; i < 600; ++i) {
        fleet.run(escrowTickInterval);
        for (int n = 0; n < 50; ++n)
            fleet.budgets_[static_cast<std::size_t>(n % 3)]->trySpend(acme, 1);
    }
    const auto after = fleet.store_.calls();
    CHECK(after.writes_ == before.writes_);
    // One conditional read per instance every 5 s.
    CHECK(after.reads_ + after.watches_ - before.reads_ - before.watches_ <= 3 * 13);
}

TEST_CASE("a lost answer to a write of the epoch record does not affect the admitted rate", "[escrow]")
{
    Fleet fleet("declare workspace acme rate 10 burst 5");
    fleet.store_.setFaults({ false, 0ms, 3 });
    fleet.run(30s);
    fleet.spend(0, acme, 30);
    CHECK(fleet.spend(0, acme, 100) >= 97);
}

TEST_CASE("a leaving instance transfers its shares", "[escrow]")
{
    Fleet fleet("declare workspace acme rate 10 burst 5");
    fleet.run(20s);
    fleet.spend(0, acme, 30);
    fleet.budgets_[0]->leave(0ms);
    fleet.run(2s);
    CHECK(fleet.budgets_[0]->hasLeft());
}
