// An entry of servers whose fields are lists in lists: do the gateways bear it?
#include "standin/world.hh"

using namespace review;

namespace {

constexpr int servers = 4;
// The platform starts a process again a short while after it has ended.
constexpr int restartDelayMs = 1'000;
constexpr int observedMs = 20'000;
constexpr int endsThatCount = 3;
constexpr int machinesThatCount = 2;
// 400 kB in all; the store takes 1,048,576 bytes.
constexpr int depth = 200'000;

struct Machine {
    int ends = 0;
    std::optional<Time> restartAt;
};

bool run(const std::string& repository)
{
    World world(3, repository);
    auto& store = world.store();
    store.put("config", "main", manifest(12, route("spec", "/spec/", "idempotent", "core", 1, 0.25, 3), service("core")));
    std::vector<std::unique_ptr<Server>> fleet;
    for (int i = 0; i < servers; ++i) {
        fleet.push_back(std::make_unique<Server>(store, world.serverHost(), "i-" + std::to_string(i), "core", world.deployment().zones[static_cast<std::size_t>(i) % 3], 4, [](const Message&) { return 20; }));
        fleet.back()->enter();
    }
    world.startGateways();
    pause(4'000);

    std::atomic<bool> over { false };
    std::atomic<int> asked { 0 };
    std::atomic<int> answered { 0 };
    std::vector<std::thread> clients;
    for (auto& gateway : world.gateways()) {
        clients.emplace_back([&over, &asked, &answered, front = gateway->front(), name = gateway->name()] {
            while (!over) {
                const auto attempt = freshAttempt();
                const auto answer = ask(front, request("GET", "/spec/1", attempt, 2'000), 2'500);
                ++asked;
                answered += answer.isWhole() && answer.message.status() == 200 ? 1 : 0;
                record.line("client of %s: %s: %s", name.c_str(), attempt.c_str(), answer.text().c_str());
                pause(200);
            }
        });
    }
    pause(2'000);
    const int askedBefore = asked;
    const int answeredBefore = answered;
    if (hasTrouble()) {
        store.put("servers", "i-other", "{\"info\":" + std::string(depth, '[') + std::string(depth, ']') + "}");
        record.line("another writer: entry i-other, whose info is %d lists in each other", depth);
    }
    std::map<Gateway*, Machine> machines;
    const auto until = Clock::now() + milliseconds(observedMs);
    while (Clock::now() < until) {
        for (auto& gateway : world.gateways()) {
            auto& machine = machines[gateway.get()];
            if (gateway->ended()) {
                ++machine.ends;
                machine.restartAt = Clock::now() + milliseconds(restartDelayMs);
            }
            if (machine.restartAt && Clock::now() >= *machine.restartAt) {
                machine.restartAt.reset();
                gateway->start(world.seeds());
            }
        }
        pause(20);
    }
    over = true;
    for (auto& client : clients)
        client.join();
    int bad = 0;
    for (const auto& [gateway, machine] : machines) {
        record.line("gateway %s ended by itself %d times", gateway->name().c_str(), machine.ends);
        bad += machine.ends >= endsThatCount ? 1 : 0;
    }
    record.line("answered with success: %d of %d before, %d of %d after", answeredBefore, askedBefore, answered - answeredBefore, asked - askedBefore);
    for (auto& server : fleet)
        server->stop();
    return bad < machinesThatCount;
}

}

int main(int, char** arguments) { return runCase(arguments[1], run); }
