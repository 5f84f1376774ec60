// Round trip of every fleet message, and decoding of corrupted ones.
#include "fleet/fleet_codec.h"

#include <catch2/catch.hpp>
#include <random>

using namespace sapphirepass;

namespace {

const Member member { { "e1", 7 }, "luzon", "luzon-1", { "127.0.0.1", 8001 }, { "127.0.0.1", 9001 }, true, 12, 99, std::chrono::milliseconds(1'500) };

const std::vector<FleetMessage> samples {
    Digest { 12, 0xfedcba9876543210, true, 77, 5, { { 0, std::chrono::milliseconds(40) }, { 9, std::chrono::milliseconds(2) } } },
    Digest {},
    Pull { 3, 9, 4096 },
    EntryBatch { { 2, { { 1, "a", "who", "from", "at", "declare region x" }, { 2, "b", "who", "from", "at", "declare region y" } } }, 2 },
    EntryBatch { { 41, { { 41, "a", "who", "from", "at", "declare region x" } } }, 0 },
    SnapshotPart { 5, 10'000, 17, std::string("a\0b", 3) },
    WithdrawalSet { { { "k", "id", "who", "from" }, { "l", "", "", "" } } },
    MemberAnnouncement { member },
    MembersRequest {},
    MembersReply { { member, member } },
    InForceAsk { 4, 2 },
    InForceAnswer { { 4, 2 }, "luzon-1", 60, 61, { "e4" } },
};

}

TEST_CASE("every fleet message decodes to the value that was encoded", "[fleet]")
{
    for (const auto& message : samples)
        CHECK(valueOf(decodeFleetMessage(encodeFleetMessage(message))) == message);
}

TEST_CASE("corrupted fleet messages do not crash the decoder", "[fleet][fuzz]")
{
    std::mt19937_64 random(20'261'203);
    std::size_t refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        auto damaged = encodeFleetMessage(samples[random() % samples.size()]);
        auto& bytes = damaged.payload_;
        for (auto i = random() % 4 + 1; i > 0 && !bytes.empty(); --i)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 4 == 0)
            bytes.resize(random() % (bytes.size() + 1));
        if (random() % 8 == 0)
            damaged.topic_ = static_cast<PeerTopic>(random() % 8);
        refused += isOk(decodeFleetMessage(damaged)) ? 0 : 1;
    }
    CHECK(refused > 5'000);
}
