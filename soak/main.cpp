// A randomized soak: real gateways as processes, harmed from outside, judged by what callers and upstreams see.
#include "soak/unusual_caller.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>
#include <unistd.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults");
ABSL_FLAG(double, seconds, 20, "how long faults are injected");
ABSL_FLAG(std::size_t, gateways, 4, "gateway processes");
ABSL_FLAG(std::size_t, servers, 6, "upstreams");
ABSL_FLAG(std::size_t, callers, 24, "callers, each with one request at a time");
ABSL_FLAG(std::size_t, unusual_callers, 12, "callers that use rare forms of requests");
ABSL_FLAG(std::string, binary, "build/sapphirepass", "the program");
ABSL_FLAG(std::string, before, "", "the program of an earlier build: gateways start with it and are replaced by the other at each restart");
ABSL_FLAG(std::string, folder, "", "where settings and logs go; the default is a new folder that is removed");

namespace sapphirepass::soak {

namespace {
    using namespace std::chrono_literals;
    using Time = std::chrono::steady_clock::time_point;

    // Longest fault; also the calm in which everything must come back.
    constexpr auto longestFault = 2500ms;
    constexpr auto calmTime = 7s;
    // For every gateway to get a response of each upstream.
    constexpr auto noticeTime = 1500ms;
    constexpr auto limitTime = 4s;
    constexpr int limitPerSecond = 4;
    constexpr int cutLimitPerSecond = 20;
    // For limits to be noticed before the links are cut.
    constexpr auto linkCutTime = 300ms;
    // For the end of a process to be noticed.
    constexpr auto endSlack = 500ms;

    auto now() -> Time { return std::chrono::steady_clock::now(); }

    class Soak {
    public:
        Soak(asio::io_context& loop, World& world)
            : loop_(loop)
            , world_(world)
        {
            for (std::size_t i = 0; i < absl::GetFlag(FLAGS_servers); ++i)
                world_.addServer();
            for (std::size_t i = 0; i < absl::GetFlag(FLAGS_gateways); ++i)
                world_.addGateway(i);
            for (std::size_t i = 0; i < absl::GetFlag(FLAGS_callers); ++i)
                callers_.push_back(std::make_unique<Caller>(loop_, world_, i));
            for (std::size_t i = 0; i < absl::GetFlag(FLAGS_unusual_callers); ++i)
                unusualCallers_.push_back(std::make_unique<UnusualCaller>(loop_, world_, i, absl::GetFlag(FLAGS_seed)));
        }

        auto run() -> void
        {
            play(2s, false);
            world_.areUpstreamsFaulty_ = true;
            play(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds))), true);
            endFaults();
            world_.areUpstreamsFaulty_ = false;
            play(calmTime, false);
            checkCalm();
            checkLimit();
            checkNotices();
            stopAll();
            finishCallers();
            world_.checkAll();
        }

        auto faults() const -> int { return faults_; }

    private:
        struct Undo {
            Time at_;
            std::function<void()> action_;
        };

        auto play(std::chrono::milliseconds length, bool harm) -> void
        {
            const auto end = now() + length;
            auto next = now();
            while (now() < end) {
                if (harm && now() >= next) {
                    injectFault();
                    next = now() + std::chrono::milliseconds(100 + world_.random(700));
                }
                stepAll();
            }
        }

        auto stepAll() -> void
        {
            loop_.restart();
            loop_.run_for(2ms);
            for (auto& caller : callers_)
                caller->step();
            for (auto& caller : unusualCallers_)
                caller->step();
            for (std::size_t i = 0; i < undos_.size(); ++i) {
                if (now() < undos_[i].at_)
                    continue;
                const auto action = std::move(undos_[i].action_);
                undos_.erase(undos_.begin() + static_cast<std::ptrdiff_t>(i--));
                action();
            }
            for (auto& slot : world_.gateways_)
                watch(*slot);
        }

        // Starts ended gateways again, unless all are to end; any other end than the one asked for is a violation.
        auto watch(GatewaySlot& slot) -> void
        {
            if (const auto status = slot.process_->ended()) {
                if (const auto fault = faultOfEnd(*status, slot.asked_); !fault.empty())
                    world_.violations_.add(fmt::format("{} {}; log: {}", slot.process_->settings().name_, fault, slot.process_->logPath()));
                slot.asked_ = {};
                slot.restartAt_ = now() + std::chrono::milliseconds(world_.random(500));
            }
            if (!slot.process_->isRunning() && now() >= slot.restartAt_ && !isEnding_)
                slot.process_->start();
            checkGrace(slot);
        }

        // A process that was suspended meanwhile may take longer.
        auto checkGrace(const GatewaySlot& slot) -> void
        {
            const bool isOver = slot.asked_.isStop_ && now() - slot.stoppingAt_ > graceTime + endSlack;
            if (isOver && slot.process_->isRunning() && now() - slot.harmedAt_ > graceTime)
                world_.violations_.add(fmt::format("{} still runs after its grace time; log: {}", slot.process_->settings().name_, slot.process_->logPath()));
        }

        auto undoLater(std::function<void()> action) -> void
        {
            const auto length = std::chrono::milliseconds(200 + world_.random(static_cast<std::size_t>(longestFault.count()) - 200));
            undoAfter(length, std::move(action));
        }

        auto undoAfter(std::chrono::milliseconds length, std::function<void()> action) -> void { undos_.push_back({ now() + length, std::move(action) }); }

        auto anyGateway() -> GatewaySlot& { return *world_.gateways_[world_.random(world_.gateways_.size())]; }

        auto injectFault() -> void
        {
            ++faults_;
            if (world_.randomOfLater(4) == 0)
                world_.putOddEntry();
            if (world_.randomOfUnusual(8) == 0)
                cutLimited();
            switch (world_.random(11)) {
            case 0:
                return harmGateway(SIGKILL);
            case 1:
                return harmGateway(SIGSTOP);
            case 2:
                return stopGateway();
            case 3:
                return anyGateway().process_->signal(SIGHUP);
            case 4:
            case 5:
                return harmServer();
            case 6:
                return replaceServer();
            case 7:
                return harmStore();
            case 8:
                return harmStoreLink();
            case 9:
                return restoreStore();
            default:
                return changeDeclaration();
            }
        }

        auto harmGateway(int number) -> void
        {
            auto& slot = anyGateway();
            slot.harmedAt_ = now();
            slot.process_->signal(number);
            if (number == SIGKILL) {
                slot.asked_.isKill_ = slot.process_->isRunning();
                return;
            }
            undoLater([&slot] {
                slot.harmedAt_ = now();
                slot.process_->signal(SIGCONT);
            });
        }

        auto stopGateway() -> void
        {
            stop(anyGateway());
        }

        // A second request to stop changes nothing.
        auto stop(GatewaySlot& slot) -> void
        {
            if (!slot.process_->isRunning() || slot.asked_.isStop_)
                return;
            slot.stoppingAt_ = now();
            slot.asked_.isStop_ = true;
            slot.process_->signal(SIGTERM);
        }

        // All gateways are stopped as planned, under load.
        auto stopAll() -> void
        {
            isEnding_ = true;
            for (auto& slot : world_.gateways_)
                stop(*slot);
            play(std::chrono::duration_cast<std::chrono::milliseconds>(graceTime + endSlack), false);
        }

        auto harmServer() -> void
        {
            const auto server = world_.servers_[world_.random(world_.servers_.size())];
            const auto kind = world_.random(5);
            if (kind == 0)
                return server->proxy_->resetAll();
            server->proxy_->setFault(static_cast<LinkFault>(kind));
            undoLater([server] { server->proxy_->setFault(LinkFault::None); });
        }

        // All links to upstreams that have named a limit end at once, and recover.
        auto cutLimited() -> void
        {
            for (const auto& server : world_.servers_) {
                server->limitPerSecond_ = cutLimitPerSecond;
                undoAfter(linkCutTime, [server] { server->proxy_->setCut(true); });
                undoAfter(linkCutTime + std::chrono::milliseconds(100 + world_.randomOfUnusual(1'000)), [server] { server->proxy_->setCut(false); });
                undoAfter(longestFault, [server] { server->limitPerSecond_ = server->usualLimitPerSecond_; });
            }
        }

        auto replaceServer() -> void
        {
            world_.addServer();
            world_.retireServer(world_.random(world_.servers_.size() - 1));
        }

        auto harmStore() -> void
        {
            const auto kind = world_.random(5);
            if (kind == 0)
                return world_.store_.cutWatches();
            if (kind == 1)
                return world_.store_.forgetHistory();
            world_.store_.setMood(static_cast<standin::StoreMood>(kind - 1));
            undoLater([this] { world_.store_.setMood(standin::StoreMood::Well); });
        }

        // The operator and the upstreams write again what the copy lacks, each at a time of its own.
        auto restoreStore() -> void
        {
            world_.store_.copy();
            undoLater([this] {
                world_.restoreStore();
                undoLater([this] { world_.declare(); });
                for (const auto& server : world_.servers_) {
                    undoLater([this, server] {
                        const auto& live = world_.servers_;
                        if (std::find(live.begin(), live.end(), server) != live.end())
                            world_.writeAgain(*server);
                    });
                }
            });
        }

        auto harmStoreLink() -> void
        {
            auto& slot = anyGateway();
            const auto kind = world_.random(5);
            if (kind == 0)
                return slot.storeProxy_->resetAll();
            slot.storeProxy_->setFault(static_cast<LinkFault>(kind));
            undoLater([&slot] { slot.storeProxy_->setFault(LinkFault::None); });
        }

        auto changeDeclaration() -> void
        {
            world_.isRevoked_ = world_.isRevoked_ || world_.random(4) == 0;
            world_.declare();
        }

        auto endFaults() -> void
        {
            while (!undos_.empty()) {
                const auto action = std::move(undos_.back().action_);
                undos_.pop_back();
                action();
            }
            for (const auto& server : world_.servers_)
                server->proxy_->setCut(false);
        }

        // In calm all gateways are ready and serve; a key that was taken away works nowhere.
        auto checkCalm() -> void
        {
            for (auto& slot : world_.gateways_) {
                const auto& name = slot->process_->settings().name_;
                if (ask(slot->process_->settings().ready_, "GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n") != 200)
                    world_.violations_.add(fmt::format("{} is not ready in calm", name));
                for (int i = 0; i < 10; ++i) {
                    const auto status = request(*slot, "acme");
                    if (status != 200)
                        world_.violations_.add(fmt::format("{} answers {} in calm", name, status));
                }
                const auto beta = request(*slot, "beta");
                if (beta != (world_.isRevoked_ ? 401 : 200))
                    world_.violations_.add(fmt::format("{} answers {} to a key that was {}", name, beta, world_.isRevoked_ ? "taken away" : "kept"));
            }
        }

        // In calm, an upstream that names a limit gets no more than the rule allows from the gateways together.
        auto checkLimit() -> void
        {
            auto& limited = *world_.servers_.front();
            limited.limitPerSecond_ = limitPerSecond;
            play(noticeTime, false);
            const auto arrivals = limited.arrivals_;
            play(limitTime, false);
            const auto taken = limited.arrivals_ - arrivals;
            const auto allowed = limitPerSecond * 3 / 2 * static_cast<int>(limitTime / 1s) + 5;
            if (taken > allowed)
                world_.violations_.add(fmt::format("{} requests reached an upstream that had named a limit; {} allowed", taken, allowed));
            if (taken == 0)
                world_.violations_.add("an upstream that had named a limit got nothing");
            limited.limitPerSecond_ = 0;
        }

        // In calm, an upstream that says that it leaves, or asks for a pause, gets hardly more than one request of each gateway.
        auto checkNotices() -> void
        {
            auto& leaving = *world_.servers_.front();
            leaving.isLeaving_ = true;
            auto& pausing = *world_.servers_.back();
            pausing.isPausing_ = true;
            play(noticeTime, false);
            const auto arrivals = leaving.arrivals_;
            const auto turnedAway = pausing.arrivals_;
            play(noticeTime, false);
            const auto gateways = static_cast<int>(world_.gateways_.size());
            if (leaving.arrivals_ - arrivals > gateways)
                world_.violations_.add(fmt::format("{} requests reached an upstream that was leaving", leaving.arrivals_ - arrivals));
            if (pausing.arrivals_ - turnedAway > 2 * gateways)
                world_.violations_.add(fmt::format("{} requests reached an upstream that had asked for a pause", pausing.arrivals_ - turnedAway));
            pausing.isPausing_ = false;
        }

        auto request(const GatewaySlot& slot, const std::string& workspace) -> int
        {
            const auto attempt = fmt::format("calm-{}", ++world_.lastAttempt_);
            world_.attempts_[attempt] = { false, workspace, 0, 0 };
            const auto status = ask(slot.process_->settings().front_, fmt::format("POST /order/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {}\r\nAuthorization: Token key-{}\r\nContent-Length: 2\r\n\r\nhi", attempt, workspace));
            world_.attempts_[attempt].status_ = status;
            return status;
        }

        auto ask(const SocketAddress& address, const std::string& bytes) -> int
        {
            try {
                standin::LoopClient client(loop_, address);
                client.send(bytes);
                standin::runUntil(loop_, [&client] { return client.received().size() > 12 || client.isEnded(); });
                return client.received().size() > 12 ? std::stoi(client.received().substr(9, 3)) : 0;
            } catch (const boost::system::system_error&) {
                // Nobody listens: told as no answer.
                return 0;
            }
        }

        auto finishCallers() -> void
        {
            for (auto& caller : callers_)
                caller->finishOnly();
            for (auto& caller : unusualCallers_)
                caller->finishOnly();
            const auto areIdle = [](const auto& callers) { return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->isIdle(); }); };
            while (!areIdle(callers_) || !areIdle(unusualCallers_))
                stepAll();
        }

        asio::io_context& loop_;
        World& world_;
        std::vector<std::unique_ptr<Caller>> callers_;
        std::vector<std::unique_ptr<UnusualCaller>> unusualCallers_;
        std::vector<Undo> undos_;
        int faults_ = 0;
        bool isEnding_ = false;
    };

    auto soak() -> int
    {
        const auto given = absl::GetFlag(FLAGS_folder);
        const auto seed = absl::GetFlag(FLAGS_seed);
        const auto folder = given.empty() ? std::filesystem::temp_directory_path() / fmt::format("sapphirepass-soak-{}-{}", seed, ::getpid()) : std::filesystem::path(given);
        std::filesystem::create_directories(folder);
        asio::io_context loop;
        World world(loop, { absl::GetFlag(FLAGS_binary), absl::GetFlag(FLAGS_before) }, folder.string(), seed);
        Soak soak(loop, world);
        soak.run();
        std::map<int, int> statuses;
        for (const auto& [attempt, record] : world.attempts_)
            ++statuses[record.status_];
        std::string counts;
        for (const auto& [status, count] : statuses)
            counts += fmt::format(" {}:{}", status, count);
        std::cout << fmt::format("seed {}: {} faults, {} attempts,{}\n", seed, soak.faults(), world.attempts_.size(), counts);
        for (const auto& text : world.violations_.texts())
            std::cout << "  broken: " << text << "\n";
        if (given.empty() && world.violations_.texts().empty())
            std::filesystem::remove_all(folder);
        else
            std::cout << "  logs: " << folder.string() << "\n";
        return world.violations_.texts().empty() ? 0 : 1;
    }
}

} // namespace sapphirepass::soak

auto main(int argc, char** argv) -> int
{
    absl::ParseCommandLine(argc, argv);
    return sapphirepass::soak::soak();
}
