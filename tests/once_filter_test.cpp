// Tests that a request with a ticket runs at most once, despite repeats, lost answers, crashes and expiry.
#include "admission/once_filter.h"

#include <catch2/catch.hpp>
#include <functional>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr OnceBounds ampleBounds { 100, 10'000 };

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

struct FilterFixture {
    explicit FilterFixture(const OnceBounds& bounds = ampleBounds)
        : filter_(clock_, TicketIssuer({ "e1", 7 }, "secret"), bounds, [](const std::string& name) { return name == "e2"; })
    {
    }

    auto send(const std::string& ticket, const std::string& workspace = "acme") -> OnceDecision
    {
        return filter_.decide(requestWith(ticket), grantFor(workspace));
    }

    ManualClock clock_;
    OnceFilter filter_;
};

}

TEST_CASE("a request that may run only once is refused as not executed and given a ticket", "[once]")
{
    FilterFixture fixture;
    const auto first = std::get<OnceRefusal>(fixture.send(""));
    CHECK(first.refusal_.kind_ == RefusalKind::TicketNeeded);
    CHECK(first.refusal_.executed_ == Executed::No);
    const auto pass = std::get<OnceAdmitted>(fixture.send(first.ticket_));
    CHECK_FALSE(pass.ticketId_.empty());
    CHECK(refusalOf(fixture.send(first.ticket_)) == RefusalKind::Conflict);
    const RecordedAnswer answer { 201, "text/plain", "confirmed" };
    fixture.filter_.recordOutcome(pass.ticketId_, answer);
    CHECK(std::get<RecordedAnswer>(fixture.send(first.ticket_)) == answer);
    CHECK(std::get<OnceAdmitted>(fixture.filter_.decide(requestWith(""), grantFor("acme", RouteRepeat::Method))).ticketId_.empty());
}

TEST_CASE("a ticket is valid only for its workspace at the incarnation that issued it", "[once]")
{
    FilterFixture fixture;
    const auto ticket = fixture.filter_.issueTicket("acme");
    CHECK(refusalOf(fixture.send(ticket, "bolt")) == RefusalKind::BadRequest);
    CHECK(refusalOf(fixture.send("nonsense")) == RefusalKind::BadRequest);
    CHECK(refusalOf(fixture.send(ticket + "0")) == RefusalKind::BadRequest);
    const auto later = fixture.clock_.now() + 1min;
    CHECK(refusalOf(fixture.send(TicketIssuer({ "e2", 1 }, "other").issue("acme", 1, later))) == RefusalKind::OtherInstance);
    CHECK(refusalOf(fixture.send(TicketIssuer({ "e3", 1 }, "other").issue("acme", 1, later))) == RefusalKind::Gone);
    CHECK(refusalOf(fixture.send(TicketIssuer({ "e1", 6 }, "secret").issue("acme", 1, later))) == RefusalKind::Gone);
    CHECK(std::holds_alternative<OnceAdmitted>(fixture.send(ticket)));
}

TEST_CASE("a full registry refuses new requests instead of dropping outcomes", "[once]")
{
    FilterFixture fixture({ 1, 10'000 });
    const auto one = fixture.filter_.issueTicket("acme");
    const auto two = fixture.filter_.issueTicket("acme");
    const auto pass = std::get<OnceAdmitted>(fixture.send(one));
    fixture.filter_.recordOutcome(pass.ticketId_, OnceOutcomeUnknown {});
    const auto full = std::get<OnceRefusal>(fixture.send(two)).refusal_;
    CHECK(full.kind_ == RefusalKind::Overloaded);
    CHECK(full.executed_ == Executed::No);
    CHECK(refusalOf(fixture.send(one)) == RefusalKind::Conflict);
}

TEST_CASE("a response too large to record leaves the outcome unknown", "[once]")
{
    FilterFixture fixture({ 10, 4 });
    const auto ticket = fixture.filter_.issueTicket("acme");
    fixture.filter_.recordOutcome(std::get<OnceAdmitted>(fixture.send(ticket)).ticketId_, RecordedAnswer { 200, "", "too long" });
    CHECK(std::get<OnceRefusal>(fixture.send(ticket)).refusal_.executed_ == Executed::Unknown);
}

namespace {

// Rules that the protocol depends on. A mutant breaks one of them.
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
        ticket_ = filter_->issueTicket("acme");
    }

    auto apply(Step step) -> void
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
            // Requests in flight may have run.
            runs_ += inFlight_.size();
            inFlight_.clear();
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

    // At most one run, none for a workspace that the ticket was not issued to, and no refusal claims that the request
    // did not run after it may have run.
    auto invariantHolds() const -> bool { return runs_ + inFlight_.size() <= 1 && !ranForOtherWorkspace_ && !falseNotExecuted_; }

private:
    auto start() -> void
    {
        incarnation_ += rules_.newIncarnationAfterCrash_ && rules_.expiryEndsTicket_ ? 1 : 0;
        filter_ = std::make_unique<OnceFilter>(clock_, TicketIssuer({ "e1", incarnation_ }, "secret"), ampleBounds, [](const std::string&) { return true; });
    }

    auto send(const std::string& workspace) -> void
    {
        if (!rules_.beginsBeforeSending_) {
            // Checks the ticket now but records it only when the answer arrives.
            OnceFilter copy(clock_, TicketIssuer({ "e1", incarnation_ }, "secret"), ampleBounds, [](const std::string&) { return true; });
            const auto decision = copy.decide(requestWith(ticket_), grantFor(workspace));
            if (const auto* pass = std::get_if<OnceAdmitted>(&decision))
                inFlight_.push_back(pass->ticketId_);
            return;
        }
        const auto signedWorkspace = rules_.signatureNamesWorkspace_ ? workspace : "acme";
        const auto decision = filter_->decide(requestWith(ticket_), grantFor(signedWorkspace));
        if (const auto* pass = std::get_if<OnceAdmitted>(&decision)) {
            inFlight_.push_back(pass->ticketId_);
            ranForOtherWorkspace_ = ranForOtherWorkspace_ || workspace != "acme";
        }
        const auto* refusal = std::get_if<OnceRefusal>(&decision);
        const bool claimsNotExecuted = refusal != nullptr && workspace == "acme" && refusal->refusal_.executed_ == Executed::No;
        falseNotExecuted_ = falseNotExecuted_ || (claimsNotExecuted && runs_ + inFlight_.size() > 0);
    }

    auto finish(bool ran, std::optional<OnceOutcome> outcome) -> void
    {
        if (inFlight_.empty())
            return;
        const auto ticketId = inFlight_.back();
        inFlight_.pop_back();
        runs_ += ran ? 1 : 0;
        const bool kept = outcome && (rules_.unknownIsKept_ || !std::holds_alternative<OnceOutcomeUnknown>(*outcome));
        if (kept)
            filter_->recordOutcome(ticketId, *outcome);
        else
            filter_->releaseTicket(ticketId);
    }

    OnceRules rules_;
    ManualClock clock_;
    std::uint64_t incarnation_ = 0;
    std::unique_ptr<OnceFilter> filter_;
    std::string ticket_;
    std::vector<std::string> inFlight_;
    std::size_t runs_ = 0;
    bool ranForOtherWorkspace_ = false;
    bool falseNotExecuted_ = false;
};

// Whether the invariant holds after each step of all sequences of that length.
auto explore(const OnceRules& rules, int depth) -> bool
{
    constexpr int steps = static_cast<int>(Step::Count);
    int sequences = 1;
    for (int i = 0; i < depth; ++i)
        sequences *= steps;
    for (int sequence = 0; sequence < sequences; ++sequence) {
        OnceModel model(rules);
        for (int i = 0, rest = sequence; i < depth; ++i, rest /= steps) {
            model.apply(static_cast<Step>(rest % steps));
            if (!model.invariantHolds())
                return false;
        }
    }
    return true;
}

constexpr int modelDepth = 5;

}

TEST_CASE("the request of a ticket is executed at most once in all sequences of five steps", "[once]")
{
    CHECK(explore({}, modelDepth));
}

TEST_CASE("each injected fault of the ticket protocol is detected", "[once]")
{
    const auto broken = GENERATE(&OnceRules::newIncarnationAfterCrash_, &OnceRules::unknownIsKept_, &OnceRules::expiryEndsTicket_,
        &OnceRules::beginsBeforeSending_, &OnceRules::signatureNamesWorkspace_);
    OnceRules rules;
    rules.*broken = false;
    CHECK_FALSE(explore(rules, modelDepth));
}
