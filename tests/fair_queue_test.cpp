#include "admission/fair_queue.h"
#include "config/command_func.h"
#include "language/command_parser.h"
#include "steering/queued_steering.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

constexpr MonotonicTime start { std::chrono::hours(1) };
constexpr MonotonicTime never { std::chrono::hours(1'000) };
constexpr QueueBounds ampleBounds { 10'000, 10'000 };

auto pushMany(FairQueue& queue, const std::string& workspace, std::int64_t weight, int count) -> void
{
    static std::uint64_t id = 0;
    for (int i = 0; i < count; ++i)
        REQUIRE(isOk(queue.push({ ++id, workspace, weight, start, never })));
}

// Steering with slots that the test releases one at a time.
class SlotSteering final : public Steering {
public:
    auto acquire(const SteeringRequest& request, Handler handler) -> void override
    {
        if (free_ == 0) {
            handler(Refusal { RefusalKind::Overloaded, "full" });
            return;
        }
        --free_;
        served_.push_back(request.workspace_);
        Assignment assignment;
        assignment.upstream_.service_ = request.service_;
        handler(assignment);
    }

    auto release(const Assignment&, CallOutcome) -> void override { ++free_; }

    int free_ = 0;
    std::vector<std::string> served_;
};

struct QueueFixture {
    explicit QueueFixture(const QueueBounds& bounds = ampleBounds)
        : queued_(slots_, clock_, { bounds, 100ms })
    {
        const auto batch = valueOf(parseBatch("declare workspace acme rate 10 burst 5; declare workspace bolt rate 10 burst 5"));
        snapshot_ = std::make_shared<const Snapshot>(valueOf(applyBatch(Snapshot {}, batch)));
    }

    auto ask(const std::string& workspace) -> void
    {
        queued_.acquire({ snapshot_, "core", workspace, Repeatability::Once, clock_.now() + 1s, {} }, [this](const Result<Assignment, Refusal>& result) {
            if (isOk(result))
                ++assigned_;
            else
                refusals_.push_back(errorOf(result));
        });
    }

    auto releaseOne() -> void
    {
        Assignment assignment;
        assignment.upstream_.service_ = "core";
        queued_.release(assignment, CallOutcome::Answered);
    }

    ManualClock clock_;
    SlotSteering slots_;
    QueuedSteering queued_;
    std::shared_ptr<const Snapshot> snapshot_;
    int assigned_ = 0;
    std::vector<Refusal> refusals_;
};

}

TEST_CASE("workspaces are served in proportion to their weights", "[queue]")
{
    FairQueue queue(ampleBounds);
    pushMany(queue, "small", 1, 100);
    pushMany(queue, "large", 3, 100);
    std::map<std::string, int> served;
    for (int i = 0; i < 100; ++i)
        ++served[queue.pop()->workspace_];
    CHECK(served["large"] == 75);
    CHECK(served["small"] == 25);
}

TEST_CASE("a workspace with a long queue delays another by at most one request", "[queue]")
{
    rc::prop("late arrival goes second at the latest", [](std::uint8_t waiting, std::uint8_t served) {
        FairQueue queue(ampleBounds);
        pushMany(queue, "greedy", 1, waiting + 1);
        for (int i = 0; i < served % (waiting + 1); ++i)
            queue.pop();
        pushMany(queue, "modest", 1, 1);
        const auto first = queue.pop()->workspace_;
        RC_ASSERT(first == "modest" || queue.pop()->workspace_ == "modest");
    });
}

TEST_CASE("a workspace earns no credit while it is idle", "[queue]")
{
    FairQueue queue(ampleBounds);
    pushMany(queue, "steady", 1, 50);
    for (int i = 0; i < 20; ++i)
        queue.pop();
    pushMany(queue, "back", 1, 50);
    std::map<std::string, int> served;
    for (int i = 0; i < 20; ++i)
        ++served[queue.pop()->workspace_];
    CHECK(served["back"] <= 11);
}

TEST_CASE("a full queue drops an entry of the longest flow for a workspace with fewer entries", "[queue]")
{
    FairQueue queue({ 4, 4 });
    pushMany(queue, "greedy", 1, 4);
    CHECK(errorOf(queue.push({ 100, "greedy", 1, start, never })) == QueueErrorKind::WorkspaceFull);
    const auto pushed = queue.push({ 101, "modest", 1, start, never });
    REQUIRE(isOk(pushed));
    CHECK(valueOf(pushed)->workspace_ == "greedy");
    CHECK(queue.size() == 4);
    REQUIRE(isOk(queue.push({ 102, "modest", 1, start, never })));
    CHECK(errorOf(queue.push({ 103, "modest", 1, start, never })) == QueueErrorKind::QueueFull);
}

TEST_CASE("an entry that cannot be served before its deadline is refused immediately", "[queue]")
{
    FairQueue queue(ampleBounds);
    pushMany(queue, "a", 1, 40);
    // The first entry has waited 900 ms, so a new one is estimated to wait 1.125 s.
    const auto now = start + 900ms;
    CHECK(errorOf(queue.push({ 200, "a", 1, now, now + 1s })) == QueueErrorKind::WouldExpire);
    CHECK(isOk(queue.push({ 201, "a", 1, now, now + 5s })));
    CHECK(isOk(queue.push({ 202, "b", 1, now, now + 1s })));
}

TEST_CASE("an entry that is put back is served next", "[queue]")
{
    FairQueue queue(ampleBounds);
    pushMany(queue, "a", 1, 3);
    pushMany(queue, "b", 1, 3);
    const auto first = *queue.pop();
    queue.putBack(first);
    CHECK(queue.pop() == first);
}

TEST_CASE("a released slot is given to the next request in fair order", "[queue]")
{
    QueueFixture fixture;
    for (int i = 0; i < 5; ++i)
        fixture.ask("acme");
    fixture.ask("bolt");
    CHECK(fixture.queued_.waiting() == 6);
    for (int i = 0; i < 3; ++i)
        fixture.releaseOne();
    CHECK(fixture.assigned_ == 3);
    CHECK(std::count(fixture.slots_.served_.begin(), fixture.slots_.served_.end(), "bolt") == 1);
}

TEST_CASE("a request that exceeds the maximum queue wait is refused as not executed", "[queue]")
{
    QueueFixture fixture;
    fixture.ask("acme");
    fixture.clock_.advance(99ms);
    fixture.queued_.tick();
    CHECK(fixture.refusals_.empty());
    fixture.clock_.advance(1ms);
    fixture.queued_.tick();
    REQUIRE(fixture.refusals_.size() == 1);
    CHECK(fixture.refusals_.front().executed_ == Executed::No);
    CHECK(fixture.refusals_.front().retryAfter_.has_value());
    CHECK(fixture.queued_.waiting() == 0);
}

TEST_CASE("every request gets exactly one answer", "[queue]")
{
    rc::prop("one answer each", [](const std::vector<std::uint8_t>& steps) {
        QueueFixture fixture({ 6, 4 });
        int requested = 0;
        for (const auto step : steps) {
            switch (step % 4) {
            case 0:
            case 1:
                fixture.ask(step % 4 == 0 ? "acme" : "bolt");
                ++requested;
                break;
            case 2:
                fixture.releaseOne();
                break;
            default:
                fixture.clock_.advance(std::chrono::milliseconds(step));
                fixture.queued_.tick();
            }
            const auto answered = fixture.assigned_ + static_cast<int>(fixture.refusals_.size());
            RC_ASSERT(answered + static_cast<int>(fixture.queued_.waiting()) == requested);
        }
    });
}
