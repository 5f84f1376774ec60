// An entry of servers whose fields are lists in lists: do the gateways bear it, and answer what they have passed on?
#include "standin/world.hh"

using namespace review;

namespace {

constexpr int servers = 4;
constexpr int clientsOfAGateway = 4;
constexpr int workMs = 400;
// The platform starts a process again a short while after it has ended.
constexpr int restartDelayMs = 1'000;
constexpr int observedMs = 12'000;
// The rule is broken by more than three.
constexpr int lostThatHold = 3;
// 400 kB in all; the store takes 1,048,576 bytes.
constexpr int depth = 200'000;

struct Machine {
    int ends = 0;
    std::optional<Time> restartAt;
};

struct Tally {
    std::atomic<int> answered { 0 };
    std::atomic<int> notReached { 0 };
    std::mutex mutex;
    // Ended without an answer on a channel that had carried answers before.
    std::vector<std::string> cut;
};

// One request after the other on a kept channel; on a new one after its end.
void keepAsking(const Gateway& gateway, const std::atomic<bool>& over, Tally& tally)
{
    int channel = -1;
    std::string buffer;
    int answersOnChannel = 0;
    while (!over) {
        if (channel < 0) {
            channel = connectTo(gateway.front());
            buffer.clear();
            answersOnChannel = 0;
        }
        if (channel < 0) {
            ++tally.notReached;
            pause(200);
            continue;
        }
        const auto attempt = freshAttempt();
        Message message;
        const auto end = sendAll(channel, request("POST", "/quote/1", attempt, 2'500, "an order")) ? readMessage(channel, buffer, message, 3'000) : ReadEnd::Reset;
        record.line("client of %s: %s: %s", gateway.name().c_str(), attempt.c_str(), end == ReadEnd::Whole ? message.line.c_str() : name(end));
        if (end == ReadEnd::Whole) {
            ++answersOnChannel;
            tally.answered += message.status() == 200 ? 1 : 0;
            continue;
        }
        if (answersOnChannel > 0) {
            const std::lock_guard<std::mutex> lock(tally.mutex);
            tally.cut.push_back(attempt);
        }
        ::close(channel);
        channel = -1;
    }
    ::close(channel);
}

bool run(const std::string& repository)
{
    World world(3, repository);
    auto& store = world.store();
    store.put("config", "main", manifest(12, route("quote", "/quote/", "non_idempotent", "core", 1.2, 0.3, 3), service("core")));
    std::vector<std::unique_ptr<Server>> fleet;
    for (int i = 0; i < servers; ++i) {
        fleet.push_back(std::make_unique<Server>(store, world.serverHost(), "i-" + std::to_string(i), "core", world.deployment().zones[static_cast<std::size_t>(i) % 3], 8, [](const Message&) { return workMs; }));
        fleet.back()->enter();
    }
    world.startGateways();
    pause(4'000);

    std::atomic<bool> over { false };
    Tally tally;
    std::vector<std::thread> clients;
    for (auto& gateway : world.gateways()) {
        for (int i = 0; i < clientsOfAGateway; ++i)
            clients.emplace_back([&over, &tally, &gateway = *gateway] { keepAsking(gateway, over, tally); });
    }
    pause(4'000);
    const int answeredBefore = tally.answered;
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
    std::set<std::string> ran;
    for (auto& server : fleet) {
        for (const auto& arrival : server->arrivals()) {
            if (arrival.ran)
                ran.insert(arrival.attempt);
        }
    }
    int lost = 0;
    for (const auto& attempt : tally.cut)
        lost += ran.count(attempt) > 0 ? 1 : 0;
    for (const auto& [gateway, machine] : machines)
        record.line("gateway %s ended by itself %d times", gateway->name().c_str(), machine.ends);
    record.line("answered with success: %d in 4 s before, %d in %d s after; connections refused: %d", answeredBefore, tally.answered - answeredBefore, observedMs / 1'000, tally.notReached.load());
    record.line("passed on from kept channels to servers and not answered: %d", lost);
    for (auto& server : fleet)
        server->stop();
    return lost <= lostThatHold;
}

}

int main(int, char** arguments) { return runCase(arguments[1], run); }
