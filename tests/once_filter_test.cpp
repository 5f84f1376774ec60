// A request with a ticket runs at most once, whatever is repeated, lost, crashed or expired in between.
#include "admission/once_filter.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr OnceBounds roomy { 100, 10'000 };

auto grantFor(const std::string& workspace, RouteRepeat repeat = RouteRepeat::Once) -> Grant
{
    Grant grant;
    grant.workspace_.name_ = workspace;
    grant.route_.repeat_ = repeat;
    return grant;
}

auto requestWith(const std::string& ticket) -> Request
{
    Request request;
    request.method_ = "POST";
    if (!ticket.empty())
        request.headers_ = { { "once-ticket", ticket } };
    return request;
}

auto refusalOf(const OnceDecision& decision) -> RefusalKind
{
    return std::get<OnceRefusal>(decision).refusal_.kind_;
}

struct GateBench {
    explicit GateBench(const OnceBounds& bounds = roomy)
        : gate_(clock_, TicketIssuer({ "e1", 7 }, "secret"), bounds, [](const std::string& name) { return name == "e2"; })
    {
    }

    auto send(const std::string& ticket, const std::string& workspace = "acme") -> OnceDecision
    {
        return gate_.decide(requestWith(ticket), grantFor(workspace));
    }

    ManualClock clock_;
    OnceFilter gate_;
};

}

TEST_CASE("a request that may run once is refused as not run with a ticket", "[once]")
{
    GateBench bench;
    const auto first = std::get<OnceRefusal>(bench.send(""));
    CHECK(first.refusal_.kind_ == RefusalKind::TicketNeeded);
    CHECK(first.refusal_.executed_ == Executed::No);
    const auto pass = std::get<OnceAdmitted>(bench.send(first.ticket_));
    CHECK_FALSE(pass.ticketId_.empty());
    CHECK(refusalOf(bench.send(first.ticket_)) == RefusalKind::Conflict);
    const RecordedAnswer answer { 201, "text/plain", "confirmed" };
    bench.gate_.recordOutcome(pass.ticketId_, answer);
    CHECK(std::get<RecordedAnswer>(bench.send(first.ticket_)) == answer);
    CHECK(std::get<OnceAdmitted>(bench.gate_.decide(requestWith(""), grantFor("acme", RouteRepeat::Method))).ticketId_.empty());
}

TEST_CASE("only the incarnation that issued a ticket runs it, for its workspace", "[once]")
{
    GateBench bench;
    const auto ticket = bench.gate_.issueTicket("acme");
    CHECK(refusalOf(bench.send(ticket, "bolt")) == RefusalKind::BadRequest);
    CHECK(refusalOf(bench.send("nonsense")) == RefusalKind::BadRequest);
    CHECK(refusalOf(bench.send(ticket + "0")) == RefusalKind::BadRequest);
    const auto later = bench.clock_.now() + 1min;
    CHECK(refusalOf(bench.send(TicketIssuer({ "e2", 1 }, "other").issue("acme", 1, later))) == RefusalKind::OtherInstance);
    CHECK(refusalOf(bench.send(TicketIssuer({ "e3", 1 }, "other").issue("acme", 1, later))) == RefusalKind::Gone);
    CHECK(refusalOf(bench.send(TicketIssuer({ "e1", 6 }, "secret").issue("acme", 1, later))) == RefusalKind::Gone);
    CHECK(std::holds_alternative<OnceAdmitted>(bench.send(ticket)));
}

TEST_CASE("a full registry refuses instead of forgetting", "[once]")
{
    GateBench bench({ 1, 10'000 });
    const auto one = bench.gate_.issueTicket("acme");
    const auto two = bench.gate_.issueTicket("acme");
    const auto pass = std::get<OnceAdmitted>(bench.send(one));
    bench.gate_.recordOutcome(pass.ticketId_, OnceOutcomeUnknown {});
    const auto full = std::get<OnceRefusal>(bench.send(two)).refusal_;
    CHECK(full.kind_ == RefusalKind::Overloaded);
    CHECK(full.executed_ == Executed::No);
    CHECK(refusalOf(bench.send(one)) == RefusalKind::Conflict);
}

TEST_CASE("an answer that does not fit leaves the outcome unknown", "[once]")
{
    GateBench bench({ 10, 4 });
    const auto ticket = bench.gate_.issueTicket("acme");
    bench.gate_.recordOutcome(std::get<OnceAdmitted>(bench.send(ticket)).ticketId_, RecordedAnswer { 200, "", "too long" });
    CHECK(std::get<OnceRefusal>(bench.send(ticket)).refusal_.executed_ == Executed::Unknown);
}

namespace {

// Rules that the protocol rests on. A mutant breaks one of them.
struct OnceRules {
    bool newIncarnationAfterCrash_ = true;
    bool unknownIsKept_ = true;
    bool expiryEndsTicket_ = true;
    bool beginsBeforeSending_ = true;
    bool signatureNamesWorkspace_ = true;
};

enum class Step : int { Send,
    SendAsOther,
    RunAnswered,
    RunLost,
    RunRefused,
    Crash,
    Wait,
    Count };

// One ticket, two workspaces and one instance name; replays a sequence of steps.
class OnceModel {
public:
    explicit OnceModel(const OnceRules& rules)
        : rules_(rules)
    {
        start();
        ticket_ = gate_->issueTicket("acme");
    }

    auto take(Step step) -> void
    {
        switch (step) {
        case Step::Send:
            send("acme");
            return;
        case Step::SendAsOther:
            send("bolt");
            return;
        case Step::RunAnswered:
            finish(true, RecordedAnswer { 200, "", "done" });
            return;
        case Step::RunLost:
            finish(true, OnceOutcomeUnknown {});
            return;
        case Step::RunRefused:
            finish(false, std::nullopt);
            return;
        case Step::Crash:
            // What was on its way may have run.
            certainRuns_ += running_.size();
            running_.clear();
            start();
            return;
        case Step::Wait:
            clock_.advance(rules_.expiryEndsTicket_ ? 21min : 0min);
            if (!rules_.expiryEndsTicket_)
                start();
            return;
        case Step::Count:
            return;
        }
    }

    // At most one run, and none for a workspace that the ticket was not issued to.
    auto holds() const -> bool { return certainRuns_ + running_.size() <= 1 && !foreignRun_ && !falseNo_; }

private:
    auto start() -> void
    {
        incarnation_ += rules_.newIncarnationAfterCrash_ && rules_.expiryEndsTicket_ ? 1 : 0;
        gate_ = std::make_unique<OnceFilter>(clock_, TicketIssuer({ "e1", incarnation_ }, "secret"), roomy, [](const std::string&) { return true; });
    }

    auto send(const std::string& workspace) -> void
    {
        if (!rules_.beginsBeforeSending_) {
            // Checks the ticket now and records it only when the answer has come.
            OnceFilter copy(clock_, TicketIssuer({ "e1", incarnation_ }, "secret"), roomy, [](const std::string&) { return true; });
            const auto decision = copy.decide(requestWith(ticket_), grantFor(workspace));
            if (const auto* pass = std::get_if<OnceAdmitted>(&decision))
                running_.push_back(pass->ticketId_);
            return;
        }
        const auto asked = rules_.signatureNamesWorkspace_ ? workspace : "acme";
        const auto decision = gate_->decide(requestWith(ticket_), grantFor(asked));
        if (const auto* pass = std::get_if<OnceAdmitted>(&decision)) {
            running_.push_back(pass->ticketId_);
            foreignRun_ = foreignRun_ || workspace != "acme";
        }
        const auto* refusal = std::get_if<OnceRefusal>(&decision);
        const bool saysNo = refusal != nullptr && workspace == "acme" && refusal->refusal_.executed_ == Executed::No;
        falseNo_ = falseNo_ || (saysNo && certainRuns_ + running_.size() > 0);
    }

    auto finish(bool ran, std::optional<OnceOutcome> outcome) -> void
    {
        if (running_.empty())
            return;
        const auto name = running_.back();
        running_.pop_back();
        certainRuns_ += ran ? 1 : 0;
        const bool kept = outcome && (rules_.unknownIsKept_ || !std::holds_alternative<OnceOutcomeUnknown>(*outcome));
        if (kept)
            gate_->recordOutcome(name, *outcome);
        else
            gate_->releaseTicket(name);
    }

    OnceRules rules_;
    ManualClock clock_;
    std::uint64_t incarnation_ = 0;
    std::unique_ptr<OnceFilter> gate_;
    std::string ticket_;
    std::vector<std::string> running_;
    std::size_t certainRuns_ = 0;
    bool foreignRun_ = false;
    bool falseNo_ = false;
};

// Whether the invariant holds after each prefix of all sequences of that many steps.
auto explore(const OnceRules& rules, int depth) -> bool
{
    constexpr int steps = static_cast<int>(Step::Count);
    int sequences = 1;
    for (int i = 0; i < depth; ++i)
        sequences *= steps;
    for (int sequence = 0; sequence < sequences; ++sequence) {
        OnceModel model(rules);
        for (int i = 0, rest = sequence; i < depth; ++i, rest /= steps) {
            model.take(static_cast<Step>(rest % steps));
            if (!model.holds())
                return false;
        }
    }
    return true;
}

constexpr int modelDepth = 5;

}

TEST_CASE("a ticket's request runs at most once in all sequences of five steps", "[once]")
{
    CHECK(explore({}, modelDepth));
}

TEST_CASE("mutants of the ticket protocol are caught", "[once]")
{
    const auto broken = GENERATE(&OnceRules::newIncarnationAfterCrash_, &OnceRules::unknownIsKept_, &OnceRules::expiryEndsTicket_,
        &OnceRules::beginsBeforeSending_, &OnceRules::signatureNamesWorkspace_);
    OnceRules rules;
    rules.*broken = false;
    CHECK_FALSE(explore(rules, modelDepth));
}
