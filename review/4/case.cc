// A server spoils one byte in the status line of some answers: does a caller get bytes that are no answer?
#include "standin/world.hh"

using namespace review;

namespace {

// Of its answers a faulty server spoils one in so many.
constexpr int spoiledOneIn = 50;
constexpr int requestsOfAClient = 300;

bool isStatusLine(const std::string& line)
{
    const auto isDigit = [&line](std::size_t at) { return line[at] >= '0' && line[at] <= '9'; };
    return line.size() >= 13 && line.compare(0, 9, "HTTP/1.1 ") == 0 && line[9] >= '1' && line[9] <= '5' && isDigit(10) && isDigit(11) && line[12] == ' ';
}

// Answers whole, signed and with a length.
class PlainServer {
public:
    PlainServer(Store& store, const std::string& host, const std::string& id, const std::string& zone, bool isFaulty)
        : id_(id)
        , isFaulty_(isFaulty)
    {
        listener_.start({ host, 0 }, [this](int handle) { serve(handle); });
        store.put("servers", id, "{\"address\":\"" + listener_.address().text() + "\",\"born\":1767225600000,\"info\":{\"service\":\"core\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":8},\"status\":{\"state\":\"ready\",\"seq\":1,\"cold_left_s\":0}}");
        record.line("server %s at %s%s", id.c_str(), listener_.address().text().c_str(), isFaulty ? ", faulty" : "");
    }
    void stop() { listener_.stop(); }
    int answers() const { return answers_; }
    int spoiled() const { return spoiled_; }

private:
    void serve(int handle)
    {
        std::string buffer;
        Message message;
        auto idleSince = Clock::now();
        while (listener_.isRunning()) {
            const auto end = readMessage(handle, buffer, message, 200);
            if (end == ReadEnd::Timeout && Clock::now() - idleSince < milliseconds(10'000))
                continue;
            if (end != ReadEnd::Whole || !answer(handle, message))
                break;
            idleSince = Clock::now();
        }
        ::close(handle);
    }
    bool answer(int handle, const Message& message)
    {
        const auto expected = message.header("Expected-Instance");
        const auto attempt = message.header("Attempt-Id");
        if (message.target() == "/health")
            return sendAll(handle, "HTTP/1.1 200 OK\r\nInstance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
        if (expected != id_)
            return sendAll(handle, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id_ + "\r\nAttempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n");
        const auto body = "done " + attempt;
        std::string bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Signature: s." + attempt + "\r\nServer-Load: 1,0,8\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const int number = ++answers_;
        if (hasTrouble() && isFaulty_ && number % spoiledOneIn == 0) {
            ++spoiled_;
            // One bit of the first digit: 0x32 becomes 0x30.
            bytes[9] = '0';
            record.line("server %s spoils its answer to %s: %s", id_.c_str(), attempt.c_str(), bytes.substr(0, 15).c_str());
        }
        return sendAll(handle, bytes);
    }

    std::string id_;
    bool isFaulty_;
    std::atomic<int> answers_ { 0 };
    std::atomic<int> spoiled_ { 0 };
    Listener listener_;
};

bool run(const std::string& repository)
{
    World world(3, repository);
    auto& store = world.store();
    store.put("config", "main", manifest(12, route("quote", "/quote/", "non_idempotent", "core", 1.2, 0.3, 3) + "," + route("spec", "/spec/", "idempotent", "core", 1, 0.25, 3), service("core")));
    std::vector<std::unique_ptr<PlainServer>> fleet;
    for (std::size_t i = 0; i < 3; ++i)
        fleet.push_back(std::make_unique<PlainServer>(store, world.serverHost(), "i-" + std::to_string(i), world.deployment().zones[i], i == 0));
    world.startGateways();
    pause(4'000);

    std::atomic<int> broken { 0 };
    std::atomic<int> answered { 0 };
    std::vector<std::thread> clients;
    for (auto& gateway : world.gateways()) {
        for (int i = 0; i < 2; ++i) {
            clients.emplace_back([&broken, &answered, i, front = gateway->front(), name = gateway->name()] {
                for (int number = 0; number < requestsOfAClient; ++number) {
                    const auto attempt = freshAttempt();
                    const auto answer = ask(front, i == 0 ? request("POST", "/quote/" + std::to_string(number), attempt, 2'500, "an order") : request("GET", "/spec/" + std::to_string(number), attempt, 2'000), 3'000);
                    ++answered;
                    const bool isAnswer = !answer.isWhole() || isStatusLine(answer.message.line);
                    broken += isAnswer ? 0 : 1;
                    record.line("client of %s: %s: %s%s", name.c_str(), attempt.c_str(), answer.text().c_str(), isAnswer ? "" : "   <- no answer in the protocol");
                    pause(10);
                }
            });
        }
    }
    for (auto& client : clients)
        client.join();
    record.line("requests %d; answers of the faulty server %d, spoiled %d; bytes that are no answer, as clients got them: %d", answered.load(), fleet[0]->answers(), fleet[0]->spoiled(), broken.load());
    const int spoiled = fleet[0]->spoiled();
    for (auto& server : fleet)
        server->stop();
    if (hasTrouble() && spoiled == 0)
        giveUp("the faulty server got too few requests");
    return broken == 0;
}

}

int main(int, char** arguments) { return runCase(arguments[1], run); }
