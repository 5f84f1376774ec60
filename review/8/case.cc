// QUOTA: after machines have left, one that starts again shares out all tokens while the others spend a part of them on their own.
#include "town.hh"

using namespace rig;

namespace {
constexpr auto window = 5s;
// hot_tenant: x times the usual, for so long.
constexpr double hotTimes = 7.5;
constexpr auto hotFor = 6500ms;
const std::string holder = "front-north-a-2";

auto isRemoved(const Gateway& gateway) -> bool { return gateway.place().name_.back() >= '3'; }
}

auto main(int argc, char** argv) -> int
{
    if (argc != 3)
        cannotRun("case RECORD FOLDER");
    std::signal(SIGPIPE, SIG_IGN);
    // Rates are 1.6 times the usual traffic; the burst is a second's worth.
    const Tenant hot { "acme", "key-acme", 30, 30 };
    const Tenant other { "birch", "key-birch", 100, 100 };
    const double limit = (hot.rate_ * 5 + hot.burst_) * 1.1 + 20;

    Town town(argv[1], argv[2]);
    town.declare({ hot, other });
    for (int i = 1; i <= 8; ++i)
        town.addServer("i-" + std::to_string(i), i % 2 == 0 ? "north-a" : "south-a", 50ms);
    town.addGateway("north-a", 1);
    town.addGateway("north-a", 2);
    town.addGateway("north-b", 1);
    town.addGateway("south-a", 1);
    town.addGateway("south-a", 2);
    town.addGateway("south-b", 1);
    for (int i = 3; i <= 7; ++i)
        town.addGateway(i % 2 == 0 ? "north-a" : "south-b", i);
    town.waitReady();
    auto& usual = town.startLoad(hot, { "north", "south" }, hot.rate_ / 1.6, 0.75, 16);
    town.startLoad(other, { "north", "south" }, 20, 0.75, 16);
    pause(3s);
    // Machines are removed for good.
    for (const auto& gateway : town.gateways()) {
        if (isRemoved(*gateway)) {
            town.record().line("remove %s", gateway->place().name_.c_str());
            gateway->signal(SIGTERM);
        }
    }
    for (const auto& gateway : town.gateways()) {
        if (isRemoved(*gateway))
            gateway->waitForEnd(6s);
    }
    pause(8s);
    if (isTrouble()) {
        auto& killed = town.gateway(holder);
        town.record().line("kill %s", killed.place().name_.c_str());
        killed.killNow();
        pause(500ms);
        killed.start();
        killed.waitReady(10s);
        town.record().line("ready %s", killed.place().name_.c_str());
    }
    pause(5s);
    town.checkGateways();
    town.record().line("%s is hot", hot.name_.c_str());
    usual.stop();
    town.startLoad(hot, { "north", "south" }, hot.rate_ / 1.6 * hotTimes, 0.75, 64);
    pause(hotFor);
    town.stopClients();
    town.checkGateways();
    const auto [most, at] = busiestWindow(town.attempts(), hot.name_, window);
    town.record().line("most runs of %s in 5 s: %d, from %ld ms on; allowed are %.0f", hot.name_.c_str(), most, town.record().ms(at), limit);
    std::printf("QUOTA: %d runs of %s in 5 s, allowed are %.0f\n", most, hot.name_.c_str(), limit);
    return most > limit ? 1 : 0;
}
