// QUOTA: a machine that has once stood in for the one that shares out a tenant's tokens still has its stock when it stands in again.
#include "town.hh"

using namespace rig;

namespace {
constexpr auto window = 5s;
// hot_tenant: x times the usual, for so long.
constexpr double hotTimes = 7.5;
constexpr auto hotFor = 6500ms;
const std::string holder = "front-south-a-3";

// As the platform does it; the machine stays down for a while.
auto restart(Town& town, Millis down) -> void
{
    auto& stopped = town.gateway(holder);
    town.record().line("SIGTERM %s", holder.c_str());
    stopped.stopPlanned();
    pause(down);
    town.record().line("%s has ended and is started again", holder.c_str());
    stopped.start();
    stopped.waitReady(10s);
}
}

auto main(int argc, char** argv) -> int
{
    if (argc != 3)
        cannotRun("case RECORD FOLDER");
    std::signal(SIGPIPE, SIG_IGN);
    // Rates are 1.6 times the usual traffic; the burst is a second's worth.
    const Tenant hot { "acme", "key-acme", 20, 20 };
    const Tenant other { "birch", "key-birch", 100, 100 };
    const double limit = (hot.rate_ * 5 + hot.burst_) * 1.1 + 20;

    Town town(argv[1], argv[2]);
    town.declare({ hot, other });
    for (int i = 1; i <= 8; ++i)
        town.addServer("i-" + std::to_string(i), i % 2 == 0 ? "north-a" : "south-a", 50ms);
    for (const auto* zone : { "north-a", "north-b", "south-a", "south-b" }) {
        for (int i = 1; i <= 3; ++i)
            town.addGateway(zone, i);
    }
    town.waitReady();
    auto& usual = town.startLoad(hot, { "north", "south" }, hot.rate_ / 1.6, 0.75, 16);
    town.startLoad(other, { "north", "south" }, 20, 0.75, 16);
    pause(3s);
    // In calm: another machine shares out the tokens meanwhile, and what it has left stays there.
    if (isTrouble())
        restart(town, 2s);
    pause(6s);
    usual.stop();
    const auto hotAt = now();
    town.record().line("%s is hot", hot.name_.c_str());
    town.startLoad(hot, { "north", "south" }, hot.rate_ / 1.6 * hotTimes, 0.75, 64);
    pause(1200ms);
    if (isTrouble())
        restart(town, 0ms);
    pause(std::chrono::duration_cast<Millis>(hotAt + hotFor - now()));
    town.stopClients();
    town.checkGateways();
    const auto [most, at] = busiestWindow(town.attempts(), hot.name_, window);
    town.record().line("most runs of %s in 5 s: %d, from %ld ms on; allowed are %.0f", hot.name_.c_str(), most, town.record().ms(at), limit);
    std::printf("QUOTA: %d runs of %s in 5 s, allowed are %.0f\n", most, hot.name_.c_str(), limit);
    return most > limit ? 1 : 0;
}
