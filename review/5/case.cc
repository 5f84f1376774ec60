// A planned stop of a gateway, and requests that come late in its grace time on channels opened before: are they answered?
#include "standin/world.hh"

using namespace review;

namespace {

constexpr int clients = 8;
// From the SIGTERM to the requests; the process has 6 s from the SIGTERM.
constexpr int sentAfterMs = 4'800;
constexpr int graceMs = 6'000;
// The work would be over 0.2 s before the end of the grace time, and within the route's timeout of 1.2 s.
constexpr int workMs = 1'000;

// The gateways that a client is told to use.
std::string lookUp(const Gateway& gateway, const Deployment& deployment)
{
    const auto answer = ask(gateway.directory(), "GET /-/resolve?name=shop.example&region=" + deployment.regions[0] + "&zone=" + deployment.zones[0] + " HTTP/1.1\r\nHost: a\r\n\r\n", 1'000);
    return answer.message.body;
}

bool run(const std::string& repository)
{
    World world(3, repository);
    auto& store = world.store();
    store.put("config", "main", manifest(12, route("quote", "/quote/", "non_idempotent", "core", 1.2, 0.3, 3), service("core")));
    std::vector<std::unique_ptr<Server>> fleet;
    for (int i = 0; i < 4; ++i) {
        fleet.push_back(std::make_unique<Server>(store, world.serverHost(), "i-" + std::to_string(i), "core", world.deployment().zones[static_cast<std::size_t>(i) % 3], 8, [](const Message&) { return workMs; }));
        fleet.back()->enter();
    }
    world.startGateways();
    pause(4'000);

    auto& stopped = *world.gateways()[0];
    const auto told = lookUp(stopped, world.deployment());
    record.line("the directory names %s", told.c_str());
    if (told.find(stopped.front().text()) == std::string::npos)
        giveUp("the directory does not name the gateway");
    std::vector<int> channels;
    for (int i = 0; i < clients; ++i)
        channels.push_back(connectTo(stopped.front()));
    record.line("%d clients have opened a channel each to %s", clients, stopped.name().c_str());
    pause(50);
    if (hasTrouble())
        stopped.signal(SIGTERM);
    const auto asked = Clock::now();

    std::atomic<int> lost { 0 };
    std::atomic<int> passedOn { 0 };
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, handle = channels[static_cast<std::size_t>(i)], i] {
            pause(sentAfterMs + i * 10);
            const auto attempt = freshAttempt();
            const auto sentAt = Clock::now();
            const bool isSent = sendAll(handle, request("POST", "/quote/" + std::to_string(i), attempt, 2'500, "an order"));
            record.line("client: %s sent %.2f s after the SIGTERM", attempt.c_str(), std::chrono::duration<double>(sentAt - asked).count());
            Answer answer;
            answer.end = isSent ? readMessage(handle, answer.rest, answer.message, 3'000) : ReadEnd::Reset;
            record.line("client: %s: %s, %.2f s after it was sent", attempt.c_str(), answer.text().c_str(), std::chrono::duration<double>(Clock::now() - sentAt).count());
            ::close(handle);
            bool ran = false;
            for (auto& server : fleet) {
                for (const auto& arrival : server->arrivals())
                    ran = ran || (arrival.ran && arrival.attempt == attempt);
            }
            passedOn += ran ? 1 : 0;
            lost += ran && !answer.isWhole() ? 1 : 0;
        });
    }
    for (auto& thread : threads)
        thread.join();
    while (hasTrouble() && Clock::now() < asked + milliseconds(graceMs + 1'000) && !stopped.ended())
        pause(20);
    record.line("requests %d, passed on to servers %d, of these without an answer %d", clients, passedOn.load(), lost.load());
    for (auto& server : fleet)
        server->stop();
    return lost == 0;
}

}

int main(int, char** arguments) { return runCase(arguments[1], run); }
