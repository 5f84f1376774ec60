// DENIED: on a channel that was idle while the manifest changed, the next request is held against the limits of the old one.
#include "town.hh"

using namespace rig;

namespace {
constexpr long oldLimit = 65536;
constexpr long newLimit = 1048576;
constexpr std::size_t uploadBytes = 200000;
constexpr int clients = 24;

// A client that keeps its channel between requests.
class KeptChannel {
public:
    KeptChannel(const Address& front, std::string name)
        : handle_(connectTo(front, 1s))
        , name_(std::move(name))
    {
        if (handle_ < 0)
            cannotRun("no channel to " + front.text());
    }
    ~KeptChannel() { ::close(handle_); }
    KeptChannel(const KeptChannel&) = delete;
    auto operator=(const KeptChannel&) -> KeptChannel& = delete;
    // The status; 0 if the channel ended or stayed silent.
    auto post(std::size_t bytes) -> int
    {
        const auto attempt = name_ + "-" + std::to_string(++number_);
        const bool isSent = sendAll(handle_, "POST /order/" + name_ + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + attempt + "\r\nCookie: Affinity-Key=" + name_ + "\r\nDeadline-Ms: 2000\r\nAuthorization: Token key-acme\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'));
        const auto response = isSent ? readMessage(handle_, buffer_, 2s) : std::nullopt;
        return response ? response->status() : 0;
    }

private:
    int handle_;
    std::string name_;
    std::string buffer_;
    int number_ = 0;
};
}

auto main(int argc, char** argv) -> int
{
    if (argc != 3)
        cannotRun("case RECORD FOLDER");
    std::signal(SIGPIPE, SIG_IGN);
    const Tenant tenant { "acme", "key-acme", 0, 0 };
    Town town(argv[1], argv[2]);
    // Without trouble the manifest does not change.
    town.declare({ tenant }, 1, isTrouble() ? oldLimit : newLimit);
    for (int i = 1; i <= 6; ++i)
        town.addServer("i-" + std::to_string(i), i % 2 == 0 ? "north-a" : "south-a", 50ms);
    for (const auto* zone : { "north-a", "north-b", "south-a", "south-b" })
        town.addGateway(zone, 1);
    town.waitReady();
    town.startLoad(tenant, { "north", "south" }, 40, 0.75, 16);
    pause(4s);
    int requests = 0;
    std::vector<std::unique_ptr<KeptChannel>> channels;
    for (int i = 0; i < clients; ++i) {
        channels.push_back(std::make_unique<KeptChannel>(town.frontOf(i % 2 == 0 ? "north" : "south", static_cast<std::uint64_t>(i / 2)), "k" + std::to_string(i)));
        const auto status = channels.back()->post(300);
        ++requests;
        town.record().line("kept channel %d: an order of 300 bytes is answered %d", i, status);
        if (status != 200)
            cannotRun("a kept channel does not serve");
    }
    pause(1s);
    if (isTrouble()) {
        town.declare({ tenant }, 2, newLimit);
        town.record().line("the store has acknowledged version 2, which allows bodies of %ld bytes", newLimit);
    }
    // The manifest has to be in force after 2 s; the channels are kept for 15 s, and used again within four fifths of that.
    pause(6s);
    int denied = 0;
    int fresh = 0;
    for (int i = 0; i < clients; ++i) {
        const auto status = channels[static_cast<std::size_t>(i)]->post(uploadBytes);
        ++requests;
        denied += status / 100 == 4 && status != 408 && status != 421 && status != 429 ? 1 : 0;
        KeptChannel beside(town.frontOf(i % 2 == 0 ? "north" : "south", static_cast<std::uint64_t>(i / 2)), "f" + std::to_string(i));
        const auto status2 = beside.post(uploadBytes);
        ++requests;
        fresh += status2 == 200 ? 1 : 0;
        town.record().line("order of %zu bytes: kept channel %d is answered %d; a new channel beside it %d", uploadBytes, i, status, status2);
    }
    town.stopClients();
    town.checkGateways();
    requests += static_cast<int>(town.attempts().size());
    const double allowed = 5 + requests / 500.0;
    const auto result = std::to_string(denied) + " of " + std::to_string(clients) + " proper orders on kept channels were denied, allowed are " + std::to_string(allowed) + "; on new channels " + std::to_string(fresh) + " of " + std::to_string(clients) + " were served";
    town.record().line("%s", result.c_str());
    std::printf("DENIED: %s\n", result.c_str());
    return denied > allowed ? 1 : 0;
}
