// Explores every order of events in a small fleet: three holders, two transfers, one new epoch. An event that never
// happens models a loss, crash or pause; delivery without removal models a duplicate.
#include "admission/escrow_ledger.h"
#include "admission/escrow_membership.h"

#include <catch2/catch.hpp>
#include <set>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

const BudgetId acme { BudgetKind::WorkspaceRate, "acme" };
const BudgetTotals totals { { acme, { 100, 60 } } };
constexpr std::size_t fleetSize = 3;
constexpr Duration step = 8s;

// Faults that are injected into the protocol, one at a time.
enum class Mutant {
    None,
    CreditTwice,
    SendBeforeDebit,
    IssueBeforeExpiry,
    IgnoreLease,
    CreditOldEpoch,
    RenewUnreported,
    ReportNothing,
    TransferUnreported,
};

struct Limits {
    int transfers_ = 2;
    int deliveries_ = 4;
    int duplicates_ = 1;
    int steps_ = 4;
    int epochs_ = 1;
    int pings_ = 1;

    auto operator<=>(const Limits&) const = default;
};

struct Node {
    EscrowLedger ledger_;
    EscrowMembership membership_;

    auto operator<=>(const Node&) const = default;
};

struct World {
    std::vector<Node> nodes_;
    EpochRecord record_;
    std::set<EscrowMessage> messages_;
    MonotonicTime now_ { 1h };
    Limits remaining_;

    auto operator<=>(const World&) const = default;
};

auto holderId(std::size_t index) -> HolderId
{
    return { std::string(1, static_cast<char>('a' + index)), 1 };
}

class Explorer {
public:
    explicit Explorer(Mutant mutant)
        : mutant_(mutant)
    {
    }

    // Whether some order of events lets the holders hold more than the full fraction.
    auto findsViolation(const Limits& limits) -> bool
    {
        seen_.clear();
        violated_ = false;
        visit(start(limits));
        return violated_;
    }
    auto states() const -> std::size_t { return seen_.size(); }

private:
    auto start(const Limits& limits) const -> World
    {
        World world;
        world.remaining_ = limits;
        world.record_ = { 1, { "z", 1 }, true, {}, {}, {} };
        for (std::size_t i = 0; i < fleetSize; ++i) {
            world.record_.holders_.push_back(holderId(i));
            world.record_.voters_.push_back(holderId(i));
        }
        for (std::size_t i = 0; i < fleetSize; ++i) {
            Node node { EscrowLedger(holderId(i)), EscrowMembership(holderId(i)) };
            node.membership_.observe(world.record_, world.now_, world.now_);
            node.membership_.epochEntered(node.ledger_.enterEpoch(1, totals));
            node.membership_.observe(world.record_, world.now_, world.now_);
            world.nodes_.push_back(std::move(node));
        }
        world.nodes_[0].ledger_.account(acme, totals.at(acme), world.now_).credit({ fullFraction, 0 }, world.now_);
        return world;
    }

    auto heldBy(const World& world, const Node& node) const -> Fraction
    {
        const bool holdsLease = mutant_ == Mutant::IgnoreLease || node.membership_.holdsLease(world.now_);
        const auto found = node.ledger_.accounts().find(acme);
        return holdsLease && found != node.ledger_.accounts().end() ? found->second.fraction() : 0;
    }

    auto isViolated(const World& world) const -> bool
    {
        Fraction held = 0;
        for (const auto& node : world.nodes_)
            held += heldBy(world, node);
        return held > fullFraction;
    }

    auto visit(const World& first) -> void
    {
        std::vector<World> frontier { first };
        while (!frontier.empty() && !violated_) {
            const auto world = std::move(frontier.back());
            frontier.pop_back();
            if (!seen_.insert(world).second)
                continue;
            violated_ = isViolated(world);
            expand(world, frontier);
        }
    }

    auto expand(const World& world, std::vector<World>& frontier) -> void
    {
        if (world.remaining_.steps_ > 0) {
            auto next = world;
            --next.remaining_.steps_;
            next.now_ += step;
            frontier.push_back(std::move(next));
        }
        for (std::size_t i = 0; i < fleetSize; ++i) {
            addTransfers(world, i, frontier);
            addSync(world, i, frontier);
            addEpoch(world, i, frontier);
            addMessages(world, i, frontier);
        }
        for (const auto& message : world.messages_)
            addDelivery(world, message, frontier);
    }

    auto addTransfers(const World& world, std::size_t from, std::vector<World>& frontier) -> void
    {
        const auto held = heldBy(world, world.nodes_[from]);
        const bool reported = mutant_ == Mutant::TransferUnreported || world.nodes_[from].membership_.isReported();
        if (world.remaining_.transfers_ == 0 || held == 0 || !reported)
            return;
        for (std::size_t to = 0; to < fleetSize; ++to) {
            if (to == from)
                continue;
            auto next = world;
            auto& ledger = next.nodes_[from].ledger_;
            const auto before = ledger;
            const auto message = ledger.transfer(holderId(to), { { acme, held / 2 + 1 } }, next.now_);
            if (!message)
                continue;
            if (mutant_ == Mutant::SendBeforeDebit)
                ledger = before;
            --next.remaining_.transfers_;
            next.messages_.insert(*message);
            frontier.push_back(std::move(next));
        }
    }

    // Reads the epoch record and applies the resulting action.
    auto addSync(const World& world, std::size_t index, std::vector<World>& frontier) -> void
    {
        auto next = world;
        auto& [ledger, membership] = next.nodes_[index];
        if (membership.hasLeaseExpired(next.now_))
            return;
        const auto change = membership.observe(next.record_, next.now_, next.now_);
        if (change == EpochAction::Restart)
            return;
        if (change == EpochAction::Enter) {
            auto carriedShares = ledger.enterEpoch(next.record_.epoch_, totals);
            membership.epochEntered(mutant_ == Mutant::ReportNothing ? std::vector<BudgetShare>() : std::move(carriedShares));
        } else if (mutant_ == Mutant::RenewUnreported && membership.report()) {
            auto renewed = membership;
            renewed.reportAcknowledged({ EscrowMessageKind::ReportAcknowledge, membership.epoch(), next.record_.issuer_, ledger.self() });
            renewed.observe(next.record_, next.now_, next.now_);
            membership = renewed;
        }
        frontier.push_back(std::move(next));
    }

    auto addEpoch(const World& world, std::size_t index, std::vector<World>& frontier) -> void
    {
        const auto& membership = world.nodes_[index].membership_;
        if (world.remaining_.epochs_ > 0 && membership.holdsLease(world.now_) && membership.record() == world.record_) {
            auto next = world;
            --next.remaining_.epochs_;
            next.record_ = membership.nextEpoch({});
            frontier.push_back(std::move(next));
        }
        auto next = world;
        auto& issuer = next.nodes_[index].membership_;
        const auto at = next.now_ + (mutant_ == Mutant::IssueBeforeExpiry ? escrowReissueDelay : Duration::zero());
        if (!issuer.holdsLease(next.now_) || !issuer.isSettled(at))
            return;
        const auto fraction = issuer.issue(acme);
        if (fraction > 0)
            next.nodes_[index].ledger_.account(acme, totals.at(acme), next.now_).credit({ fraction, 0 }, next.now_);
        frontier.push_back(std::move(next));
    }

    // Sends a report to the issuer, and pings while the limit allows.
    auto addMessages(const World& world, std::size_t index, std::vector<World>& frontier) -> void
    {
        const auto& membership = world.nodes_[index].membership_;
        if (const auto report = membership.report(); report && !world.messages_.contains(*report)) {
            auto next = world;
            next.messages_.insert(*report);
            frontier.push_back(std::move(next));
        }
        if (world.remaining_.pings_ == 0 || !membership.holdsLease(world.now_))
            return;
        auto next = world;
        --next.remaining_.pings_;
        for (const auto& ping : membership.pings(next.now_))
            next.messages_.insert(ping);
        frontier.push_back(std::move(next));
    }

    auto addDelivery(const World& world, const EscrowMessage& message, std::vector<World>& frontier) -> void
    {
        if (world.remaining_.deliveries_ == 0)
            return;
        auto next = world;
        --next.remaining_.deliveries_;
        next.messages_.erase(message);
        receive(next, message);
        frontier.push_back(next);
        if (world.remaining_.duplicates_ == 0)
            return;
        --next.remaining_.duplicates_;
        next.messages_.insert(message);
        frontier.push_back(std::move(next));
    }

    auto receive(World& world, EscrowMessage message) -> void
    {
        auto& [ledger, membership] = world.nodes_[static_cast<std::size_t>(message.to_.name_.front() - 'a')];
        if (membership.hasLeaseExpired(world.now_))
            return;
        const auto reply = [&world](const std::optional<EscrowMessage>& answer) {
            if (answer)
                world.messages_.insert(*answer);
        };
        switch (message.kind_) {
        case EscrowMessageKind::Transfer:
            if (mutant_ == Mutant::CreditTwice)
                message.number_ += world.remaining_.deliveries_ == 0 ? 100 : 10 - world.remaining_.deliveries_;
            if (mutant_ == Mutant::CreditOldEpoch)
                message.epoch_ = ledger.epoch();
            ledger.receive(message, totals, world.now_);
            return;
        case EscrowMessageKind::Report:
            reply(membership.receiveReport(message, world.now_));
            return;
        case EscrowMessageKind::ReportAcknowledge:
            membership.reportAcknowledged(message);
            return;
        case EscrowMessageKind::Ping:
            reply(membership.answerPing(message));
            return;
        case EscrowMessageKind::Pong:
            membership.receivePong(message);
            return;
        default:
            return;
        }
    }

    Mutant mutant_;
    std::set<World> seen_;
    bool violated_ = false;
};

}

TEST_CASE("in any order of events the holders' shares never exceed the total", "[escrow][model]")
{
    Explorer explorer(Mutant::None);
    const auto limits = GENERATE(values<Limits>({
        { 2, 3, 1, 0, 0, 0 },
        { 2, 1, 0, 1, 1, 0 },
        { 1, 2, 0, 2, 1, 0 },
        { 0, 1, 0, 3, 1, 0 },
    }));
    CHECK_FALSE(explorer.findsViolation(limits));
    CHECK(explorer.states() > 50);
}

TEST_CASE("each injected protocol fault is detected", "[escrow][model]")
{
    const auto [mutant, limits] = GENERATE(table<Mutant, Limits>({
        { Mutant::CreditTwice, { 1, 2, 1, 0, 0, 0 } },
        { Mutant::SendBeforeDebit, { 1, 1, 0, 0, 0, 0 } },
        { Mutant::IssueBeforeExpiry, { 0, 1, 0, 1, 1, 0 } },
        { Mutant::IgnoreLease, { 0, 1, 0, 3, 1, 0 } },
        { Mutant::CreditOldEpoch, { 1, 2, 0, 2, 1, 0 } },
        { Mutant::RenewUnreported, { 0, 1, 0, 3, 1, 0 } },
        { Mutant::ReportNothing, { 0, 1, 0, 2, 1, 0 } },
        { Mutant::TransferUnreported, { 1, 2, 0, 2, 1, 0 } },
    }));
    CAPTURE(static_cast<int>(mutant));
    CHECK(Explorer(mutant).findsViolation(limits));
    CHECK_FALSE(Explorer(Mutant::None).findsViolation(limits));
}
