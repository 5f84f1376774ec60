#include "bench/load/caller_load.h"

#include "bench/load/http_socket.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace sapphirepass::load {

namespace {
    constexpr std::chrono::seconds callTimeLimit { 15 };
    constexpr std::chrono::seconds lookupLifetime { 5 };
    constexpr std::size_t maxAttempts = 5;
    constexpr std::size_t progressEvery = 1'000;
    constexpr int overRate = 429;
    constexpr int ticketNeeded = 428;

    // One caller: its connections and what it remembers of look-ups.
    class Caller {
    public:
        Caller(const Experiment& experiment, const Addresses& addresses, std::uint64_t seed)
            : experiment_(experiment)
            , addresses_(addresses)
            , random_(seed)
        {
        }

        auto call(const ScheduledCall& scheduled, std::size_t index, Instant start) -> CallRecord
        {
            const auto& workspace = experiment_.workspaces_[scheduled.workspace_];
            CallRecord record { fmt::format("load-{}-{}", experiment_.seed_, index), workspace.name_, !scheduled.write_, start + scheduled.at_, {} };
            ticket_.clear();
            while (record.attempts_.size() < maxAttempts) {
                record.attempts_.push_back(attempt(workspace, record));
                const auto& last = record.attempts_.back();
                if (!isWorthRepeating(record, last))
                    break;
                // A ticket is good at the instance that issued it and nowhere else.
                if (ticket_.empty())
                    useNext(workspace.name_);
            }
            return record;
        }

    private:
        struct Lookup {
            // Best instance first.
            std::vector<SocketAddress> addresses_;
            Instant until_;
        };

        // Goes on to the next instance that the look-up named, and asks again after the last.
        auto useNext(const std::string& workspace) -> void
        {
            const auto known = lookups_.find(workspace);
            if (known == lookups_.end())
                return;
            auto& addresses = known->second.addresses_;
            addresses.erase(addresses.begin());
            if (addresses.empty())
                lookups_.erase(known);
        }

        auto isWorthRepeating(const CallRecord& record, const Attempt& attempt) const -> bool
        {
            if (attempt.status_ == ticketNeeded)
                return !ticket_.empty();
            if (attempt.status_ == overRate || (attempt.status_ >= 200 && attempt.status_ < 500))
                return false;
            const bool notRun = attempt.executed_ == "no" || attempt.executed_ == "unsent";
            return notRun || record.idempotent_ || experiment_.repeatLost_;
        }

        auto anyEntry() -> SocketAddress
        {
            auto entry = addresses_.entries_.begin();
            std::advance(entry, static_cast<std::ptrdiff_t>(random_() % addresses_.entries_.size()));
            return entry->second;
        }

        auto lookUp(const std::string& workspace) -> SocketAddress
        {
            const auto known = lookups_.find(workspace);
            if (known != lookups_.end() && known->second.until_ > steadyNow())
                return known->second.addresses_.front();
            auto asked = anyEntry();
            HttpSocket socket(asked, callTimeLimit);
            socket.send(renderRequest("GET", fmt::format("/v1/lookup?workspace={}", workspace), "", ""));
            const auto answer = nlohmann::json::parse(socket.readAnswer().body_, nullptr, false);
            if (!answer.is_object() || !answer.contains("use"))
                return asked;
            std::vector<SocketAddress> addresses { addressOf(answer["use"]) };
            for (const auto& alternative : answer["alternatives"])
                addresses.push_back(addressOf(alternative));
            lookups_[workspace] = { addresses, steadyNow() + lookupLifetime };
            return addresses.front();
        }

        static auto addressOf(const nlohmann::json& instance) -> SocketAddress
        {
            return parseSocketAddress(instance["address"].get<std::string>()).value_or(SocketAddress {});
        }

        auto connectionTo(const SocketAddress& address) -> HttpSocket&
        {
            auto& socket = sockets_[address];
            if (!socket || !socket->isReusable() || socket->hasEnded())
                socket = std::make_unique<HttpSocket>(address, callTimeLimit);
            return *socket;
        }

        auto attempt(const WorkspaceLoad& workspace, const CallRecord& record) -> Attempt
        {
            const std::string_view method = record.idempotent_ ? "GET" : "POST";
            const auto target = fmt::format("/quotes/{}?bytes={}", record.id_, record.idempotent_ ? workspace.bytes_ : 0);
            auto headers = fmt::format("Authorization: Bearer {}\r\nLoad-Id: {}\r\n", addresses_.keys_.at(workspace.name_), record.id_);
            if (!record.idempotent_ && experiment_.repeatLost_)
                headers += fmt::format("Idempotency-Key: {}\r\n", record.id_);
            if (!ticket_.empty())
                headers += fmt::format("Once-Ticket: {}\r\n", ticket_);
            const std::string body(record.idempotent_ ? 0 : static_cast<std::size_t>(workspace.bytes_), 'b');
            auto& socket = connectionTo(lookUp(workspace.name_));
            Attempt attempt;
            attempt.sent_ = steadyNow();
            attempt.executed_ = "unsent";
            if (socket.isConnected()) {
                attempt.executed_.clear();
                socket.send(renderRequest(method, fmt::format("/w/{}{}", workspace.name_, target), headers, body));
                judge(socket.readAnswer(), fmt::format("{} {}\n", method, target), attempt);
            }
            attempt.ended_ = steadyNow();
            return attempt;
        }

        auto judge(const SocketAnswer& answer, const std::string& echo, Attempt& attempt) -> void
        {
            if (const auto ticket = answer.headers_.find("once-ticket"); answer.status_ == ticketNeeded && ticket != answer.headers_.end())
                ticket_ = ticket->second;
            attempt.status_ = answer.status_;
            attempt.whole_ = answer.whole_;
            if (answer.status_ == 200) {
                attempt.own_ = answer.body_.starts_with(echo);
                return;
            }
            const auto problem = nlohmann::json::parse(answer.body_, nullptr, false);
            if (problem.is_object() && problem.contains("executed"))
                attempt.executed_ = problem["executed"].get<std::string>();
        }

        const Experiment& experiment_;
        const Addresses& addresses_;
        std::mt19937_64 random_;
        std::map<std::string, Lookup> lookups_;
        // Of the request that is being sent; empty while none was issued.
        std::string ticket_;
        std::map<SocketAddress, std::unique_ptr<HttpSocket>> sockets_;
    };
}

auto steadyNow() -> Instant
{
    return std::chrono::duration_cast<Instant>(std::chrono::steady_clock::now().time_since_epoch());
}

auto scheduleCalls(const Experiment& experiment) -> std::vector<ScheduledCall>
{
    std::mt19937_64 random(experiment.seed_);
    std::vector<ScheduledCall> calls;
    for (std::size_t i = 0; i < experiment.workspaces_.size(); ++i) {
        const auto& workspace = experiment.workspaces_[i];
        std::bernoulli_distribution isWrite(workspace.writes_);
        for (std::int64_t n = 0; n < workspace.burst_; ++n)
            calls.push_back({ workspace.burstAt_, i, isWrite(random) });
        if (workspace.rate_ <= 0)
            continue;
        std::exponential_distribution<double> gap(workspace.rate_);
        const double end = std::chrono::duration<double>(experiment.duration_).count();
        for (double at = gap(random); at < end; at += gap(random))
            calls.push_back({ std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(at)), i, isWrite(random) });
    }
    std::sort(calls.begin(), calls.end());
    return calls;
}

auto runCalls(const Experiment& experiment, const Addresses& addresses, Instant start, const std::function<void(std::size_t, std::size_t)>& progress) -> std::vector<CallRecord>
{
    const auto schedule = scheduleCalls(experiment);
    std::vector<CallRecord> records(schedule.size());
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> threads;
    for (std::int64_t i = 0; i < experiment.callers_; ++i) {
        threads.emplace_back([&, i] {
            Caller caller(experiment, addresses, experiment.seed_ + static_cast<std::uint64_t>(i));
            for (auto index = next++; index < schedule.size(); index = next++) {
                const auto due = start + schedule[index].at_;
                std::this_thread::sleep_until(std::chrono::steady_clock::time_point(due));
                records[index] = caller.call(schedule[index], index, start);
                if (index % progressEvery == 0)
                    progress(index, schedule.size());
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    return records;
}

} // namespace sapphirepass::load
