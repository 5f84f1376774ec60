// Mutated inputs for the parser and the decoders: a fixed seed and a fixed number of rounds.
#include "admission/escrow_wire.h"
#include "config/command_func.h"
#include "config/snapshot_codec.h"
#include "language/command_parser.h"

#include <catch2/catch.hpp>
#include <random>

using namespace sapphirepass;

namespace {

constexpr std::uint64_t seed = 20261203;
constexpr int rounds = 20'000;

class Mutator {
public:
    explicit Mutator(std::vector<std::string> corpus)
        : corpus_(std::move(corpus))
    {
    }

    // A text of the corpus with a few edits: bytes changed, parts removed, repeated or taken from another text.
    auto next() -> std::string
    {
        auto text = pick();
        for (std::size_t edits = 1 + draw(4); edits > 0; --edits)
            edit(text);
        return text;
    }

private:
    auto draw(std::size_t bound) -> std::size_t { return bound == 0 ? 0 : random_() % bound; }
    auto pick() -> const std::string& { return corpus_[draw(corpus_.size())]; }

    auto edit(std::string& text) -> void
    {
        const auto at = draw(text.size() + 1);
        const auto length = draw(16);
        switch (draw(5)) {
        case 0:
            text.insert(at, 1, static_cast<char>(draw(256)));
            return;
        case 1:
            if (at < text.size())
                text[at] = static_cast<char>(text[at] ^ (1U << draw(8)));
            return;
        case 2:
            text.erase(at, length);
            return;
        case 3:
            text.insert(at, text.substr(draw(text.size() + 1), length));
            return;
        default: {
            const auto& other = pick();
            text.replace(at, length, other, draw(other.size() + 1), length);
        }
        }
    }

    std::mt19937_64 random_ { seed };
    std::vector<std::string> corpus_;
};

constexpr std::string_view declarations = "declare region luzon limit 3; declare region cebu; declare domain l1 region luzon; declare link a from luzon to cebu megabits 10;"
                                          "declare workspace acme rate 10 burst 5; declare key k workspace acme salt 0a hash 0b; withdraw key k;"
                                          "declare upstream u service s domain l1 address 127.0.0.1:9000 slots 3 cold-start 30s state draining;"
                                          "declare route r path /q service s access open repeat once deadline 5s size 100; declare block 10.0.0.0/8 region cebu;"
                                          "declare move m service s from luzon to cebu share 10 cap 100 ramp 1h state paused";

auto declaredSnapshot() -> Snapshot
{
    return valueOf(applyBatch(Snapshot {}, valueOf(parseBatch(declarations))));
}

}

TEST_CASE("mutated commands and queries are read or refused", "[fuzz]")
{
    Mutator mutator({ std::string(declarations), "retire region luzon force", "change upstream u slots 3\nissue key k workspace acme # comment",
        "show routes where service = s and deadline >= 3s or name ~ \"a b\" sort name desc limit 5", "withdraw key \"k\"" });
    int read = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto text = mutator.next();
        CAPTURE(round, text);
        const auto batch = parseBatch(text);
        if (!isOk(batch)) {
            REQUIRE_FALSE(renderError(errorOf(batch), text).empty());
            continue;
        }
        ++read;
        REQUIRE(parseBatch(formatBatch(valueOf(batch))) == batch);
        applyBatch(declaredSnapshot(), valueOf(batch));
    }
    // Else the corpus or the mutator would test nothing but the first word.
    CHECK(read > rounds / 100);
}

TEST_CASE("a mutated log head is decoded to a whole log or refused", "[fuzz]")
{
    const auto hash = declaredSnapshot().stateHash();
    const LogHead whole { 2, { { 1, "a", "w", "f", "t", std::string(declarations), hash }, { 2, "b", "w", "f", "t", "withdraw key k", 7 } } };
    const LogHead cut { 9, { { 9, "i", "w", "f", "t", "retire route r", 9 } }, { 8, hash, { std::string(64, 'a'), std::string(64, 'b') } }, { 3, 4, { std::string(64, 'c') } }, { 1, 2, 3 } };
    Mutator mutator({ encodeLogHead({}), encodeLogHead(whole), encodeLogHead(cut), R"({"revision":1e300,"entries":[],"format":18446744073709551615})" });
    int decoded = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto text = mutator.next();
        CAPTURE(round, text);
        const auto head = decodeLogHead(text);
        if (!isOk(head))
            continue;
        ++decoded;
        const auto& entries = valueOf(head).entries_;
        REQUIRE((entries.empty() || entries.back().revision_ == valueOf(head).revision_));
        REQUIRE(decodeLogHead(encodeLogHead(valueOf(head))) == head);
    }
    CHECK(decoded > rounds / 100);
}

TEST_CASE("a mutated snapshot is refused or the same", "[fuzz]")
{
    const auto snapshot = declaredSnapshot();
    const auto original = encodeSnapshot(snapshot);
    Mutator mutator({ original, encodeSnapshot(Snapshot {}), encodeSnapshot(snapshot.atRevision(77)) });
    for (int round = 0; round < rounds / 4; ++round) {
        const auto text = mutator.next();
        CAPTURE(round, text);
        const auto decoded = decodeSnapshot(text);
        if (!isOk(decoded))
            continue;
        const auto again = decodeSnapshot(encodeSnapshot(valueOf(decoded)));
        REQUIRE(isOk(again));
        REQUIRE(valueOf(again).stateHash() == valueOf(decoded).stateHash());
    }
}

TEST_CASE("mutated escrow messages and share tables are refused or read whole", "[fuzz]")
{
    const HolderId one { "e1", 1 };
    const HolderId two { "e2", 2 };
    const EscrowMessage transfer { EscrowMessageKind::Transfer, 3, one, two, 7, {}, { { { BudgetKind::WorkspaceRate, "acme" }, { fullFraction / 4, 5 * microsPerUnit } } } };
    const EpochRecord table { 3, one, true, { one, two }, { one, two }, { { one } } };
    Mutator messages({ encodeEscrowMessage(transfer) });
    Mutator tables({ encodeEpochRecord(table) });
    REQUIRE(decodeEscrowMessage(encodeEscrowMessage(transfer), "e1", "e2") == transfer);
    REQUIRE(decodeEpochRecord(encodeEpochRecord(table)) == table);
    for (int round = 0; round < rounds; ++round) {
        // What is read must be writable again as the same.
        if (const auto message = decodeEscrowMessage(messages.next(), "e1", "e2")) {
            CHECK(decodeEscrowMessage(encodeEscrowMessage(*message), "e1", "e2") == message);
            for (const auto& share : message->shares_)
                CHECK((share.share_.fraction_ >= 0 && share.share_.fraction_ <= fullFraction && share.share_.tokens_ >= 0));
        }
        if (const auto record = decodeEpochRecord(tables.next()))
            CHECK(decodeEpochRecord(encodeEpochRecord(*record)) == record);
    }
}
