#include "bench/load/verdict.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <unordered_map>

namespace sapphirepass::load {

namespace {
    using Broken = std::vector<std::string>;
    using RunsById = std::unordered_map<std::string, std::vector<const RunRecord*>>;

    // Withdrawals and drains are in force within this time.
    constexpr std::chrono::seconds effectTime { 5 };

    auto isSuccess(const Attempt& attempt) -> bool { return attempt.status_ >= 200 && attempt.status_ < 300; }

    auto runsOf(const RunsById& runs, const std::string& id) -> std::vector<const RunRecord*>
    {
        const auto found = runs.find(id);
        return found == runs.end() ? std::vector<const RunRecord*> {} : found->second;
    }

    auto checkCall(const CallRecord& call, const std::vector<const RunRecord*>& runs, Broken& broken) -> void
    {
        const auto anyAttempt = [&call](auto test) { return std::any_of(call.attempts_.begin(), call.attempts_.end(), test); };
        const bool allNotRun = !call.attempts_.empty() && !anyAttempt([](const Attempt& attempt) { return attempt.executed_ != "no"; });
        const bool answered = std::any_of(runs.begin(), runs.end(), [](const RunRecord* run) { return run->answered_; });
        if (!call.idempotent_ && runs.size() > 1)
            broken.push_back(fmt::format("doubled run: {} ran {} times", call.id_, runs.size()));
        if (allNotRun && !runs.empty())
            broken.push_back(fmt::format("false not run: {} ran at {}", call.id_, runs.front()->upstream_));
        if (anyAttempt(isSuccess) && !answered)
            broken.push_back(fmt::format("lost work: {} was answered but did not run to its end", call.id_));
        if (anyAttempt([](const Attempt& attempt) { return isSuccess(attempt) && !attempt.whole_; }))
            broken.push_back(fmt::format("cut answer: {}", call.id_));
        if (anyAttempt([](const Attempt& attempt) { return isSuccess(attempt) && attempt.whole_ && !attempt.own_; }))
            broken.push_back(fmt::format("foreign answer: {}", call.id_));
    }

    auto checkLeaks(const Records& records, Broken& broken) -> void
    {
        for (const auto& run : records.runs_) {
            for (const auto& secret : records.secrets_) {
                if (run.seen_.find(secret) != std::string::npos)
                    broken.push_back(fmt::format("key leak: {} saw a key with {}", run.upstream_, run.id_));
            }
        }
    }

    struct Admission {
        // Admitted between these: not before the caller sent it and not after its first run began.
        Instant earliest_;
        Instant latest_;
    };

    // A request counts for a window only if its admission certainly lies in it, so no margin is needed.
    auto checkRate(const WorkspaceLoad& workspace, std::vector<Admission> admissions, Broken& broken) -> void
    {
        std::sort(admissions.begin(), admissions.end(), [](const auto& a, const auto& b) { return a.earliest_ > b.earliest_; });
        // Ends of the admissions that begin at or after the window's start, in ascending order.
        std::vector<Instant> ends;
        double worst = 0;
        for (const auto& admission : admissions) {
            ends.insert(std::upper_bound(ends.begin(), ends.end(), admission.latest_), admission.latest_);
            for (std::size_t i = 0; i < ends.size(); ++i) {
                const double length = std::chrono::duration<double>(ends[i] - admission.earliest_).count();
                worst = std::max(worst, static_cast<double>(i + 1) - workspace.limitBurst_ - workspace.limitRate_ * length);
            }
        }
        if (worst >= 1)
            broken.push_back(fmt::format("over the rate: {} by {:.0f} requests in one window", workspace.name_, worst));
    }

    auto checkRates(const Experiment& experiment, const Records& records, const RunsById& runs, Broken& broken) -> void
    {
        std::map<std::string, std::vector<Admission>> admissions;
        for (const auto& call : records.calls_) {
            const auto own = runsOf(runs, call.id_);
            if (own.empty() || call.attempts_.empty())
                continue;
            const auto* first = *std::min_element(own.begin(), own.end(), [](const auto* a, const auto* b) { return a->started_ < b->started_; });
            admissions[call.workspace_].push_back({ call.attempts_.front().sent_, first->started_ });
        }
        for (const auto& workspace : experiment.workspaces_) {
            if (workspace.limitRate_ > 0)
                checkRate(workspace, admissions[workspace.name_], broken);
        }
    }

    auto checkAction(const Action& action, const Records& records, const RunsById& runs, Broken& broken) -> void
    {
        const auto inForce = records.start_ + action.at_ + effectTime;
        for (const auto& run : records.runs_) {
            if (!action.drains_.empty() && run.upstream_ == action.drains_ && run.started_ > inForce)
                broken.push_back(fmt::format("work after leaving: {} ran {}", run.upstream_, run.id_));
        }
        for (const auto& call : records.calls_) {
            if (action.withdraws_.empty() || call.workspace_ != action.withdraws_ || call.attempts_.empty())
                continue;
            if (call.attempts_.front().sent_ > inForce && !runsOf(runs, call.id_).empty())
                broken.push_back(fmt::format("withdrawn key: {} ran", call.id_));
        }
    }
}

auto brokenPromises(const Experiment& experiment, const Records& records) -> std::vector<std::string>
{
    Broken broken;
    RunsById runs;
    for (const auto& run : records.runs_)
        runs[run.id_].push_back(&run);
    for (const auto& call : records.calls_)
        checkCall(call, runsOf(runs, call.id_), broken);
    checkLeaks(records, broken);
    checkRates(experiment, records, runs, broken);
    for (const auto& action : experiment.actions_)
        checkAction(action, records, runs, broken);
    return broken;
}

} // namespace sapphirepass::load
