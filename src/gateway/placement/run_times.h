// Run times of each route on warm and on cold upstreams, learned from runs that do not say which they were.
#pragma once

#include "base/clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace sapphirepass {

struct RunEstimate {
    // On an upstream that has handled the object recently.
    Duration warm_ {};
    // On one that has not.
    Duration cold_ {};
    // Whether the two differ. If not, both are the typical run time.
    bool isSeparated_ = false;

    auto operator<=>(const RunEstimate&) const = default;
};

// Memory per route is constant, and the number of routes is bounded; the least recently recorded one is evicted.
class RunTimes {
public:
    // The greatest relative change of an estimated time that a single run can cause, also at the first runs and when the
    // groups become or cease to be separated.
    static constexpr double maxChangePerRun = 0.06;
    // Runs needed for p95.
    static constexpr std::size_t minRunsForP95 = 50;
    static constexpr std::size_t maxRoutes = 1'024;

    RunTimes();
    ~RunTimes();
    RunTimes(const RunTimes&) = delete;
    auto operator=(const RunTimes&) -> RunTimes& = delete;

    // Records a run that found no queue, with the speed of the machine divided out. Returns false, and ignores and counts
    // the run, if the time is zero, negative or longer than any real run.
    auto record(const std::string& route, Duration run) -> bool;
    // Both times are the fallback before the first run, and move from there.
    auto estimate(const std::string& route, Duration fallback) const -> RunEstimate;
    // 95th percentile of the recorded runs, warm and cold; empty below minRunsForP95 runs.
    auto p95(const std::string& route) const -> std::optional<Duration>;
    // Runs ignored because of an invalid time.
    auto invalidCount() const -> std::uint64_t { return invalidCount_; }

private:
    struct Routes;

    std::unique_ptr<Routes> routes_;
    std::uint64_t invalidCount_ = 0;
};

} // namespace sapphirepass
